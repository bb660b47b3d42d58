"""Sharing of services between routes at this VM: applies the placer's shares."""

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from time import monotonic

from peridot_gateway.requests import GatewayRequest
from peridot_placement.decisions import DecisionLog, MemoryDecisionLog
from peridot_resources.configuration import Configuration, Route
from peridot_routing.outcomes import NotRun, Reason
from peridot_scheduling.queueing import (
    FloorGuard,
    QueueRoom,
    ShareGate,
    plan_rooms,
    retry_delay_s,
)
from peridot_wire import peridot_pb2 as pb

# Without figures of the placer for this time, all that fits the targets is admitted.
MAX_AGE_S = 2.0
# Wire value of the share of all requests (RouteState.admit_permille).
ALL_PERMILLE = 1001
# Reasons of refusals that show a lack of capacity.
CAPACITY_REASONS = frozenset((Reason.OVERLOADED, Reason.SHED))


def serialize_shares(shares: dict[tuple[str, str], float]) -> list[pb.RouteState]:
    """Return the messages of shares by service and route."""
    return [
        pb.RouteState(
            service=service, route=route, admit_permille=1 + round(share * 1000)
        )
        for (service, route), share in shares.items()
    ]


def shared_routes(configuration: Configuration) -> dict[str, list[Route]]:
    """Return the routes of each service that several routes share."""
    by_service: dict[str, list[Route]] = {}
    for route in configuration.routes:
        for service in {p.service for p in route.traffic_split if p.weight > 0}:
            by_service.setdefault(service, []).append(route)
    return {name: routes for name, routes in by_service.items() if len(routes) > 1}


@dataclass
class CapacitySharing:
    """Admit requests by the shares of their routes, and count them for reports."""

    get_configuration: Callable[[], Configuration] = Configuration
    rng: random.Random = field(default_factory=random.Random)
    log: DecisionLog = field(default_factory=MemoryDecisionLog)
    clock: Callable[[], float] = monotonic
    # Shares by service and route as the placer sent them, and when (s).
    shares: dict[tuple[str, str], float] = field(default_factory=dict)
    updated_at: float = float("-inf")
    # The routes with shares by service, and the services that can't serve all requests.
    active: dict[str, list[str]] = field(default_factory=dict)
    overloaded: set[str] = field(default_factory=set)
    gates: dict[tuple[str, str], ShareGate] = field(default_factory=dict)
    floors: dict[str, FloorGuard] = field(default_factory=dict)
    # Since the last report, by service and route.
    arrived: Counter[tuple[str, str]] = field(default_factory=Counter)
    refused: Counter[tuple[str, str]] = field(default_factory=Counter)
    # Requests refused by share, and for the room of more urgent ones.
    share_refusals: int = 0
    room_refusals: int = 0
    # Rooms of the routes with shares, by service and route.
    rooms: dict[str, dict[str, QueueRoom]] = field(default_factory=dict)
    # The routes of shared services in a configuration, by service and name.
    routes: dict[str, dict[str, Route]] = field(default_factory=dict)
    configuration: Configuration | None = None

    def set_shares(self, states: Iterable[pb.RouteState]) -> None:
        """Apply the shares that a placer sent; states without a share are skipped."""
        shares = {}
        for state in states:
            if not state.admit_permille:
                continue
            if state.admit_permille > ALL_PERMILLE:
                self.log.write(
                    "share_invalid",
                    service=state.service,
                    route=state.route,
                    permille=state.admit_permille - 1,
                )
            share = min(state.admit_permille, ALL_PERMILLE) - 1
            shares[state.service, state.route] = share / 1000
        self.apply(shares)

    def apply(self, shares: dict[tuple[str, str], float]) -> None:
        """Replace the shares by service and route."""
        if shares.keys() != self.shares.keys():
            self.rooms.clear()
            self.active = {}
            for service, route in shares:
                self.active.setdefault(service, []).append(route)
        self.overloaded = {name for (name, _), share in shares.items() if share < 1.0}
        self.shares = shares
        self.updated_at = self.clock()

    def admit(self, request: GatewayRequest) -> NotRun | None:
        """Count a new request; return a refusal if its route's share is used up."""
        service, route = request.service.name, request.route.name
        if not self._find_routes(service):
            return None
        now = self.clock()
        key = service, route
        self.arrived[key] += 1
        self._find_floor(service).record_arrival(route, now)
        time_left_s = request.deadline - request.started_at
        share = self._find_share(key)
        gate = self.gates.get(key)
        if gate is None:
            gate = self.gates[key] = ShareGate(self.rng.random())
        if gate.admit(share, time_left_s, now) or self._is_starved(request):
            return None
        self.share_refusals += 1
        delay_s = self.retry_delay_s(request, gate.next_credit_s(share), 0.0)
        return NotRun(Reason.OVERLOADED, int(1000 * delay_s), f"share {share:.3f}")

    def find_room(self, request: GatewayRequest) -> QueueRoom | None:
        """Return which part of a target's queue a request may fill; None for all."""
        service, route = request.service.name, request.route.name
        rooms = self._find_rooms(service)
        # Only before the first attempt, and with current figures.
        if (
            route not in rooms
            or request.delivery_count
            or request.may_have_run
            or (service, route) not in self.shares
            or not self.is_current()
            or self._is_starved(request)
        ):
            return None
        return rooms[route]

    def is_overloaded(self, service: str) -> bool:
        """Return whether a service can't serve all requests, by the placer's shares."""
        return service in self.overloaded and self.is_current()

    def is_current(self) -> bool:
        """Return whether the placer's figures are recent."""
        return self.clock() - self.updated_at < MAX_AGE_S

    def refuse_room(
        self, request: GatewayRequest, missing_s: float, work_s: float, detail: str
    ) -> NotRun:
        """Refuse a request whose room at a target will be free after a time (s)."""
        self.room_refusals += 1
        delay_s = self.retry_delay_s(request, missing_s, work_s)
        return NotRun(Reason.OVERLOADED, int(1000 * delay_s), detail)

    def retry_delay_s(
        self, request: GatewayRequest, earliest_s: float, work_s: float
    ) -> float:
        """Return the Retry-After of a refusal (s), spread over callers."""
        return retry_delay_s(
            earliest_s, request.remaining_s(), work_s, self.rng.random()
        )

    def record_outcome(self, request: GatewayRequest, outcome: object) -> None:
        """Count a request's final outcome if it was refused for lack of capacity."""
        service, route = request.service.name, request.route.name
        if not isinstance(outcome, NotRun) or outcome.reason not in CAPACITY_REASONS:
            return
        if self._find_routes(service):
            self.refused[service, route] += 1
            self._find_floor(service).record_refusal(route, self.clock())

    def pop_reports(self) -> list[pb.RouteReport]:
        """Return the counts by route since the last call."""
        arrived, self.arrived = self.arrived, Counter()
        refused, self.refused = self.refused, Counter()
        return [
            pb.RouteReport(
                service=service,
                route=route,
                arrived=arrived[service, route],
                refused=refused[service, route],
            )
            for service, route in arrived | refused
        ]

    def count_limited(self) -> int:
        """Return how many routes aren't admitted in full now."""
        return sum(self._find_share(key) < 1.0 for key in self.shares)

    def _find_share(self, key: tuple[str, str]) -> float:
        return self.shares.get(key, 1.0) if self.is_current() else 1.0

    def _is_starved(self, request: GatewayRequest) -> bool:
        return self._find_floor(request.service.name).is_starved(request.route.name)

    def _find_floor(self, service: str) -> FloorGuard:
        return self.floors.setdefault(service, FloorGuard())

    def _find_routes(self, service: str) -> dict[str, Route]:
        """Return a service's routes, empty if only one route uses it."""
        configuration = self.get_configuration()
        if configuration is not self.configuration:
            self.configuration = configuration
            self.routes = {
                name: {route.name: route for route in routes}
                for name, routes in shared_routes(configuration).items()
            }
            self.rooms.clear()
            self.gates.clear()
            self.floors.clear()
        return self.routes.get(service, {})

    def _find_rooms(self, service: str) -> dict[str, QueueRoom]:
        """Return the rooms of a service's routes that have shares."""
        routes = self._find_routes(service)
        if service not in self.rooms:
            names = self.active.get(service, ())
            active = [routes[name] for name in names if name in routes]
            self.rooms[service] = plan_rooms(
                {route.name: route.priority for route in active},
                {route.name: route.latency_objective_s for route in active},
            )
        return self.rooms[service]
