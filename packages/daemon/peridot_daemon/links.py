"""gRPC clients of peridotd for its peers: one channel and one stream to each."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from dataclasses import dataclass
from itertools import count
from time import monotonic

from grpclib.client import Channel, ServiceMethod, Stream
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from peridot_daemon.messages import InvalidMessage, parse_outcome, serialize_request
from peridot_daemon.settings import split_address
from peridot_daemon.tls import PeerTls
from peridot_placement.keeper import ElectionPeers, Liveness, PromiseOutcome
from peridot_placement.terms import DaemonInstance
from peridot_routing.outcomes import NotRun, Outcome, Reason, Unknown
from peridot_routing.requests import RoutedRequest
from peridot_routing.router import Forwarder
from peridot_wire import peridot_pb2 as pb
from peridot_wire.peridot_grpc import PeerStub

CONNECT_TIMEOUT_S = 0.3
CALL_TIMEOUT_S = 0.5
# Time past a request's deadline for the peer's reply to arrive.
REPLY_MARGIN_S = 0.1
# A link with a call pending and no reply for this long is reconnected.
STALL_TIMEOUT_S = 1.0
LINK_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    ConnectionError,
    TimeoutError,
    OSError,
)


@asynccontextmanager
async def open_channel(address: str, tls: PeerTls) -> AsyncIterator[PeerStub]:
    """Open a channel to a peer while the context lasts."""
    host, port = split_address(address)
    channel = Channel(host, port, ssl=tls.client)
    try:
        yield PeerStub(channel)
    finally:
        channel.close()


@asynccontextmanager
async def open_stream(method: ServiceMethod) -> AsyncIterator[Stream]:
    """Open a stream and cancel it at the end.

    Without the cancellation, closing the stream waits for the peer to end it.
    """
    async with method.open() as stream:
        try:
            yield stream
        finally:
            with suppress(*LINK_ERRORS):
                await stream.cancel()


@dataclass(frozen=True)
class PendingCall:
    """A call that waits for its reply."""

    future: asyncio.Future
    sent_at: float


class PeerLink:
    """Carry calls to one peer over one stream; call ids match replies to requests."""

    def __init__(self, address: str, tls: PeerTls) -> None:
        self.address = address
        self.tls = tls
        self.call_ids = count(1)
        self.pending_calls: dict[int, PendingCall] = {}
        self.last_received_at = 0.0
        self.outbox: asyncio.Queue[pb.ForwardRequest] = asyncio.Queue()
        self.connected = asyncio.Event()
        self.task: asyncio.Task | None = None

    async def forward(self, request: RoutedRequest, target: str) -> Outcome:
        """Return the outcome that the peer reports."""
        if not await self._connect():
            return NotRun(Reason.FRONT_LOST, detail=self.address)
        call_id = next(self.call_ids)
        with self._register_call(call_id) as reply:
            self.outbox.put_nowait(serialize_request(call_id, request, target))
            try:
                async with asyncio.timeout(request.remaining_s() + REPLY_MARGIN_S):
                    return parse_outcome(await reply)
            except TimeoutError:
                self._queue_cancel(call_id)
                return Unknown(Reason.DEADLINE, self.address)
            except asyncio.CancelledError:
                if not asyncio.current_task().cancelling():
                    return Unknown(Reason.FRONT_LOST, self.address)
                self._queue_cancel(call_id)
                raise
            except InvalidMessage as error:
                return Unknown(Reason.FRONT_LOST, str(error))

    async def close(self) -> None:
        """Close the stream."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _connect(self) -> bool:
        """Open the stream if none works; return whether it is connected."""
        if self._is_stalled():
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        if self.task is None or self.task.done():
            self.connected.clear()
            self.task = asyncio.create_task(self._run())
        if self.connected.is_set():
            return True
        ready = asyncio.create_task(self.connected.wait())
        try:
            await asyncio.wait(
                (ready, self.task),
                timeout=CONNECT_TIMEOUT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            ready.cancel()
        return self.connected.is_set()

    def _is_stalled(self) -> bool:
        """Return whether calls are pending and no reply came for too long."""
        if not self.pending_calls or not self.connected.is_set():
            return False
        oldest = next(iter(self.pending_calls.values())).sent_at
        return monotonic() - max(oldest, self.last_received_at) > STALL_TIMEOUT_S

    async def _run(self) -> None:
        """Send queued messages and deliver replies until the stream breaks."""
        self.outbox = asyncio.Queue()
        try:
            async with open_channel(self.address, self.tls) as stub:
                async with open_stream(stub.Forward) as stream:
                    async with asyncio.timeout(CONNECT_TIMEOUT_S):
                        await stream.send_request()
                        await stream.recv_initial_metadata()
                    self.last_received_at = monotonic()
                    self.connected.set()
                    sender = asyncio.create_task(self._send_queued(stream))
                    try:
                        async for reply in stream:
                            self._deliver(reply)
                    finally:
                        sender.cancel()
        except LINK_ERRORS:
            pass
        finally:
            self.connected.clear()
            self._cancel_pending()

    async def _send_queued(self, stream) -> None:
        while True:
            await stream.send_message(await self.outbox.get())

    @contextmanager
    def _register_call(self, call_id: int) -> Iterator[asyncio.Future]:
        reply = asyncio.get_running_loop().create_future()
        self.pending_calls[call_id] = PendingCall(reply, monotonic())
        try:
            yield reply
        finally:
            del self.pending_calls[call_id]

    def _deliver(self, reply: pb.ForwardReply) -> None:
        """Pass a reply to the call that waits for it; drop it if the call has ended."""
        self.last_received_at = monotonic()
        call = self.pending_calls.get(reply.id)
        if call is not None and not call.future.done():
            call.future.set_result(reply)

    def _cancel_pending(self) -> None:
        for call in self.pending_calls.values():
            call.future.cancel()

    def _queue_cancel(self, call_id: int) -> None:
        self.outbox.put_nowait(pb.ForwardRequest(id=call_id, cancel=True))


class PeerLinks(Forwarder):
    """Forward requests over one link to each peer, opened on first use."""

    def __init__(self, tls: PeerTls) -> None:
        self.tls = tls
        self.links: dict[str, PeerLink] = {}

    async def forward(
        self, address: str, request: RoutedRequest, target: str
    ) -> Outcome:
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = PeerLink(address, self.tls)
        return await link.forward(request, target)

    async def close(self) -> None:
        """Close all streams."""
        for link in self.links.values():
            await link.close()


class GrpcElectionPeers(ElectionPeers):
    """Reach other instances over the gRPC service Peer."""

    def __init__(self, tls: PeerTls) -> None:
        self.tls = tls

    async def request_promise(
        self, candidate: DaemonInstance, term: int, length_s: float
    ) -> PromiseOutcome:
        request = pb.PromiseRequest(
            term=term,
            instance=candidate.instance,
            length_ms=int(length_s * 1000),
        )
        try:
            async with open_channel(candidate.address, self.tls) as stub:
                reply = await stub.Promise(request, timeout=CALL_TIMEOUT_S)
        except ConnectionRefusedError:
            return PromiseOutcome.NOT_RUNNING
        except LINK_ERRORS:
            return PromiseOutcome.UNREACHABLE
        if reply.instance != candidate.instance:
            return PromiseOutcome.NOT_RUNNING
        return PromiseOutcome.PROMISED if reply.promised else PromiseOutcome.REFUSED

    async def check_liveness(self, candidate: DaemonInstance) -> Liveness:
        try:
            async with open_channel(candidate.address, self.tls) as stub:
                reply = await stub.Probe(pb.ProbeRequest(), timeout=CALL_TIMEOUT_S)
        except ConnectionRefusedError:
            return Liveness.NOT_RUNNING
        except LINK_ERRORS:
            return Liveness.UNREACHABLE
        is_same = reply.instance == candidate.instance
        return Liveness.RUNNING if is_same else Liveness.NOT_RUNNING
