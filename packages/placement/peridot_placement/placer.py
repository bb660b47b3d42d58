"""Placer of one data centre: renews permits and runs the placing of services."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from peridot_objects.outcomes import Listing
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
from peridot_placement.terms import PERMIT_S, Candidate
from peridot_resources.catalog import Kind
from peridot_wire import peridot_pb2 as pb

UPKEEP_PERIOD_S = 0.1
ADOPT_RETRY_S = 0.02


class Placer:
    """Decide who owns the slices whose home is one data centre."""

    def __init__(self, shared: PlacementState) -> None:
        self.shared = shared
        self.ready = False
        self.movers: dict[str, ServiceMover] = {}
        self.live_version = 0
        self.live: list[Candidate] = []

    # Permits

    def answer(self, ask: pb.LeaseAsk) -> pb.LeaseReply:
        """Take in an ask and return a permit, or a refusal if none may be given."""
        now = boot_time()
        holder = Candidate(ask.vm, ask.instance, ask.peer_address)
        entry = self.shared.ledger.entry(holder)
        lost_targets = frozenset(ask.lost_targets)
        was_live = entry.is_live(now)
        lost_changed = lost_targets != entry.lost_targets
        entry.heard_at = now
        entry.leaving = ask.leaving
        entry.config_revision = ask.config_revision
        entry.lost_targets = lost_targets
        entry.applied = (ask.term, ask.applied_sequence)
        entry.busy = tuple(
            BusyRange(item.service, HashRange(item.start, item.last + 1))
            for item in ask.busy
        )
        self._take_loads(ask, now)
        # Both look at all VMs, so they wait for a change or the regular upkeep.
        if lost_changed:
            self._note_lost_targets(now)
        if entry.is_live(now) != was_live:
            self.refresh_live()
        entry.live_version = ask.live_version
        reply = self.describe_changes(entry.applied, entry.live_version)
        reply.ask_id = ask.ask_id
        if self.ready and self.shared.held.may_give(now):
            reply.granted = True
            reply.permit_ms = int(PERMIT_S * 1000)
            entry.granted_at = now
            self.shared.counts.permits += 1
        self._wake_pending()
        return reply

    def describe_changes(
        self, applied: tuple[int, int], live_version: int
    ) -> pb.LeaseReply:
        """Return the tables newer than an epoch, and the live VMs if they changed."""
        if not self.ready:
            return pb.LeaseReply()
        term, sequence = self.shared.epoch
        reply = pb.LeaseReply(
            term=term, sequence=sequence, live_version=self.live_version
        )
        for service, state in self.shared.states.items():
            assignment = state.assignment
            if applied[0] != term or assignment.sequence > applied[1]:
                reply.tables.add(
                    service=service,
                    sequence=assignment.sequence,
                    assignment=serialize_assignment(assignment),
                )
        if applied[0] == term and live_version == self.live_version:
            return reply
        for item in self.live:
            reply.live.add(
                name=item.vm, instance=item.instance, peer_address=item.address
            )
        return reply

    @contextmanager
    def connection(self, holder: Candidate) -> Iterator[None]:
        """Count an instance as connected; its permit outlasts the connection."""
        entry = self.shared.ledger.entry(holder)
        entry.connections += 1
        try:
            yield
        finally:
            entry.connections -= 1
            self.refresh_live()

    def refresh_live(self) -> None:
        """Recompute who may get new work and push it if it changed."""
        live = self.shared.ledger.live(boot_time())
        if live != self.live:
            self.live = live
            self.live_version += 1
            names = ",".join(item.vm for item in live)
            self.shared.log.write("live_vms", version=self.live_version, vms=names)
            self.shared.push()

    # Placement

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Place slices while the context lasts."""
        async with asyncio.TaskGroup() as group:
            main = group.create_task(self._run_services(group))
            try:
                yield
            finally:
                main.cancel()

    async def _run_services(self, group: asyncio.TaskGroup) -> None:
        tasks: dict[str, asyncio.Task] = {}
        try:
            await self._adopt()
            while not self.shared.held.stopped:
                for name, service in self.shared.catalog().services.items():
                    if service.divided_by_key and name not in tasks:
                        mover = self.movers[name] = ServiceMover(self.shared, name)
                        tasks[name] = group.create_task(mover.run())
                self.shared.ledger.forget_lapsed(boot_time())
                self.refresh_live()
                self._note_lost_targets(boot_time())
                await asyncio.sleep(UPKEEP_PERIOD_S)
        finally:
            for task in tasks.values():
                task.cancel()

    async def _adopt(self) -> None:
        """Read what stands and serve it on under this term."""
        while not self.shared.held.stopped:
            listing = await self.shared.store.list((Kind.ASSIGNMENT, Kind.HOME))
            if isinstance(listing, Listing):
                break
            await asyncio.sleep(ADOPT_RETRY_S)
        else:
            return
        homes = {
            item.name: parse_home(item.value)
            for item in listing.objects
            if item.kind == Kind.HOME
        }
        for item in listing.objects:
            if item.kind != Kind.ASSIGNMENT:
                continue
            assignment = parse_assignment(item.value)
            if assignment.data_centre != self.shared.data_centre:
                continue
            if assignment.service not in homes:
                continue
            self.shared.sequence = max(self.shared.sequence, assignment.sequence)
            self.shared.states[assignment.service] = ServiceState(
                assignment, item.version, homes[assignment.service]
            )
        for state in self.shared.states.values():
            state.pending.update(self._moves_left_behind(state))
        self.ready = True
        self.shared.log.write(
            "term_adopted",
            term=self.shared.held.record.number,
            sequence=self.shared.sequence,
            services=len(self.shared.states),
        )
        self.shared.push()

    def _moves_left_behind(self, state: ServiceState) -> dict[int, PendingMove]:
        """Return the moves that an earlier placer had begun."""
        now = boot_time()
        return {
            item.range.start: PendingMove(
                item.range,
                item.next_owner,
                self.shared.epoch,
                now,
                "left_behind",
                own=False,
            )
            for item in state.assignment.table
            if item.next_owner is not None
        }

    def _take_loads(self, ask: pb.LeaseAsk, now: float) -> None:
        reports: dict[str, LoadReport] = {}
        for item in ask.loads:
            report = reports.setdefault(item.service, LoadReport(now, {}, {}))
            report.rates[item.start] = item.rate
            for key in item.hot_keys:
                report.hot_keys[key.key_hash] = key.rate
        for item in ask.latencies:
            self.shared.ejector.take(item.target, item.latency_ms / 1000, now)
        for service, report in reports.items():
            self.shared.loads.take(ask.vm, service, report)

    def _note_lost_targets(self, now: float) -> None:
        lost = self.shared.ledger.lost_targets(now)
        if lost == self.shared.known_lost:
            return
        for name in sorted(lost - self.shared.known_lost):
            self.shared.log.write("target_lost", target=name)
        for name in sorted(self.shared.known_lost - lost):
            self.shared.returned_at[name] = now
            self.shared.log.write("target_returned", target=name)
        self.shared.known_lost = lost
        for mover in self.movers.values():
            mover.waker.set()

    def _wake_pending(self) -> None:
        for name, state in self.shared.states.items():
            if state.pending and name in self.movers:
                self.movers[name].waker.set()
