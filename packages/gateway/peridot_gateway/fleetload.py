"""Load of the whole fleet, aggregated by the placer from the VMs' reports."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from peridot_gateway.coldtargets import ColdTargets
from peridot_gateway.estimates import Estimates
from peridot_gateway.evacuations import Evacuations
from peridot_gateway.fleetshares import FleetShares
from peridot_gateway.fleetwork import FleetWork
from peridot_gateway.sources import ConfigurationSource
from peridot_gateway.targets import TargetSource
from peridot_ownership.loads import KeyLoads
from peridot_ownership.view import FleetView
from peridot_placement.clock import boot_time
from peridot_resources.configuration import TargetInstance
from peridot_wire import peridot_pb2 as pb

# Weight of one report's mean processing time in the moving average.
PROCESSING_TIME_WEIGHT = 0.3
# Bounds of a mean processing time (s); others would make capacities 0 or infinite.
MIN_PROCESSING_S = 1e-6
MAX_PROCESSING_S = 3_600.0


@dataclass
class FleetLoad(FleetView):
    """Aggregate the reports of all VMs."""

    configuration: ConfigurationSource
    targets: TargetSource
    keys: dict[str, KeyLoads] = field(default_factory=dict)
    processing_times: dict[str, float] = field(default_factory=dict)
    # Requests in flight by VM and target.
    in_flight: dict[str, dict[str, int]] = field(default_factory=dict)
    work: FleetWork = field(default_factory=FleetWork)
    clock: Callable[[], float] = boot_time
    cold: ColdTargets | None = None
    evacuations: Evacuations | None = None
    shares: FleetShares = field(init=False)

    def __post_init__(self) -> None:
        self.shares = FleetShares(
            lambda: self.configuration.configuration,
            self._serving_targets_of,
            self.processing_s,
            lambda service, route: self.work.costs.learned_s(
                service, route, self.clock()
            ),
            lambda target: self.work.speeds.current(target, self.clock()),
        )

    def divided_services(self) -> list[str]:
        services = self.configuration.configuration.services.values()
        return [service.name for service in services if service.divided_by_key]

    def targets_of(self, service: str) -> list[TargetInstance]:
        return self.targets.of_service(service)

    def _serving_targets_of(self, service: str) -> list[TargetInstance]:
        """Return the targets of a service that aren't in evacuated zones."""
        targets = self.targets_of(service)
        if self.evacuations is None:
            return targets
        return [t for t in targets if not self.evacuations.is_evacuated(t)]

    def is_address_reused(self, target: TargetInstance) -> bool:
        return self.targets.is_address_reused(target)

    def leaving_for_s(self, target: str) -> float:
        return self.targets.leaving_for_s(target)

    def loads_of(self, service: str) -> KeyLoads:
        return self.keys.setdefault(service, KeyLoads())

    def processing_s(self, target: str) -> float | None:
        instance = self.targets.targets.get(target)
        service = instance.service if instance is not None else ""
        processing_s = self.work.processing_s(service, target, self.clock())
        return processing_s or self.processing_times.get(target)

    def cold_rate(self, target: TargetInstance) -> float:
        if self.cold is None or not self.cold.left_s(target):
            return inf
        return self.cold.find_limits(target.service).rate

    def evacuated_for_s(self, target: TargetInstance) -> float | None:
        if self.evacuations is None:
            return None
        return self.evacuations.evacuated_for_s(target)

    def record_report(self, report: pb.FleetReport) -> None:
        """Record one VM's report."""
        now = self.clock()
        if self.cold is not None:
            self.cold.record_report(report)
        for counts in report.keys:
            if len(counts.keys) != len(counts.counts):
                self.work.drop(report.vm, "keys", counts.service, len(counts.keys), now)
                continue
            weights = self.work.weigh_keys(counts, report.vm, now)
            pairs = zip(counts.keys, weights, strict=True)
            self.loads_of(counts.service).add(pairs, now)
        self.shares.record(report, now)
        for item in report.targets:
            if item.busy_count:
                self._record_processing_time(report.vm, item, now)
            if item.leaving:
                self.targets.announce_leaving(item.target, item.started_ms)
        self.work.record_report(report, now)
        self.in_flight[report.vm] = {
            item.target: item.in_flight for item in report.targets if item.in_flight
        }

    def _record_processing_time(
        self, vm: str, item: pb.TargetReport, now: float
    ) -> None:
        sample = item.busy_ms / item.busy_count / 1000
        if not MIN_PROCESSING_S <= sample <= MAX_PROCESSING_S:
            self.work.drop(vm, "processing_time", item.target, sample, now)
            return
        previous = self.processing_times.get(item.target, sample)
        weight = min(1.0, PROCESSING_TIME_WEIGHT * item.busy_count)
        self.processing_times[item.target] = previous + weight * (sample - previous)

    def remove_vm(self, vm: str) -> None:
        """Drop the requests in flight of a VM that left."""
        self.in_flight.pop(vm, None)
        if self.cold is not None:
            self.cold.remove_vm(vm)
        self.work.remove_vm(vm)

    def share_work(self, estimates: Estimates) -> None:
        """Hand the fleet's work figures to the estimates of the placer's own VM."""
        now = self.clock()
        services = self.targets.by_service.items()
        self.work.centre(
            ((name, [item.name for item in items]) for name, items in services), now
        )
        names = list(self.targets.targets)
        for name in self.processing_times.keys() - self.targets.targets.keys():
            del self.processing_times[name]
        speeds = ((name, self.work.speeds.current(name, now)) for name in names)
        estimates.set_shared(
            self.work.totals_s(),
            {name: speed for name, speed in speeds if speed is not None},
            {(s, r): cost_s for s, r, cost_s in self.work.learned_costs(now)},
        )

    def in_flight_totals(self) -> Counter[str]:
        """Return the requests in flight from all VMs by target."""
        totals: Counter[str] = Counter()
        for by_target in self.in_flight.values():
            totals.update(by_target)
        return totals
