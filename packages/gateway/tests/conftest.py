"""Fixtures of the gateway's tests."""

import asyncio
import random
import socket
from contextlib import asynccontextmanager
from dataclasses import replace
from time import monotonic
from types import SimpleNamespace

import pytest

from peridot_daemon.metrics import Metrics
from peridot_fakes.fleet import free_ports
from peridot_gateway.admission import Admission
from peridot_gateway.budget import RetryBudgetLimits
from peridot_gateway.dialect import CallerHeaders, ResponseHeaders
from peridot_gateway.estimates import Estimates
from peridot_gateway.ingress import Ingress
from peridot_gateway.owners import Owners, OwnerTable
from peridot_gateway.picker import Picker
from peridot_gateway.requests import GatewayRequest
from peridot_gateway.router import GatewayRouter, RouterParts
from peridot_gateway.routes import RouteIndex
from peridot_gateway.sender import AttemptResult, Sender
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
# Kernel buffers of a caller and of the VM's side of its connection, so that most of a
# large body must wait in the VM.
SOCKET_BYTES = 4096
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
        upload = request.upload
        self.body_sizes.append(len(request.body) if upload is None else upload.length)
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


class PlainDialect(CallerDialect):
    """A dialect that treats each response as signed, and 503 as not run."""

    def build_target_headers(self, request, target, remaining_s):
        return [("Host", request.host)]

    def parse_response_headers(self, status, headers, request):
        not_run = status == 503
        return ResponseHeaders(not_run, False, None, False, True, None, None)


class Setup:
    """An ingress before a sender and one target."""

    def __init__(self, target, sender, ingress, address) -> None:
        self.target = target
        self.sender = sender
        self.ingress = ingress
        self.address = address
        self.buffers = sender.stream_buffers

    @property
    def in_flight(self) -> int:
        return self.sender.estimates.get("t").in_flight

    async def open_caller(self, count: int = 1, path="/a/x", deadline_ms=5000):
        """Send requests; return a reader with small buffers, and the writer."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
        client.setblocking(False)
        await asyncio.get_running_loop().sock_connect(client, self.address)
        reader, writer = await asyncio.open_connection(sock=client, limit=2048)
        request = (
            f"GET {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n\r\n"
        )
        writer.write(request.encode() * count)
        return reader, writer

    def log_values(self, event: str, name: str) -> list:
        return [values[name] for key, values in self.ingress.log.events if key == event]


@pytest.fixture
def run_with_target(make_route, make_target):
    @asynccontextmanager
    async def serve(target):
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        instance = replace(make_target("t"), address=f"{host}:{port}")
        sender = Sender(PlainDialect(), Estimates(), MemoryDecisionLog())

        async def handle(request):
            result = await sender.attempt(request, instance, request.remaining_s())
            return result.outcome

        routes = (
            make_route(path_prefix="/a/", timeout_s=10.0),
            make_route(False, name="r2", path_prefix="/o/", timeout_s=10.0),
        )
        services = {"files": ServiceConfiguration("files", False, 100, 1.0)}
        configuration = Configuration(1, routes, services, CallerLimits())
        ingress = Ingress(
            PlainDialect(),
            SimpleNamespace(
                configuration=configuration, index=RouteIndex(configuration)
            ),
            SimpleNamespace(handle=handle),
            Metrics(),
            MemoryDecisionLog(),
            random.Random(1),
        )
        async with server, ingress.serve("127.0.0.1:0"):
            listener = ingress.site._server.sockets[0]
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
            yield Setup(target, sender, ingress, listener.getsockname())
            await sender.close()

    def run_scenario(target, scenario) -> None:
        async def check():
            async with asyncio.timeout(15), serve(target) as setup:
                await scenario(setup)

        asyncio.run(check())

    return run_scenario
