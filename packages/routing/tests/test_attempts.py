"""Test single attempts against targets that answer, fail, stall or refuse."""

import asyncio
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from time import monotonic

import pytest
from test_slots import POLICY, make_request

from peridot_fakes.fleet import free_ports
from peridot_resources.catalog import Target
from peridot_routing.attempts import open_sessions
from peridot_routing.outcomes import Answered, NotRun, Reason, Unknown

COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: y\r\n\r\nok"
TRUNCATED = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok"
TRUNCATED_CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nok"
REFUSAL = b"HTTP/1.1 503 Unavailable\r\nNot-Run: shed\r\nContent-Length: 0\r\n\r\n"
UNFRAMED_REFUSAL = b"HTTP/1.1 503 No\r\nNot-Run: shed\r\n\r\n" + b"x" * 100_000
STALLED_REFUSAL = b"HTTP/1.1 503 No\r\nNot-Run: not-owner\r\nContent-Length: 9\r\n\r\nx"
LARGE = b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + b"x" * 5000
TARGET = Target("t", "s", "", "dc", 3, 8, True, False)


class RawTarget:
    """A TCP server that answers with fixed bytes and records what it received."""

    def __init__(self, response, close=False, delay_s=0.0, on_request=lambda: None):
        self.response = response
        self.close = close
        self.delay_s = delay_s
        self.on_request = on_request
        self.connections = 0
        self.running = 0
        self.most_running = 0
        self.received = b""

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while data := await reader.read(65536):
                self.received += data
                self.on_request()
                self.running += 1
                self.most_running = max(self.running, self.most_running)
                await asyncio.sleep(self.delay_s)
                self.running -= 1
                writer.write(self.response)
                await writer.drain()
                if self.close:
                    break
        except ConnectionError:
            pass
        writer.close()


@asynccontextmanager
async def listening(raw):
    (port,) = free_ports(1)
    async with await asyncio.start_server(raw.serve, "127.0.0.1", port):
        yield f"127.0.0.1:{port}"


@asynccontextmanager
async def serving(raw, connections=8):
    async with listening(raw) as address, open_sessions(connections) as sessions:
        yield sessions, replace(TARGET, address=address)


def attempt(raw, request=None, guard=lambda: None, times=1):
    async def session():
        async with serving(raw) as (sessions, target):
            outcome = None
            for _ in range(times):
                outcome = await sessions.attempt(
                    target, request or make_request(1), "1.1", guard
                )
            return outcome

    return asyncio.run(session())


def make_non_idempotent_request(**changes):
    return replace(make_request(1), method="POST", idempotent=False, **changes)


class CopyingTarget(RawTarget):
    """A target that numbers its answers and sends a copy of each a moment later."""

    async def serve(self, reader, writer):
        self.connections += 1
        with suppress(ConnectionError):
            while await reader.read(65536):
                answer = COMPLETE.replace(b"ok", b"%02d" % self.connections)
                writer.write(answer)
                await asyncio.sleep(0.01)
                writer.write(answer)
        writer.close()


# Guards against a late copy of an answer being taken for that to the next request.
@pytest.mark.parametrize("idempotent", [True, False])
def test_a_late_copy_of_an_answer_reaches_nobody(idempotent):
    async def session():
        async with serving(CopyingTarget(COMPLETE)) as (sessions, target):
            request = make_request(1) if idempotent else make_non_idempotent_request()
            bodies = []
            for _ in range(3):
                outcome = await sessions.attempt(target, request, "1.1", lambda: None)
                bodies.append(outcome.body)
                await asyncio.sleep(0.03)
            return bodies

    assert asyncio.run(session()) == [b"01", b"02", b"03"]


def test_complete_response_is_answered():
    outcome = attempt(RawTarget(COMPLETE))
    assert outcome == Answered(200, (("X", "y"),), b"ok", "t")


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (RawTarget(b"", close=True), Unknown(Reason.CONNECTION_LOST)),
        (RawTarget(TRUNCATED, close=True), Unknown(Reason.TORN_ANSWER)),
        (RawTarget(TRUNCATED_CHUNKS, close=True), Unknown(Reason.TORN_ANSWER)),
        (RawTarget(UNFRAMED, close=True), Unknown(Reason.TORN_ANSWER)),
        (RawTarget(LARGE), Unknown(Reason.ANSWER_TOO_LARGE)),
        (RawTarget(REFUSAL), NotRun(Reason.SHED, 50, "shed")),
        (RawTarget(b"noise\r\n\r\n"), Unknown(Reason.CONNECTION_LOST)),
    ],
)
def test_outcome_of_an_attempt_at_a_failing_target(raw, expected):
    outcome = attempt(raw, make_non_idempotent_request())
    assert type(outcome) is type(expected)
    assert outcome.reason is expected.reason


# Guards against unbounded memory and time for a refusal whose body never ends.
def test_body_of_a_refusal_is_read_to_a_limit_only():
    outcome = attempt(RawTarget(UNFRAMED_REFUSAL), make_request(1, deadline_s=2.0))
    assert outcome == NotRun(Reason.SHED, 50, "shed")


# Guards against an unknown outcome, or a deadline spent on waiting, for a request that
# the target's headers say didn't run.
@pytest.mark.parametrize("close", [False, True])
def test_refusal_whose_body_does_not_end_is_not_run(close):
    raw = RawTarget(STALLED_REFUSAL, close=close)
    request = make_non_idempotent_request(deadline=monotonic() + 1.0)
    outcome = attempt(raw, request)
    assert type(outcome) is NotRun
    assert outcome.reason is Reason.NOT_OWNER
    assert request.remaining_s() > 0.3


# Guards against an unknown outcome if the deadline passes while the body is awaited.
def test_refusal_whose_body_outlasts_the_deadline_is_not_run():
    request = make_non_idempotent_request(deadline=monotonic() + 0.05)
    outcome = attempt(RawTarget(STALLED_REFUSAL), request)
    assert type(outcome) is NotRun
    assert outcome.reason is Reason.NOT_OWNER


# Guards against the rest of a refusal being read as the response to the next request.
def test_connection_of_a_refusal_whose_body_stalls_is_not_reused():
    raw = RawTarget(STALLED_REFUSAL)
    attempt(raw, times=2)
    assert raw.connections == 2


# Guards against a late response that is read as the response to the next request on the
# same connection.
def test_response_after_the_deadline_is_unknown_and_not_given_to_the_next_request():
    raw = RawTarget(COMPLETE, delay_s=0.3)

    async def session():
        async with serving(raw) as (sessions, target):
            slow = make_request(1, deadline_s=0.1)
            first = await sessions.attempt(target, slow, "1.1", lambda: None)
            raw.response = COMPLETE.replace(b"ok", b"no")
            raw.delay_s = 0.0
            second = await sessions.attempt(
                target, make_request(2), "1.1", lambda: None
            )
            return first, second

    first, second = asyncio.run(session())
    assert first == Unknown(Reason.DEADLINE)
    assert second.body == b"no"
    assert raw.connections == 2


def test_refused_connection_is_not_run():
    async def session():
        (port,) = free_ports(1)
        async with open_sessions(8) as sessions:
            target = replace(TARGET, address=f"127.0.0.1:{port}")
            return await sessions.attempt(
                target, make_non_idempotent_request(), "1.1", lambda: None
            )

    assert asyncio.run(session()) == NotRun(Reason.CONNECTION_REFUSED)


# Guards against a request sent without a valid permit: connecting may outlast the
# check that was made before it.
def test_nothing_is_sent_if_the_permit_expires_while_connecting():
    raw = RawTarget(COMPLETE)
    outcome = attempt(
        raw, make_non_idempotent_request(), guard=lambda: NotRun(Reason.NO_PERMIT)
    )
    assert outcome == NotRun(Reason.NO_PERMIT)
    assert raw.received == b""


# Guards against unknown outcomes of non-idempotent requests, which come about when the
# target closes an idle connection just as a request is sent on it.
def test_non_idempotent_requests_never_reuse_a_connection():
    raw = RawTarget(COMPLETE)
    attempt(raw, make_non_idempotent_request(), times=3)
    assert raw.connections == 3
    raw = RawTarget(COMPLETE)
    attempt(raw, times=3)
    assert raw.connections == 1


# Guards against a request that runs twice in one attempt: the HTTP client sends those
# whose method is idempotent by the standard again if the connection breaks, whatever
# the service declares, and after a time in which the key may have changed its owner.
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("method", ["GET", "PUT"])
def test_attempt_sends_a_request_once_if_the_connection_breaks(method, idempotent):
    raw = RawTarget(b"", close=True)
    request = replace(make_request(1), method=method, idempotent=idempotent)
    outcome = attempt(raw, request)
    assert type(outcome) is Unknown
    assert outcome.reason is Reason.CONNECTION_LOST
    assert raw.received.count(b"Request-Id: r") == 1


# Guards against a target with a limit of one connection that gets two: one for requests
# that may share a connection and one for others.
@pytest.mark.parametrize("connections", [1, 2, 5])
def test_requests_of_both_kinds_keep_to_the_limit_of_connections(connections):
    raw = RawTarget(COMPLETE, delay_s=0.01)

    async def session():
        async with serving(raw, connections) as (sessions, target):
            requests = [make_request(1), make_non_idempotent_request()] * 10
            return await asyncio.gather(
                *(
                    sessions.attempt(target, request, "1.1", lambda: None)
                    for request in requests
                )
            )

    assert all(isinstance(outcome, Answered) for outcome in asyncio.run(session()))
    assert raw.most_running == connections


def test_router_adds_its_headers_once():
    raw = RawTarget(COMPLETE)
    attempt(raw)
    assert raw.received.count(b"Key-Hash: 0000000000000001") == 1
    assert b"Grant-Epoch: 1.1" in raw.received
    assert POLICY.max_answer_bytes == 1000


# Guards against responses that are none: aiohttp takes any three digits, and 101 also
# without an upgrade.
@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
@pytest.mark.parametrize("header", [b"X: y", b"Not-Run: shed"])
def test_a_status_that_is_none_is_an_unknown_outcome(status, header):
    response = COMPLETE.replace(b"200 OK", status + b" X").replace(b"X: y", header)
    outcome = attempt(RawTarget(response), make_non_idempotent_request())
    assert outcome == Unknown(Reason.TORN_ANSWER, f"status {int(status)}")
