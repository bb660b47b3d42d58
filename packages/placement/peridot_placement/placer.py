"""Placer of one data centre: assigns slices, renews permits, moves ownership."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field, replace
from uuid import uuid4

from peridot_placement.assignments import (
    Assignment,
    parse_assignment,
    parse_home,
    serialize_assignment,
    serialize_home,
)
from peridot_placement.balancer import (
    BalanceRequest,
    Move,
    SliceState,
    plan_moves,
)
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_placement.ejection import Ejector
from peridot_placement.errors import check_invariant
from peridot_placement.ledger import BusyRange, PermitLedger
from peridot_placement.loads import LoadBook, LoadReport
from peridot_placement.slices import (
    HashRange,
    HomeTable,
    SliceTable,
    divide_homes,
    divide_ranges,
)
from peridot_placement.splits import split_hot_slices
from peridot_placement.terms import PERMIT_S, Candidate, HeldTerm
from peridot_placement.writer import WriteDone, WriteLost, write_durably
from peridot_platform.objects import ObjectStore
from peridot_platform.outcomes import Listing, Missing, StoredObject
from peridot_resources.catalog import Catalog, Kind, Service, Target
from peridot_wire import peridot_pb2 as pb

SLICES_PER_TARGET = 16
IDLE_PERIOD_S = 0.5
PENDING_PERIOD_S = 0.02
REBALANCE_PERIOD_S = 1.0
SPLIT_PERIOD_S = 2.0
# A target that has just come back takes a growing share of its capacity.
RAMP_S = 10.0
RAMP_START = 0.2
# A move whose last owner still works is called off after this long.
MOVE_PATIENCE_S = 0.5
CONFIRM_PATIENCE_S = 0.4


@dataclass(frozen=True)
class PendingMove:
    """Hold a slice that is moving and the epoch from which nobody has it."""

    range: HashRange
    destination: str
    epoch: tuple[int, int]
    began: float
    reason: str
    # Begun under this term, so nobody else can have settled it.
    own: bool = True


@dataclass
class PlacerCounts:
    """Count what the placer has done."""

    moves: int = 0
    settled: int = 0
    permits: int = 0
    assignment_writes: int = 0


@dataclass
class ServiceState:
    """Hold what the placer knows of one service in its data centre."""

    assignment: Assignment
    version: int
    home: HomeTable
    pending: dict[int, PendingMove] = field(default_factory=dict)
    rebalanced_at: float = float("-inf")
    split_at: float = float("-inf")
    move_allowance: float = 0.0


class Placer:
    """Decide who owns the slices whose home is one data centre."""

    def __init__(
        self,
        store: ObjectStore,
        data_centre: str,
        held: HeldTerm,
        catalog: Callable[[], Catalog],
        confirm: Callable[[], Awaitable[None]],
        log: DecisionLog,
    ) -> None:
        self.store = store
        self.data_centre = data_centre
        self.held = held
        self.catalog = catalog
        self.confirm = confirm
        self.log = log
        self.ledger = PermitLedger()
        self.loads = LoadBook()
        self.ejector = Ejector()
        self.counts = PlacerCounts()
        self.states: dict[str, ServiceState] = {}
        self.sequence = 0
        self.ready = False
        self.returned_at: dict[str, float] = {}
        self.known_lost: set[str] = set()
        self.write_lock = asyncio.Lock()
        self.wakers: dict[str, asyncio.Event] = {}
        self.push_event = asyncio.Event()
        self.live_version = 0
        self.live: list[Candidate] = []
        self.store_available = True

    @property
    def epoch(self) -> tuple[int, int]:
        """Return the term and the sequence of the last published table."""
        return (self.held.record.number, self.sequence)

    # Permits

    def answer(self, ask: pb.LeaseAsk) -> pb.LeaseReply:
        """Take in an ask and return a permit, or a refusal if none may be given."""
        now = boot_time()
        holder = Candidate(ask.vm, ask.instance, ask.peer_address)
        entry = self.ledger.entry(holder)
        entry.heard_at = now
        entry.leaving = ask.leaving
        entry.config_revision = ask.config_revision
        entry.lost_targets = frozenset(ask.lost_targets)
        entry.applied = (ask.term, ask.applied_sequence)
        entry.busy = tuple(
            BusyRange(item.service, HashRange(item.start, item.last + 1))
            for item in ask.busy
        )
        self._take_loads(ask, now)
        self._note_lost_targets(now)
        self.refresh_live()
        reply = self.describe_changes(entry.applied)
        reply.ask_id = ask.ask_id
        if self.ready and self.held.may_give(now):
            reply.granted = True
            reply.permit_ms = int(PERMIT_S * 1000)
            entry.granted_at = now
            self.counts.permits += 1
        self._wake_pending()
        return reply

    def describe_changes(self, applied: tuple[int, int]) -> pb.LeaseReply:
        """Return the tables newer than an epoch and the live VMs."""
        if not self.ready:
            return pb.LeaseReply()
        term, sequence = self.epoch
        reply = pb.LeaseReply(
            term=term, sequence=sequence, live_version=self.live_version
        )
        for service, state in self.states.items():
            assignment = state.assignment
            if applied[0] != term or assignment.sequence > applied[1]:
                reply.tables.add(
                    service=service,
                    sequence=assignment.sequence,
                    assignment=serialize_assignment(assignment),
                )
        for item in self.live:
            reply.live.add(
                name=item.vm, instance=item.instance, peer_address=item.address
            )
        return reply

    @contextmanager
    def connection(self, holder: Candidate) -> Iterator[None]:
        """Count an instance as connected; its permit outlasts the connection."""
        entry = self.ledger.entry(holder)
        entry.connections += 1
        try:
            yield
        finally:
            entry.connections -= 1
            self.refresh_live()

    def refresh_live(self) -> None:
        """Recompute who may get new work and push it if it changed."""
        live = self.ledger.live(boot_time())
        if live != self.live:
            self.live = live
            self.live_version += 1
            names = ",".join(item.vm for item in live)
            self.log.write("live_vms", version=self.live_version, vms=names)
            self._push()

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
            while not self.held.stopped:
                for name, service in self.catalog().services.items():
                    if service.divided_by_key and name not in tasks:
                        self.wakers[name] = asyncio.Event()
                        tasks[name] = group.create_task(self._place(name))
                self.ledger.forget_lapsed(boot_time())
                self.refresh_live()
                await asyncio.sleep(PENDING_PERIOD_S * 5)
        finally:
            for task in tasks.values():
                task.cancel()

    async def _adopt(self) -> None:
        """Read what stands and serve it on under this term."""
        while not self.held.stopped:
            listing = await self.store.list((Kind.ASSIGNMENT, Kind.HOME))
            if isinstance(listing, Listing):
                break
            await asyncio.sleep(PENDING_PERIOD_S)
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
            if assignment.data_centre != self.data_centre:
                continue
            if assignment.service not in homes:
                continue
            self.sequence = max(self.sequence, assignment.sequence)
            self.states[assignment.service] = ServiceState(
                assignment, item.version, homes[assignment.service]
            )
        for state in self.states.values():
            state.pending.update(self._moves_left_behind(state))
        self.ready = True
        self.log.write(
            "term_adopted",
            term=self.held.record.number,
            sequence=self.sequence,
            services=len(self.states),
        )
        self._push()

    def _moves_left_behind(self, state: ServiceState) -> dict[int, PendingMove]:
        """Return the moves that an earlier placer had begun."""
        now = boot_time()
        return {
            item.range.start: PendingMove(
                item.range, item.next_owner, self.epoch, now, "left_behind", own=False
            )
            for item in state.assignment.table
            if item.next_owner is not None
        }

    async def _place(self, name: str) -> None:
        """Place the slices of one service until cancelled."""
        while not self.held.stopped:
            try:
                await self._place_once(name)
            except StoreLost as error:
                self.store_available = False
                if error.known:
                    self._call_off_moves(name)
                self.log.write("placement_waits", service=name, reason=str(error))
            state = self.states.get(name)
            period = PENDING_PERIOD_S if state and state.pending else IDLE_PERIOD_S
            waker = self.wakers[name]
            try:
                async with asyncio.timeout(period):
                    await waker.wait()
            except TimeoutError:
                pass
            waker.clear()

    async def _place_once(self, name: str) -> None:
        service = self.catalog().services.get(name)
        if service is None or not service.divided_by_key:
            return
        if name not in self.states and not await self._create(service):
            return
        state = self.states[name]
        await self._settle(service, state)
        if await self._split(service, state):
            return
        moves = self._plan(service, state)
        if moves:
            await self._start(service, state, moves)

    async def _create(self, service: Service) -> bool:
        """Store the first assignment of a service in this data centre."""
        home = await self._read_or_create_home(service)
        if home is None:
            return False
        ranges = home.ranges_of(self.data_centre)
        targets = self._usable_targets(service)
        if not ranges or not targets:
            return False
        table = divide_ranges(ranges, SLICES_PER_TARGET * len(targets))
        first = Assignment(service.name, self.data_centre, 0, 0, "", table)
        self.states[service.name] = ServiceState(first, 0, home)
        return True

    async def _read_or_create_home(self, service: Service) -> HomeTable | None:
        slots: dict[str, int] = {}
        for target in self.catalog().targets_of(service.name):
            slots[target.data_centre] = slots.get(target.data_centre, 0) + target.slots
        if not slots:
            return None
        found = await self.store.read(Kind.HOME, service.name)
        if isinstance(found, Missing):
            value = serialize_home(divide_homes(slots))
            await self.store.write(Kind.HOME, service.name, value, 0)
            found = await self.store.read(Kind.HOME, service.name)
        if isinstance(found, StoredObject):
            return parse_home(found.value)
        return None

    def _usable_targets(self, service: Service) -> list[Target]:
        return [
            target
            for target in self.catalog().targets_of(service.name, self.data_centre)
            if not target.leaving and target.name not in self.known_lost
        ]

    def _capacities(self, service: Service, now: float) -> dict[str, float]:
        capacities = {}
        targets = self._usable_targets(service)
        names = [target.name for target in targets]
        for name in self.ejector.judge(names, now):
            self.log.write("target_ejected", service=service.name, target=name)
        ejected = self.ejector.ejected(names, now)
        for target in targets:
            if target.name in ejected:
                continue
            returned = self.returned_at.get(target.name, float("-inf"))
            since = now - max(returned, self.ejector.returned_at(target.name))
            share = min(1.0, RAMP_START + (1 - RAMP_START) * since / RAMP_S)
            capacities[target.name] = target.slots * share
        return capacities

    async def _split(self, service: Service, state: ServiceState) -> bool:
        """Cut hot slices and store the cuts; tell whether there were any."""
        now = boot_time()
        if now - state.split_at < SPLIT_PERIOD_S or not state.version:
            return False
        state.split_at = now
        table = state.assignment.table.copy()
        ranges = state.home.ranges_of(self.data_centre)
        cuts = split_hot_slices(
            table,
            self.loads.slice_loads(service.name, table, ranges, now),
            self.loads.hot_keys(service.name, now),
            len(self._usable_targets(service)),
        )
        if cuts:
            await self._write(state, table)
            self.log.write(
                "slices_split", service=service.name, cuts=cuts, slices=len(table)
            )
            self._push()
        return bool(cuts)

    def _plan(self, service: Service, state: ServiceState) -> list[Move]:
        """Return the moves to start now: off lost targets at once, others by budget."""
        now = boot_time()
        if now < self.held.earlier_rights_until and state.version == 0:
            return []
        policy = self.catalog().policy_of(service)
        table = state.assignment.table
        ranges = state.home.ranges_of(self.data_centre)
        budget = self._move_budget(state, policy.moves_per_minute, now)
        loads = self.loads.slice_loads(service.name, table, ranges, now)
        slices = [
            SliceState(index, table.slice_at(index).owner, load)
            for index, load in loads.items()
            if table.starts[index] not in state.pending
        ]
        return plan_moves(
            BalanceRequest(
                slices,
                self._capacities(service, now),
                policy.imbalance_weight,
                policy.churn_weight,
                budget,
            )
        )

    def _move_budget(self, state: ServiceState, per_minute: int, now: float) -> int:
        """Return how many moves for balance may start now."""
        elapsed = now - state.rebalanced_at
        if elapsed < REBALANCE_PERIOD_S or state.pending or not state.version:
            return 0
        state.rebalanced_at = now
        earned = per_minute * min(elapsed, 60.0) / 60
        state.move_allowance = min(per_minute, state.move_allowance + earned)
        return int(state.move_allowance)

    async def _start(
        self, service: Service, state: ServiceState, moves: list[Move]
    ) -> None:
        """Write that slices move; slices that nobody had settle at once."""
        now = boot_time()
        table = state.assignment.table.copy()
        moving = [move for move in moves if move.source is not None]
        direct = [move for move in moves if move.source is None]
        if direct and not await self._confirm_after(now):
            direct = []
        for move in moving:
            table.start_move(move.index, move.destination)
        for move in direct:
            table.settle(move.index, move.destination)
        if not moving and not direct:
            return
        await self._write(state, table)
        state.move_allowance -= sum(move.reason == "imbalance" for move in moving)
        for move in moving:
            found = table.range_at(move.index)
            state.pending[found.start] = PendingMove(
                found, move.destination, self.epoch, now, move.reason
            )
        for move in moves:
            self._log_move("move_started", service, table.range_at(move.index), move)
        self.counts.moves += len(moving)
        self._push()

    async def _settle(self, service: Service, state: ServiceState) -> None:
        """Give moving slices to their next owners once no old right is left."""
        now = boot_time()
        ended = [
            move
            for move in state.pending.values()
            if not self.ledger.holders_of_rights(
                service.name, move.range, move.epoch, now
            )
        ]
        if not ended:
            self._call_off_moves(service.name, MOVE_PATIENCE_S)
            return
        if not await self._confirm_after(now):
            self._call_off_moves(service.name)
            return
        usable = {target.name for target in self._usable_targets(service)}
        table = state.assignment.table.copy()
        for move in ended:
            self._settle_one(table, move, usable)
        await self._write(state, table)
        for move in ended:
            del state.pending[move.range.start]
            self.log.write(
                "move_settled",
                service=service.name,
                slice=f"{move.range.start:016x}",
                target=move.destination,
                term=self.epoch[0],
                sequence=self.sequence,
                took_ms=int((boot_time() - move.began) * 1000),
                reason=move.reason,
            )
        self.counts.settled += len(ended)
        self._push()

    def _call_off_moves(self, name: str, patience_s: float = 0.0) -> None:
        """Give slices back to owners that live while their moves can't go on.

        The store still says that they move, so a successor waits for all rights to
        end before it gives them to anybody; giving them back needs no write. That
        holds only for moves begun under this term: an earlier placer may have
        settled its own.
        """
        state = self.states.get(name)
        service = self.catalog().services.get(name)
        now = boot_time()
        if state is None or service is None or not self.held.may_give(now):
            return
        usable = {target.name for target in self._usable_targets(service)}
        table = state.assignment.table.copy()
        called_off = []
        for start, move in list(state.pending.items()):
            owner = table.slice_at(table.find(start)).owner
            patient = now - move.began < patience_s
            if move.own and owner in usable and not patient:
                table.settle(table.find(start), owner)
                called_off.append(state.pending.pop(start))
        if not called_off:
            return
        self.sequence += 1
        state.assignment = replace(
            state.assignment,
            term=self.held.record.number,
            sequence=self.sequence,
            table=table,
        )
        state.rebalanced_at = now
        self.log.write("moves_called_off", service=name, moves=len(called_off))
        self._push()

    def _settle_one(
        self, table: SliceTable, move: PendingMove, usable: set[str]
    ) -> None:
        index = table.find(move.range.start)
        check_invariant(
            table.slice_at(index).range == move.range,
            "moving_slice_keeps_its_range",
            f"slice {move.range.start:016x}",
        )
        destination = move.destination
        if destination not in usable and usable:
            held = {name: len(table.ranges_owned_by(name)) for name in usable}
            destination = min(held, key=lambda name: (held[name], name))
        table.settle(index, destination)

    async def _confirm_after(self, moment: float) -> bool:
        """Read the term back; tell whether slices may settle now."""
        try:
            async with asyncio.timeout(CONFIRM_PATIENCE_S):
                await self.confirm()
        except TimeoutError:
            return False
        return self.held.may_settle(boot_time(), moment)

    async def _write(self, state: ServiceState, table: SliceTable) -> None:
        """Store a table durably, then publish it; raise StoreLost otherwise."""
        async with self.write_lock:
            sequence = self.sequence + 1
            assignment = Assignment(
                state.assignment.service,
                self.data_centre,
                self.held.record.number,
                sequence,
                uuid4().hex,
                table,
            )
            outcome = await write_durably(
                self.store,
                Kind.ASSIGNMENT,
                assignment.name,
                serialize_assignment(assignment),
                state.version,
                lambda value: parse_assignment(value).write_id == assignment.write_id,
                lambda: self.held.may_give(boot_time()),
            )
            if isinstance(outcome, WriteLost):
                self.held.stopped = True
                raise StoreLost("another placer wrote the assignment", known=False)
            if not isinstance(outcome, WriteDone):
                raise StoreLost("assignment not written", outcome.known)
            check_invariant(
                outcome.version > state.version,
                "versions_rise",
                f"{assignment.name}: {state.version} then {outcome.version}",
            )
            self.store_available = True
            self.counts.assignment_writes += 1
            self.sequence = sequence
            state.assignment = assignment
            state.version = outcome.version

    def _take_loads(self, ask: pb.LeaseAsk, now: float) -> None:
        reports: dict[str, LoadReport] = {}
        for item in ask.loads:
            report = reports.setdefault(item.service, LoadReport(now, {}, {}))
            report.rates[item.start] = item.rate
            for key in item.hot_keys:
                report.hot_keys[key.key_hash] = key.rate
        for item in ask.latencies:
            self.ejector.take(item.target, item.latency_ms / 1000, now)
        for service, report in reports.items():
            self.loads.take(ask.vm, service, report)

    def _note_lost_targets(self, now: float) -> None:
        lost = self.ledger.lost_targets(now)
        if lost == self.known_lost:
            return
        for name in sorted(lost - self.known_lost):
            self.log.write("target_lost", target=name)
        for name in sorted(self.known_lost - lost):
            self.returned_at[name] = now
            self.log.write("target_returned", target=name)
        self.known_lost = lost
        for waker in self.wakers.values():
            waker.set()

    def _wake_pending(self) -> None:
        for name, state in self.states.items():
            if state.pending and name in self.wakers:
                self.wakers[name].set()

    def _push(self) -> None:
        """Wake every lease stream so that it sends what changed."""
        event, self.push_event = self.push_event, asyncio.Event()
        event.set()

    def _log_move(
        self, event: str, service: Service, found: HashRange, move: Move
    ) -> None:
        self.log.write(
            event,
            service=service.name,
            slice=f"{found.start:016x}",
            source=move.source or "-",
            target=move.destination,
            term=self.epoch[0],
            sequence=self.sequence,
            reason=move.reason if move.source else "first_owner",
        )


class StoreLost(Exception):
    """Report that a write to the store didn't succeed, for certain if known."""

    def __init__(self, reason: str, known: bool) -> None:
        super().__init__(reason)
        self.known = known
