"""Simulation of the choice of targets by many VMs, to compare it with an earlier rule.

Estimates, the picker, admission's share and the placer's aggregation are the product's
own. Targets, callers and the messages between VMs are simulated in virtual time, like
in policymodel.
"""

import heapq
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import pi, sin
from types import SimpleNamespace

from peridot_gateway.admission import PROCESSING_SHARE
from peridot_gateway.dialect import ReportedLoad
from peridot_gateway.estimates import Estimates
from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.fleetwork import add_work_report
from peridot_gateway.picker import FAILURE_FACTOR, Picker
from peridot_resources.configuration import Route, TargetInstance
from peridot_scheduling.selection import Candidate
from peridot_wire import peridot_pb2 as pb

SERVICE = "s"
# Time between reports of a VM, and delay until the fleet's figures are at the VMs (s).
REPORT_PERIOD_S = 0.25
REPORT_DELAY_S = 0.02
# Factor of the earlier rule for targets in another data centre.
EARLIER_REMOTE_FACTOR = 1.3


@dataclass(frozen=True)
class RouteLoad:
    """A route's share of the requests, their mean work and time limits (s)."""

    share: float
    work_s: float
    objective_s: float
    timeout_s: float


@dataclass(frozen=True)
class ChoiceScenario:
    """The load and the targets of one run; times in seconds."""

    name: str
    vms: int
    zones: int
    targets: int
    slots: int
    queue: int
    # Demand as a share of the capacity of all targets.
    load: float
    routes: tuple[RouteLoad, ...]
    speed_range: tuple[float, float]
    # Share of requests with more work, and by which factors.
    tail_share: float
    tail_factors: tuple[float, float]
    # Variation of the demand by zone, and its period.
    demand_swing: float
    demand_period_s: float
    # Share of the demand swing's phase by which zones differ.
    zone_phase: float = 1.0
    # Share of the time in which a target is slow by slow_factor, changing every
    # slow_period_s.
    slow_share: float = 0.0
    slow_factor: float = 3.0
    slow_period_s: float = 0.4
    # A fifth of the targets is slower by this factor from a third of the run on.
    lasting_slow_factor: float = 1.0
    spread: float = 0.3
    seconds: float = 40.0
    # Without reports from this time on the VMs have only their own figures.
    reports_end_s: float = float("inf")


CONTENDED = ChoiceScenario(
    name="contended",
    vms=71,
    zones=4,
    targets=42,
    slots=6,
    queue=24,
    load=0.85,
    routes=(
        RouteLoad(0.5, 0.17, 0.5, 1.2),
        RouteLoad(0.3, 0.32, 1.2, 2.0),
        RouteLoad(0.2, 0.54, 3.0, 3.0),
    ),
    speed_range=(0.5, 1.6),
    tail_share=0.01,
    tail_factors=(3.0, 5.0),
    demand_swing=0.15,
    demand_period_s=11.0,
    slow_share=0.2,
)
UNEVEN = ChoiceScenario(
    name="uneven",
    vms=76,
    zones=3,
    targets=56,
    slots=3,
    queue=12,
    load=0.75,
    routes=(
        RouteLoad(0.5, 0.085, 0.6, 1.0),
        RouteLoad(0.3, 0.18, 1.0, 2.0),
        RouteLoad(0.2, 0.29, 1.5, 2.5),
    ),
    speed_range=(0.6, 1.6),
    tail_share=0.03,
    tail_factors=(7.0, 7.0),
    demand_swing=0.55,
    demand_period_s=13.0,
)


class EarlierPicker(Picker):
    """The earlier choice: one processing time per target, requests in flight alike."""

    def pick(self, targets, tried, cost_s=None, objective_left_s=None):
        """Pick without the request's cost and objective, from three of each."""
        self.local_candidates = self.remote_candidates = 3
        self.local_reserve = 0
        return super().pick(targets, tried)

    def _candidate(
        self, target: TargetInstance, cost_s: float | None, now: float
    ) -> Candidate:
        estimate = self.estimates.get(target.name)
        total = estimate.total_in_flight(now)
        wait_s = max(0, total - target.slots + 1) * estimate.processing_s / target.slots
        penalty = 1 + 0.1 * total / target.slots
        penalty *= 1 + FAILURE_FACTOR * estimate.current_failure_rate(now)
        local = target.data_centre == self.data_centre
        return Candidate(target.name, local, wait_s + estimate.processing_s, penalty)


@dataclass
class Choices:
    """The outcomes of a run by route and zone; times in seconds."""

    # Outcomes ("in time", "late", "refused", "expired") by route, by zone and in all.
    counts: dict[str, Counter] = field(default_factory=lambda: defaultdict(Counter))
    longest_wait_s: float = 0.0
    remote: int = 0
    sent: int = 0

    def share(self, group: str = "all", kind: str = "in time") -> float:
        """Return the share of a group's requests that had an outcome."""
        return self.counts[group][kind] / max(1, self.counts[group].total())

    @property
    def remote_share(self) -> float:
        """Return the share of attempts at targets in other zones."""
        return self.remote / max(1, self.sent)


@dataclass(eq=False)
class ModelRequest:
    """A request in the simulation; times in seconds."""

    route: Route
    load: RouteLoad
    zone: str
    arrived: float
    work_s: float
    vm: "ModelVm"
    sent: float = 0.0
    ahead: int = 0
    ahead_s: float = 0.0
    tracking: object = None
    refused: bool = False


@dataclass(eq=False)
class ModelVm:
    """A VM: its estimates and its picker."""

    name: str
    zone: str
    estimates: Estimates
    picker: Picker


@dataclass(eq=False)
class ModelTarget:
    """A target with slots and a queue."""

    instance: TargetInstance
    speed: float
    waiting: deque = field(default_factory=deque)
    running: int = 0


class ChoiceModel:
    """Simulate one rule of choice in one scenario."""

    def __init__(
        self, scenario: ChoiceScenario, picker: type[Picker], seed: int
    ) -> None:
        self.scenario, self.now = scenario, 0.0
        # Demand and targets are the same for all rules of one seed.
        self.demand_rng = random.Random(seed)
        self.rng = random.Random(seed + 1)
        self.outcome = Choices()
        self.events: list = []
        self.event_number = 0
        rng, zones = random.Random(seed + 2), [f"z{i}" for i in range(scenario.zones)]
        self.targets = {}
        for i in range(scenario.targets):
            name, zone = f"t{i:03}", zones[i % scenario.zones]
            instance = TargetInstance(
                name, SERVICE, "-", zone, scenario.slots, False, 0.0
            )
            speed = rng.uniform(*scenario.speed_range)
            self.targets[name] = ModelTarget(instance, speed)
        self.instances = [target.instance for target in self.targets.values()]
        self.slow_until = dict.fromkeys(self.targets, 0.0)
        self.slow = dict.fromkeys(self.targets, False)
        self.lasting_slow = set(
            rng.sample(sorted(self.targets), len(self.targets) // 5)
        )
        self.vms: dict[str, list[ModelVm]] = {zone: [] for zone in zones}
        for i in range(scenario.vms):
            zone = zones[i % scenario.zones]
            estimates = Estimates(clock=self.clock)
            vm_picker = picker(zone, estimates, self.rng)
            self.vms[zone].append(ModelVm(f"vm{i:03}", zone, estimates, vm_picker))
        self.routes = [
            Route(f"r{i}", "", "/", True, r.timeout_s, r.objective_s, 0, 2, ())
            for i, r in enumerate(scenario.routes)
        ]
        source = SimpleNamespace(
            targets={item.name: item for item in self.instances},
            by_service={SERVICE: self.instances},
        )
        self.load = FleetLoad(SimpleNamespace(), source, clock=self.clock)
        self.mean_work_s = sum(r.share * r.work_s for r in scenario.routes)
        self.mean_work_s *= 1 + scenario.tail_share * (
            sum(scenario.tail_factors) / 2 - 1
        )

    def clock(self) -> float:
        """Return the virtual time (s)."""
        return self.now

    def play(self) -> Choices:
        """Run the simulation to its end and return the outcome."""
        for zone in self.vms:
            self._schedule(0.0, lambda zone=zone: self._arrive(zone))
        self._schedule(REPORT_PERIOD_S, self._report)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.outcome

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        self.event_number += 1
        heapq.heappush(self.events, (at, self.event_number, action))

    def _zone_rate(self, zone: str) -> float:
        """Return the present request rate of a zone (1/s)."""
        scenario = self.scenario
        speeds = sum(target.speed for target in self.targets.values())
        slowed = 1 + scenario.slow_share * (scenario.slow_factor - 1)
        capacity = scenario.slots * speeds / slowed / self.mean_work_s
        phase = int(zone[1:]) / scenario.zones * scenario.zone_phase
        swing = sin(2 * pi * (self.now / scenario.demand_period_s + phase))
        rate = scenario.load * capacity / scenario.zones
        return rate * (1 + scenario.demand_swing * swing)

    def _arrive(self, zone: str) -> None:
        rng, scenario = self.demand_rng, self.scenario
        (index,) = rng.choices(
            range(len(self.routes)), [r.share for r in scenario.routes]
        )
        load = scenario.routes[index]
        work_s = load.work_s * rng.uniform(1 - scenario.spread, 1 + scenario.spread)
        if rng.random() < scenario.tail_share:
            work_s *= rng.uniform(*scenario.tail_factors)
        vm = rng.choice(self.vms[zone])
        request = ModelRequest(self.routes[index], load, zone, self.now, work_s, vm)
        self._send(request, ())
        at = self.now + rng.expovariate(self._zone_rate(zone))
        if at < scenario.seconds:
            self._schedule(at, lambda: self._arrive(zone))

    def _send(self, request: ModelRequest, tried: tuple[str, ...]) -> None:
        vm, route, slots = request.vm, request.route, self.scenario.slots
        cost_s = vm.estimates.cost_s(SERVICE, route)
        left_s = request.arrived + request.load.objective_s - self.now
        instance = vm.picker.pick(self.instances, tried, cost_s, left_s)
        if instance is None:
            self._finish_request(request, "refused")
            return
        estimate = vm.estimates.get(instance.name)
        if isinstance(vm.picker, EarlierPicker):
            ahead = estimate.total_in_flight(self.now) - slots + 1
            wait_s = max(0, ahead) * estimate.processing_s / slots
            needed_s = wait_s + PROCESSING_SHARE * estimate.processing_s
        else:
            wait_s = estimate.expected_wait_s(slots, self.now)
            needed_s = wait_s + PROCESSING_SHARE * estimate.expected_processing_s(
                cost_s, self.now
            )
        if wait_s > 0 and needed_s > request.load.timeout_s - (
            self.now - request.arrived
        ):
            self._finish_request(request, "refused")
            return
        self.outcome.sent += 1
        self.outcome.remote += instance.data_centre != vm.zone
        target = self.targets[instance.name]
        request.sent, request.ahead = self.now, estimate.total_in_flight(self.now)
        request.ahead_s = estimate.work_ahead_s(slots, self.now)
        request.tracking = vm.estimates.track_attempt(instance.name, route, SERVICE)
        request.tracking.__enter__()
        if len(target.waiting) >= self.scenario.queue:
            request.tracking.__exit__(None, None, None)
            estimate.record_failure(self.now)
            if tried:
                self._finish_request(request, "refused")
            else:
                self._send(request, (instance.name,))
            return
        target.waiting.append(request)
        self._start_next(target)

    def _start_next(self, target: ModelTarget) -> None:
        while target.waiting and target.running < self.scenario.slots:
            request = target.waiting.popleft()
            waited_s = self.now - request.sent
            if self.now - request.arrived >= request.load.timeout_s:
                self._end_attempt(request, target)
                self._finish_request(request, "expired")
                continue
            self.outcome.longest_wait_s = max(self.outcome.longest_wait_s, waited_s)
            target.running += 1
            ends_at = self.now + request.work_s / self._current_speed(target)
            self._schedule(ends_at, lambda r=request: self._complete(target, r))

    def _current_speed(self, target: ModelTarget) -> float:
        scenario, name = self.scenario, target.instance.name
        speed = target.speed
        if name in self.lasting_slow and self.now > scenario.seconds / 3:
            speed /= scenario.lasting_slow_factor
        if self.now >= self.slow_until[name]:
            self.slow[name] = self.rng.random() < scenario.slow_share
            self.slow_until[name] = self.now + scenario.slow_period_s
        return speed / scenario.slow_factor if self.slow[name] else speed

    def _complete(self, target: ModelTarget, request: ModelRequest) -> None:
        target.running -= 1
        took_s = self.now - request.arrived
        slowdown = None
        if self.scenario.slow_share:
            slowdown = (
                self.scenario.slow_factor if self.slow[target.instance.name] else 1.0
            )
        if took_s > request.load.timeout_s:
            self._end_attempt(request, target)
            self._finish_request(request, "expired")
        else:
            reported = ReportedLoad(
                target.running, len(target.waiting), self.scenario.slots, slowdown
            )
            self._end_attempt(request, target, reported)
            kind = "in time" if took_s <= request.load.objective_s else "late"
            self._finish_request(request, kind)
        self._start_next(target)

    def _end_attempt(
        self,
        request: ModelRequest,
        target: ModelTarget,
        reported: ReportedLoad | None = None,
    ) -> None:
        """Let the VM learn from a response, or from a timeout without one."""
        estimates, name = request.vm.estimates, target.instance.name
        duration_s = self.now - request.sent
        if reported is None:
            estimates.get(name).record_failure(self.now)
            silent_s = min(duration_s, request.load.timeout_s)
            estimates.record_silence(
                name, SERVICE, request.route, silent_s, request.ahead_s
            )
        else:
            estimates.record_work(
                name, SERVICE, request.route, duration_s, request.ahead_s, reported
            )
            estimates.get(name).record_response(
                duration_s, request.ahead, reported, self.now
            )
        request.tracking.__exit__(None, None, None)

    def _finish_request(self, request: ModelRequest, kind: str) -> None:
        for group in ("all", request.route.name, request.zone):
            self.outcome.counts[group][kind] += 1

    def _report(self) -> None:
        """Exchange the figures of all VMs, as the placer does."""
        scenario = self.scenario
        if self.now >= scenario.reports_end_s:
            return
        parts = {}
        for vm in (vm for vms in self.vms.values() for vm in vms):
            report = pb.FleetReport(vm=vm.name)
            for name, item in vm.estimates.targets.items():
                if item.in_flight or item.finished or item.failed:
                    report.targets.add(target=name, in_flight=item.in_flight)
                    item.finished = item.failed = 0
            add_work_report(report, vm.estimates)
            self.load.record_report(report)
            parts[vm.name] = self.load.in_flight[vm.name]
        totals = self.load.in_flight_totals()
        self._schedule(
            self.now + REPORT_DELAY_S, lambda: self._apply_figures(totals, parts)
        )
        if self.now + REPORT_PERIOD_S < scenario.seconds:
            self._schedule(self.now + REPORT_PERIOD_S, self._report)

    def _apply_figures(self, totals: Counter, parts: dict) -> None:
        for vm in (vm for vms in self.vms.values() for vm in vms):
            vm.estimates.set_in_flight(totals, parts[vm.name])
            self.load.share_work(vm.estimates)
