"""Tests of trials: which targets that failed get a small range, and when."""

from itertools import pairwise

import pytest

from peridot_ownership.loads import KeyLoads
from peridot_ownership.ranges import KeyRange, OwnedRange, RangeTable
from peridot_ownership.trials import (
    FORGET_AFTER_S,
    MAX_TRIAL_DELAY_S,
    MIN_TRIAL_DELAY_S,
    TARGETS_PER_TRIAL,
    TRIAL_KEYS,
    FailureHistory,
    TrialInput,
    plan_trials,
)


@pytest.fixture
def table():
    table = RangeTable()
    table.assign(KeyRange(0, 30_000), "a", 1)
    table.assign(KeyRange(30_000, 65_536), "b", 2)
    return table


def make_input(table, usable, failing, moving=(), destinations=(), counts=()):
    loads = KeyLoads()
    loads.add(counts, 0.0)
    histories = {name: FailureHistory(last_failed_at=0.0) for name in failing}
    profile = loads.profile(0.0)
    return TrialInput(table, profile, usable, histories, moving, destinations)


def test_a_trial_takes_few_keys_with_the_least_load(table):
    counts = [(0, 9), (29_999, 9), (30_000, 9)]
    plan = make_input(table, "ab", "c", counts=counts)
    assert plan_trials(plan, MIN_TRIAL_DELAY_S / 2) == []
    (move,) = plan_trials(plan, MIN_TRIAL_DELAY_S)
    assert move.keys == KeyRange(65_536 - TRIAL_KEYS, 65_536)
    assert (move.source, move.destination) == ("b", "c")


# Guards against a service without an owner when its last usable target fails too.
def test_keys_without_a_usable_owner_are_tried_first(table):
    counts = [(0, 9), (29_999, 9)]
    (move,) = plan_trials(make_input(table, "b", "ac", counts=counts), 9.0)
    assert (move.source, move.destination) == ("a", "c")
    moves = plan_trials(make_input(table, "", "abcd"), 9.0)
    assert {move.destination for move in moves} == {"c", "d"}


# Guards against many keys without an owner while all targets of a zone are cut off.
def test_a_bounded_number_of_targets_is_tried_at_once(table):
    failing = "cdefgh"
    moves = plan_trials(make_input(table, "ab", failing), 9.0)
    assert len(moves) == 2
    assert not moves[0].keys.overlaps(moves[1].keys)
    plan = make_input(table, "ab", failing, [moves[0].keys], ["c"])
    (move,) = plan_trials(plan, 9.0)
    assert move.destination != "c" and not move.keys.overlaps(moves[0].keys)
    names = [f"t{number}" for number in range(62)]
    assert len(plan_trials(make_input(table, "ab", names), 9.0)) == 8


# Guards against a placer that stands still when a whole service of thousands of targets
# failed at once.
def test_each_range_is_looked_at_once_for_all_trials():
    class CountingProfile:
        loads = 0

        def load(self, keys):
            self.loads += 1
            return 1.0

    table = RangeTable()
    width, count = 128, 512
    table.ranges = [
        OwnedRange(KeyRange(n * width, (n + 1) * width), f"t{n}", n)
        for n in range(count)
    ]
    failing = {f"u{n}": FailureHistory(last_failed_at=0.0) for n in range(count)}
    profile = CountingProfile()
    moves = plan_trials(TrialInput(table, profile, (), failing, (), ()), 9.0)
    assert len(moves) == count // TARGETS_PER_TRIAL
    starts = sorted(move.keys.start for move in moves)
    assert all(b - a >= TRIAL_KEYS for a, b in pairwise(starts))
    assert profile.loads < 5 * count


def test_trials_become_rare_while_a_target_fails_again():
    history = FailureHistory()
    delays = []
    for _ in range(2_000):
        history.record_failure(0.0, is_first=False)
        delays.append(next(s / 2 for s in range(99) if history.is_due(s / 2)))
        history.trials += 1
    assert delays[:4] == [MIN_TRIAL_DELAY_S * 2**n for n in range(4)]
    assert set(delays[4:]) == {MAX_TRIAL_DELAY_S}
    # Evidence ages, but not while the target fails again soon after each trial.
    history.regained_at = 100.0
    history.record_failure(100.0 + FORGET_AFTER_S / 2, is_first=True)
    assert history.trials == 2_000
    history.record_failure(100.0 + FORGET_AFTER_S, is_first=True)
    assert history.trials == 0
