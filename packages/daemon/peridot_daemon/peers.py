"""gRPC server of peridotd for its peers: forwarded requests, permits, replicas."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server, Stream

from peridot_daemon.messages import (
    InvalidMessage,
    parse_request,
    serialize_change,
    serialize_outcome,
    serialize_vm,
)
from peridot_daemon.metrics import ControlTraffic
from peridot_daemon.replica import Replica
from peridot_daemon.settings import split_address
from peridot_daemon.tls import PeerTls
from peridot_placement.errors import InvariantViolation
from peridot_placement.keeper import TermElector
from peridot_placement.placer import Placer
from peridot_placement.signals import wait_for_event
from peridot_placement.terms import DaemonInstance
from peridot_resources.catalog import Catalog
from peridot_routing.outcomes import NotRun, Outcome, Reason
from peridot_routing.requests import RoutedRequest
from peridot_routing.router import Router
from peridot_wire import peridot_pb2 as pb
from peridot_wire.peridot_grpc import PeerBase

SYNC_PERIOD_S = 1.0
# Largest value of the uint32 field SyncUpdate.age_ms.
MAX_AGE_MS = 2**32 - 1


class PeerServer(PeerBase):
    """The gRPC service Peer of this VM."""

    def __init__(
        self,
        local_instance: DaemonInstance,
        elector: TermElector,
        replica: Replica,
        router: Router,
        catalog: Callable[[], Catalog],
        traffic: ControlTraffic,
    ) -> None:
        self.local_instance = local_instance
        self.elector = elector
        self.replica = replica
        self.router = router
        self.catalog = catalog
        self.traffic = traffic
        self.open_forwards = 0

    async def Forward(self, stream: Stream[pb.ForwardRequest, pb.ForwardReply]) -> None:
        await stream.send_initial_metadata()
        replies: asyncio.Queue[pb.ForwardReply] = asyncio.Queue()
        tasks: dict[int, asyncio.Task] = {}
        # Tasks of idempotent requests, which the entry VM repeats if this link breaks.
        repeatable: set[asyncio.Task] = set()
        sender = asyncio.create_task(_send_replies(stream, replies))
        try:
            async for message in stream:
                if message.cancel:
                    self._cancel_call(tasks, message.id)
                    continue
                request = self._parse_request(message)
                task = asyncio.create_task(self._serve_call(message, request, replies))
                if isinstance(request, RoutedRequest) and request.idempotent:
                    repeatable.add(task)
                    task.add_done_callback(repeatable.discard)
                tasks[message.id] = task
                task.add_done_callback(lambda _, id=message.id: tasks.pop(id, None))
        finally:
            sender.cancel()
            for task in repeatable:
                task.cancel()

    async def Sync(self, stream: Stream[pb.SyncRequest, pb.SyncUpdate]) -> None:
        request = await stream.recv_message()
        sent_revision = request.revision
        sent_vms: tuple = ()
        while True:
            changed = self.replica.changed.next
            update = pb.SyncUpdate(
                revision=self.replica.revision,
                from_store=self.replica.from_store,
                age_ms=min(MAX_AGE_MS, int(min(self.replica.age_s, 1e6) * 1000)),
            )
            for change in self.replica.changes_since(sent_revision):
                update.changes.append(serialize_change(change))
            if self.replica.vms is not sent_vms:
                sent_vms = self.replica.vms
                update.vms.extend(serialize_vm(vm) for vm in sent_vms)
            if self.replica.loaded:
                self.traffic.count(update)
                await stream.send_message(update)
                sent_revision = update.revision
            await wait_for_event(changed, SYNC_PERIOD_S)

    async def Lease(self, stream: Stream[pb.LeaseAsk, pb.LeaseReply]) -> None:
        first_request = await stream.recv_message()
        placer = self.elector.placer
        if first_request is None:
            return
        if placer is None:
            record = self.elector.record
            reply = pb.LeaseReply(ask_id=first_request.ask_id)
            if record is not None and record.holder != self.local_instance:
                reply.holder_address = record.holder.address
            else:
                return
            await stream.send_message(reply)
            return
        client = DaemonInstance(
            first_request.vm, first_request.instance, first_request.peer_address
        )
        send_lock = asyncio.Lock()
        with placer.track_connection(client):
            pusher = asyncio.create_task(
                self._push_changes(stream, placer, client, send_lock)
            )
            try:
                await self._answer_lease_requests(
                    stream, placer, first_request, send_lock
                )
            finally:
                pusher.cancel()

    async def Promise(self, stream: Stream[pb.PromiseRequest, pb.PromiseReply]) -> None:
        request = await stream.recv_message()
        promised = (
            request.instance == self.local_instance.instance
            and self.elector.promise(request.term, request.length_ms / 1000)
        )
        await stream.send_message(
            pb.PromiseReply(promised=promised, instance=self.local_instance.instance)
        )

    async def Probe(self, stream: Stream[pb.ProbeRequest, pb.ProbeReply]) -> None:
        await stream.recv_message()
        await stream.send_message(
            pb.ProbeReply(
                vm=self.local_instance.vm, instance=self.local_instance.instance
            )
        )

    async def _answer_lease_requests(
        self,
        stream: Stream,
        placer: Placer,
        first_request: pb.LeaseAsk,
        send_lock: asyncio.Lock,
    ) -> None:
        request: pb.LeaseAsk | None = first_request
        while request is not None and self.elector.placer is placer:
            try:
                reply = placer.renew_permit(request)
            except InvariantViolation as error:
                placer.placement.held.stopped = True
                placer.placement.log.write("invariant_violated", detail=error)
                return
            self.traffic.count(request)
            self.traffic.count(reply)
            async with send_lock:
                await stream.send_message(reply)
            request = await stream.recv_message()

    async def _push_changes(
        self,
        stream: Stream,
        placer: Placer,
        client: DaemonInstance,
        send_lock: asyncio.Lock,
    ) -> None:
        """Send tables and live VMs to a client whenever they change."""
        while True:
            await placer.placement.tables_changed.next.wait()
            entry = placer.placement.ledger.entry(client)
            async with send_lock:
                await stream.send_message(
                    placer.build_update(entry.applied_epoch, entry.live_version)
                )

    def _cancel_call(self, tasks: dict[int, asyncio.Task], call_id: int) -> None:
        task = tasks.get(call_id)
        if task is not None:
            task.cancel()

    async def _serve_call(
        self,
        message: pb.ForwardRequest,
        request: RoutedRequest | NotRun,
        replies: asyncio.Queue,
    ) -> None:
        self.open_forwards += 1
        try:
            outcome = await self._run_forwarded(request, message.target)
        finally:
            self.open_forwards -= 1
        replies.put_nowait(serialize_outcome(outcome, message.id))

    def _parse_request(self, message: pb.ForwardRequest) -> RoutedRequest | NotRun:
        try:
            return parse_request(message, self.catalog())
        except InvalidMessage as error:
            return NotRun(Reason.BAD_REQUEST, detail=str(error))

    async def _run_forwarded(
        self, request: RoutedRequest | NotRun, target: str
    ) -> Outcome:
        if isinstance(request, NotRun):
            return request
        return await self.router.dispatch_locally(request, target)


@asynccontextmanager
async def serve_peers(
    server: PeerServer, address: str, tls: PeerTls
) -> AsyncIterator[None]:
    """Listen for other daemons while the context lasts."""
    grpc_server = Server([server])
    host, port = split_address(address)
    await grpc_server.start(host, port, ssl=tls.server)
    try:
        yield
    finally:
        grpc_server.close()
        await grpc_server.wait_closed()


async def _send_replies(stream: Stream, replies: asyncio.Queue) -> None:
    try:
        while True:
            await stream.send_message(await replies.get())
    except (StreamTerminatedError, ConnectionError):
        return
