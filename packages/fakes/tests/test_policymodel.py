"""Tests that compare the product's policies with simpler ones in a simulation."""

import pytest

from peridot_fakes.policymodel import POLICIES, PolicyModel, Scenario
from peridot_ownership import planner

EVEN, _, BY_LOAD, BY_LOAD_REFUSING, BY_OBJECTIVE = POLICIES


# Many targets that each see some seven requests a second.
SPARSE = {"targets": 94, "slots": 6, "processing_s": 0.45, "deadline_s": 2.5}


def run_model(policy, rate: float, seed: int = 3, **changes):
    scenario = Scenario(rate=rate, seconds=30.0, **changes)
    return PolicyModel(scenario, policy, seed).play()


def test_a_run_is_reproducible_and_accounts_for_each_request():
    first, second = (run_model(BY_LOAD_REFUSING, 150.0) for _ in range(2))
    assert first == second
    assert first.counts.total() == first.total.total()


def test_placement_by_load_serves_more_of_a_moving_hot_set_in_time():
    """The load: 200 adjacent hot keys, replaced by 200 others every 6 s."""
    by_load, even = run_model(BY_LOAD, 150.0), run_model(EVEN, 150.0)
    assert by_load.share("in time") > even.share("in time") + 0.1


def test_early_refusals_serve_no_less_beyond_the_capacity():
    """The load: one hot key with several times the requests that its owner can run."""
    changes = {"hot_keys": 1, "hot_period_s": 100.0}
    refusing = run_model(BY_LOAD_REFUSING, 150.0, **changes)
    queueing = run_model(BY_LOAD, 150.0, **changes)
    served = refusing.counts["in time"] + refusing.counts["late"]
    assert served >= queueing.counts["in time"] + queueing.counts["late"]
    assert refusing.share("expired") < queueing.share("expired")


def test_refusing_by_the_objective_serves_more_in_time_in_a_lasting_overload():
    """The load: all targets get slightly more requests than they can run.

    The product refuses by the deadline; this shows what it gives up by that.
    """
    by_deadline, by_objective = (
        run_model(policy, 290.0) for policy in (BY_LOAD_REFUSING, BY_OBJECTIVE)
    )
    assert by_objective.share("in time") > 2 * by_deadline.share("in time")


def run_sparse(hot_share: float, seed: int = 3):
    scenario = Scenario(
        rate=660.0, seconds=12.0, objective_s=1.2, hot_share=hot_share, **SPARSE
    )
    return PolicyModel(scenario, BY_LOAD_REFUSING, seed).play()


def test_chance_in_sparse_requests_moves_few_keys(monkeypatch: pytest.MonkeyPatch):
    """The load: all keys alike, 94 targets with seven requests a second each.

    Each move makes requests wait, so moves that follow chance cost without a gain.
    """
    new = run_sparse(0.0)
    monkeypatch.setattr(planner, "HOT_DEVIATIONS", 0.0)
    monkeypatch.setattr(planner, "IDLE_DEVIATIONS", 0.0)
    replaced = run_sparse(0.0)
    assert new.moves < replaced.moves / 2
    assert new.share("in time") >= replaced.share("in time")


def test_a_busy_set_of_keys_is_spread_over_all_that_it_needs(
    monkeypatch: pytest.MonkeyPatch,
):
    """The load: 200 adjacent keys with a third of the requests, the work of 16 targets.

    Halving the load between two targets at a time leaves them all overloaded.
    """
    new = run_sparse(0.31)

    def equalise(loads, source: str, destination: str) -> float:
        a, b = loads.capacities[source], loads.capacities[destination]
        return (loads.rates[source] * b - loads.rates[destination] * a) / (a + b)

    monkeypatch.setattr(planner, "_desired_rate", equalise)
    replaced = run_sparse(0.31)
    assert new.share("in time") > replaced.share("in time") + 0.03
