"""Estimates of targets: load, work time and failures, as seen by senders."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from math import inf
from time import monotonic

from peridot_gateway.dialect import LoadHint
from peridot_resources.configuration import Route

# Weight of a new sample in moving averages.
WORK_WEIGHT = 0.15
FAILURE_WEIGHT = 0.15
# A failure rate has half faded after this time, so that a target is tried again.
FAILURE_HALF_LIFE_S = 3.0
# Work time of a target before any was seen, as a share of the latency objective.
WORK_PER_OBJECTIVE = 1 / 3
# Work time (s) where no objective is known either.
FIRST_WORK_S = 0.2
# A single sample counts as no less and no more than these multiples of the estimate,
# so that a few requests of another kind don't spoil it.
MIN_SAMPLE = 0.4
MAX_SAMPLE = 4.0
# What others have in flight counts until it is this old (s).
FLEET_LIFE_S = 2.0
# A target that refuses with at least so many requests per slot in flight is full.
FULL_PER_SLOT = 2
# Its limit grows by this for each answer, so that it is found anew.
LIMIT_GROWTH = 0.1
# Targets that refused or didn't accept a connection are passed over this long.
AVOID_S = 0.5
# An address that another target answered at is tried again after this time: the
# answer may have been garbled.
GONE_S = 1.5


@dataclass
class TargetEstimate:
    """Hold what is known of one target."""

    in_flight: int = 0
    # Requests of other VMs in flight, and when that was learnt (s).
    others_in_flight: int = 0
    others_at: float = float("-inf")
    work_s: float = FIRST_WORK_S
    measured: bool = False
    failure_rate: float = 0.0
    failure_at: float = 0.0
    avoid_until: float = 0.0
    # Since when (s) another target answers at the address, and until when that counts.
    gone_since: float = 0.0
    gone_until: float = 0.0
    # Requests in flight from all VMs that it takes, as far as learnt.
    limit: float = inf
    # When it last answered anything (s).
    answered_at: float = float("-inf")
    # Since the last report to the placer; work times without waits.
    finished: int = 0
    failed: int = 0
    busy_ms: float = 0.0
    busy_count: int = 0

    def total_in_flight(self, now: float) -> int:
        """Return the requests in flight from all VMs, as far as known."""
        fresh = now - self.others_at < FLEET_LIFE_S
        return self.in_flight + (self.others_in_flight if fresh else 0)

    def failing(self, now: float) -> float:
        """Return the share of attempts that fail, fading with time."""
        age_s = now - self.failure_at
        return self.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def note_answer(
        self, took_s: float, ahead: int, hint: LoadHint | None, now: float
    ) -> None:
        """Take in an answer and the work time that it tells, without its wait.

        The wait is reckoned from the requests that were ahead of it when it was sent
        and those that wait behind it now, whichever are fewer.
        """
        self.finished += 1
        self.answered_at = now
        self.limit += LIMIT_GROWTH
        self._note_result(0.0, now)
        if hint is not None:
            waiting = min(hint.waiting, max(0, ahead - hint.slots))
            took_s /= 1 + waiting / max(1, hint.slots)
        sample_s = min(max(took_s, MIN_SAMPLE * self.work_s), MAX_SAMPLE * self.work_s)
        self.work_s += WORK_WEIGHT * (sample_s - self.work_s)
        self.measured = True
        self.busy_ms += sample_s * 1000
        self.busy_count += 1

    def note_failure(self, now: float) -> None:
        """Take in an attempt that brought no usable answer."""
        self.failed += 1
        self._note_result(1.0, now)

    def note_refusal(self, slots: int, now: float) -> bool:
        """Learn how many requests the target takes; tell if it has a long queue."""
        taken = self.total_in_flight(now) - 1
        full = taken >= FULL_PER_SLOT * slots
        if full:
            self.limit = min(self.limit, taken)
        return full

    def is_full(self, now: float) -> bool:
        """Tell whether the target is expected to refuse one more request."""
        return self.total_in_flight(now) >= self.limit

    def _note_result(self, failed: float, now: float) -> None:
        rate = self.failing(now)
        self.failure_rate = rate + FAILURE_WEIGHT * (failed - rate)
        self.failure_at = now

    def expected_wait_s(self, slots: int, now: float) -> float:
        """Return how long a new request would wait for a slot."""
        ahead = self.total_in_flight(now) - slots + 1
        return max(0, ahead) * self.work_s / slots

    def expected_s(self, slots: int, now: float) -> float:
        """Return when a new request would be answered."""
        return self.expected_wait_s(slots, now) + self.work_s


@dataclass
class Estimates:
    """Hold the estimates of all targets."""

    targets: dict[str, TargetEstimate] = field(default_factory=dict)

    def of(self, target: str) -> TargetEstimate:
        """Return the estimate of a target."""
        found = self.targets.get(target)
        if found is None:
            found = self.targets[target] = TargetEstimate()
        return found

    @contextmanager
    def attempt(self, target: str, route: Route) -> Iterator[TargetEstimate]:
        """Count a request as in flight at a target while the context lasts."""
        estimate = self.of(target)
        if not estimate.measured:
            estimate.work_s = WORK_PER_OBJECTIVE * route.latency_objective_s
        estimate.in_flight += 1
        try:
            yield estimate
        finally:
            estimate.in_flight -= 1

    def take_others(self, in_flight: Mapping[str, int]) -> None:
        """Take in what all other VMs have in flight, by target."""
        now = monotonic()
        for name in self.targets.keys() | in_flight.keys():
            estimate = self.of(name)
            estimate.others_in_flight = in_flight.get(name, 0)
            estimate.others_at = now

    def note_gone(self, target: str) -> None:
        """Take in that another target answers at the address of one."""
        now = monotonic()
        found = self.of(target)
        if found.gone_until <= now - GONE_S:
            found.gone_since = now
        found.gone_until = now + GONE_S

    def gone_s(self, target: str) -> float | None:
        """Return for how long a target has been gone (s), None if it isn't."""
        found = self.of(target)
        now = monotonic()
        return now - found.gone_since if now < found.gone_until else None

    def avoid(self, target: str) -> None:
        """Pass over a target for a moment."""
        self.of(target).avoid_until = monotonic() + AVOID_S

    def forget_all_but(self, names: set[str]) -> None:
        """Drop targets that are gone and idle."""
        for name in set(self.targets) - names:
            if not self.targets[name].in_flight:
                del self.targets[name]
