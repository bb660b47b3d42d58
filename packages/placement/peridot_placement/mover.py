"""Placement of one service's slices: plan, start, complete and cancel moves, split."""

import asyncio
from dataclasses import replace

from peridot_objects.outcomes import Missing, StoredObject
from peridot_placement.assignments import Assignment, parse_home, serialize_home
from peridot_placement.balancer import BalanceRequest, Move, SliceState, plan_moves
from peridot_placement.clock import boot_time
from peridot_placement.errors import check_invariant
from peridot_placement.placement_state import (
    AssignmentNotStored,
    PendingMove,
    PlacementState,
    ServiceState,
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
# A target that has just returned gets a growing share of its capacity for this long,
# from RAMP_UP_START_SHARE on.
RAMP_UP_S = 10.0
RAMP_UP_START_SHARE = 0.2
# A move whose previous owner is still usable is cancelled after this long.
MOVE_CANCEL_DELAY_S = 0.5
CONFIRM_READ_TIMEOUT_S = 0.4


class ServiceMover:
    """Place the slices of one service in one data centre (peridotd mode)."""

    def __init__(self, placement: PlacementState, name: str) -> None:
        self.placement = placement
        self.name = name
        self.wake_event = asyncio.Event()

    async def run(self) -> None:
        """Place the slices while the term is held, or until cancelled."""
        while not self.placement.held.stopped:
            try:
                await self._run_once()
            except AssignmentNotStored as error:
                self.placement.store_available = False
                if error.stored_unchanged:
                    self._cancel_moves()
                self.placement.log.write(
                    "placement_waits", service=self.name, reason=str(error)
                )
            state = self.placement.states.get(self.name)
            period = (
                PENDING_PERIOD_S if state and state.pending_moves else IDLE_PERIOD_S
            )
            await wait_for_event(self.wake_event, period)
            self.wake_event.clear()

    async def _run_once(self) -> None:
        catalog = self.placement.catalog()
        service = catalog.services.get(self.name)
        if service is None or not service.divided_by_key:
            return
        if service.policy not in catalog.policies:
            return
        if (
            self.name not in self.placement.states
            and not await self._prepare_first_assignment(service)
        ):
            return
        state = self.placement.states[self.name]
        await self._complete_moves(service, state)
        if await self._split_and_merge(service, state):
            return
        moves = self._plan_moves(service, state)
        if moves:
            await self._start_moves(service, state, moves)

    async def _prepare_first_assignment(self, service: Service) -> bool:
        """Prepare a service's first assignment, to store when its slices get owners.

        Return False if the service has no slices or no usable targets here.
        """
        home = await self._read_or_create_home(service)
        if home is None:
            return False
        ranges = home.ranges_of(self.placement.data_centre)
        targets = self._usable_targets(service)
        if not ranges or not targets:
            return False
        table = divide_ranges(ranges, SLICES_PER_TARGET * len(targets))
        first = Assignment(service.name, self.placement.data_centre, 0, 0, "", table)
        self.placement.states[service.name] = ServiceState(first, 0, home)
        return True

    async def _read_or_create_home(self, service: Service) -> HomeTable | None:
        slots: dict[str, int] = {}
        for target in self.placement.catalog().targets_of(service.name):
            slots[target.data_centre] = slots.get(target.data_centre, 0) + target.slots
        if not slots:
            return None
        found = await self.placement.store.read(Kind.HOME, service.name)
        if isinstance(found, Missing):
            value = serialize_home(divide_homes(slots))
            await self.placement.store.write(Kind.HOME, service.name, value, 0)
            found = await self.placement.store.read(Kind.HOME, service.name)
        if isinstance(found, StoredObject):
            return parse_home(found.value)
        return None

    def _usable_targets(self, service: Service) -> list[Target]:
        return [
            target
            for target in self.placement.catalog().targets_of(
                service.name, self.placement.data_centre
            )
            if not target.leaving and target.name not in self.placement.lost_targets
        ]

    def _effective_capacities(self, service: Service, now: float) -> dict[str, float]:
        capacities = {}
        targets = self._usable_targets(service)
        names = [target.name for target in targets]
        for name in self.placement.ejector.eject_slow_targets(names, now):
            self.placement.log.write(
                "target_ejected", service=service.name, target=name
            )
        ejected = self.placement.ejector.ejected(names, now)
        for target in targets:
            if target.name in ejected:
                continue
            returned = self.placement.returned_at.get(target.name, float("-inf"))
            elapsed_s = now - max(
                returned, self.placement.ejector.ejection_ends_at(target.name)
            )
            share = min(
                1.0,
                RAMP_UP_START_SHARE + (1 - RAMP_UP_START_SHARE) * elapsed_s / RAMP_UP_S,
            )
            capacities[target.name] = target.slots * share
        return capacities

    async def _split_and_merge(self, service: Service, state: ServiceState) -> bool:
        """Split hot slices and merge cold ones; return whether the table changed."""
        now = boot_time()
        if now - state.split_at < SPLIT_PERIOD_S or not state.version:
            return False
        state.split_at = now
        table = state.assignment.table.copy()
        ranges = state.home.ranges_of(self.placement.data_centre)
        loads = self.placement.loads.slice_loads(service.name, table, ranges, now)
        targets = len(self._usable_targets(service))
        merges = 0 if state.pending_moves else merge_cold_slices(table, loads, targets)
        if merges:
            loads = self.placement.loads.slice_loads(service.name, table, ranges, now)
        hot_keys = self.placement.loads.hot_keys(service.name, now)
        cuts = split_hot_slices(table, loads, hot_keys, targets)
        if not cuts and not merges:
            return False
        await self.placement.write(state, table)
        self.placement.log.write(
            "slices_divided",
            service=service.name,
            cuts=cuts,
            merges=merges,
            slices=len(table),
        )
        self.placement.publish()
        return True

    def _plan_moves(self, service: Service, state: ServiceState) -> list[Move]:
        """Return the moves to start now; the budget limits those for balance only."""
        now = boot_time()
        if now < self.placement.held.earlier_permits_end_at and state.version == 0:
            return []
        policy = self.placement.catalog().policy_of(service)
        table = state.assignment.table
        ranges = state.home.ranges_of(self.placement.data_centre)
        budget = self._move_budget(state, policy.moves_per_minute, now)
        loads = self.placement.loads.slice_loads(service.name, table, ranges, now)
        slices = [
            SliceState(index, table.slice_at(index).owner, load)
            for index, load in loads.items()
            if table.starts[index] not in state.pending_moves
        ]
        return plan_moves(
            BalanceRequest(
                slices,
                self._effective_capacities(service, now),
                policy.imbalance_weight,
                policy.churn_weight,
                budget,
            )
        )

    def _move_budget(self, state: ServiceState, per_minute: int, now: float) -> int:
        """Return how many moves for balance may start now, at most `per_minute`."""
        elapsed = now - state.rebalanced_at
        if elapsed < REBALANCE_PERIOD_S or state.pending_moves or not state.version:
            return 0
        state.rebalanced_at = now
        earned = per_minute * min(elapsed, 60.0) / 60
        state.move_allowance = min(per_minute, state.move_allowance + earned)
        return int(state.move_allowance)

    async def _start_moves(
        self, service: Service, state: ServiceState, moves: list[Move]
    ) -> None:
        """Store the start of moves; unowned slices get their owner at once."""
        now = boot_time()
        table = state.assignment.table.copy()
        moving = [move for move in moves if move.source is not None]
        unowned = [move for move in moves if move.source is None]
        if unowned and not await self._confirm_term(now):
            unowned = []
        for move in moving:
            table.start_move(move.index, move.destination)
        for move in unowned:
            table.set_owner(move.index, move.destination)
        if not moving and not unowned:
            return
        await self.placement.write(state, table)
        state.move_allowance -= sum(move.reason == "imbalance" for move in moving)
        for move in moving:
            hash_range = table.range_at(move.index)
            state.pending_moves[hash_range.start] = PendingMove(
                hash_range, move.destination, self.placement.epoch, now, move.reason
            )
        for move in moves:
            self._log_move("move_started", service, table.range_at(move.index), move)
        self.placement.counts.started_moves += len(moving)
        self.placement.publish()

    async def _complete_moves(self, service: Service, state: ServiceState) -> None:
        """Complete moves whose slices no VM uses any more by an older table."""
        now = boot_time()
        released = [
            move
            for move in state.pending_moves.values()
            if not self.placement.ledger.vms_still_using(
                service.name, move.range, move.epoch, now
            )
        ]
        if not released:
            self._cancel_moves(MOVE_CANCEL_DELAY_S)
            return
        if not await self._confirm_term(now):
            self._cancel_moves()
            return
        usable = {target.name for target in self._usable_targets(service)}
        table = state.assignment.table.copy()
        check_invariant(
            now >= self.placement.held.earlier_permits_end_at,
            # An outer name: logs show it in the detail of invariant_violated.
            "earlier_rights_have_ended",
            service.name,
        )
        for move in released:
            self._assign_destination(table, move, usable)
        stored_sequence = await self.placement.write(state, table)
        for move in released:
            del state.pending_moves[move.range.start]
            self.placement.log.write(
                "move_settled",
                service=service.name,
                slice=f"{move.range.start:016x}",
                target=move.destination,
                term=self.placement.epoch[0],
                sequence=stored_sequence,
                took_ms=int((boot_time() - move.started_at) * 1000),
                reason=move.reason,
            )
        self.placement.counts.completed_moves += len(released)
        self.placement.publish()

    def _cancel_moves(self, min_age_s: float = 0.0) -> None:
        """Cancel moves that are older than `min_age_s` and whose owners are usable.

        The slices return to their owners without a write: the stored assignment still
        says that they move, so a successor waits for all permits and grants to expire
        before it assigns them. That holds only for moves started under this term: an
        earlier placer may have completed its own.
        """
        state = self.placement.states.get(self.name)
        service = self.placement.catalog().services.get(self.name)
        now = boot_time()
        if state is None or service is None or not self.placement.held.may_grant(now):
            return
        usable = {target.name for target in self._usable_targets(service)}
        table = state.assignment.table.copy()
        cancelled = []
        for start, move in list(state.pending_moves.items()):
            owner = table.slice_at(table.find(start)).owner
            too_recent = now - move.started_at < min_age_s
            if move.own_term and owner in usable and not too_recent:
                table.set_owner(table.find(start), owner)
                cancelled.append(state.pending_moves.pop(start))
        if not cancelled:
            return
        self.placement.sequence += 1
        state.assignment = replace(
            state.assignment,
            term=self.placement.held.record.number,
            sequence=self.placement.sequence,
            table=table,
        )
        state.rebalanced_at = now
        self.placement.log.write(
            "moves_called_off", service=self.name, moves=len(cancelled)
        )
        self.placement.publish()

    def _assign_destination(
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
            owned = {name: len(table.ranges_owned_by(name)) for name in usable}
            destination = min(owned, key=lambda name: (owned[name], name))
        table.set_owner(index, destination)

    async def _confirm_term(self, released_at: float) -> bool:
        """Confirm the term; return whether released slices may get new owners."""
        try:
            async with asyncio.timeout(CONFIRM_READ_TIMEOUT_S):
                await self.placement.confirm()
        except TimeoutError:
            return False
        return self.placement.held.may_complete_move(boot_time(), released_at)

    def _log_move(
        self, event: str, service: Service, hash_range: HashRange, move: Move
    ) -> None:
        self.placement.log.write(
            event,
            service=service.name,
            slice=f"{hash_range.start:016x}",
            source=move.source or "-",
            target=move.destination,
            term=self.placement.epoch[0],
            sequence=self.placement.sequence,
            reason=move.reason if move.source else "first_owner",
        )
