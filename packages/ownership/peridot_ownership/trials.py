"""Trials of targets that failed and lost their keys (gateway mode).

Only grants show whether a target answers, and a target without keys gets none. It is
tried again with a small range; once it accepts the range, it is usable like any other.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from peridot_ownership.loads import LoadProfile
from peridot_ownership.planner import RangeMove
from peridot_ownership.ranges import KeyRange, RangeTable

# Time (s) from the last failed grant to the first trial. It doubles with each further
# one: at a silent target the range of a trial has no owner for about 3 s.
MIN_TRIAL_DELAY_S = 1.0
MAX_TRIAL_DELAY_S = 8.0
# A target that has been sound for this long (s) gets its first trial early again.
FORGET_AFTER_S = 30.0
# Number of keys of a trial.
TRIAL_KEYS = 16
# Targets of a service that are tried at once: this number, or one for so many targets
# if that is more. Otherwise a fleet that failed at once would take long to recover.
MIN_TRIAL_LIMIT = 2
TARGETS_PER_TRIAL = 8


@dataclass
class FailureHistory:
    """The failed grants and the trials of one target; times are in s, boot clock."""

    last_failed_at: float = float("-inf")
    regained_at: float = float("-inf")
    # Trials since the target was last sound for FORGET_AFTER_S.
    trials: int = 0

    def record_failure(self, now: float, is_first: bool) -> None:
        """Record a failed grant, which may be the first one after a success."""
        if is_first and now - self.regained_at >= FORGET_AFTER_S:
            self.trials = 0
        self.last_failed_at = now

    def is_due(self, now: float) -> bool:
        """Return whether enough time has passed since the last failed grant."""
        # Without the bound of the exponent, the power overflows after 1,024 trials.
        delay_s = MIN_TRIAL_DELAY_S * 2 ** min(self.trials, 10)
        return now - self.last_failed_at >= min(delay_s, MAX_TRIAL_DELAY_S)


@dataclass(frozen=True)
class TrialInput:
    """What the trials of one service are chosen from."""

    table: RangeTable
    profile: LoadProfile
    # Targets that are usable as owners.
    usable: Collection[str]
    # Targets that failed and are neither leaving nor certainly gone.
    failing: dict[str, FailureHistory]
    # Keys that are moving, and the targets that they move to.
    moving: Collection[KeyRange]
    destinations: Collection[str]


def plan_trials(plan: TrialInput, now: float) -> list[RangeMove]:
    """Return the trials to start now (s): small ranges to move to failing targets."""
    owners = {item.owner for item in plan.table.ranges}
    # Those that have keys are renewed, which shows that they answer again.
    due = [
        name
        for name, history in plan.failing.items()
        if name not in owners and name not in plan.destinations and history.is_due(now)
    ]
    due.sort(key=lambda name: plan.failing[name].last_failed_at)
    targets = len(plan.usable) + len(plan.failing)
    tried = len(plan.failing.keys() & set(plan.destinations))
    limit = max(MIN_TRIAL_LIMIT, targets // TARGETS_PER_TRIAL) - tried
    chosen = due[: max(0, limit)]
    ranges = _find_ranges(plan) if chosen else iter(())
    return [
        RangeMove(keys, owner, name, "trial")
        for name, (owner, keys) in zip(chosen, ranges, strict=False)
    ]


def _find_ranges(plan: TrialInput) -> Iterator[tuple[str | None, KeyRange]]:
    """Yield owners and separate ranges for trials.

    Keys without a usable owner come first, then those with the least load.
    """
    # Sorted once for all trials: a service may have thousands of ranges.
    heap = [
        _rank(plan, item.owner, part, index)
        for index, item in enumerate(plan.table.ranges)
        for part in item.keys.minus(plan.moving)
    ]
    heapify(heap)
    while heap:
        *_, index, keys, part = heappop(heap)
        owner = plan.table.ranges[index].owner
        yield owner, keys
        for rest in part.minus([keys]):
            heappush(heap, _rank(plan, owner, rest, index))


def _rank(
    plan: TrialInput, owner: str | None, part: KeyRange, index: int
) -> tuple[bool, float, int, int, KeyRange, KeyRange]:
    """Return the order of the better end of a part of a range, and both."""
    keys = min(_ends(part), key=plan.profile.load)
    load = plan.profile.load(keys)
    return owner in plan.usable, load, keys.start, index, keys, part


def _ends(keys: KeyRange) -> Iterator[KeyRange]:
    """Yield the first and the last keys of a range, as many as a trial has."""
    width = min(TRIAL_KEYS, keys.end - keys.start)
    yield KeyRange(keys.start, keys.start + width)
    yield KeyRange(keys.end - width, keys.end)
