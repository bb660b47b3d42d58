"""Fixtures of the gateway's tests."""

import asyncio
import random
from contextlib import asynccontextmanager
from time import monotonic
from types import SimpleNamespace

import pytest

from peridot_daemon.metrics import Metrics
from peridot_fakes.fleet import free_ports
from peridot_gateway.admission import Admission
from peridot_gateway.budget import RetryBudgetLimits
from peridot_gateway.dialect import CallerHeaders
from peridot_gateway.estimates import Estimates
from peridot_gateway.ingress import Ingress
from peridot_gateway.owners import Owners, OwnerTable
from peridot_gateway.picker import Picker
from peridot_gateway.requests import GatewayRequest
from peridot_gateway.router import GatewayRouter, RouterParts
from peridot_gateway.routes import RouteIndex
from peridot_gateway.sender import AttemptResult
from peridot_placement.decisions import MemoryDecisionLog
from peridot_resources.configuration import (
    CallerLimits,
    Configuration,
    Route,
    ServiceConfiguration,
    TargetInstance,
    WeightedService,
)
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason

# For how long leaving targets get new requests (s).
LEAVING_GRACE_S = 1.0
# Processing time of the router of ingress tests.
DELAY_S = 0.1


@pytest.fixture
def make_route():
    def make(idempotent: bool = True, max_targets: int = 2, **changes) -> Route:
        values = {
            "name": "r1",
            "host": "a.example",
            "path_prefix": "/a/",
            "timeout_s": 1.2,
            "latency_objective_s": 0.3,
            "priority": -1,
            "traffic_split": (WeightedService("files", 1.0),),
        } | changes
        return Route(idempotent=idempotent, max_targets=max_targets, **values)

    return make


@pytest.fixture
def make_request(make_route):
    def make(
        idempotent: bool = True,
        key: int | None = None,
        remaining_s: float = 1.0,
        **changes,
    ) -> GatewayRequest:
        service = ServiceConfiguration("files", key is not None, 100, 1.0)
        now = monotonic()
        route = make_route(idempotent, **changes)
        return GatewayRequest(
            "id-1",
            route,
            service,
            "a.example",
            "GET",
            "/a/x",
            (),
            b"",
            key,
            now,
            now + remaining_s,
        )

    return make


@pytest.fixture
def make_target():
    def make(name: str, data_centre: str = "a", **changes) -> TargetInstance:
        values = {
            "service": "files",
            "address": f"127.0.0.1:{9000 + len(name)}",
            "slots": 3,
            "leaving": False,
            "warm_up_left_s": 0.0,
            "started_ms": 1,
        } | changes
        return TargetInstance(name, data_centre=data_centre, **values)

    return make


class ScriptedSender:
    """A sender that returns given results in order, and the last one repeatedly."""

    def __init__(self, results: list[AttemptResult]) -> None:
        self.results = results
        self.sent: list[str] = []

    async def attempt(self, request, target, silence_timeout_s, may_give_up):
        self.sent.append(target.name)
        await asyncio.sleep(0)
        at = min(len(self.sent), len(self.results)) - 1
        return self.results[at]


class FixedTargetSource:
    """A target source with fixed targets."""

    age_s = 0.0

    def __init__(self, targets) -> None:
        self.targets = {target.name: target for target in targets}
        # For how long targets have been leaving (s).
        self.leaving_times: dict[str, float] = {}

    def of_service(self, service):
        return list(self.targets.values())

    def leaving_for_s(self, name):
        return self.leaving_times.get(name, 0.0)


@pytest.fixture
def route_with(make_target):
    def build(results, minimum=60.0, owners=None):
        rng = random.Random(3)
        estimates = Estimates()
        sender = ScriptedSender(results)
        parts = RouterParts(
            owners or Owners(),
            FixedTargetSource([make_target(name) for name in ("p", "q", "r")]),
            estimates,
            Picker("a", estimates, rng),
            Admission(estimates),
            sender,
            MemoryDecisionLog(),
            rng,
        )
        limits = RetryBudgetLimits(0.0, minimum, 10.0)
        return GatewayRouter(parts, limits, lambda: 1, LEAVING_GRACE_S), sender

    return build


@pytest.fixture
def owned_by():
    def build(name: str) -> Owners:
        owners = Owners()
        owners.update(1, 1, {"files": OwnerTable((0,), (name,))})
        return owners

    return build


class CallerDialect:
    """A dialect with plain names of the headers that callers send."""

    def parse_caller_headers(self, headers) -> CallerHeaders:
        deadline_ms = headers.get("Deadline-Ms")
        deadline_s = None if deadline_ms is None else int(deadline_ms) / 1000
        return CallerHeaders(headers.get("Request-Id", ""), deadline_s, None)


class DelayingRouter:
    """A router that responds to /a/N after a delay; odd ones are refused."""

    def __init__(self) -> None:
        self.running = 0
        self.peak = 0
        self.ran: list[str] = []
        self.cancelled: list[str] = []
        self.delays: dict[str, float] = {}
        self.body_sizes: list[int] = []

    async def handle(self, request: GatewayRequest) -> Outcome:
        self.ran.append(request.request_id)
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            await asyncio.sleep(self.delays.get(request.request_id, DELAY_S))
        except asyncio.CancelledError:
            self.cancelled.append(request.request_id)
            raise
        finally:
            self.running -= 1
        self.body_sizes.append(len(request.body))
        if "refuse" in request.path:
            return NotRun(Reason.OVERLOADED, 100)
        return Answered(200, (), request.request_id.encode(), "t")


@pytest.fixture
def open_ingress(make_route):
    @asynccontextmanager
    async def open_connection():
        routes = (
            make_route(path_prefix="/a/"),
            make_route(idempotent=False, name="r2", path_prefix="/o/"),
        )
        services = {"files": ServiceConfiguration("files", False, 100, 1.0)}
        limits = CallerLimits(16_384, 4 * 2**20, 5.0, 10.0)
        configuration = Configuration(1, routes, services, limits)
        source = SimpleNamespace(
            configuration=configuration, index=RouteIndex(configuration)
        )
        router = DelayingRouter()
        ingress = Ingress(
            CallerDialect(),
            source,
            router,
            Metrics(),
            MemoryDecisionLog(),
            random.Random(1),
        )
        (port,) = free_ports(1)
        async with ingress.serve(f"127.0.0.1:{port}"):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            yield ingress, router, reader, writer
            writer.close()

    return open_connection
