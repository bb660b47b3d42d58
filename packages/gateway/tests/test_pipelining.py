"""Pattern: callers send further requests before the first is answered.

Responses must come in the order of the requests, each whole and its own, while the
requests run beside each other.
"""

import asyncio
import random
from contextlib import asynccontextmanager
from time import monotonic
from types import SimpleNamespace

import pytest

from peridot_daemon.metrics import Metrics
from peridot_fakes.fleet import free_ports
from peridot_gateway.ingress import Ingress
from peridot_gateway.pipelining import MAX_STARTED
from peridot_gateway.requests import GatewayRequest
from peridot_gateway.routes import RouteIndex
from peridot_placement.decisions import MemoryDecisionLog
from peridot_platform.dialect import PlatformDialect
from peridot_resources.configuration import (
    CallerLimits,
    Configuration,
    ServiceConfiguration,
)
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason

DELAY_S = 0.1


class DelayingRouter:
    """A router that responds to /a/N after a delay; odd ones are refused."""

    def __init__(self) -> None:
        self.running = 0
        self.peak = 0
        self.ran: list[str] = []
        self.cancelled: list[str] = []
        self.delays: dict[str, float] = {}

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
        limits = CallerLimits(16_384, 65_536, 5.0, 10.0)
        configuration = Configuration(1, routes, services, limits)
        source = SimpleNamespace(
            configuration=configuration, index=RouteIndex(configuration)
        )
        router = DelayingRouter()
        ingress = Ingress(
            PlatformDialect(),
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


def send(writer, *requests: tuple[str, str]) -> None:
    """Send requests, each with its path and id, without waiting for responses."""
    for path, request_id in requests:
        method = "POST" if path.startswith("/o/") else "GET"
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
            f"X-Attempt-Id: {request_id}\r\n"
            "X-Request-Deadline-Ms: 1200\r\n\r\n".encode()
        )


async def read_response(reader) -> tuple[int, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split()[1])
    length = next(
        int(line.partition(b":")[2])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length")
    )
    return status, await reader.readexactly(length)


def run(open_ingress, scenario) -> None:
    async def check():
        async with open_ingress() as parts, asyncio.timeout(10):
            await scenario(*parts)

    asyncio.run(check())


def test_pipelined_requests_run_beside_each_other(open_ingress):
    """One after the other, the last of five would take five times as long."""

    async def scenario(ingress, router, reader, writer):
        began = monotonic()
        send(writer, *((f"/a/{n}", f"id-{n}") for n in range(5)))
        for n in range(5):
            assert await read_response(reader) == (200, f"id-{n}".encode())
        assert monotonic() - began < 3 * DELAY_S

    run(open_ingress, scenario)


@pytest.mark.parametrize("seed", range(8))
def test_responses_come_in_order_whatever_their_durations(seed, open_ingress):
    async def scenario(ingress, router, reader, writer):
        rng = random.Random(seed)
        requests = []
        for n in range(20):
            path = rng.choice(["/a/x", "/a/refuse", "/o/x", "/nothing"])
            requests.append((path, f"id-{n}"))
            router.delays[f"id-{n}"] = rng.choice([0.0, 0.005, 0.03])
        expected = {"/a/x": 200, "/a/refuse": 503, "/o/x": 200, "/nothing": 404}
        unanswered: list[tuple[str, str]] = []
        while requests:
            count = rng.randrange(1, 9)
            batch, requests = requests[:count], requests[count:]
            send(writer, *batch)
            unanswered += batch
            for _ in range(rng.randrange(len(unanswered) + 1)):
                path, request_id = unanswered.pop(0)
                status, body = await read_response(reader)
                assert status == expected[path]
                assert status != 200 or body == request_id.encode()
        for path, _ in unanswered:
            assert (await read_response(reader))[0] == expected[path]
        assert len(router.ran) == len(set(router.ran))

    run(open_ingress, scenario)


def test_a_non_idempotent_request_waits_for_its_turn(open_ingress):
    """A response before it may close the connection; then it counts as not read."""

    async def scenario(ingress, router, reader, writer):
        send(writer, ("/a/1", "id-1"), ("/o/2", "id-2"), ("/a/3", "id-3"))
        await asyncio.sleep(DELAY_S / 2)
        assert router.ran == ["id-1", "id-3"]
        for n in (1, 2, 3):
            assert await read_response(reader) == (200, f"id-{n}".encode())
        assert router.ran == ["id-1", "id-3", "id-2"]

    run(open_ingress, scenario)


def test_requests_of_one_connection_are_bounded(open_ingress):
    async def scenario(ingress, router, reader, writer):
        send(writer, *((f"/a/{n}", f"id-{n}") for n in range(40)))
        for n in range(40):
            assert await read_response(reader) == (200, f"id-{n}".encode())
        assert 1 < router.peak <= MAX_STARTED + 1

    run(open_ingress, scenario)


def test_a_caller_that_leaves_ends_all_its_requests(open_ingress):
    async def scenario(ingress, router, reader, writer):
        router.delays = {f"id-{n}": 5.0 for n in range(4)}
        send(writer, *((f"/a/{n}", f"id-{n}") for n in range(4)))
        await asyncio.sleep(DELAY_S)
        assert router.running == 4
        writer.transport.abort()
        await asyncio.sleep(DELAY_S)
        assert sorted(router.cancelled) == [f"id-{n}" for n in range(4)]

    run(open_ingress, scenario)


def test_a_stop_answers_started_requests_and_starts_no_others(open_ingress):
    async def scenario(ingress, router, reader, writer):
        send(writer, ("/a/1", "id-1"), ("/a/2", "id-2"), ("/o/3", "id-3"))
        await asyncio.sleep(DELAY_S / 2)
        ingress.stopping = True
        closing = asyncio.create_task(ingress.close(monotonic() + 3.0))
        for n in (1, 2):
            assert await read_response(reader) == (200, f"id-{n}".encode())
        assert await reader.read() == b""
        assert router.ran == ["id-1", "id-2"]
        await closing

    run(open_ingress, scenario)


def test_the_time_that_a_request_waits_for_its_turn_counts(open_ingress):
    """Otherwise targets are told more time than the caller waits."""

    async def scenario(ingress, router, reader, writer):
        deadlines = {}
        handle = router.handle

        async def record(request):
            deadlines[request.request_id] = request.deadline
            return await handle(request)

        router.handle = record
        send(writer, ("/o/1", "id-1"), ("/o/2", "id-2"))
        for _ in range(2):
            await read_response(reader)
        assert deadlines["id-2"] - deadlines["id-1"] < DELAY_S / 2

    run(open_ingress, scenario)
