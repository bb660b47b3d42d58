"""Pattern: large bodies of requests that run once, passed on while they arrive."""

import asyncio
import random
from time import monotonic
from types import SimpleNamespace

import pytest

from peridot_gateway.sender import AttemptResult
from peridot_gateway.uploads import HELD_BYTES, Upload
from peridot_routing.outcomes import Answered, NotRun, Reason

SIZE = 900_000
BODY = random.Random(2).randbytes(SIZE)
FINAL = b"HTTP/1.1 %b\r\nContent-Length: 2\r\n\r\nok"


def head(length: int | None, deadline_ms: int = 4000, extra: str = "") -> bytes:
    framing = (
        "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
    )
    return (
        "POST /o/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id-1\r\n"
        f"Deadline-Ms: {deadline_ms}\r\n{extra}{framing}\r\n\r\n"
    ).encode()


class UploadTarget:
    """A target that reads bodies as told and says what it got."""

    def __init__(self) -> None:
        # Responds when so many bytes have arrived; None if the body must be whole.
        self.answer_after: int | None = None
        self.status = b"200 OK"
        # Whether it reads at all, and whether it breaks off instead of responding.
        self.reading = asyncio.Event()
        self.reading.set()
        self.breaking = False
        self.heads: list[bytes] = []
        self.received = b""
        self.accepted = 0
        self.open = 0

    async def serve(self, reader, writer) -> None:
        self.accepted += 1
        self.open += 1
        try:
            while True:
                self.heads.append(await reader.readuntil(b"\r\n\r\n"))
                await self.reading.wait()
                self.received = b""
                await self.read_body(reader, self.heads[-1].lower())
                if self.breaking:
                    return
                writer.write(FINAL % self.status)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open -= 1
            writer.close()

    async def read_body(self, reader, head: bytes) -> None:
        if b"chunked" in head:
            while size := int(await reader.readline(), 16):
                self.received += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
            return
        length = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
        limit = length if self.answer_after is None else self.answer_after
        while len(self.received) < limit:
            piece = await reader.read(min(65_536, limit - len(self.received)))
            if not piece:
                raise ConnectionError
            self.received += piece


async def read_status(reader) -> int:
    response = await reader.readuntil(b"\r\n\r\n")
    length = response.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
    await reader.readexactly(int(length))
    return int(response.split()[1])


@pytest.fixture
def run(run_with_target):
    def run_scenario(scenario) -> None:
        async def connect(setup):
            reader, writer = await asyncio.open_connection(*setup.address)
            await scenario(setup, reader, writer)
            assert setup.in_flight == 0
            assert setup.ingress.body_reader.held_bytes == 0
            writer.close()

        run_with_target(UploadTarget(), connect)

    return run_scenario


@pytest.mark.parametrize("chunked", [True, False])
def test_a_body_reaches_the_target_while_it_arrives(chunked, run):
    """Guards against targets that wait for a body's last byte, and broken framing."""

    async def scenario(setup, reader, writer):
        for _ in range(2):
            writer.write(head(None if chunked else SIZE))
            half = SIZE // 2
            parts = [BODY[:half], BODY[half:]]
            if chunked:
                parts = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
                parts[1] += b"0\r\n\r\n"
            writer.write(parts[0])
            async with asyncio.timeout(1):
                while not setup.target.heads or len(setup.target.received) < 70_000:
                    await asyncio.sleep(0.01)
            assert setup.ingress.body_reader.held_bytes == HELD_BYTES
            writer.write(parts[1])
            assert await read_status(reader) == 200
            assert setup.target.received == BODY
            setup.target.received = b""
        assert setup.target.accepted == 1

    run(scenario)


def test_a_target_that_does_not_read_stops_the_caller(run):
    """Guards against VMs that hold what slow targets don't take."""

    async def scenario(setup, reader, writer):
        setup.target.reading.clear()
        size = 64 * 2**20
        limits = setup.ingress.configuration_source.configuration.limits
        object.__setattr__(limits, "max_body_bytes", size)
        writer.write(head(size, deadline_ms=1200))
        sent = 0
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.7):
                while sent < size:
                    writer.write(bytes(2**20))
                    await writer.drain()
                    sent += 2**20
        # The rest is in the kernel's buffers on loopback.
        assert sent < 24 * 2**20
        assert setup.ingress.body_reader.held_bytes == HELD_BYTES
        assert await read_status(reader) == 504
        # This is the target's failure.
        assert setup.sender.estimates.get("t").failed == 1

    run(scenario)


@pytest.mark.parametrize(("status", "expected"), [(b"400 No", 400), (b"503 Full", 503)])
def test_a_target_that_answers_early_gets_no_other_bytes(status, expected, run):
    """Guards against a next request that the target takes for the rest of a body."""

    async def scenario(setup, reader, writer):
        setup.target.answer_after, setup.target.status = 100_000, status
        writer.write(head(SIZE) + BODY[:200_000])
        assert await read_status(reader) == expected
        writer.write(BODY[200_000:])
        setup.target.answer_after, setup.target.status = None, b"200 OK"
        writer.write(head(SIZE) + BODY)
        assert await read_status(reader) == 200
        assert setup.target.received == BODY
        assert setup.target.accepted == 2
        assert len(setup.target.heads) == 2

    run(scenario)


def test_a_body_that_was_sent_in_part_may_have_run(run):
    """Guards against a refusal, after which callers would run a request twice."""

    async def scenario(setup, reader, writer):
        setup.target.answer_after, setup.target.breaking = 100_000, True
        writer.write(head(SIZE) + BODY[:200_000])
        assert await read_status(reader) == 502
        assert len(setup.target.heads) == 1

    run(scenario)


def test_a_caller_that_stalls_is_not_the_targets_failure(run):
    """Guards against targets that count as failing because of slow callers."""

    async def scenario(setup, reader, writer):
        began = monotonic()
        writer.write(head(SIZE, deadline_ms=300) + BODY[:200_000])
        assert await read_status(reader) == 504
        assert monotonic() - began < 0.8
        estimate = setup.sender.estimates.get("t")
        assert estimate.failed == 0 and estimate.failure_rate == 0
        await asyncio.sleep(0.05)
        assert setup.target.open == 0

    run(scenario)


def test_a_body_that_ends_early_never_looks_complete(run):
    """Guards against targets that run a part of a body."""

    async def scenario(setup, reader, writer):
        writer.write(head(None) + b"%x\r\n%b\r\n" % (200_000, BODY[:200_000]))
        async with asyncio.timeout(1):
            while not setup.target.heads:
                await asyncio.sleep(0.01)
        writer.transport.abort()
        async with asyncio.timeout(0.5):
            while setup.target.open or setup.in_flight:
                await asyncio.sleep(0.01)
        assert setup.sender.estimates.get("t").finished == 0

    run(scenario)


def test_a_body_over_the_limit_is_not_passed_on_whole(run):
    """Guards against a limit that holds only for bodies that are read whole."""

    async def scenario(setup, reader, writer):
        size = 2 * 2**20
        writer.write(head(None) + b"%x\r\n" % size + bytes(size))
        assert await read_status(reader) == 502
        writer.close()
        await asyncio.sleep(0.05)
        assert setup.sender.estimates.get("t").finished == 0

    run(scenario)


@pytest.mark.parametrize("size", [1000, SIZE])
def test_permission_to_send_is_given_once_and_by_the_gateway(size, run):
    """Guards against callers that wait for it, and targets that are asked for it."""

    async def scenario(setup, reader, writer):
        writer.write(head(size, extra="Expect: 100-continue\r\n"))
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(BODY[:size])
        assert await read_status(reader) == 200
        assert setup.target.received == BODY[:size]
        assert b"expect" not in setup.target.heads[0].lower()

    run(scenario)


def test_a_refusal_instead_of_a_permission_closes_the_connection(run):
    """Guards against a next request that is taken for the body that was left out."""

    async def scenario(setup, reader, writer):
        setup.ingress.body_reader.max_held_bytes = 1
        writer.write(head(SIZE, extra="Expect: 100-continue\r\n"))
        response = await reader.readuntil(b"\r\n\r\n")
        assert b" 503 " in response and b"connection: close" in response.lower()
        assert setup.target.heads == []

    run(scenario)


@pytest.mark.parametrize("taken", [True, False])
def test_a_body_is_sent_again_only_if_no_target_got_a_part(
    taken, route_with, make_request
):
    """Guards against a second target that gets the rest of a body as all of it."""

    async def scenario():
        refused = AttemptResult(NotRun(Reason.SHED, 100))
        router, sender = route_with([refused, AttemptResult(Answered(200, (), b""))])
        request = make_request(idempotent=False)
        request.body = Upload(SimpleNamespace(content_length=SIZE), SIZE)
        request.body.taken = taken
        outcome = await router.handle(request)
        assert isinstance(outcome, NotRun if taken else Answered)
        assert len(sender.sent) == (1 if taken else 2)

    asyncio.run(scenario())
