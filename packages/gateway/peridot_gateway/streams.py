"""Responses that are passed on while they arrive, with bounded buffers."""

import asyncio
import socket
from asyncio import CancelledError
from collections import deque
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from time import monotonic

from aiohttp import ClientError, ClientResponse, web
from multidict import CIMultiDict

from peridot_gateway.answers import MAX_STREAM_BYTES, SMALL_RESPONSE_BYTES
from peridot_gateway.sockets import RESET_ON_CLOSE
from peridot_routing.attempts import BODYLESS_STATUSES
from peridot_routing.outcomes import Answered, BodyStream, Outcome, Reason, Unknown

# aiohttp stops reading a target's connection at twice this size: a stream must not
# hold much beside its own buffer. Small responses fit, so that they aren't paused.
READ_BUFFER_BYTES = 32 * 2**10
# Size of the pieces in which bytes are taken from targets and written to callers.
PIECE_BYTES = 32 * 2**10
# What a stream may hold even if the memory of all streams is in use, so that each goes
# on.
MIN_STREAM_BYTES = 64 * 2**10
# What aiohttp and the kernel hold at most for a stream that waits for room, beside its
# buffer: twice READ_BUFFER_BYTES, and 100 KB each in the two sockets' buffers.
WAITING_BYTES = 264 * 2**10
# Bytes in the write buffer of a caller's connection above which the stream waits.
WRITE_BUFFER_BYTES = 32 * 2**10
# Send buffer in the kernel, which doubles it. It would grow to megabytes for a caller
# that doesn't read, beyond what is counted here.
SEND_BUFFER_BYTES = 64 * 2**10
# Memory of all streams unless the settings say otherwise.
DEFAULT_STREAM_BYTES = 32 * 2**20
# Shortest silence of a target that ends a stream (s): other streams on the VM's link
# may delay bytes that are on their way.
MIN_SILENCE_S = 3.0
# After the deadline, callers must take bytes at least this often (s), and be done after
# a time (s). The bytes have been read from the target by then.
STALL_S = 4.0
MAX_LATE_S = 30.0


class BrokenStream(Exception):
    """Raised when a response ended before its end was proven; says why."""


@dataclass
class TargetBody:
    """The body of a target's response, and how its end is known."""

    response: ClientResponse
    method: str
    # Whether the body has an end of its own, not the connection's.
    is_framed: bool = field(init=False)
    # Completed when the connection has been closed; None if the body has its own end.
    closed: asyncio.Future[None] | None = field(init=False, default=None)

    def __post_init__(self) -> None:
        self.is_framed = (
            self.is_empty
            or self.response.content_length is not None
            or self._is_chunked()
        )
        connection = self.response.connection
        if not self.is_framed and connection is not None:
            self.closed = connection.protocol.closed

    @property
    def is_empty(self) -> bool:
        """Return whether the response has no body whatever its headers say."""
        return self.method == "HEAD" or self.response.status in BODYLESS_STATUSES

    def _is_chunked(self) -> bool:
        codings = ",".join(self.response.headers.getall("Transfer-Encoding", ()))
        return codings.rpartition(",")[2].strip().lower() == "chunked"

    def has_proven_end(self) -> bool:
        """Return whether the body is whole once all of it has been read.

        A body that ends with the connection is, unless the connection was reset.
        """
        if self.is_framed:
            return True
        closed = self.closed
        return closed is not None and closed.done() and closed.exception() is None


@dataclass
class StreamBuffers:
    """The open streams and the bytes that they hold."""

    max_bytes: int = DEFAULT_STREAM_BYTES
    held_bytes: int = 0
    # Number of callers' connections that were aborted during their response.
    aborted: int = 0
    open: set["ResponseStream"] = field(default_factory=set)
    # Those of them whose buffers are full.
    waiting: set["ResponseStream"] = field(default_factory=set)

    def may_stream(self, body: TargetBody) -> bool:
        """Return whether a body may turn out to be too large to be read whole."""
        length = body.response.content_length
        if body.is_empty or (body.closed is None and not body.is_framed):
            return False
        return length is None or SMALL_RESPONSE_BYTES < length <= MAX_STREAM_BYTES

    async def read(
        self, body: TargetBody, deadline: float, silence_s: float
    ) -> "bytes | ResponseStream | None":
        """Return a small body whole, a large one as a stream, None if it is truncated.

        Targets that say that a response is large may still be given up for another
        until its first bytes arrive.
        """
        stream = ResponseStream(self, body, deadline, max(silence_s, MIN_SILENCE_S))
        limit = 0 if body.response.content_length else SMALL_RESPONSE_BYTES
        try:
            while stream.received_bytes <= limit:
                piece = await body.response.content.read(PIECE_BYTES)
                if not piece:
                    whole = b"".join(stream.pieces)
                    stream.drop_pieces()
                    return whole if body.has_proven_end() else None
                stream.append(piece)
        except BaseException:
            stream.drop_pieces()
            raise
        return stream

    def has_room(self, stream: "ResponseStream") -> bool:
        """Return whether a stream may read on: each gets the same share."""
        if stream.held_bytes < MIN_STREAM_BYTES:
            return True
        max_bytes = self.max_bytes - len(self.waiting) * WAITING_BYTES
        share_bytes = max_bytes // max(1, len(self.open))
        return self.held_bytes < max_bytes and stream.held_bytes < share_bytes

    def wake_waiting(self) -> None:
        """Let the streams that wait for room look again."""
        for stream in self.waiting:
            stream.changed.set()

    async def close(self) -> None:
        """End all streams."""
        tasks = [stream.task for stream in self.open if stream.task]
        for stream in list(self.open):
            stream.close()
        await asyncio.gather(*tasks, return_exceptions=True)


class ResponseStream(BodyStream):
    """The body of one response: read from the target ahead of the caller."""

    def __init__(
        self,
        buffers: StreamBuffers,
        source: TargetBody,
        deadline: float,
        silence_s: float,
    ) -> None:
        self.buffers = buffers
        self.source = source
        self.length = source.response.content_length
        # Until when the target must have sent all (s).
        self.deadline = deadline
        # For how long the target may send nothing while there is room (s).
        self.silence_s = silence_s
        self.pieces: deque[bytes] = deque()
        # Bytes in memory, and received in total.
        self.held_bytes = 0
        self.received_bytes = 0
        # Whether all has been received, or why not.
        self.complete = False
        self.broken: str | None = None
        # Called when the stream breaks, also while its caller reads nothing.
        self.handle_broken: Callable[[], None] = lambda: None
        # Whether the target waits, as there is no room.
        self.throttled = False
        self.changed = asyncio.Event()
        self.arrived = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        # A task that is cancelled before it runs would never close the exchange.
        self.running = False

    def start(
        self, exchange: AsyncExitStack, handle_target_failure: Callable[[], None]
    ) -> None:
        """Receive the rest; close the exchange with the target afterwards."""
        self.buffers.open.add(self)
        self.task = asyncio.create_task(self._run(exchange, handle_target_failure))

    async def _run(
        self, exchange: AsyncExitStack, handle_target_failure: Callable[[], None]
    ) -> None:
        async with exchange:
            self.running = True
            if self.broken is not None:
                # It was closed before this task began.
                self.source.response.close()
                return
            try:
                async with asyncio.timeout(max(0.0, self.deadline - monotonic())):
                    await self._receive()
            except TimeoutError:
                if not self.throttled:
                    handle_target_failure()
                self._break("deadline")
            except CancelledError:
                # Closes the connection: the rest of the response isn't read.
                self.source.response.close()
                raise
            except (BrokenStream, ClientError, OSError, ValueError) as error:
                handle_target_failure()
                self._break(str(error) or type(error).__name__)
            else:
                self.complete = True
                self.arrived.set()

    async def _receive(self) -> None:
        content = self.source.response.content
        while True:
            await self._wait_for_room()
            try:
                async with asyncio.timeout(self.silence_s):
                    piece = await content.read(PIECE_BYTES)
            except TimeoutError:
                raise BrokenStream("target silent") from None
            if not piece:
                break
            self.append(piece)
            if self.received_bytes > MAX_STREAM_BYTES:
                raise BrokenStream("body too large")
        if not self.source.has_proven_end():
            raise BrokenStream("body truncated")

    async def _wait_for_room(self) -> None:
        try:
            while not self.buffers.has_room(self):
                self.throttled = True
                self.buffers.waiting.add(self)
                self.changed.clear()
                await self.changed.wait()
            self.throttled = False
        finally:
            self.buffers.waiting.discard(self)

    def _break(self, reason: str) -> None:
        self.source.response.close()
        self.broken = reason
        self.drop_pieces()
        self.arrived.set()
        self.handle_broken()

    def append(self, piece: bytes) -> None:
        """Hold a piece until the caller has taken it."""
        self.pieces.append(piece)
        self.held_bytes += len(piece)
        self.received_bytes += len(piece)
        self.buffers.held_bytes += len(piece)
        self.arrived.set()

    async def next_piece(self) -> bytes:
        """Return the next piece, nothing at the end; raise BrokenStream."""
        while not self.pieces:
            if self.broken is not None:
                raise BrokenStream(self.broken)
            if self.complete:
                return b""
            self.arrived.clear()
            await self.arrived.wait()
        return self.pieces.popleft()

    def release(self, count: int) -> None:
        """Count bytes as held no longer."""
        count = min(count, self.held_bytes)
        self.held_bytes -= count
        self.buffers.held_bytes -= count
        self.changed.set()

    def drop_pieces(self) -> None:
        """Drop all that is held."""
        self.pieces.clear()
        self.release(self.held_bytes)

    def close(self) -> None:
        """End the stream; the target's connection is closed unless it was read."""
        if self.task is not None and self.running:
            self.task.cancel()
        self.handle_broken = lambda: None
        if not self.complete and self.broken is None:
            self.broken = "closed"
        self.drop_pieces()
        self.buffers.open.discard(self)
        # The others' shares are larger now.
        self.buffers.wake_waiting()


class PassedResponse(web.StreamResponse):
    """A response to a caller whose body is passed on while it arrives."""

    def __init__(self, outcome: Answered) -> None:
        super().__init__(status=outcome.status, headers=CIMultiDict(outcome.headers))
        self.stream: ResponseStream = outcome.body
        if self.stream.length is not None:
            self.content_length = self.stream.length
        # Why the caller's connection was aborted.
        self.aborted: str | None = None

    async def pass_on(self, http_request: web.BaseRequest) -> None:
        """Send the body; abort the connection unless all of it was sent.

        The response must not look complete to the caller otherwise.
        """
        transport = http_request.transport
        try:
            if transport is None:
                raise ConnectionResetError
            transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
            set_option(transport, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            await self._send(http_request)
            transport.set_write_buffer_limits()
        except BrokenStream as error:
            self._abort(transport, str(error))
        except TimeoutError:
            self._abort(transport, self.stream.broken or "caller doesn't read")
        except ConnectionError:
            self._abort(transport, "caller left")
        except BaseException:
            self._abort(transport, "cancelled")
            raise
        finally:
            self.stream.close()

    async def _send(self, http_request: web.BaseRequest) -> None:
        loop = asyncio.get_running_loop()
        stream = self.stream
        async with asyncio.timeout(None) as timeout:
            stream.handle_broken = lambda: (
                timeout.expired() or timeout.reschedule(loop.time())
            )
            self._extend(timeout)
            writer = await self.prepare(http_request)
            while piece := await stream.next_piece():
                await self.write(piece)
                await writer.drain()
                stream.release(len(piece))
                self._extend(timeout)
            await self.write_eof()

    def _extend(self, timeout: asyncio.Timeout) -> None:
        """Let the caller take the next piece until the deadline, or STALL_S."""
        now = monotonic()
        until = max(self.stream.deadline, now + STALL_S)
        until = min(until, self.stream.deadline + MAX_LATE_S)
        timeout.reschedule(asyncio.get_running_loop().time() + until - now)

    def _abort(self, transport: asyncio.Transport | None, reason: str) -> None:
        self.aborted = reason
        self.stream.buffers.aborted += 1
        # aiohttp writes no end of the response then.
        self._eof_sent = True
        if transport is not None and not transport.is_closing():
            # Reset, since a caller may take the end of the connection for the body's.
            set_option(transport, socket.SO_LINGER, RESET_ON_CLOSE)
        if transport is not None:
            transport.abort()


def set_option(transport: asyncio.Transport, option: int, value: int | bytes) -> None:
    """Set an option of a connection's socket."""
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, option, value)


def check_stream(outcome: Outcome) -> Outcome:
    """Return an outcome, unknown if its stream broke before anything was sent."""
    if not isinstance(outcome, Answered):
        return outcome
    broken = getattr(outcome.body, "broken", None)
    if broken is None:
        return outcome
    outcome.body.close()
    reason = Reason.DEADLINE if broken == "deadline" else Reason.TORN_ANSWER
    return Unknown(reason, broken, outcome.target)


def discard_run(run: asyncio.Task[Outcome]) -> None:
    """Cancel a run whose outcome nobody awaits, or close the stream of its outcome."""
    run.cancel()
    run.add_done_callback(close_result)


def close_result(run: asyncio.Task[Outcome]) -> None:
    """Close the stream in the outcome of a run, if there is one."""
    if run.cancelled() or run.exception() is not None:
        return
    body = getattr(run.result(), "body", None)
    if isinstance(body, BodyStream):
        body.close()
