"""The placer of a data centre in peridotd mode, which places hash slices on targets.

It is the leader of its term: it grants permits, the leases by which VMs may send
requests, and runs one mover for each service.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import TypeVar

from peridot_objects.outcomes import Listing, StoredObject
from peridot_placement.assignments import (
    parse_assignment,
    parse_home,
    serialize_assignment,
)
from peridot_placement.clock import boot_time
from peridot_placement.ledger import BusyRange
from peridot_placement.loads import LoadReport
from peridot_placement.mover import ServiceMover
from peridot_placement.placement_state import (
    PendingMove,
    PlacementState,
    ServiceState,
)
from peridot_placement.slices import HashRange
from peridot_placement.terms import PERMIT_S, DaemonInstance
from peridot_resources.catalog import Kind
from peridot_resources.errors import InvalidObject
from peridot_wire import peridot_pb2 as pb

MAINTENANCE_PERIOD_S = 0.1
LIST_RETRY_S = 0.02
T = TypeVar("T")


class Placer:
    """Place the slices whose home is one data centre, and grant permits to its VMs."""

    def __init__(self, placement: PlacementState) -> None:
        self.placement = placement
        self.ready = False
        self.movers: dict[str, ServiceMover] = {}
        self.live_version = 0
        self.live: list[DaemonInstance] = []

    # Permits

    def renew_permit(self, request: pb.LeaseAsk) -> pb.LeaseReply:
        """Record a lease request and return newer tables and, if allowed, a permit."""
        now = boot_time()
        holder = DaemonInstance(request.vm, request.instance, request.peer_address)
        entry = self.placement.ledger.entry(holder)
        lost_targets = frozenset(request.lost_targets)
        was_live = entry.is_live(now)
        lost_changed = lost_targets != entry.lost_targets
        entry.last_heartbeat_at = now
        entry.leaving = request.leaving
        entry.config_revision = request.config_revision
        entry.lost_targets = lost_targets
        entry.applied_epoch = (request.term, request.applied_sequence)
        entry.busy = tuple(
            BusyRange(item.service, HashRange(item.start, item.last + 1))
            for item in request.busy
        )
        self._record_loads(request, now)
        # Both iterate over all VMs, so they run only on a change, besides the periodic
        # maintenance.
        if lost_changed:
            self._update_lost_targets(now)
        if entry.is_live(now) != was_live:
            self.refresh_live()
        entry.live_version = request.live_version
        reply = self.build_update(entry.applied_epoch, entry.live_version)
        reply.ask_id = request.ask_id
        if self.ready and self.placement.held.may_grant(now):
            reply.granted = True
            reply.permit_ms = int(PERMIT_S * 1000)
            entry.granted_at = now
            self.placement.counts.permits += 1
        self._wake_movers_with_pending_moves()
        return reply

    def build_update(
        self, applied_epoch: tuple[int, int], live_version: int
    ) -> pb.LeaseReply:
        """Return assignments newer than the VM's, and the live VMs if they changed."""
        if not self.ready:
            return pb.LeaseReply()
        term, sequence = self.placement.epoch
        reply = pb.LeaseReply(
            term=term, sequence=sequence, live_version=self.live_version
        )
        for service, state in self.placement.states.items():
            assignment = state.assignment
            if applied_epoch[0] != term or assignment.sequence > applied_epoch[1]:
                reply.tables.add(
                    service=service,
                    sequence=assignment.sequence,
                    assignment=serialize_assignment(assignment),
                )
        if applied_epoch[0] == term and live_version == self.live_version:
            return reply
        for item in self.live:
            reply.live.add(
                name=item.vm, instance=item.instance, peer_address=item.address
            )
        return reply

    @contextmanager
    def track_connection(self, holder: DaemonInstance) -> Iterator[None]:
        """Count an instance as connected; its permit may outlast the connection."""
        entry = self.placement.ledger.entry(holder)
        entry.connections += 1
        try:
            yield
        finally:
            entry.connections -= 1
            self.refresh_live()

    def refresh_live(self) -> None:
        """Update the VMs that may get new work and publish them if they changed."""
        live = self.placement.ledger.live(boot_time())
        if live != self.live:
            self.live = live
            self.live_version += 1
            names = ",".join(item.vm for item in live)
            self.placement.log.write("live_vms", version=self.live_version, vms=names)
            self.placement.publish()

    # Placement

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Place the slices of all services while the context lasts."""
        async with asyncio.TaskGroup() as group:
            services_task = group.create_task(self._run_services(group))
            try:
                yield
            finally:
                services_task.cancel()

    async def _run_services(self, group: asyncio.TaskGroup) -> None:
        tasks: dict[str, asyncio.Task] = {}
        try:
            await self._load_assignments()
            while not self.placement.held.stopped:
                for name, service in self.placement.catalog().services.items():
                    if service.divided_by_key and name not in tasks:
                        mover = self.movers[name] = ServiceMover(self.placement, name)
                        tasks[name] = group.create_task(mover.run())
                self.placement.ledger.remove_expired(boot_time())
                self.refresh_live()
                self._update_lost_targets(boot_time())
                await asyncio.sleep(MAINTENANCE_PERIOD_S)
        finally:
            for task in tasks.values():
                task.cancel()

    async def _load_assignments(self) -> None:
        """Load the stored assignments and continue them under this term."""
        while not self.placement.held.stopped:
            listing = await self.placement.store.list((Kind.ASSIGNMENT, Kind.HOME))
            if isinstance(listing, Listing):
                break
            await asyncio.sleep(LIST_RETRY_S)
        else:
            return
        homes = {
            item.name: home
            for item, home in self._parse_listed(listing, Kind.HOME, parse_home)
        }
        for item, assignment in self._parse_listed(
            listing, Kind.ASSIGNMENT, parse_assignment
        ):
            if assignment.data_centre != self.placement.data_centre:
                continue
            if assignment.service not in homes:
                continue
            self.placement.sequence = max(self.placement.sequence, assignment.sequence)
            self.placement.states[assignment.service] = ServiceState(
                assignment, item.version, homes[assignment.service]
            )
        for state in self.placement.states.values():
            state.pending_moves.update(self._inherited_moves(state))
        self.ready = True
        self.placement.log.write(
            "term_adopted",
            term=self.placement.held.record.number,
            sequence=self.placement.sequence,
            services=len(self.placement.states),
        )
        self.placement.publish()

    def _parse_listed(
        self, listing: Listing, kind: Kind, parse: Callable[[bytes], T]
    ) -> Iterator[tuple[StoredObject, T]]:
        """Yield the valid objects of a kind with their parsed forms.

        A service whose assignment is invalid gets no other: the first write for it
        expects that none is stored.
        """
        for item in listing.objects:
            if item.kind != kind:
                continue
            try:
                yield item, parse(item.value)
            except InvalidObject as error:
                self.placement.log.write(
                    "object_refused", kind=kind, name=item.name, reason=error
                )

    def _inherited_moves(self, state: ServiceState) -> dict[int, PendingMove]:
        """Return the moves that an earlier placer started."""
        now = boot_time()
        return {
            item.range.start: PendingMove(
                item.range,
                item.next_owner,
                self.placement.epoch,
                now,
                "left_behind",
                own_term=False,
            )
            for item in state.assignment.table
            if item.next_owner is not None
        }

    def _record_loads(self, request: pb.LeaseAsk, now: float) -> None:
        reports: dict[str, LoadReport] = {}
        for item in request.loads:
            report = reports.setdefault(item.service, LoadReport(now, {}, {}))
            report.rates[item.start] = item.rate
            for key in item.hot_keys:
                report.hot_keys[key.key_hash] = key.rate
        for item in request.latencies:
            self.placement.ejector.record_latency(
                item.target, item.latency_ms / 1000, now
            )
        for service, report in reports.items():
            self.placement.loads.record(request.vm, service, report)

    def _update_lost_targets(self, now: float) -> None:
        lost = self.placement.ledger.lost_targets(now)
        if lost == self.placement.lost_targets:
            return
        for name in sorted(lost - self.placement.lost_targets):
            self.placement.log.write("target_lost", target=name)
        for name in sorted(self.placement.lost_targets - lost):
            self.placement.returned_at[name] = now
            self.placement.log.write("target_returned", target=name)
        self.placement.lost_targets = lost
        for mover in self.movers.values():
            mover.wake_event.set()

    def _wake_movers_with_pending_moves(self) -> None:
        for name, state in self.placement.states.items():
            if state.pending_moves and name in self.movers:
                self.movers[name].wake_event.set()
