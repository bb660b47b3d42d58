"""Pattern: large responses to callers that read slowly, stop, or leave."""

import asyncio
import random
import socket
from contextlib import suppress
from time import monotonic

import pytest

from peridot_gateway.answers import MAX_STREAM_BYTES
from peridot_gateway.memory import MIB, divide_memory
from peridot_gateway.sockets import RESET_ON_CLOSE
from peridot_gateway.streams import (
    MIN_STREAM_BYTES,
    PIECE_BYTES,
    WAITING_BYTES,
    set_option,
)

# The largest download of the stated load.
SIZE = 540 * 1000
BODY = random.Random(1).randbytes(SIZE)
OK = b"HTTP/1.1 200 OK\r\n"
KNOWN_LENGTH = OK + b"Content-Length: %d\r\n\r\n" % SIZE
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
UNTIL_CLOSE = OK + b"\r\n"


class DownloadTarget:
    """A target that sends the same bytes, then goes on as told."""

    def __init__(self) -> None:
        self.head = KNOWN_LENGTH
        self.body = BODY
        # close, reset or stall after the body; anything else waits for a request.
        self.then = ""
        # Time before each response (s).
        self.delay_s = 0.0
        self.open = 0
        self.accepted = 0

    async def serve(self, reader, writer) -> None:
        self.open += 1
        self.accepted += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                await asyncio.sleep(self.delay_s)
                writer.write(self.head + self.body)
                await writer.drain()
                if self.then == "reset":
                    # What was sent arrives first.
                    await asyncio.sleep(0.1)
                    connection = writer.get_extra_info("socket")
                    connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                    )
                if self.then in ("close", "reset"):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open -= 1
            writer.close()


async def read_response(reader) -> bytes:
    """Return a whole body; raise an error if the response isn't complete."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    assert head.startswith(b"http/1.1 200")
    if b"chunked" not in head:
        length = head.partition(b"content-length: ")[2].split(b"\r\n")[0]
        return await reader.readexactly(int(length))
    body = bytearray()
    while size := int(await reader.readline(), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    assert await reader.readexactly(2) == b"\r\n"
    return bytes(body)


@pytest.fixture
def run(run_with_target):
    def run_scenario(scenario) -> None:
        run_with_target(DownloadTarget(), scenario)

    return run_scenario


async def wait_until(condition, timeout_s: float = 0.5) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


FRAMINGS = {
    "length": (KNOWN_LENGTH, BODY, ""),
    "chunked": (CHUNKED, b"%x\r\n%b\r\n0\r\n\r\n" % (SIZE, BODY), ""),
    "until close": (UNTIL_CLOSE, BODY, "close"),
}


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_large_response_is_passed_on_whole(framing, run):
    """Guards against bytes that are lost or reordered, and against slots kept."""

    async def scenario(setup):
        target = setup.target
        target.head, target.body, target.then = FRAMINGS[framing]
        reader, writer = await setup.open_caller(2)
        for _ in range(2):
            assert await read_response(reader) == BODY
        await wait_until(lambda: not setup.in_flight)
        assert setup.buffers.held_bytes == 0 and not setup.buffers.open
        assert setup.buffers.aborted == 0
        # Connections that were read to their end are kept.
        assert target.open == (0 if framing == "until close" else target.accepted)
        writer.close()

    run(scenario)


@pytest.mark.parametrize("size", [6 * 10**6, MAX_STREAM_BYTES])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("path", ["/a/x", "/o/x"])
def test_a_response_larger_than_the_memory_for_it_is_passed_on(
    path, framing, size, run
):
    """Guards against large downloads that are always cut off, or replaced by 502."""
    body = random.Random(1).randbytes(size)

    async def scenario(setup):
        setup.buffers.max_bytes = 2**20
        target = setup.target
        target.head = {"length": OK + b"Content-Length: %d\r\n\r\n" % size}.get(
            framing, FRAMINGS[framing][0]
        )
        target.then = FRAMINGS[framing][2]
        chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (size, body)
        target.body = chunk if framing == "chunked" else body
        reader, writer = await asyncio.open_connection(*setup.address)
        writer.write(
            b"GET %b HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\n"
            b"Deadline-Ms: 9000\r\n\r\n" % path.encode()
        )
        assert await read_response(reader) == body
        assert setup.buffers.aborted == 0
        writer.close()

    run(scenario)


def test_a_response_is_passed_on_before_it_is_complete(run):
    """Guards against a first byte that waits for the last one."""

    async def scenario(setup):
        setup.target.body = BODY[:100_000]
        reader, writer = await setup.open_caller()
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(90_000) == BODY[:90_000]
        assert setup.in_flight == 1
        writer.close()

    run(scenario)


def test_a_slow_reader_does_not_hold_the_slot(run):
    """Guards against targets whose slots wait for callers on slow links."""

    async def scenario(setup):
        reader, writer = await setup.open_caller()
        await reader.readuntil(b"\r\n\r\n")
        await wait_until(lambda: not setup.in_flight)
        assert setup.buffers.held_bytes > SIZE / 2
        body = b""
        while len(body) < SIZE:
            body += await reader.read(20_000)
            await asyncio.sleep(0.01)
        assert body == BODY
        # The time to the first byte counts, not the caller's.
        assert setup.sender.estimates.get("t").processing_s < 0.2
        writer.close()

    run(scenario)


def test_a_slow_reader_gets_all_after_the_deadline_if_it_reads_on(run):
    """Guards against downloads that are cut off although they are in the VM."""

    async def scenario(setup):
        reader, writer = await setup.open_caller(deadline_ms=300)
        body = await reader.readuntil(b"\r\n\r\n")
        body = b""
        while len(body) < SIZE:
            body += await reader.readexactly(min(27_000, SIZE - len(body)))
            await asyncio.sleep(0.04)
        assert body == BODY
        writer.close()

    run(scenario)


def test_a_caller_that_stops_reading_is_cut_off_at_the_deadline(run, monkeypatch):
    """Guards against memory and connections held for callers that are gone."""
    monkeypatch.setattr("peridot_gateway.streams.STALL_S", 0.1)

    async def scenario(setup):
        setup.buffers.max_bytes = 4 * MIN_STREAM_BYTES
        began = monotonic()
        reader, writer = await setup.open_caller(deadline_ms=400)
        await wait_until(lambda: setup.buffers.open)
        await wait_until(lambda: not setup.buffers.open, 2.0)
        assert 0.3 < monotonic() - began < 0.8
        assert setup.buffers.aborted == 1 and setup.buffers.held_bytes == 0
        assert setup.sender.estimates.get("t").failed == 0
        await wait_until(lambda: not (setup.in_flight or setup.target.open))
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await read_response(reader)
        writer.close()

    run(scenario)


PART = BODY[:300_000]
BREAKS = [
    (KNOWN_LENGTH + PART, "close"),
    (KNOWN_LENGTH + PART, "reset"),
    (CHUNKED + b"%x\r\n" % SIZE + PART, "close"),
    (CHUNKED + b"%x\r\n" % SIZE + PART, "reset"),
    # All chunks but the last, which is empty.
    (CHUNKED + b"%x\r\n%b\r\n" % (SIZE, BODY), "close"),
    (UNTIL_CLOSE + PART, "reset"),
    # The body ends with the connection unless chunked is the last coding.
    (OK + b"Transfer-Encoding: xchunked\r\n\r\n" + PART, "reset"),
    (OK + b"Transfer-Encoding: chunked, gzip\r\n\r\n" + PART, "reset"),
    (
        OK + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n" + PART,
        "reset",
    ),
]


@pytest.mark.parametrize("case", range(len(BREAKS)))
def test_a_response_that_breaks_off_does_not_look_complete(case, run):
    """Guards against callers that take a part of a response for all of it."""

    async def scenario(setup):
        setup.target.head, setup.target.then = BREAKS[case]
        setup.target.body = b""
        reader, writer = await setup.open_caller()
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError, ValueError)):
            await read_response(reader)
        await wait_until(lambda: setup.buffers.aborted == 1)
        assert setup.buffers.held_bytes == setup.in_flight == 0
        assert setup.sender.estimates.get("t").failed == 1
        writer.close()

    run(scenario)


def test_a_target_that_is_silent_midway_ends_the_stream(run, monkeypatch):
    """Guards against callers that wait until their deadline for nothing."""
    monkeypatch.setattr("peridot_gateway.streams.MIN_SILENCE_S", 0.2)

    async def scenario(setup):
        attempt = setup.sender.attempt
        setup.sender.attempt = lambda request, target, _: attempt(request, target, 0.2)
        setup.target.body = BODY[:200_000]
        reader, writer = await setup.open_caller()
        began = monotonic()
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await read_response(reader)
        assert monotonic() - began < 1.0
        await wait_until(lambda: not setup.target.open)
        writer.close()

    run(scenario)


@pytest.mark.parametrize("path", ["/a/x", "/o/x"])
@pytest.mark.parametrize("count", [1, 4])
def test_the_connections_to_targets_close_soon_after_a_caller_leaves(path, count, run):
    """Guards against slots that targets spend on responses nobody gets."""

    async def scenario(setup):
        setup.buffers.max_bytes = 0
        reader, writer = await setup.open_caller(count, path)
        started = count if path == "/a/x" else 1
        await wait_until(lambda: setup.target.open == started)
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.1)
        writer.transport.abort()
        await wait_until(lambda: not (setup.target.open or setup.in_flight), 0.5)
        assert setup.buffers.held_bytes == 0 and not setup.buffers.open

    run(scenario)


def test_a_response_for_a_caller_that_left_before_it_is_dropped(run):
    """Guards against streams that nobody reads, of requests that go on alone."""

    async def scenario(setup):
        setup.buffers.max_bytes, setup.target.delay_s = 0, 0.2
        _, writer = await setup.open_caller(path="/o/x")
        await wait_until(lambda: setup.in_flight)
        writer.transport.abort()
        await asyncio.sleep(0.1)
        assert setup.in_flight
        await wait_until(lambda: not (setup.target.open or setup.in_flight))
        assert setup.buffers.held_bytes == 0 and not setup.buffers.open

    run(scenario)


def test_many_streams_share_the_memory_of_the_smallest_vm(run):
    """Guards against a VM that is killed for its memory, and against starved streams.

    60 callers read nothing at first, so that all that a VM may hold for them is held.
    """

    async def scenario(setup):
        setup.buffers.max_bytes = limit = 4 * MIB
        callers = [await setup.open_caller(deadline_ms=9000) for _ in range(60)]
        await wait_until(lambda: len(setup.buffers.open) == 60, 3.0)
        await asyncio.sleep(0.3)
        peak = setup.buffers.held_bytes
        assert limit / 2 < peak <= limit + 60 * (MIN_STREAM_BYTES + PIECE_BYTES)
        for stream in setup.buffers.open:
            content = stream.source.response.content
            assert content._size <= WAITING_BYTES
        bodies = await asyncio.gather(*(read_response(reader) for reader, _ in callers))
        assert all(body == BODY for body in bodies)
        assert setup.buffers.held_bytes == 0 and not setup.buffers.open
        for _, writer in callers:
            writer.close()

    run(scenario)


@pytest.mark.parametrize("max_bytes", [0, 4 * MIB])
def test_pipelined_downloads_come_in_order_within_the_memory(max_bytes, run):
    """Guards against a stream that waits for its turn and keeps others from ending."""

    async def scenario(setup):
        setup.buffers.max_bytes = max_bytes
        reader, writer = await setup.open_caller(6)
        for _ in range(6):
            assert await read_response(reader) == BODY
            assert setup.buffers.held_bytes <= max_bytes + 6 * (
                MIN_STREAM_BYTES + PIECE_BYTES
            )
        assert setup.buffers.held_bytes == 0
        writer.close()

    run(scenario)


def test_a_stream_that_breaks_before_its_turn_is_answered_as_unknown(run):
    """Guards against an aborted connection where an error can still be told."""

    async def scenario(setup):
        reader, writer = await setup.open_caller()
        await wait_until(lambda: setup.buffers.open)
        setup.target.then, setup.target.body = "close", PART
        writer.write(
            b"GET /a/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\n"
            b"Deadline-Ms: 5000\r\n\r\n"
        )
        await asyncio.sleep(0.3)
        assert await read_response(reader) == BODY
        assert b" 502 " in await reader.readuntil(b"\r\n\r\n")
        assert setup.buffers.aborted == 0
        writer.close()

    run(scenario)


@pytest.mark.parametrize("reading", [True, False])
def test_a_graceful_stop_midway(reading, run):
    """Guards against downloads cut by a stop, and stops that wait for ever."""

    async def scenario(setup):
        reader, writer = await setup.open_caller()
        await wait_until(lambda: setup.buffers.open)
        began = monotonic()
        setup.ingress.begin_stop(began + 1.0)
        closing = asyncio.create_task(setup.ingress.close())
        await asyncio.sleep(0.1)
        if reading:
            assert await read_response(reader) == BODY
            assert await reader.read() == b""
        await closing
        assert (monotonic() - began < 0.9) == reading
        writer.close()

    run(scenario)


FURTHER_REQUEST = (
    b"GET /a/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id-2\r\n"
    b"Deadline-Ms: 5000\r\n\r\n"
)


@pytest.mark.parametrize("size", [SIZE, 60_000])
@pytest.mark.parametrize("announced", [False, True])
def test_a_further_request_does_not_cut_the_response_before_it(announced, size, run):
    """Guards against the end of a download that is lost at a planned stop.

    Bytes that reach a closed connection reset it, with what its buffers hold.
    """

    async def scenario(setup):
        body = setup.target.body = BODY[:size]
        setup.target.head = KNOWN_LENGTH.replace(b"%d" % SIZE, b"%d" % size)
        setup.ingress.stopping = announced
        reader, writer = await setup.open_caller()
        head = await reader.readuntil(b"\r\n\r\n")
        assert (b"connection: close" in head.lower()) == announced
        setup.ingress.begin_stop(monotonic() + 10.0)
        closing = asyncio.create_task(setup.ingress.close())
        received = b""
        while setup.ingress.open_requests:
            received += await reader.read(1024)
            await asyncio.sleep(0.001)
        # Beyond the time in which idle connections are closed.
        await asyncio.sleep(0.1)
        writer.write(FURTHER_REQUEST)
        with suppress(ConnectionError):
            while piece := await reader.read(1024):
                received += piece
                await asyncio.sleep(0.001)
        assert len(received) == size and received == body
        writer.close()
        await closing

    run(scenario)


def test_a_caller_that_resets_the_connection_as_it_is_closed(run):
    """Guards against connections that count as open for as long as they may linger."""

    async def scenario(setup):
        setup.ingress.stopping = True
        reader, writer = await setup.open_caller()
        await reader.readuntil(b"\r\n\r\n")
        set_option(writer.transport, socket.SO_LINGER, RESET_ON_CLOSE)
        (connection,) = setup.ingress.server.connections
        writer.transport.abort()
        connection.transport.close()
        await wait_until(lambda: not setup.ingress.server.connections)

    run(scenario)


def test_a_caller_that_asks_while_it_reads_gets_all_responses_at_a_stop(run):
    """Guards against requests that are read during a stop and never answered."""

    async def scenario(setup):
        reader, writer = await setup.open_caller(2)
        await reader.readuntil(b"\r\n\r\n")
        setup.ingress.begin_stop(monotonic() + 10.0)
        closing = asyncio.create_task(setup.ingress.close())
        assert await reader.readexactly(SIZE) == BODY
        writer.write(FURTHER_REQUEST)
        assert await read_response(reader) == BODY
        count = setup.target.accepted
        with suppress(ConnectionError):
            while await reader.read(1024):
                pass
        assert setup.target.accepted == count
        writer.close()
        await closing

    run(scenario)


def test_a_caller_of_http_1_0_gets_a_response_without_a_length(run):
    """Guards against a response that fails because it can't be chunked."""

    async def scenario(setup):
        setup.target.head, setup.target.then = UNTIL_CLOSE, "close"
        reader, writer = await asyncio.open_connection(*setup.address)
        writer.write(
            b"GET /a/x HTTP/1.0\r\nHost: a.example\r\nRequest-Id: id\r\n"
            b"Deadline-Ms: 5000\r\n\r\n"
        )
        assert (await reader.read()).endswith(b"\r\n\r\n" + BODY)
        setup.target.then, setup.target.body = "reset", PART
        reader, writer = await asyncio.open_connection(*setup.address)
        writer.write(
            b"GET /a/x HTTP/1.0\r\nHost: a.example\r\nRequest-Id: id\r\n"
            b"Deadline-Ms: 5000\r\n\r\n"
        )
        with pytest.raises(ConnectionError):
            await reader.read()
        with suppress(ConnectionError):
            writer.close()

    run(scenario)


@pytest.mark.parametrize("memory_mb", [-5.0, 0.0, 100.0, 160.0, 199.0, 200.0, 552.0])
def test_held_bytes_fit_into_the_memory(memory_mb):
    """Guards against VMs of 160 MB that may hold 96 MB beside the program's 90."""
    limits = divide_memory(memory_mb)
    held = limits.body_bytes + limits.response_bytes + limits.stream_bytes
    assert held <= max(memory_mb - 90, 32) * MIB
    assert min(limits.body_bytes, limits.response_bytes, limits.stream_bytes) > 0
    if memory_mb >= 200:
        assert limits.body_bytes == 64 * MIB
