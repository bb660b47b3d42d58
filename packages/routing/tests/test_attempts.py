"""Test one attempt against targets that fail in every way."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
from test_slots import POLICY, make_request

from peridot_fakes.fleet import free_ports
from peridot_resources.catalog import Target
from peridot_routing.attempts import open_client
from peridot_routing.outcomes import Answered, NotRun, Reason, Unknown

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: y\r\n\r\nok"
TORN = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok"
TORN_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
ENDLESS = b"HTTP/1.1 200 OK\r\n\r\nok"
REFUSAL = b"HTTP/1.1 503 Unavailable\r\nNot-Run: shed\r\nContent-Length: 0\r\n\r\n"
ENDLESS_REFUSAL = b"HTTP/1.1 503 No\r\nNot-Run: shed\r\n\r\n" + b"x" * 100_000
LARGE = b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000
TARGET = Target("t", "s", "", "dc", 3, 8, True, False)


class RawTarget:
    """Answer each request with fixed bytes and note what arrived."""

    def __init__(self, answer, close=False, delay_s=0.0):
        self.answer = answer
        self.close = close
        self.delay_s = delay_s
        self.connections = 0
        self.received = b""

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while data := await reader.read(65536):
                self.received += data
                await asyncio.sleep(self.delay_s)
                writer.write(self.answer)
                await writer.drain()
                if self.close:
                    break
        except ConnectionError:
            pass
        writer.close()


@asynccontextmanager
async def serving(raw):
    (port,) = free_ports(1)
    server = await asyncio.start_server(raw.serve, "127.0.0.1", port)
    async with server, open_client(8) as client:
        yield client, replace(TARGET, address=f"127.0.0.1:{port}")


def attempt(raw, request=None, guard=lambda: None, times=1):
    async def session():
        async with serving(raw) as (client, target):
            found = None
            for _ in range(times):
                found = await client.attempt(
                    target, request or make_request(1), "1.1", guard
                )
            return found

    return asyncio.run(session())


def make_order(**changes):
    return replace(make_request(1), method="POST", idempotent=False, **changes)


def test_whole_answer():
    outcome = attempt(RawTarget(WHOLE))
    assert outcome == Answered(200, (("X", "y"),), b"ok", "t")


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (RawTarget(b"", close=True), Unknown(Reason.CONNECTION_LOST)),
        (RawTarget(TORN, close=True), Unknown(Reason.TORN_ANSWER)),
        (RawTarget(TORN_CHUNKS, close=True), Unknown(Reason.TORN_ANSWER)),
        (RawTarget(ENDLESS, close=True), Unknown(Reason.TORN_ANSWER)),
        (RawTarget(LARGE), Unknown(Reason.ANSWER_TOO_LARGE)),
        (RawTarget(REFUSAL), NotRun(Reason.SHED, 50, "shed")),
        (RawTarget(b"noise\r\n\r\n"), Unknown(Reason.CONNECTION_LOST)),
    ],
)
def test_failing_target(raw, expected):
    outcome = attempt(raw, make_order())
    assert type(outcome) is type(expected)
    assert outcome.reason is expected.reason


# Guards against memory and time spent on the body of a refusal that never ends.
def test_the_body_of_a_refusal_is_read_to_a_limit_only():
    outcome = attempt(RawTarget(ENDLESS_REFUSAL), make_request(1, deadline_s=2.0))
    assert outcome == NotRun(Reason.SHED, 50, "shed")


def test_answer_after_the_deadline_is_unknown_and_reaches_nobody():
    raw = RawTarget(WHOLE, delay_s=0.3)

    async def session():
        async with serving(raw) as (client, target):
            slow = make_request(1, deadline_s=0.1)
            first = await client.attempt(target, slow, "1.1", lambda: None)
            raw.answer = WHOLE.replace(b"ok", b"no")
            raw.delay_s = 0.0
            second = await client.attempt(target, make_request(2), "1.1", lambda: None)
            return first, second

    first, second = asyncio.run(session())
    assert first == Unknown(Reason.DEADLINE)
    assert second.body == b"no"
    assert raw.connections == 2


def test_refused_connection_is_not_run():
    async def session():
        (port,) = free_ports(1)
        async with open_client(8) as client:
            target = replace(TARGET, address=f"127.0.0.1:{port}")
            return await client.attempt(target, make_order(), "1.1", lambda: None)

    assert asyncio.run(session()) == NotRun(Reason.CONNECTION_REFUSED)


def test_right_that_ends_while_connecting_keeps_every_byte_back():
    raw = RawTarget(WHOLE)
    outcome = attempt(raw, make_order(), guard=lambda: NotRun(Reason.NO_PERMIT))
    assert outcome == NotRun(Reason.NO_PERMIT)
    assert raw.received == b""


def test_orders_never_meet_a_kept_connection():
    raw = RawTarget(WHOLE)
    attempt(raw, make_order(), times=3)
    assert raw.connections == 3
    raw = RawTarget(WHOLE)
    attempt(raw, times=3)
    assert raw.connections == 1


def test_router_headers_of_a_caller_are_replaced():
    raw = RawTarget(WHOLE)
    attempt(raw)
    assert raw.received.count(b"Key-Hash: 0000000000000001") == 1
    assert b"Grant-Epoch: 1.1" in raw.received
    assert POLICY.max_answer_bytes == 1000
