"""Sources of the replica: the store for readers, a reader for all other VMs."""

import asyncio
from collections.abc import Callable

from peridot_daemon.links import LINK_ERRORS, open_channel, open_stream
from peridot_daemon.messages import parse_change, parse_vm
from peridot_daemon.metrics import ControlTraffic
from peridot_daemon.replica import WATCHED_KINDS, Replica
from peridot_daemon.tls import PeerTls
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import Listing, RevisionTooOld, WatchBatch
from peridot_objects.vms import VmList, VmListing
from peridot_placement.decisions import DecisionLog
from peridot_placement.hashing import rank_by_rendezvous
from peridot_routing.router import Vm
from peridot_wire import peridot_pb2 as pb

READERS = 2
WATCH_TIMEOUT_S = 5.0
VM_LIST_PERIOD_S = 1.0
SYNC_SILENCE_S = 3.0
FIRST_PAUSE_S = 0.05
LAST_PAUSE_S = 1.0


class ReplicaSource:
    """Keep a replica current, from the store or from a reader."""

    def __init__(
        self,
        replica: Replica,
        store: ObjectStore,
        vm_list: VmList,
        me: Vm,
        data_centre: str,
        peers: tuple[str, ...],
        known_vms: Callable[[], list[Vm]],
        tls: PeerTls,
        log: DecisionLog,
        traffic: ControlTraffic,
    ) -> None:
        self.replica = replica
        self.store = store
        self.vm_list = vm_list
        self.me = me
        self.data_centre = data_centre
        self.peers = peers
        self.known_vms = known_vms
        self.tls = tls
        self.log = log
        self.current = ""
        self.traffic = traffic

    def readers(self) -> list[Vm]:
        """Return the VMs that watch the store for this data centre."""
        by_name = {vm.name: vm for vm in self.known_vms()}
        names = rank_by_rendezvous(by_name, f"reader/{self.data_centre}")
        return [by_name[name] for name in names[:READERS]]

    async def run(self) -> None:
        """Follow whatever source is due until cancelled."""
        await self._read_vm_list()
        pause_s = FIRST_PAUSE_S
        while True:
            before = self.replica.confirmed_at
            await self._follow()
            if self.replica.confirmed_at > before:
                pause_s = FIRST_PAUSE_S
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, LAST_PAUSE_S)

    async def _follow(self) -> None:
        """Follow a reader; watch the store if this VM is one or none answers."""
        readers = self.readers()
        if not readers:
            await self._read_vm_list()
            readers = self.readers()
        if not readers or self.me in readers:
            await self._watch_store()
            return
        for reader in readers:
            if await self._sync(reader.address):
                return
        for address in self.peers:
            if await self._sync(address):
                return
        await self._watch_store()

    async def _watch_store(self) -> None:
        """Watch the store until it fails or this VM is no reader any more."""
        self._note_source("store")
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
        self.replica.take_listing(listing)
        while True:
            batch = await self.store.watch(
                WATCHED_KINDS, self.replica.revision, WATCH_TIMEOUT_S
            )
            if isinstance(batch, RevisionTooOld):
                return
            if not isinstance(batch, WatchBatch):
                self.log.write("store_away", reason=batch.reason)
                return
            self.replica.take(batch.revision, batch.changes)
            readers = self.readers()
            if readers and self.me not in readers:
                return

    async def _refresh_vm_list(self) -> None:
        while True:
            await self._read_vm_list()
            await asyncio.sleep(VM_LIST_PERIOD_S)

    async def _read_vm_list(self) -> None:
        listing = await self.vm_list.read()
        if isinstance(listing, VmListing):
            self.replica.take_vms(listing.vms)

    async def _sync(self, address: str) -> bool:
        """Follow one peer while it watches the store; tell whether it did."""
        heard = False
        try:
            async with open_channel(address, self.tls) as stub:
                async with open_stream(stub.Sync) as stream:
                    async with asyncio.timeout(SYNC_SILENCE_S):
                        await stream.send_message(
                            pb.SyncRequest(revision=self.replica.revision), end=True
                        )
                    while True:
                        async with asyncio.timeout(SYNC_SILENCE_S):
                            update = await stream.recv_message()
                        if update is None:
                            return heard
                        self.traffic.count(update)
                        self._take(update)
                        if not update.from_store:
                            return heard
                        heard = True
                        self._note_source(address)
                        if self.me in self.readers():
                            return heard
        except LINK_ERRORS:
            return heard

    def _note_source(self, source: str) -> None:
        if source != self.current:
            self.current = source
            self.log.write("source", source=source, revision=self.replica.revision)

    def _take(self, update: pb.SyncUpdate) -> None:
        changes = [parse_change(change) for change in update.changes]
        self.replica.take(update.revision, changes, update.age_ms / 1000)
        if update.vms:
            self.replica.take_vms(tuple(parse_vm(vm) for vm in update.vms))
