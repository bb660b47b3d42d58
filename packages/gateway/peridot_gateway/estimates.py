"""Estimates of each target's load, processing time and failures, by this VM."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from math import inf
from time import monotonic

from peridot_gateway.dialect import ReportedLoad
from peridot_resources.configuration import Route

# Weight of a new sample in the moving averages.
PROCESSING_TIME_WEIGHT = 0.15
FAILURE_WEIGHT = 0.15
# Half-life of the failure rate, so that a failed target is tried again.
FAILURE_HALF_LIFE_S = 3.0
# Initial processing time of a target, as a share of the latency objective.
INITIAL_PROCESSING_SHARE = 1 / 3
# Initial processing time (s) without a latency objective.
DEFAULT_PROCESSING_S = 0.2
# Samples are clamped to these multiples of the estimate, so that a few untypical
# requests don't distort it.
MIN_SAMPLE_FACTOR = 0.4
MAX_SAMPLE_FACTOR = 4.0
# Reports of other VMs' requests in flight are ignored once they are this old.
OTHERS_MAX_AGE_S = 2.0
# A target that refuses with at least this many requests in flight per slot is full.
FULL_REQUESTS_PER_SLOT = 2
# A full target's limit grows by this with each response, to find the current one.
LIMIT_GROWTH = 0.1
# Targets that refused or didn't accept a connection are avoided for this time.
AVOID_DURATION_S = 0.5
# A target whose address another target responded at is tried again after this time:
# the response may have been garbled.
GONE_DURATION_S = 1.5
# Longest pause that a target can ask for.
MAX_PAUSE_S = 60.0
# After a pause, this VM uses a target's slots again one by one over this time.
PAUSE_RAMP_S = 1.0


@dataclass
class TargetEstimate:
    """Load, processing time and failures of one target, as estimated by this VM."""

    in_flight: int = 0
    # Requests in flight from other VMs, and when they were reported (s).
    others_in_flight: int = 0
    others_updated_at: float = float("-inf")
    processing_s: float = DEFAULT_PROCESSING_S
    measured: bool = False
    failure_rate: float = 0.0
    failure_at: float = 0.0
    avoid_until: float = 0.0
    # Since when (s) another target responds at the address, and until when the target
    # counts as gone.
    gone_since: float = 0.0
    gone_until: float = 0.0
    # Requests in flight from all VMs that the target accepts, learnt from refusals.
    concurrency_limit: float = inf
    # Until when (s) the target wants no requests from this VM.
    paused_until: float = float("-inf")
    # When the last response arrived (s).
    last_response_at: float = float("-inf")
    # Since the last report to the placer; processing times without waits.
    finished: int = 0
    failed: int = 0
    busy_ms: float = 0.0
    busy_count: int = 0

    def total_in_flight(self, now: float) -> int:
        """Return the known requests in flight from all VMs."""
        fresh = now - self.others_updated_at < OTHERS_MAX_AGE_S
        return self.in_flight + (self.others_in_flight if fresh else 0)

    def current_failure_rate(self, now: float) -> float:
        """Return the failure rate, decayed by the time since the last attempt."""
        age_s = now - self.failure_at
        return self.failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def record_response(
        self,
        duration_s: float,
        ahead: int,
        reported_load: ReportedLoad | None,
        now: float,
    ) -> None:
        """Record a response and its processing time, without the wait for a slot.

        The wait is estimated from the requests that were ahead when the request was
        sent, or from those that wait at the target now, whichever are fewer.
        """
        self.finished += 1
        self.last_response_at = now
        self.concurrency_limit += LIMIT_GROWTH
        self._record_result(0.0, now)
        if reported_load is not None:
            waiting = min(reported_load.waiting, max(0, ahead - reported_load.slots))
            duration_s /= 1 + waiting / max(1, reported_load.slots)
        sample_s = min(
            max(duration_s, MIN_SAMPLE_FACTOR * self.processing_s),
            MAX_SAMPLE_FACTOR * self.processing_s,
        )
        self.processing_s += PROCESSING_TIME_WEIGHT * (sample_s - self.processing_s)
        self.measured = True
        self.busy_ms += sample_s * 1000
        self.busy_count += 1

    def record_failure(self, now: float) -> None:
        """Record an attempt without a usable response."""
        self.failed += 1
        self._record_result(1.0, now)

    def record_refusal(self, slots: int, now: float) -> bool:
        """Learn the concurrency limit from a refusal; return whether it was reached."""
        accepted = self.total_in_flight(now) - 1
        at_limit = accepted >= FULL_REQUESTS_PER_SLOT * slots
        if at_limit:
            self.concurrency_limit = min(self.concurrency_limit, accepted)
        return at_limit

    def is_full(self, slots: int, now: float) -> bool:
        """Return whether the target is expected to refuse one more request."""
        return self.total_in_flight(
            now
        ) >= self.concurrency_limit or self.in_flight >= self._resume_limit(slots, now)

    def pause(self, duration_s: float, now: float) -> None:
        """Send no requests for a time (s)."""
        until = now + min(duration_s, MAX_PAUSE_S)
        self.paused_until = max(self.paused_until, until)

    def pause_remaining_s(self, now: float) -> float:
        """Return for how much longer no requests may be sent (s)."""
        return max(0.0, self.paused_until - now)

    def _resume_limit(self, slots: int, now: float) -> float:
        """Return how many requests of this VM may be in flight after a pause."""
        resumed_s = now - self.paused_until
        if resumed_s >= PAUSE_RAMP_S:
            return inf
        return max(1, int(slots * resumed_s / PAUSE_RAMP_S))

    def _record_result(self, failed: float, now: float) -> None:
        rate = self.current_failure_rate(now)
        self.failure_rate = rate + FAILURE_WEIGHT * (failed - rate)
        self.failure_at = now

    def expected_wait_s(self, slots: int, now: float) -> float:
        """Return how long a new request would wait for a slot (s)."""
        ahead = self.total_in_flight(now) - slots + 1
        return max(0, ahead) * self.processing_s / slots

    def expected_latency_s(self, slots: int, now: float) -> float:
        """Return the expected latency of a new request (s)."""
        return self.expected_wait_s(slots, now) + self.processing_s


@dataclass
class Estimates:
    """The estimates of all targets."""

    targets: dict[str, TargetEstimate] = field(default_factory=dict)

    def get(self, target: str) -> TargetEstimate:
        """Return the estimate of a target, a new one if there is none."""
        estimate = self.targets.get(target)
        if estimate is None:
            estimate = self.targets[target] = TargetEstimate()
        return estimate

    @contextmanager
    def track_attempt(self, target: str, route: Route) -> Iterator[TargetEstimate]:
        """Count a request as in flight at a target while the context lasts."""
        estimate = self.get(target)
        if not estimate.measured:
            estimate.processing_s = INITIAL_PROCESSING_SHARE * route.latency_objective_s
        estimate.in_flight += 1
        try:
            yield estimate
        finally:
            estimate.in_flight -= 1

    def set_in_flight(self, totals: Mapping[str, int], own: Mapping[str, int]) -> None:
        """Set the requests in flight from all VMs, and this VM's part of them."""
        now = monotonic()
        for name in self.targets.keys() | totals.keys():
            estimate = self.get(name)
            estimate.others_in_flight = totals.get(name, 0) - own.get(name, 0)
            estimate.others_updated_at = now

    def mark_gone(self, target: str) -> None:
        """Mark a target as gone: another one responds at its address."""
        now = monotonic()
        estimate = self.get(target)
        if estimate.gone_until <= now - GONE_DURATION_S:
            estimate.gone_since = now
        estimate.gone_until = now + GONE_DURATION_S

    def gone_for_s(self, target: str) -> float | None:
        """Return for how long a target has been gone (s), None if it isn't gone."""
        estimate = self.get(target)
        now = monotonic()
        return now - estimate.gone_since if now < estimate.gone_until else None

    def pause_remaining_s(self, target: str) -> float:
        """Return for how much longer a target wants no requests (s)."""
        return self.get(target).pause_remaining_s(monotonic())

    def count_paused(self) -> int:
        """Return how many targets want no requests now."""
        now = monotonic()
        return sum(item.pause_remaining_s(now) > 0 for item in self.targets.values())

    def avoid(self, target: str) -> None:
        """Avoid a target for AVOID_DURATION_S."""
        self.get(target).avoid_until = monotonic() + AVOID_DURATION_S

    def remove_all_except(self, names: set[str]) -> None:
        """Remove the estimates of idle targets that aren't named."""
        for name in set(self.targets) - names:
            if not self.targets[name].in_flight:
                del self.targets[name]
