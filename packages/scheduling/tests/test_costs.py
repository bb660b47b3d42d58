"""Costs by route under tails and with figures that can't be true."""

import random
from math import inf, nan

import pytest

from peridot_scheduling.costs import MAX_AGE_S, Costs, initial_cost_s


def test_a_tail_does_not_distort_the_cost():
    """The load: 3 in 100 requests take 7 times as long.

    A moving average without bounds, as before with weight 0.15, is off by up to twice.
    """
    rng, costs = random.Random(3), Costs()
    plain, worst_plain, worst = 0.1, 0.0, 0.0
    for number in range(3_000):
        work_s = 0.1 * rng.uniform(0.7, 1.3) * (7 if rng.random() < 0.03 else 1)
        costs.record("s", "r", 0.2, work_s, number * 0.1)
        plain += 0.15 * (work_s - plain)
        if number > 100:
            cost_s = costs.learned_s("s", "r", number * 0.1)
            worst, worst_plain = max(worst, cost_s / 0.1), max(worst_plain, plain / 0.1)
    assert worst < 1.4 < worst_plain


def test_a_wrong_initial_cost_is_left_with_the_first_samples():
    costs = Costs()
    for number in range(8):
        costs.record("s", "r", 1.0, 0.1, float(number))
    assert costs.learned_s("s", "r", 8.0) == pytest.approx(0.1, rel=0.5)


@pytest.mark.parametrize("work_s", (nan, inf, -0.1, 0.0, 1e9))
def test_impossible_figures_are_dropped(work_s):
    costs = Costs()
    assert not costs.record("s", "r", 0.2, work_s, 1.0)
    assert not costs.merge_report("s", "r", work_s, 1, 1.0)
    assert not costs.set_shared("s", "r", work_s, 1.0)
    assert not costs.costs


def test_one_vm_that_reports_too_much_moves_the_cost_little():
    """Guards against one of 71 VMs whose figures are 100 times too large."""
    costs = Costs()
    for number in range(700):
        work_s = 10.0 if number % 71 == 0 else 0.1
        costs.merge_report("s", "r", work_s, 1, number * 0.01)
    assert costs.learned_s("s", "r", 7.0) < 0.13


def test_old_costs_are_forgotten():
    costs = Costs()
    costs.set_shared("s", "r", 0.3, 1.0)
    assert costs.learned_s("s", "r", 1.0 + MAX_AGE_S + 1) is None
    costs.remove_old(1.0 + MAX_AGE_S + 1)
    assert not costs.costs


def test_the_initial_cost_is_bounded():
    assert initial_cost_s(0.6) == pytest.approx(0.2)
    assert [initial_cost_s(value) for value in (0.0, -1.0, inf, nan)] == [0.2] * 4
