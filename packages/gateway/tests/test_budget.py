"""Repeats stay within the share of all VMs in any window."""

import random

from hypothesis import given, settings, strategies as st

from peridot_gateway.budget import BudgetTerms, RepeatBudget

TERMS = BudgetTerms(ratio=0.2, minimum=60.0, window_s=10.0)
VMS = 10


class Clock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 1_000_000))
def test_no_window_exceeds_the_bound_in_a_storm_of_repeats(seed):
    """Answers the pattern of targets that refuse half of what they get."""
    rng = random.Random(seed)
    clock = Clock()
    budgets = [RepeatBudget(TERMS, lambda: VMS, clock) for _ in range(VMS)]
    requests, repeats = [], []
    for _ in range(3_000):
        clock.now += rng.expovariate(100)
        budget = rng.choice(budgets)
        budget.note_request()
        requests.append(clock.now)
        while rng.random() < 0.6:
            if budget.take():
                repeats.append(clock.now)
    for end in range(100, int(clock.now) + 1):
        begin = end - TERMS.window_s
        asked = sum(begin < at <= end for at in requests)
        again = sum(begin < at <= end for at in repeats)
        assert again <= TERMS.ratio * asked + TERMS.minimum


def test_a_quiet_vm_may_still_repeat():
    clock = Clock()
    budget = RepeatBudget(TERMS, lambda: VMS, clock)
    budget.note_request()
    assert budget.take()


def test_the_allowance_comes_back_after_a_window():
    clock = Clock()
    budget = RepeatBudget(TERMS, lambda: VMS, clock)
    while budget.take():
        pass
    clock.now += TERMS.window_s + 1
    assert budget.take()
