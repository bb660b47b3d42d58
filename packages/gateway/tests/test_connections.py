"""Pattern: targets forget idle connections without notice, sooner than usual.

Requests that may run once must not use an idle connection; others learn from
the first reset. New connections cost the targets a slot, so that the rest is reused.
"""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
from aiohttp import ClientSession

from peridot_fakes.fleet import free_ports
from peridot_gateway import sessions
from peridot_gateway.dialect import ResponseHeaders
from peridot_gateway.estimates import Estimates
from peridot_gateway.sender import Sender
from peridot_gateway.sockets import (
    ConnectionUse,
    IdleLimitConnector,
    open_connector,
    use_connection,
)
from peridot_placement.decisions import MemoryDecisionLog
from peridot_routing.outcomes import Answered, NotRun, Reason, Unknown

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SAFE_IDLE_S = 0.05
REMAINING_S = 1.0


class SignedDialect:
    """A dialect that accepts any response with the id of its request, or with none."""

    def build_target_headers(self, request, target, remaining_s):
        return [("Host", "a.example"), ("Id", request.request_id)]

    def parse_response_headers(self, status, headers, request):
        other = headers.get("Id", request.request_id) != request.request_id
        return ResponseHeaders(False, False, None, other, True, None, None)


class ForgetfulTarget:
    """A target that resets requests on connections that were idle for too long."""

    def __init__(self) -> None:
        self.forgets_after_s: float | None = None
        self.connections = self.open = 0
        self.silent = False

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        self.open += 1
        loop = asyncio.get_running_loop()
        idle_since = loop.time()
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                limit_s = self.forgets_after_s
                if limit_s is not None and loop.time() - idle_since > limit_s:
                    writer.transport.abort()
                    return
                if self.silent:
                    continue
                writer.write(RESPONSE)
                await writer.drain()
                idle_since = loop.time()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()
        finally:
            self.open -= 1


@pytest.fixture
def run_with_target(monkeypatch, make_target):
    monkeypatch.setattr(sessions, "SAFE_IDLE_S", SAFE_IDLE_S)

    @asynccontextmanager
    async def open_target():
        target = ForgetfulTarget()
        (port,) = free_ports(1)
        sender = Sender(SignedDialect(), Estimates(), MemoryDecisionLog())
        async with await asyncio.start_server(target.serve, "127.0.0.1", port):
            address = f"127.0.0.1:{port}"
            yield target, sender, replace(make_target("t"), address=address)
            await sender.close()

    def run(scenario):
        async def check():
            async with open_target() as parts, asyncio.timeout(10):
                await scenario(*parts)

        asyncio.run(check())

    return run


def test_connections_that_have_just_been_used_serve_all_kinds_of_requests(
    run_with_target, make_request
):
    async def scenario(target, sender, instance):
        for idempotent in (True, False, False, True):
            request = make_request(idempotent)
            result = await sender.attempt(request, instance, REMAINING_S)
            assert isinstance(result.outcome, Answered)
        assert target.connections == 1

    run_with_target(scenario)


def test_a_request_that_may_run_once_does_not_use_an_idle_connection(
    run_with_target, make_request
):
    async def scenario(target, sender, instance):
        target.forgets_after_s = 2 * SAFE_IDLE_S
        for _ in range(4):
            result = await sender.attempt(make_request(False), instance, REMAINING_S)
            assert isinstance(result.outcome, Answered)
            await asyncio.sleep(3 * SAFE_IDLE_S)
        assert target.connections == 4

    run_with_target(scenario)


def test_after_one_reset_idle_connections_are_not_used_for_a_while(
    run_with_target, make_request
):
    async def scenario(target, sender, instance):
        target.forgets_after_s = 2 * SAFE_IDLE_S
        outcomes = []
        for _ in range(4):
            result = await sender.attempt(make_request(), instance, REMAINING_S)
            outcomes.append(result.outcome)
            await asyncio.sleep(3 * SAFE_IDLE_S)
        assert [type(item) for item in outcomes] == [
            Answered,
            Unknown,
            Answered,
            Answered,
        ]

    run_with_target(scenario)


def test_sessions_of_a_slow_target_are_closed_after_their_last_request(
    run_with_target, make_request
):
    """100 attempts that ended at their deadlines left 100 open sessions behind."""

    async def scenario(target, sender, instance):
        target.silent = True
        for _ in range(5):
            await asyncio.gather(
                *(
                    sender.attempt(make_request(remaining_s=0.06), instance, 0.05)
                    for _ in range(4)
                )
            )
        assert len(sender.connections["t"].in_flight) == 1

    run_with_target(scenario)


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("delay_s", [0.0, 0.02])
def test_a_late_copy_of_a_response_reaches_nobody(
    idempotent, delay_s, make_request, make_target
):
    """Pattern: the copy arrives where the response to the next request is due."""

    async def serve(reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request_id = head.partition(b"Id: ")[2].partition(b"\r")[0]
                response = RESPONSE.replace(b"\r\n\r\n", b"\r\nId: %b\r\n\r\n")
                writer.write(response % request_id)
                await asyncio.sleep(delay_s)
                writer.write(response % request_id)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def scenario():
        (port,) = free_ports(1)
        sender = Sender(SignedDialect(), Estimates(), MemoryDecisionLog())
        target = replace(make_target("t"), address=f"127.0.0.1:{port}")
        async with await asyncio.start_server(serve, "127.0.0.1", port):
            for number in range(6):
                request = replace(make_request(idempotent), request_id=f"id-{number}")
                result = await sender.attempt(request, target, REMAINING_S)
                if isinstance(result.outcome, Answered):
                    assert dict(result.outcome.headers)["Id"] == f"id-{number}"
            await sender.close()

    asyncio.run(scenario())


# Guards against one late copy that makes each later request meet the response before.
@pytest.mark.parametrize("idempotent", [True, False])
def test_a_response_to_another_request_closes_its_connection(
    idempotent, make_request, make_target
):
    connections = 0

    async def serve(reader, writer):
        nonlocal connections
        connections += 1
        copy = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write(copy)
                if copy:
                    await asyncio.sleep(0.05)
                request_id = head.partition(b"Id: ")[2].partition(b"\r")[0]
                copy = RESPONSE.replace(b"\r\n\r\n", b"\r\nId: %b\r\n\r\n" % request_id)
                writer.write(copy)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def scenario():
        (port,) = free_ports(1)
        sender = Sender(SignedDialect(), Estimates(), MemoryDecisionLog())
        target = replace(make_target("t"), address=f"127.0.0.1:{port}")
        outcomes = []
        async with await asyncio.start_server(serve, "127.0.0.1", port):
            for number in range(3):
                request = replace(make_request(idempotent), request_id=f"id-{number}")
                result = await sender.attempt(request, target, REMAINING_S)
                outcomes.append(type(result.outcome))
            await sender.close()
        assert outcomes == [Answered, Unknown, Answered]
        assert connections == 2

    asyncio.run(scenario())


class NumberingTarget:
    """A target that numbers its responses and sends a copy of one when told."""

    def __init__(self) -> None:
        self.requests = self.connections = 0
        self.splits_responses = False
        self.writer = None

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        self.writer = writer
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                if self.splits_responses:
                    await self.send_split_response()
                else:
                    self.send_response()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    def send_response(self) -> None:
        """Send a response with the number of the last request."""
        self.writer.write(RESPONSE.replace(b"ok", b"%02d" % self.requests))

    async def send_split_response(self) -> None:
        """Send the first half of a response, then the rest together with a copy."""
        response = RESPONSE.replace(b"ok", b"%02d" % self.requests)
        self.writer.write(response[:-1])
        await asyncio.sleep(0.02)
        self.writer.write(response[-1:] + response)


# Guards against a copy of a response being taken for the response to the next request.
@pytest.mark.parametrize("use", [None, ConnectionUse(max_idle_s=10.0)])
@pytest.mark.parametrize("is_read", [True, False])
def test_a_connection_that_received_bytes_while_idle_is_not_used_again(use, is_read):
    async def fetch(session, url) -> bytes:
        if use is None:
            async with session.get(url) as response:
                return await response.read()
        with use_connection(replace(use)):
            async with session.get(url) as response:
                return await response.read()

    async def run():
        (port,) = free_ports(1)
        url = f"http://127.0.0.1:{port}/"
        target = NumberingTarget()
        async with (
            await asyncio.start_server(target.serve, "127.0.0.1", port),
            ClientSession(connector=open_connector()) as session,
        ):
            assert await fetch(session, url) == b"01"
            target.send_response()
            if is_read:
                await asyncio.sleep(0.05)
            assert await fetch(session, url) == b"02"
            assert await fetch(session, url) == b"03"
        assert (target.requests, target.connections) == (3, 2)

    asyncio.run(run())


# Guards against a copy that arrives together with the end of its response.
def test_a_connection_whose_response_ended_with_a_copy_is_not_used_again():
    async def run():
        (port,) = free_ports(1)
        target = NumberingTarget()
        target.splits_responses = True
        async with (
            await asyncio.start_server(target.serve, "127.0.0.1", port),
            ClientSession(connector=open_connector()) as session,
        ):
            for body in (b"01", b"02"):
                async with session.get(f"http://127.0.0.1:{port}/") as response:
                    assert await response.read() == body
        assert (target.requests, target.connections) == (2, 2)

    asyncio.run(run())


@pytest.mark.parametrize(("vms", "kept"), [(1, 4), (10, 2), (100, 1)])
def test_a_burst_leaves_few_idle_connections(vms, kept, run_with_target, make_request):
    """Pattern: a hot key. Idle connections of all VMs filled a target's limit.

    It then reset new ones, with orders on them.
    """

    async def scenario(target, sender, instance):
        sender.count_vms = lambda: vms
        requests = [make_request() for _ in range(20)]
        await asyncio.gather(
            *(sender.attempt(request, instance, REMAINING_S) for request in requests)
        )
        await asyncio.sleep(0.05)
        assert target.connections == 20
        assert target.open == kept

    run_with_target(scenario)


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_request_that_got_no_connection_in_time_has_not_run(
    idempotent, monkeypatch, make_request, make_target
):
    """Pattern: a target that is cut off or full, and little time left.

    The caller was told 504, unknown whether it ran, and couldn't return with an order.
    """

    async def hang(*args):
        await asyncio.sleep(10)

    monkeypatch.setattr(IdleLimitConnector, "_create_connection", hang)

    async def scenario():
        sender = Sender(SignedDialect(), Estimates(), MemoryDecisionLog())
        request = make_request(idempotent, remaining_s=0.1)
        result = await sender.attempt(request, make_target("t"), REMAINING_S)
        assert isinstance(result.outcome, NotRun)
        assert result.outcome.reason is Reason.TARGET_LOST
        await sender.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("may_give_up", [True, False])
def test_a_silent_target_is_waited_for_while_its_request_must_not_be_given_up(
    may_give_up, run_with_target, make_request
):
    async def scenario(target, sender, instance):
        target.silent = True
        loop = asyncio.get_running_loop()
        began = loop.time()
        result = await sender.attempt(
            make_request(remaining_s=0.5), instance, 0.05, lambda: may_give_up
        )
        assert result.outcome == Unknown(Reason.DEADLINE)
        assert (loop.time() - began < 0.25) == may_give_up

    run_with_target(scenario)


# Guards against a late copy of a target's refusal of the same attempt, which has its id
# too: a request that runs would count as not run, and would be sent again.
@pytest.mark.parametrize("idempotent", [True, False])
def test_a_request_is_sent_to_a_target_again_on_a_new_connection(
    idempotent, make_request, make_target
):
    connections = 0

    async def serve(reader, writer):
        nonlocal connections
        connections += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(RESPONSE)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def scenario():
        (port,) = free_ports(1)
        sender = Sender(SignedDialect(), Estimates(), MemoryDecisionLog())
        target = replace(make_target("t"), address=f"127.0.0.1:{port}")
        request = make_request(idempotent)
        async with await asyncio.start_server(serve, "127.0.0.1", port):
            await sender.attempt(request, target, REMAINING_S)
            request.tried_targets.add("t")
            await sender.attempt(request, target, REMAINING_S)
            assert connections == 2
            other = replace(make_request(idempotent), request_id="id-2")
            await sender.attempt(other, target, REMAINING_S)
            assert connections == 2
            await sender.close()

    asyncio.run(scenario())
