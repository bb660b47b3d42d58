"""Placing of one service's slices: planning, moving, splitting, calling off."""

import asyncio
from dataclasses import replace

from peridot_objects.outcomes import Missing, StoredObject
from peridot_placement.assignments import Assignment, parse_home, serialize_home
from peridot_placement.balancer import BalanceRequest, Move, SliceState, plan_moves
from peridot_placement.clock import boot_time
from peridot_placement.errors import check_invariant
from peridot_placement.placement_state import (
    PendingMove,
    PlacementState,
    ServiceState,
    StoreLost,
)
from peridot_placement.signals import wait_for_event
from peridot_placement.slices import (
    HashRange,
    HomeTable,
    SliceTable,
    divide_homes,
    divide_ranges,
)
from peridot_placement.splits import merge_cold_slices, split_hot_slices
from peridot_resources.catalog import Kind, Service, Target

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


class ServiceMover:
    """Place the slices of one service in one data centre."""

    def __init__(self, shared: PlacementState, name: str) -> None:
        self.shared = shared
        self.name = name
        self.waker = asyncio.Event()

    async def run(self) -> None:
        """Place the slices of one service until cancelled."""
        while not self.shared.held.stopped:
            try:
                await self._place_once()
            except StoreLost as error:
                self.shared.store_available = False
                if error.known:
                    self._call_off_moves()
                self.shared.log.write(
                    "placement_waits", service=self.name, reason=str(error)
                )
            state = self.shared.states.get(self.name)
            period = PENDING_PERIOD_S if state and state.pending else IDLE_PERIOD_S
            await wait_for_event(self.waker, period)
            self.waker.clear()

    async def _place_once(self) -> None:
        catalog = self.shared.catalog()
        service = catalog.services.get(self.name)
        if service is None or not service.divided_by_key:
            return
        if service.policy not in catalog.policies:
            return
        if self.name not in self.shared.states and not await self._create(service):
            return
        state = self.shared.states[self.name]
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
        ranges = home.ranges_of(self.shared.data_centre)
        targets = self._usable_targets(service)
        if not ranges or not targets:
            return False
        table = divide_ranges(ranges, SLICES_PER_TARGET * len(targets))
        first = Assignment(service.name, self.shared.data_centre, 0, 0, "", table)
        self.shared.states[service.name] = ServiceState(first, 0, home)
        return True

    async def _read_or_create_home(self, service: Service) -> HomeTable | None:
        slots: dict[str, int] = {}
        for target in self.shared.catalog().targets_of(service.name):
            slots[target.data_centre] = slots.get(target.data_centre, 0) + target.slots
        if not slots:
            return None
        found = await self.shared.store.read(Kind.HOME, service.name)
        if isinstance(found, Missing):
            value = serialize_home(divide_homes(slots))
            await self.shared.store.write(Kind.HOME, service.name, value, 0)
            found = await self.shared.store.read(Kind.HOME, service.name)
        if isinstance(found, StoredObject):
            return parse_home(found.value)
        return None

    def _usable_targets(self, service: Service) -> list[Target]:
        return [
            target
            for target in self.shared.catalog().targets_of(
                service.name, self.shared.data_centre
            )
            if not target.leaving and target.name not in self.shared.known_lost
        ]

    def _capacities(self, service: Service, now: float) -> dict[str, float]:
        capacities = {}
        targets = self._usable_targets(service)
        names = [target.name for target in targets]
        for name in self.shared.ejector.judge(names, now):
            self.shared.log.write("target_ejected", service=service.name, target=name)
        ejected = self.shared.ejector.ejected(names, now)
        for target in targets:
            if target.name in ejected:
                continue
            returned = self.shared.returned_at.get(target.name, float("-inf"))
            since = now - max(returned, self.shared.ejector.returned_at(target.name))
            share = min(1.0, RAMP_START + (1 - RAMP_START) * since / RAMP_S)
            capacities[target.name] = target.slots * share
        return capacities

    async def _split(self, service: Service, state: ServiceState) -> bool:
        """Cut hot slices and merge cold ones; tell whether the table changed."""
        now = boot_time()
        if now - state.split_at < SPLIT_PERIOD_S or not state.version:
            return False
        state.split_at = now
        table = state.assignment.table.copy()
        ranges = state.home.ranges_of(self.shared.data_centre)
        loads = self.shared.loads.slice_loads(service.name, table, ranges, now)
        targets = len(self._usable_targets(service))
        merges = 0 if state.pending else merge_cold_slices(table, loads, targets)
        if merges:
            loads = self.shared.loads.slice_loads(service.name, table, ranges, now)
        hot_keys = self.shared.loads.hot_keys(service.name, now)
        cuts = split_hot_slices(table, loads, hot_keys, targets)
        if not cuts and not merges:
            return False
        await self.shared.write(state, table)
        self.shared.log.write(
            "slices_divided",
            service=service.name,
            cuts=cuts,
            merges=merges,
            slices=len(table),
        )
        self.shared.push()
        return True

    def _plan(self, service: Service, state: ServiceState) -> list[Move]:
        """Return the moves to start now: off lost targets at once, others by budget."""
        now = boot_time()
        if now < self.shared.held.earlier_rights_until and state.version == 0:
            return []
        policy = self.shared.catalog().policy_of(service)
        table = state.assignment.table
        ranges = state.home.ranges_of(self.shared.data_centre)
        budget = self._move_budget(state, policy.moves_per_minute, now)
        loads = self.shared.loads.slice_loads(service.name, table, ranges, now)
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
        await self.shared.write(state, table)
        state.move_allowance -= sum(move.reason == "imbalance" for move in moving)
        for move in moving:
            found = table.range_at(move.index)
            state.pending[found.start] = PendingMove(
                found, move.destination, self.shared.epoch, now, move.reason
            )
        for move in moves:
            self._log_move("move_started", service, table.range_at(move.index), move)
        self.shared.counts.moves += len(moving)
        self.shared.push()

    async def _settle(self, service: Service, state: ServiceState) -> None:
        """Give moving slices to their next owners once no old right is left."""
        now = boot_time()
        ended = [
            move
            for move in state.pending.values()
            if not self.shared.ledger.holders_of_rights(
                service.name, move.range, move.epoch, now
            )
        ]
        if not ended:
            self._call_off_moves(MOVE_PATIENCE_S)
            return
        if not await self._confirm_after(now):
            self._call_off_moves()
            return
        usable = {target.name for target in self._usable_targets(service)}
        table = state.assignment.table.copy()
        check_invariant(
            now >= self.shared.held.earlier_rights_until,
            "earlier_rights_have_ended",
            service.name,
        )
        for move in ended:
            self._settle_one(table, move, usable)
        await self.shared.write(state, table)
        for move in ended:
            del state.pending[move.range.start]
            self.shared.log.write(
                "move_settled",
                service=service.name,
                slice=f"{move.range.start:016x}",
                target=move.destination,
                term=self.shared.epoch[0],
                sequence=self.shared.sequence,
                took_ms=int((boot_time() - move.began) * 1000),
                reason=move.reason,
            )
        self.shared.counts.settled += len(ended)
        self.shared.push()

    def _call_off_moves(self, patience_s: float = 0.0) -> None:
        """Give slices back to owners that live while their moves can't go on.

        The store still says that they move, so a successor waits for all rights to
        end before it gives them to anybody; giving them back needs no write. That
        holds only for moves begun under this term: an earlier placer may have
        settled its own.
        """
        state = self.shared.states.get(self.name)
        service = self.shared.catalog().services.get(self.name)
        now = boot_time()
        if state is None or service is None or not self.shared.held.may_give(now):
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
        self.shared.sequence += 1
        state.assignment = replace(
            state.assignment,
            term=self.shared.held.record.number,
            sequence=self.shared.sequence,
            table=table,
        )
        state.rebalanced_at = now
        self.shared.log.write(
            "moves_called_off", service=self.name, moves=len(called_off)
        )
        self.shared.push()

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
                await self.shared.confirm()
        except TimeoutError:
            return False
        return self.shared.held.may_settle(boot_time(), moment)

    def _log_move(
        self, event: str, service: Service, found: HashRange, move: Move
    ) -> None:
        self.shared.log.write(
            event,
            service=service.name,
            slice=f"{found.start:016x}",
            source=move.source or "-",
            target=move.destination,
            term=self.shared.epoch[0],
            sequence=self.shared.sequence,
            reason=move.reason if move.source else "first_owner",
        )
