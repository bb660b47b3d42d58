"""Links to other daemons: one channel and one standing stream to each."""

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
from peridot_placement.keeper import Presence, PromiseOutcome, TermPeers
from peridot_placement.terms import Candidate
from peridot_routing.outcomes import NotRun, Outcome, Reason, Unknown
from peridot_routing.requests import RoutedRequest
from peridot_routing.router import Forwarder
from peridot_wire import peridot_pb2 as pb
from peridot_wire.peridot_grpc import PeerStub

CONNECT_TIMEOUT_S = 0.3
CALL_TIMEOUT_S = 0.5
# An answer that takes this much longer than its deadline won't come.
LATE_MARGIN_S = 0.1
# A link with a request open and no reply for this long is opened anew.
SILENT_LINK_S = 1.0
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
    """Hold a channel to a peer while the context lasts."""
    host, port = split_address(address)
    channel = Channel(host, port, ssl=tls.client)
    try:
        yield PeerStub(channel)
    finally:
        channel.close()


@asynccontextmanager
async def open_stream(method: ServiceMethod) -> AsyncIterator[Stream]:
    """Hold a stream and cancel it at the end, whatever the peer still sends.

    Without that, leaving the stream waits for the peer to end it.
    """
    async with method.open() as stream:
        try:
            yield stream
        finally:
            with suppress(*LINK_ERRORS):
                await stream.cancel()


@dataclass(frozen=True)
class PendingReply:
    """Hold who waits for a reply and since when."""

    future: asyncio.Future
    sent_at: float


class PeerLink:
    """Carry requests to one peer over one stream, matched by number."""

    def __init__(self, address: str, tls: PeerTls) -> None:
        self.address = address
        self.tls = tls
        self.numbers = count(1)
        self.pending: dict[int, PendingReply] = {}
        self.heard_at = 0.0
        self.outbox: asyncio.Queue[pb.ForwardRequest] = asyncio.Queue()
        self.connected = asyncio.Event()
        self.task: asyncio.Task | None = None

    async def forward(self, request: RoutedRequest, target: str) -> Outcome:
        """Return the outcome that the peer reports."""
        if not await self._connect():
            return NotRun(Reason.FRONT_LOST, detail=self.address)
        number = next(self.numbers)
        with self._expect(number) as reply:
            self.outbox.put_nowait(serialize_request(number, request, target))
            try:
                async with asyncio.timeout(request.remaining_s() + LATE_MARGIN_S):
                    return parse_outcome(await reply)
            except TimeoutError:
                self._cancel(number)
                return Unknown(Reason.DEADLINE, self.address)
            except asyncio.CancelledError:
                if not asyncio.current_task().cancelling():
                    return Unknown(Reason.FRONT_LOST, self.address)
                self._cancel(number)
                raise
            except InvalidMessage as error:
                return Unknown(Reason.FRONT_LOST, str(error))

    async def close(self) -> None:
        """End the stream."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _connect(self) -> bool:
        """Start the stream if there is none that answers; tell whether it stands."""
        if self._is_silent():
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

    def _is_silent(self) -> bool:
        """Tell whether the peer has answered nothing for too long."""
        if not self.pending or not self.connected.is_set():
            return False
        oldest = next(iter(self.pending.values())).sent_at
        return monotonic() - max(oldest, self.heard_at) > SILENT_LINK_S

    async def _run(self) -> None:
        """Carry messages both ways until the stream breaks."""
        self.outbox = asyncio.Queue()
        try:
            async with open_channel(self.address, self.tls) as stub:
                async with open_stream(stub.Forward) as stream:
                    async with asyncio.timeout(CONNECT_TIMEOUT_S):
                        await stream.send_request()
                        await stream.recv_initial_metadata()
                    self.heard_at = monotonic()
                    self.connected.set()
                    sender = asyncio.create_task(self._send(stream))
                    try:
                        async for reply in stream:
                            self._resolve(reply)
                    finally:
                        sender.cancel()
        except LINK_ERRORS:
            pass
        finally:
            self.connected.clear()
            self._fail_all()

    async def _send(self, stream) -> None:
        while True:
            await stream.send_message(await self.outbox.get())

    @contextmanager
    def _expect(self, number: int) -> Iterator[asyncio.Future]:
        reply = asyncio.get_running_loop().create_future()
        self.pending[number] = PendingReply(reply, monotonic())
        try:
            yield reply
        finally:
            del self.pending[number]

    def _resolve(self, reply: pb.ForwardReply) -> None:
        """Hand a reply to whom it belongs; nobody gets a late one."""
        self.heard_at = monotonic()
        pending = self.pending.get(reply.id)
        if pending is not None and not pending.future.done():
            pending.future.set_result(reply)

    def _fail_all(self) -> None:
        for pending in self.pending.values():
            pending.future.cancel()

    def _cancel(self, number: int) -> None:
        self.outbox.put_nowait(pb.ForwardRequest(id=number, cancel=True))


class PeerLinks(Forwarder):
    """Hold the links to all peers."""

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
        """End all streams."""
        for link in self.links.values():
            await link.close()


class RemoteTermPeers(TermPeers):
    """Reach other instances over the inner protocol."""

    def __init__(self, tls: PeerTls) -> None:
        self.tls = tls

    async def ask_promise(
        self, candidate: Candidate, term: int, length_s: float
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
            return PromiseOutcome.GONE
        except LINK_ERRORS:
            return PromiseOutcome.SILENT
        if reply.instance != candidate.instance:
            return PromiseOutcome.GONE
        return PromiseOutcome.PROMISED if reply.promised else PromiseOutcome.REFUSED

    async def find_presence(self, candidate: Candidate) -> Presence:
        try:
            async with open_channel(candidate.address, self.tls) as stub:
                reply = await stub.Probe(pb.ProbeRequest(), timeout=CALL_TIMEOUT_S)
        except ConnectionRefusedError:
            return Presence.GONE
        except LINK_ERRORS:
            return Presence.SILENT
        same = reply.instance == candidate.instance
        return Presence.THERE if same else Presence.GONE
