"""Shares of routes for the whole fleet, computed by the placer from reports."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from peridot_gateway.sharing import serialize_shares, shared_routes
from peridot_placement.decisions import DecisionLog, MemoryDecisionLog
from peridot_resources.configuration import Configuration, Route, TargetInstance
from peridot_scheduling.priorities import UPDATE_PERIOD_S, RoutePlan, ServiceLevels
from peridot_wire import peridot_pb2 as pb

# Far above what one VM receives between two reports, which are 0.25 s apart.
MAX_REPORTED = 20_000
# Work of a request as a part of its route's objective, until it was measured.
INITIAL_WORK_SHARE = 1 / 3
# Changes of shares are logged from this difference on, and at most this often.
LOGGED_CHANGE = 0.1
LOG_PERIOD_S = 1.0
# Members are sent changes from this difference on: others are noise of the arrivals.
PUBLISHED_CHANGE = 0.01
# Counts that weren't updated for this long (s) are from an earlier term.
STALE_S = 5.0


@dataclass
class FleetShares:
    """Compute which share of each route all VMs admit."""

    get_configuration: Callable[[], Configuration]
    targets_of: Callable[[str], Iterable[TargetInstance]]
    # Mean processing time of a target (s), None if it isn't known.
    processing_s: Callable[[str], float | None]
    # Work of a request by service and route (s), and speed of a target; None if they
    # aren't known.
    find_cost_s: Callable[[str, str], float | None] = lambda service, route: None
    find_speed: Callable[[str], float | None] = lambda target: None
    log: DecisionLog = field(default_factory=MemoryDecisionLog)
    services: dict[str, ServiceLevels] = field(default_factory=dict)
    # The shares by route that were last logged, by service, and when (s).
    logged: dict[str, dict[str, float]] = field(default_factory=dict)
    logged_at: dict[str, float] = field(default_factory=dict)
    # The shares that members were sent, and their messages.
    published: dict[tuple[str, str], float] = field(default_factory=dict)
    messages: list[pb.RouteState] = field(default_factory=list)
    # The last shares, when they were computed (s), and the routes that share services
    # in a configuration: the placer of 2,800 VMs needs them 11,000 times a second.
    shares: dict[tuple[str, str], float] = field(default_factory=dict)
    computed_at: float = float("-inf")
    configuration: Configuration | None = None
    shared: dict[str, list[Route]] = field(default_factory=dict)
    known: set[tuple[str, str]] = field(default_factory=set)

    def record(self, report: pb.FleetReport, now: float) -> None:
        """Count the arrivals and refusals that one VM reports."""
        counted = [item for item in report.routes if item.arrived or item.refused]
        if not counted:
            return
        self._find_shared()
        for item in counted:
            service, route = item.service, item.route
            if (service, route) not in self.known:
                continue
            arrived, refused = item.arrived, item.refused
            if arrived > MAX_REPORTED or refused > MAX_REPORTED:
                self.log.write(
                    "route_report_invalid",
                    vm=report.vm,
                    service=service,
                    route=route,
                    arrived=arrived,
                    refused=refused,
                )
                continue
            levels = self.services.get(service)
            if levels is None or now > levels.updated_at + STALE_S:
                levels = self.services[service] = ServiceLevels()
            levels.record(route, arrived, refused, now)

    def compute(self, now: float) -> dict[tuple[str, str], float]:
        """Return the shares by service and route, where several routes share one."""
        if not self.services or now < self.computed_at + UPDATE_PERIOD_S / 2:
            return self.shares
        shares: dict[tuple[str, str], float] = {}
        shared = self._find_shared()
        for service in self.services.keys() - shared.keys():
            del self.services[service]
        for service, levels in self.services.items():
            targets = [t for t in self.targets_of(service) if not t.leaving]
            mean_s = self.mean_work_s(targets)
            plans = {
                route.name: RoutePlan(
                    route.priority,
                    self.find_cost_s(service, route.name)
                    or mean_s
                    or INITIAL_WORK_SHARE * route.latency_objective_s,
                )
                for route in shared[service]
                if route.name in levels.routes
            }
            slots = sum(
                max(0, target.slots) * (self.find_speed(target.name) or 1.0)
                for target in targets
            )
            found = levels.update(plans, slots, now)
            active = levels.active_routes() if found else []
            if len(active) < 2:
                continue
            for route in active:
                shares[service, route] = found[route]
            self._log_changes(service, levels, found, now)
        self.shares, self.computed_at = shares, now
        return shares

    def publish(self, now: float) -> list[pb.RouteState]:
        """Return the messages of the shares, another list only after a change."""
        shares = self.compute(now)
        if shares.keys() != self.published.keys() or any(
            abs(share - self.published[key]) >= PUBLISHED_CHANGE
            or (share == 1.0) != (self.published[key] == 1.0)
            for key, share in shares.items()
        ):
            self.published, self.messages = shares, serialize_shares(shares)
        return self.messages

    def _find_shared(self) -> dict[str, list[Route]]:
        configuration = self.get_configuration()
        if configuration is not self.configuration:
            self.configuration = configuration
            self.shared = shared_routes(configuration)
            self.known = {
                (service, route.name)
                for service, routes in self.shared.items()
                for route in routes
            }
        return self.shared

    def mean_work_s(self, targets: list[TargetInstance]) -> float | None:
        """Return the mean processing time of a service's targets (s), if known.

        It is weighted by how many requests each target can serve, and is the work of
        a request until work is measured by route.
        """
        slots = rate = 0.0
        for target in targets:
            processing_s = self.processing_s(target.name)
            if processing_s is not None and processing_s > 0:
                slots += target.slots
                rate += target.slots / processing_s
        return slots / rate if rate else None

    def _log_changes(
        self, service: str, levels: ServiceLevels, shares: dict[str, float], now: float
    ) -> None:
        logged = self.logged.get(service, {})
        changed = any(
            abs(share - logged.get(route, 1.0)) >= LOGGED_CHANGE
            or (share == 1.0) != (logged.get(route, 1.0) == 1.0)
            for route, share in shares.items()
        )
        last_at = self.logged_at.get(service, float("-inf"))
        if not changed or now < last_at + LOG_PERIOD_S:
            return
        self.logged[service], self.logged_at[service] = shares, now
        self.log.write(
            "shares_changed",
            service=service,
            shares=",".join(f"{name}:{share:.2f}" for name, share in shares.items()),
            demand=round(levels.demand, 1),
            capacity=round(levels.capacity, 1),
            refused=round(levels.refusal_ratio, 3),
        )
