"""Estimates of each target's load, processing time and failures, by this VM."""

from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field
from math import inf
from time import monotonic

from peridot_gateway.dialect import ReportedLoad
from peridot_resources.configuration import Route
from peridot_scheduling.costs import Costs, initial_cost_s
from peridot_scheduling.selection import expected_wait_s
from peridot_scheduling.speeds import Speeds, TargetSpeed

# Weight of a new sample in the moving averages.
PROCESSING_TIME_WEIGHT = 0.15
FAILURE_WEIGHT = 0.15
# Half-life of the failure rate, so that a failed target is tried again.
FAILURE_HALF_LIFE_S = 3.0
# Initial processing time (s) without a latency objective.
DEFAULT_PROCESSING_S = 0.2
# Samples are clamped to these multiples of the estimate, so that a few untypical
# requests don't distort it.
MIN_SAMPLE_FACTOR = 0.4
MAX_SAMPLE_FACTOR = 4.0
# A request's work is its processing time times the target's speed to this power.
# With 1, errors of costs and speeds, which are learned from each other, would add up.
SPEED_SHARE = 0.5
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


def remove_wait(
    duration_s: float, ahead: int, reported_load: ReportedLoad | None
) -> float:
    """Return a response's processing time (s), without the wait for a slot.

    The wait is estimated from the requests that were ahead when the request was sent,
    or from those that wait at the target now, whichever are fewer.
    """
    if reported_load is None:
        return duration_s
    waiting = min(reported_load.waiting, max(0, ahead - reported_load.slots))
    return duration_s / (1 + waiting / max(1, reported_load.slots))


@dataclass
class TargetEstimate:
    """Load, processing time and failures of one target, as estimated by this VM."""

    in_flight: int = 0
    # Requests in flight from other VMs, and when they were reported (s).
    others_in_flight: int = 0
    # Requests in flight from all VMs by the same report.
    fleet_in_flight: int = 0
    others_updated_at: float = float("-inf")
    # Expected work of the requests in flight (s), of this VM and of the others; None if
    # they don't report it.
    in_flight_work_s: float = 0.0
    others_work_s: float | None = None
    speed: TargetSpeed = field(default_factory=TargetSpeed)
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

    def scale_others_work(self, previous: int) -> None:
        """Adapt other VMs' work to a change of their requests, until it is reported."""
        if previous > 0 and self.others_work_s is not None:
            self.others_work_s *= self.others_in_flight / previous
        else:
            self.others_work_s = None

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
        """Record a response and its processing time, without the wait for a slot."""
        self.finished += 1
        self.last_response_at = now
        self.concurrency_limit += LIMIT_GROWTH
        self._record_result(0.0, now)
        duration_s = remove_wait(duration_s, ahead, reported_load)
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
        total = self.total_in_flight(now)
        if total < slots:
            return 0.0
        if not self.speed.samples:
            return expected_wait_s(total * self.processing_s, total, slots, 1.0)
        speed = self.speed.current(now)
        return expected_wait_s(self.total_work_s(now), total, slots, speed)

    def work_ahead_s(self, slots: int, now: float) -> float:
        """Return the work per slot that a new request waits for (s)."""
        total = self.total_in_flight(now)
        if total < slots:
            return 0.0
        return expected_wait_s(self.total_work_s(now), total, slots, 1.0)

    def expected_processing_s(self, cost_s: float | None, now: float) -> float:
        """Return the processing time (s) of a request with a cost (s), if known."""
        if cost_s is None:
            return self.processing_s
        if self.speed.samples:
            return cost_s / self.speed.current(now)
        return self.processing_s if self.measured else cost_s

    def expected_latency_s(
        self, slots: int, now: float, cost_s: float | None = None
    ) -> float:
        """Return the expected latency of a new request (s)."""
        processing_s = self.expected_processing_s(cost_s, now)
        return self.expected_wait_s(slots, now) + processing_s

    def total_work_s(self, now: float) -> float:
        """Return the expected work in flight from all VMs (s)."""
        others = self.total_in_flight(now) - self.in_flight
        if not others:
            return self.in_flight_work_s
        others_work_s = self.others_work_s
        if others_work_s is None:
            others_work_s = others * self.processing_s * self.speed.current(now)
        return self.in_flight_work_s + others_work_s


@dataclass
class Estimates:
    """The estimates of all targets."""

    targets: dict[str, TargetEstimate] = field(default_factory=dict)
    costs: Costs = field(default_factory=Costs)
    speeds: Speeds = field(default_factory=Speeds)
    # Expected work of requests by service and key since the last report (s).
    key_work: dict[str, Counter[int]] = field(default_factory=dict)
    # When the requests in flight from all VMs were last set (s).
    shared_at: float = float("-inf")
    clock: Callable[[], float] = monotonic

    def get(self, target: str) -> TargetEstimate:
        """Return the estimate of a target, a new one if there is none."""
        estimate = self.targets.get(target)
        if estimate is None:
            estimate = TargetEstimate(speed=self.speeds.get(target))
            self.targets[target] = estimate
        return estimate

    @contextmanager
    def track_attempt(
        self, target: str, route: Route, service: str = ""
    ) -> Iterator[TargetEstimate]:
        """Count a request as in flight at a target while the context lasts."""
        estimate = self.get(target)
        initial_s = initial_cost_s(route.latency_objective_s)
        if not estimate.measured:
            estimate.processing_s = initial_s
        work_s = self.cost_s(service, route) or initial_s
        estimate.in_flight += 1
        estimate.in_flight_work_s += work_s
        try:
            yield estimate
        finally:
            estimate.in_flight -= 1
            estimate.in_flight_work_s -= work_s
            if not estimate.in_flight:
                estimate.in_flight_work_s = 0.0

    def cost_s(self, service: str, route: Route) -> float | None:
        """Return the expected work of a request (s), None if it isn't learned yet."""
        return self.costs.learned_s(service, route.name, self.clock())

    def record_work(
        self,
        target: str,
        service: str,
        route: Route,
        duration_s: float,
        ahead_s: float,
        load: ReportedLoad | None = None,
        only_target: bool = False,
    ) -> bool:
        """Learn from a response after a time (s), with work (s) per slot ahead of it.

        A target that is the only one for its requests counts also while they wait.
        Returns whether the target's figure of its slowdown is usable.
        """
        now = self.clock()
        usable = True
        if load is not None and load.slowdown is not None:
            usable = self.speeds.record_hint(target, load.slowdown, now)
        speed = (self.speeds.current(target, now) or 1.0) ** SPEED_SHARE
        cost_s = self.cost_s(service, route)
        initial_s = initial_cost_s(route.latency_objective_s)
        queued = ahead_s > 0 or (load is not None and load.waiting > 0)
        # Until the cost is learned, a speed would only be the error of its first guess.
        # The wait of a request is only known from figures a quarter of a second old.
        if cost_s is not None and (only_target or not queued):
            self.speeds.record(target, ahead_s + cost_s, duration_s, now)
        if cost_s is None or not queued:
            share = initial_s / (ahead_s + initial_s)
            work_s = duration_s * share * speed
            self.costs.record(service, route.name, initial_s, work_s, now)
        return usable

    def record_silence(
        self, target: str, service: str, route: Route, silent_s: float, ahead_s: float
    ) -> None:
        """Learn from a request without a response after a time (s).

        The target is at most as fast as if it had finished now. A faster target learns
        nothing of its speed this way.
        """
        now = self.clock()
        cost_s = self.cost_s(service, route)
        speed = self.speeds.current(target, now) or 1.0
        if cost_s is not None and ahead_s + cost_s < silent_s * speed:
            self.speeds.record(target, ahead_s + cost_s, silent_s, now)

    def count_key(self, service: str, route: Route, key: int) -> None:
        """Add a request's expected work to its key's, for the placer."""
        cost_s = self.cost_s(service, route)
        if cost_s is None and service not in self.key_work:
            return
        work_s = cost_s or initial_cost_s(route.latency_objective_s)
        self.key_work.setdefault(service, Counter())[key] += work_s

    def pop_key_work(self) -> dict[str, Counter[int]]:
        """Return the expected work (s) by service and key since the last call."""
        work, self.key_work = self.key_work, {}
        return work

    def set_shared(
        self,
        work_s: Mapping[str, float],
        speeds: Mapping[str, float],
        costs: Mapping[tuple[str, str], float],
    ) -> int:
        """Take over the fleet's figures; return how many aren't usable.

        Work in flight (s) and speeds are by target, costs (s) by service and route.
        Call it after set_in_flight: other VMs' part of the work is by their requests'
        share.
        """
        now = self.clock()
        dropped = 0
        for name, total_s in work_s.items():
            estimate = self.get(name)
            others, total = estimate.others_in_flight, estimate.fleet_in_flight
            estimate.others_work_s = total_s * others / total if total else 0.0
            if others and not total_s:
                estimate.others_work_s = None
        for name, speed in speeds.items():
            dropped += not self.speeds.set_shared(name, speed, now)
        for (service, route), cost_s in costs.items():
            dropped += not self.costs.set_shared(service, route, cost_s, now)
        return dropped

    def has_fleet_figures(self) -> bool:
        """Return whether the requests in flight from all VMs are known."""
        return self.clock() - self.shared_at < OTHERS_MAX_AGE_S

    def set_in_flight(self, totals: Mapping[str, int], own: Mapping[str, int]) -> None:
        """Set the requests in flight from all VMs, and this VM's part of them."""
        now = self.shared_at = self.clock()
        for name in self.targets.keys() | totals.keys():
            estimate = self.get(name)
            previous = estimate.others_in_flight
            estimate.fleet_in_flight = totals.get(name, 0)
            estimate.others_in_flight = totals.get(name, 0) - own.get(name, 0)
            estimate.scale_others_work(previous)
            estimate.others_updated_at = now

    def mark_gone(self, target: str) -> None:
        """Mark a target as gone: another one responds at its address."""
        now = self.clock()
        estimate = self.get(target)
        if estimate.gone_until <= now - GONE_DURATION_S:
            estimate.gone_since = now
        estimate.gone_until = now + GONE_DURATION_S

    def gone_for_s(self, target: str) -> float | None:
        """Return for how long a target has been gone (s), None if it isn't gone."""
        estimate = self.get(target)
        now = self.clock()
        return now - estimate.gone_since if now < estimate.gone_until else None

    def pause_remaining_s(self, target: str) -> float:
        """Return for how much longer a target wants no requests (s)."""
        return self.get(target).pause_remaining_s(self.clock())

    def count_paused(self) -> int:
        """Return how many targets want no requests now."""
        now = self.clock()
        return sum(item.pause_remaining_s(now) > 0 for item in self.targets.values())

    def avoid(self, target: str) -> None:
        """Avoid a target for AVOID_DURATION_S."""
        self.get(target).avoid_until = self.clock() + AVOID_DURATION_S

    def remove_all_except(self, names: set[str]) -> None:
        """Remove the estimates of idle targets that aren't named."""
        for name in set(self.targets) - names:
            if not self.targets[name].in_flight:
                del self.targets[name]
        self.speeds.remove_all_except(names | self.targets.keys())
        self.costs.remove_old(self.clock())
