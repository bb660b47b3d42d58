"""Work of the whole fleet: costs, speeds and work in flight, from the VMs' reports."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from math import isfinite

from peridot_daemon.metrics import GaugeCollector
from peridot_gateway.estimates import Estimates
from peridot_gateway.picker import Picker
from peridot_placement.decisions import DecisionLog
from peridot_scheduling.costs import MAX_WORK_S, Costs
from peridot_scheduling.speeds import Speeds
from peridot_wire import peridot_pb2 as pb

# Bounds of the work in flight at one target (s), of one VM and of all.
MAX_IN_FLIGHT_WORK_S = 3_600.0
# A key's requests count as at most so many mean requests each, and at least one in so
# many.
MAX_RELATIVE_WORK = 10.0
# The mean work of a service's requests halves its memory in this time (s).
MEAN_HALF_LIFE_S = 10.0
# A service needs this much work (s) in the mean before keys are weighed by it.
MIN_MEAN_COUNT = 20.0
# A target is logged as slow below this speed, as recovered from the other one on.
SLOW_SPEED = 0.4
RECOVERED_SPEED = 0.7
# Time between log lines on dropped figures (s).
DROPPED_LOG_S = 1.0
# The placer of more members than this sends them work, speeds and costs less often:
# most members are in other data centres. Counts of requests are sent each time.
MEMBERS_PER_PERIOD = 24
# Longest time between them (s); members use figures for 2 s.
MAX_PERIOD_S = 1.8


@dataclass
class MeanWork:
    """The mean work of a service's requests that were counted by key."""

    work_s: float = 0.0
    count: float = 0.0
    updated_at: float = 0.0

    def add(self, work_s: float, count: int, now: float) -> None:
        """Add the work (s) of a number of requests."""
        share = 0.5 ** (max(0.0, now - self.updated_at) / MEAN_HALF_LIFE_S)
        self.work_s = self.work_s * share + work_s
        self.count = self.count * share + count
        self.updated_at = now

    @property
    def mean_s(self) -> float | None:
        """Return the mean (s), None from too few requests."""
        return self.work_s / self.count if self.count >= MIN_MEAN_COUNT else None


@dataclass
class FleetWork:
    """Aggregate the work figures of all VMs' reports; drop those that can't be."""

    costs: Costs = field(default_factory=Costs)
    speeds: Speeds = field(default_factory=Speeds)
    # Expected work in flight by VM and target (s).
    in_flight_s: dict[str, dict[str, float]] = field(default_factory=dict)
    means: dict[str, MeanWork] = field(default_factory=dict)
    log: DecisionLog | None = None
    # Targets that were logged as slow.
    slow: set[str] = field(default_factory=set)
    dropped: int = 0
    logged_at: float = float("-inf")

    def record_report(self, report: pb.FleetReport, now: float) -> None:
        """Record one VM's work in flight, speeds and costs."""
        in_flight_s = {}
        for item in report.targets:
            work_s = item.in_flight_work_ms / 1000
            if not isfinite(work_s) or not 0 <= work_s <= MAX_IN_FLIGHT_WORK_S:
                self.drop(report.vm, "in_flight_work", item.target, work_s, now)
            elif work_s and item.in_flight:
                in_flight_s[item.target] = work_s
            if item.speed_count:
                speed = item.speed_permille / 1000
                if not self.speeds.merge_report(
                    item.target, speed, item.speed_count, now
                ):
                    self.drop(report.vm, "speed", item.target, speed, now)
        self.in_flight_s[report.vm] = in_flight_s
        for item in report.routes:
            if item.work_count and not self.costs.merge_report(
                item.service, item.route, item.work_ms / 1000, item.work_count, now
            ):
                self.drop(report.vm, "cost", item.route, item.work_ms, now)

    def weigh_keys(self, counts: pb.KeyCounts, vm: str, now: float) -> list[float]:
        """Return the requests by key as numbers of requests with mean work."""
        if len(counts.work_ms) != len(counts.counts):
            return [float(count) for count in counts.counts]
        mean = self.means.setdefault(counts.service, MeanWork())
        before_s = mean.mean_s
        weights = []
        for key, count, work_ms in zip(
            counts.keys, counts.counts, counts.work_ms, strict=True
        ):
            work_s = work_ms / 1000
            if not 0 < work_s <= MAX_WORK_S * count:
                self.drop(vm, "key_work", key, work_s, now)
                weights.append(float(count))
                continue
            if before_s is not None:
                low, high = before_s / MAX_RELATIVE_WORK, before_s * MAX_RELATIVE_WORK
                work_s = min(max(work_s, low * count), high * count)
            mean.add(work_s, count, now)
            weights.append(work_s / before_s if before_s else float(count))
        return weights

    def processing_s(self, service: str, target: str, now: float) -> float | None:
        """Return the time of a request with mean work (s) at a target, if known."""
        mean = self.means.get(service)
        speed = self.speeds.current(target, now)
        if mean is None or mean.mean_s is None or speed is None:
            return None
        return mean.mean_s / speed

    def centre(
        self, targets_by_service: Iterable[tuple[str, list[str]]], now: float
    ) -> None:
        """Keep the mean speed of each service's targets near 1; forget others."""
        present: set[str] = set()
        for service, names in targets_by_service:
            present.update(names)
            self.speeds.centre(service, names, now)
            for name in names:
                self._log_speed(service, name, now)
        self.speeds.remove_all_except(present)
        self.slow &= present
        self.costs.remove_old(now)

    def _log_speed(self, service: str, target: str, now: float) -> None:
        """Log that a target turned slow or recovered."""
        speed = self.speeds.current(target, now)
        if speed is None or target in self.slow and speed < RECOVERED_SPEED:
            return
        if target not in self.slow and speed >= SLOW_SPEED:
            return
        event = "target_recovered" if target in self.slow else "target_slow"
        self.slow ^= {target}
        if self.log is not None:
            self.log.write(event, target=target, service=service, speed=round(speed, 2))

    def totals_s(self) -> Counter[str]:
        """Return the work in flight from all VMs by target (s)."""
        totals: Counter[str] = Counter()
        for by_target in self.in_flight_s.values():
            totals.update(by_target)
        return totals

    def remove_vm(self, vm: str) -> None:
        """Drop the work in flight of a VM that left."""
        self.in_flight_s.pop(vm, None)

    def learned_costs(self, now: float) -> Iterator[tuple[str, str, float]]:
        """Yield service, route and cost (s) of the routes whose cost is learned."""
        for service, route in self.costs.costs:
            cost_s = self.costs.learned_s(service, route, now)
            if cost_s is not None:
                yield service, route, cost_s

    def drop(
        self, vm: str, figure: str, name: object, value: float, now: float
    ) -> None:
        """Count and log a figure of a VM that can't be true."""
        self.dropped += 1
        if self.log is not None and now >= self.logged_at + DROPPED_LOG_S:
            self.logged_at = now
            self.log.write(
                "figure_dropped",
                figure=figure,
                vm=vm,
                name=name,
                value=value,
                dropped=self.dropped,
            )


@dataclass
class WorkState:
    """The fleet's work figures for its members, in the order of target names."""

    work_ms: list[int] = field(default_factory=list)
    speeds_permille: list[int] = field(default_factory=list)
    routes: list[pb.RouteState] = field(default_factory=list)

    def update(self, work: FleetWork, names: Iterable[str], now: float) -> None:
        """Take the present figures."""
        names = list(names)
        totals = work.totals_s()
        speeds = [work.speeds.current(name, now) for name in names]
        self.work_ms = [
            round(1000 * min(totals[name], MAX_IN_FLIGHT_WORK_S)) for name in names
        ]
        # 0 stands for a target without samples.
        self.speeds_permille = [round(1000 * (speed or 0.0)) for speed in speeds]
        self.routes = [
            pb.RouteState(
                service=service, route=route, cost_ms=max(1, round(1000 * cost_s))
            )
            for service, route, cost_s in work.learned_costs(now)
        ]

    def add_to(self, state: pb.FleetState) -> None:
        """Add the figures to a state."""
        state.in_flight_work_ms.extend(self.work_ms)
        state.speeds_permille.extend(self.speeds_permille)
        state.routes.extend(self.routes)


def state_period_s(members: int, period_s: float) -> float:
    """Return how often members get the work in flight (s).

    With thousands of VMs the figures of each target would fill the placer's link.
    """
    return min(MAX_PERIOD_S, period_s * max(1.0, members / MEMBERS_PER_PERIOD))


def apply_work_state(
    estimates: Estimates, names: list[str], state: pb.FleetState
) -> int:
    """Apply the figures of a state; return how many were dropped."""
    work_s, speeds, costs = {}, {}, {}
    if len(state.in_flight_work_ms) == len(names):
        work_s = {
            name: work_ms / 1000
            for name, work_ms in zip(names, state.in_flight_work_ms, strict=True)
            if work_ms / 1000 <= MAX_IN_FLIGHT_WORK_S
        }
    if len(state.speeds_permille) == len(names):
        speeds = {
            name: speed / 1000
            for name, speed in zip(names, state.speeds_permille, strict=True)
            if speed
        }
    for item in state.routes:
        if item.cost_ms:
            costs[item.service, item.route] = item.cost_ms / 1000
    return estimates.set_shared(work_s, speeds, costs)


def add_work_report(report: pb.FleetReport, estimates: Estimates) -> None:
    """Add this VM's figures since the last report to a report."""
    for item in report.targets:
        estimate = estimates.targets.get(item.target)
        if estimate is None or item.leaving:
            continue
        item.in_flight_work_ms = 1000 * estimate.in_flight_work_s
        speed, count = estimates.speeds.pop_report(item.target)
        item.speed_count = count
        item.speed_permille = round(1000 * speed) if count else 0
    for service, route, work_s, count in estimates.costs.pop_reports():
        report.routes.add(
            service=service, route=route, work_ms=1000 * work_s, work_count=count
        )


def add_work_gauges(
    gauges: GaugeCollector, estimates: Estimates, work: FleetWork, picker: Picker
) -> None:
    """Add the gauges of costs, speeds and work in flight."""
    gauges.add(
        "work_in_flight_seconds",
        "Expected work of this VM's requests in flight.",
        lambda: sum(item.in_flight_work_s for item in estimates.targets.values()),
    )
    gauges.add(
        "route_costs_learned",
        "Routes whose expected work is known here.",
        lambda: len(estimates.costs.costs),
    )
    gauges.add(
        "slowest_target_speed",
        "Lowest speed of a target as known here; 1 is usual.",
        lambda: min(estimates.speeds.values(estimates.clock()), default=1.0),
    )
    gauges.add(
        "requests_to_other_data_centres",
        "Attempts for which a target in another data centre was chosen.",
        lambda: picker.remote_count,
    )
    gauges.add(
        "figures_dropped",
        "Work figures of VMs that this placer couldn't use.",
        lambda: work.dropped,
    )
