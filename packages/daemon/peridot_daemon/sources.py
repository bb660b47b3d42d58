"""Sources of peridotd's replica: the store for reader VMs, a reader VM for others.

Only the reader VMs of a data centre watch the store. The other VMs stream its changes
from one of them, or watch the store themselves if none responds.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator

from peridot_daemon.links import LINK_ERRORS, open_channel, open_stream
from peridot_daemon.messages import InvalidMessage, parse_change, parse_vm
from peridot_daemon.metrics import ControlTraffic
from peridot_daemon.replica import WATCHED_KINDS, Replica
from peridot_daemon.tls import PeerTls
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import Listing, RevisionTooOld, WatchBatch
from peridot_objects.vms import VmList, VmListing, VmRecord
from peridot_placement.decisions import DecisionLog
from peridot_placement.hashing import rank_by_rendezvous
from peridot_routing.router import Vm
from peridot_wire import peridot_pb2 as pb

READER_COUNT = 2
WATCH_TIMEOUT_S = 5.0
VM_LIST_PERIOD_S = 1.0
SYNC_TIMEOUT_S = 3.0
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0


class ReplicaSource:
    """Keep a replica current, from the store or from a reader VM."""

    def __init__(
        self,
        replica: Replica,
        store: ObjectStore,
        vm_list: VmList,
        local_vm: Vm,
        data_centre: str,
        peers: tuple[str, ...],
        list_vms: Callable[[], list[Vm]],
        tls: PeerTls,
        log: DecisionLog,
        traffic: ControlTraffic,
    ) -> None:
        self.replica = replica
        self.store = store
        self.vm_list = vm_list
        self.local_vm = local_vm
        self.data_centre = data_centre
        self.peers = peers
        self.list_vms = list_vms
        self.tls = tls
        self.log = log
        self.current_source = ""
        self.traffic = traffic

    def readers(self) -> list[Vm]:
        """Return this data centre's reader VMs, which rendezvous hashing chooses."""
        by_name = {vm.name: vm for vm in self.list_vms()}
        names = rank_by_rendezvous(by_name, f"reader/{self.data_centre}")
        return [by_name[name] for name in names[:READER_COUNT]]

    async def run(self) -> None:
        """Follow one source after another, with backoff, until cancelled."""
        await self._read_vm_list()
        backoff_s = MIN_BACKOFF_S
        while True:
            confirmed_before = self.replica.confirmed_at
            await self._follow_source()
            if self.replica.confirmed_at > confirmed_before:
                backoff_s = MIN_BACKOFF_S
            await asyncio.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _follow_source(self) -> None:
        """Follow a reader VM; watch the store if this VM is one or none responds.

        If no reader VM is known, the store comes first.
        """
        readers = self.readers()
        if not readers:
            await self._read_vm_list()
            readers = self.readers()
        if self.local_vm in readers:
            await self._watch_store()
            return
        if not readers:
            # Peers that are starting too would send nothing until they time out.
            confirmed_before = self.replica.confirmed_at
            await self._watch_store()
            if self.replica.confirmed_at > confirmed_before:
                return
        for reader in readers:
            if await self._sync_from(reader.address):
                return
        for address in self.peers:
            if await self._sync_from(address):
                return
        if readers:
            await self._watch_store()

    async def _watch_store(self) -> None:
        """Watch the store until it fails or this VM is no longer a reader VM."""
        self._log_source_change("store")
        async with asyncio.TaskGroup() as group:
            refresher = group.create_task(self._refresh_vm_list())
            self.replica.from_store = True
            try:
                await self._watch_objects()
            finally:
                self.replica.from_store = False
                refresher.cancel()

    async def _watch_objects(self) -> None:
        listing = await self.store.list(WATCHED_KINDS)
        if not isinstance(listing, Listing):
            return
        self._log_unreadable(listing.unreadable)
        self.replica.apply_listing(listing)
        while True:
            batch = await self.store.watch(
                WATCHED_KINDS, self.replica.revision, WATCH_TIMEOUT_S
            )
            if isinstance(batch, RevisionTooOld):
                return
            if not isinstance(batch, WatchBatch):
                self.log.write("store_away", reason=batch.reason)
                return
            self._log_unreadable(batch.unreadable)
            self.replica.apply_changes(batch.revision, batch.changes)
            readers = self.readers()
            if readers and self.local_vm not in readers:
                return

    def _log_unreadable(self, reasons: Iterable[str]) -> None:
        for reason in reasons:
            self.replica.objects_refused += 1
            self.log.write("object_unreadable", reason=reason)

    async def _refresh_vm_list(self) -> None:
        while True:
            await self._read_vm_list()
            await asyncio.sleep(VM_LIST_PERIOD_S)

    async def _read_vm_list(self) -> None:
        listing = await self.vm_list.read()
        if isinstance(listing, VmListing):
            self._log_unreadable(listing.unreadable)
            self.replica.update_vms(listing.vms)

    async def _sync_from(self, address: str) -> bool:
        """Stream changes from a peer while it is a reader; return whether any came."""
        synced = False
        try:
            async with open_channel(address, self.tls) as stub:
                async with open_stream(stub.Sync) as stream:
                    async with asyncio.timeout(SYNC_TIMEOUT_S):
                        await stream.send_message(
                            pb.SyncRequest(revision=self.replica.revision), end=True
                        )
                    while True:
                        async with asyncio.timeout(SYNC_TIMEOUT_S):
                            update = await stream.recv_message()
                        if update is None:
                            return synced
                        self.traffic.count(update)
                        self._apply_update(update)
                        if not update.from_store:
                            return synced
                        synced = True
                        self._log_source_change(address)
                        if self.local_vm in self.readers():
                            return synced
        except LINK_ERRORS:
            return synced

    def _log_source_change(self, source: str) -> None:
        if source != self.current_source:
            self.current_source = source
            self.log.write("source", source=source, revision=self.replica.revision)

    def _apply_update(self, update: pb.SyncUpdate) -> None:
        changes = [parse_change(change) for change in update.changes]
        self.replica.apply_changes(update.revision, changes, update.age_ms / 1000)
        if update.vms:
            self.replica.update_vms(tuple(self._parse_known_vms(update.vms)))

    def _parse_known_vms(self, messages: Iterable[pb.VmRecord]) -> Iterator[VmRecord]:
        """Yield the VMs in messages but those whose state this version doesn't know.

        Only live VMs get requests, and a state that isn't known isn't that.
        """
        for message in messages:
            try:
                yield parse_vm(message)
            except InvalidMessage:
                self.log.write("vm_ignored", vm=message.name, state=message.state)
