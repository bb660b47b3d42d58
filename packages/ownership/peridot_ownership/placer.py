"""The placer (gateway mode): the leader that places key ranges on targets."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import replace
from functools import partial

from peridot_ownership.errors import TermLost
from peridot_ownership.granter import LeaseManager, TargetState
from peridot_ownership.holds import Granted, Outranked, Replaced, TargetLeaseClient
from peridot_ownership.planner import (
    PlanInput,
    RangeMove,
    measure_balance,
    plan_moves,
)
from peridot_ownership.ranges import KeyRange, OwnedRange, RangeTable
from peridot_ownership.record import Certainty, PlacementRecord
from peridot_ownership.recorder import CONFIRMATION_TIMEOUT_S, RecordWriter
from peridot_ownership.rights import EarlierLeases, bound_earlier_leases
from peridot_ownership.trials import FailureHistory, TrialInput, plan_trials
from peridot_ownership.view import FleetView
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_placement.signals import ChangeSignal

# Three renewals fit into a lease.
RENEWAL_PERIOD_S = 0.7
# Time until the next renewal of a target after one that failed.
RETRY_PERIOD_S = 0.2
# A renewal of all leases of a target goes on after one grant without an answer, so that
# the others don't expire; each takes up to GRANT_TIMEOUT_S.
MAX_FAILURES = 2
# Time between plans; a plan is costly, as it sums the load of all keys.
PLAN_PERIOD_S = 0.3
# For how long balancing returns no keys to a target that gave them away: a plan that
# moves them back so soon follows noise in the load.
RETURN_DELAY_S = 3.0
# Time between log lines on the balance of a service.
BALANCE_LOG_S = 1.0
# Time for daemons to learn that keys move, before the old owner refuses requests for
# them.
ANNOUNCE_DELAY_S = 0.01
# Processing time of a request assumed until one has been measured.
DEFAULT_PROCESSING_S = 0.2
# Moves out of an evacuated zone are postponed for this long at most, so that keys that
# can't be released arrive in time, when their leases have expired.
EVACUATION_DELAY_S = 0.5
# A target that warms up processes requests slower by this factor.
WARM_UP_FACTOR = 2.0


class Placer:
    """Renew the leases of all targets, plan moves and carry them out in one term."""

    def __init__(
        self,
        record_writer: RecordWriter,
        lease_client: TargetLeaseClient,
        view: FleetView,
        log: DecisionLog,
        hold_max_s: float,
        earlier_leases: EarlierLeases,
        may_grant_long_leases: Callable[[], bool],
        leaving_grace_s: float,
    ) -> None:
        self.record_writer = record_writer
        # A leaving target serves its keys for up to this long (s) until a release can
        # end its leases; after that, requests for its keys wait.
        self.leaving_grace_s = leaving_grace_s
        self.view = view
        self.log = log
        self.lease_manager = LeaseManager(
            record_writer,
            lease_client,
            log,
            hold_max_s,
            earlier_leases,
            may_grant_long_leases,
            view.is_address_reused,
        )
        self.hold_max_s = hold_max_s
        record_writer.handle_restore = self._expect_lost_term
        self.target_states: dict[str, TargetState] = {}
        self.moving: dict[str, list[KeyRange]] = {}
        # Where the moves in progress lead to.
        self.destinations: list[str] = []
        # Moves that have ended, by service, and until when (s) no keys return.
        self.recent_moves: dict[str, list[tuple[RangeMove, float]]] = {}
        self.tasks: set[asyncio.Task] = set()
        self.changed = ChangeSignal()
        self.sequence = 1
        self.moves = 0
        self.balance_logged_at: dict[str, float] = {}

    @property
    def record(self) -> PlacementRecord:
        """Return the placement record of the term."""
        return self.record_writer.record

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Renew leases and move keys while the context is open."""
        self._spawn(self._plan_periodically)
        try:
            yield
        finally:
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    def routable_tables(self) -> dict[str, list[tuple[int, str]]]:
        """Return start and owner of each range by service; "" while it moves."""
        tables = {}
        for service, table in self.record.tables.items():
            rows = []
            for item in table.ranges:
                moving = [
                    k for k in self.moving.get(service, ()) if k.overlaps(item.keys)
                ]
                for part in item.keys.minus(moving):
                    rows.append((part.start, item.owner or ""))
                rows += [(max(k.start, item.keys.start), "") for k in moving]
            tables[service] = sorted(rows)
        return tables

    # Renewals.

    async def _renew_periodically(self, name: str) -> None:
        """Renew all leases of one target periodically."""
        state = self.target_states[name]
        while True:
            if self.record_writer.is_confirmed():
                async with state.lock:
                    await self._renew_all(state)
            failing = state.failing_since is not None
            await asyncio.sleep(RETRY_PERIOD_S if failing else RENEWAL_PERIOD_S)

    async def _renew_all(self, state: TargetState) -> None:
        service = state.target.service
        table = self.record.tables.get(service)
        if table is None:
            return
        failures = 0
        owned = table.owned_by(state.target.name)
        # Goes on after the range at which the last pass stopped.
        owned.sort(key=lambda item: item.keys.start <= state.stopped_at)
        state.stopped_at = -1
        for item in owned:
            for keys in item.keys.minus(self.moving.get(service, ())):
                if not self._is_current(service, item, keys):
                    # It moved while this pass waited for earlier grants.
                    continue
                outcome = await self.lease_manager.grant(state, keys, item.fence)
                failures += not isinstance(outcome, Granted | Outranked)
                if failures >= MAX_FAILURES or isinstance(outcome, Replaced):
                    state.stopped_at = item.keys.start
                    return

    def _is_current(self, service: str, item: OwnedRange, keys: KeyRange) -> bool:
        moving = self.moving.get(service, ())
        table = self.record.tables[service]
        return table.find(item.keys.start) == item and not any(
            other.overlaps(keys) for other in moving
        )

    # Plans.

    async def _plan_periodically(self) -> None:
        if self.record.certainty is Certainty.OWNERS_UNCERTAIN:
            await self.lease_manager.wait_for_lost_leases()
        else:
            self._spawn(self.lease_manager.wait_for_lost_leases)
        while True:
            self._update_targets()
            if self.record_writer.is_confirmed() and not self.record_writer.store_lost:
                for service in self.view.divided_services():
                    self._plan(service)
            await asyncio.sleep(PLAN_PERIOD_S)

    def _update_targets(self) -> None:
        """Update the states of targets: new ones, new incarnations, leaving ones."""
        for service in self.view.divided_services():
            for target in self.view.targets_of(service):
                state = self.target_states.get(target.name)
                if state is None:
                    state = TargetState(target)
                    self.target_states[target.name] = state
                    state.task = self._spawn(
                        partial(self._renew_periodically, target.name)
                    )
                elif state.target.started_ms != target.started_ms:
                    state.target = target
                    state.forget_failures()
                    self._reassign_after_restart(state)
                else:
                    state.target = target
                if target.leaving and state.leaving_since is None:
                    leaving_for_s = self.view.leaving_for_s(target.name)
                    state.leaving_since = boot_time() - leaving_for_s

    def _reassign_after_restart(self, state: TargetState) -> None:
        """Grant a restarted target its keys again, with higher fencing tokens.

        The leases in the ledger stay: it may have accepted some since its start.
        """
        target = state.target
        self.log.write("target_restarted", target=target.name, at=target.started_ms)
        table = self.record.tables.get(target.service, RangeTable())
        for item in table.owned_by(target.name):
            for keys in item.keys.minus(self.moving.get(target.service, ())):
                move = RangeMove(keys, target.name, target.name, "restarted")
                self._start_move(target.service, move)

    def _plan(self, service: str) -> None:
        capacities = self._capacities(service)
        table = self.record.tables.setdefault(service, RangeTable())
        plan = PlanInput(
            table,
            self.view.loads_of(service).profile(boot_time()),
            capacities,
            tuple(self.moving.get(service, ())),
            self._find_given_away(service),
        )
        self._log_balance(service, plan)
        trials = self._plan_trials(service, plan)
        moving = (*plan.moving, *(trial.keys for trial in trials))
        for move in [*trials, *plan_moves(replace(plan, moving=moving))]:
            if self._should_postpone(move):
                continue
            if move.reason == "trial":
                self.target_states[move.destination].failures.trials += 1
            self.log.write(
                "move",
                service=service,
                keys=f"{move.keys.start}-{move.keys.end - 1}",
                source=move.source or "-",
                destination=move.destination,
                reason=move.reason,
                rate=round(plan.profile.load(move.keys), 2),
                total=round(plan.profile.total, 1),
            )
            self._start_move(service, move)

    def _find_given_away(self, service: str) -> dict[str, list[KeyRange]]:
        """Return the keys that don't return to targets yet; forget earlier moves."""
        now = boot_time()
        recent = [item for item in self.recent_moves.get(service, ()) if item[1] > now]
        self.recent_moves[service] = recent
        given_away: dict[str, list[KeyRange]] = {}
        for move, _ in recent:
            given_away.setdefault(move.source, []).append(move.keys)
        return given_away

    def _record_recent_move(self, service: str, move: RangeMove) -> None:
        if move.source is not None and move.source != move.destination:
            until = boot_time() + RETURN_DELAY_S
            self.recent_moves.setdefault(service, []).append((move, until))

    def _log_balance(self, service: str, plan: PlanInput) -> None:
        now = boot_time()
        if now < self.balance_logged_at.get(service, 0.0) + BALANCE_LOG_S:
            return
        self.balance_logged_at[service] = now
        balance = measure_balance(plan)
        if balance is None:
            return
        self.log.write(
            "balance",
            service=service,
            total=round(plan.profile.total, 1),
            targets=len(plan.capacities),
            ranges=len(plan.table.ranges),
            moving=len(plan.moving),
            busiest=balance.busiest,
            busiest_utilisation=round(balance.busiest_utilisation, 2),
            busiest_capacity=round(plan.capacities[balance.busiest], 1),
            idlest=balance.idlest,
            idlest_utilisation=round(balance.idlest_utilisation, 2),
            mean_utilisation=round(balance.mean_utilisation, 2),
        )

    def _capacities(self, service: str) -> dict[str, float]:
        """Return how many requests per second each usable target can process."""
        now = boot_time()
        capacities = {}
        for target in self.view.targets_of(service):
            state = self.target_states.get(target.name)
            if target.leaving or state is None or state.is_failing(now):
                continue
            if self.view.evacuated_for_s(target) is not None:
                continue
            processing_s = self.view.processing_s(target.name) or DEFAULT_PROCESSING_S
            if target.warm_up_left_s > 0:
                processing_s *= WARM_UP_FACTOR
            capacity = target.slots / processing_s
            capacities[target.name] = min(capacity, self.view.cold_rate(target))
        return capacities

    def _plan_trials(self, service: str, plan: PlanInput) -> list[RangeMove]:
        """Return moves of small ranges to targets that failed and have no keys."""
        now = boot_time()
        failing = self._find_failing(service, now)
        if not failing:
            return []
        trials = TrialInput(
            plan.table,
            plan.profile,
            plan.capacities,
            failing,
            plan.moving,
            self.destinations,
        )
        return plan_trials(trials, now)

    def _find_failing(self, service: str, now: float) -> dict[str, FailureHistory]:
        """Return the targets that are unusable for no other reason than failures."""
        return {
            target.name: state.failures
            for target in self.view.targets_of(service)
            if (state := self.target_states.get(target.name)) is not None
            and state.is_failing(now)
            and not target.leaving
            and self.view.evacuated_for_s(target) is None
            and not self.view.is_address_reused(target)
        }

    # Moves.

    def _start_move(self, service: str, move: RangeMove) -> None:
        """Start a move and mark its keys as moving."""
        self.moving.setdefault(service, []).append(move.keys)
        self.destinations.append(move.destination)
        self._notify_change()
        self._spawn(partial(self._move, service, move))

    async def _move(self, service: str, move: RangeMove) -> None:
        """Revoke keys from their owner, store the new owner, then grant them to it."""
        started_at = boot_time()
        with self._unmark_moving_on_exit(service, move):
            await asyncio.sleep(ANNOUNCE_DELAY_S)
            handover = None
            if move.source is not None and move.source != move.destination:
                handover = await self._revoke(move.source, move.keys)
            else:
                await self.lease_manager.wait_for_lost_leases()
            revoked_at = boot_time()
            fence = self.record.next_fence()
            self.record.tables[service].assign(move.keys, move.destination, fence)
            await self.record_writer.write()
            stored_at = boot_time()
            if self.record_writer.restored_at > started_at:
                # The old owner may have got a lease again from a term that was lost.
                await self.lease_manager.wait_for_lost_leases()
                fence = self.record.tables[service].find(move.keys.start).fence
            await self._grant_to_new_owner(move, fence, handover)
        self._log_moved(service, move, (started_at, revoked_at, stored_at, boot_time()))
        self.moves += 1
        self._record_recent_move(service, move)
        self._merge_neighbours(service, move.keys)

    def _log_moved(
        self, service: str, move: RangeMove, times: tuple[float, ...]
    ) -> None:
        """Log a move and how long it took to revoke, store and grant (ms)."""
        durations_ms = [
            round((b - a) * 1000) for a, b in zip(times, times[1:], strict=False)
        ]
        self.log.write(
            "moved",
            service=service,
            keys=f"{move.keys.start}-{move.keys.end - 1}",
            source=move.source or "-",
            destination=move.destination,
            reason=move.reason,
            take_back_ms=durations_ms[0],
            store_ms=durations_ms[1],
            grant_ms=durations_ms[2],
        )

    @contextmanager
    def _unmark_moving_on_exit(self, service: str, move: RangeMove) -> Iterator[None]:
        """Remove the mark of moving keys when the context ends."""
        try:
            yield
        finally:
            self.moving[service].remove(move.keys)
            self.destinations.remove(move.destination)
            self._notify_change()

    async def _revoke(self, source: str, keys: KeyRange) -> str | None:
        state = self.target_states.get(source)
        if state is None:
            # Its address is unknown, so it can't be asked to release the keys.
            await self.lease_manager.wait_for_expiry(source, keys)
            return None
        return await self.lease_manager.revoke(state, keys)

    def _should_postpone(self, move: RangeMove) -> bool:
        """Return whether to postpone a move while the owner serves the keys."""
        state = self.target_states.get(move.source or "")
        now = boot_time()
        if state is None or state.is_failing(now):
            return False
        is_revocable = self.lease_manager.revocable_from(state, move.keys) <= now
        evacuated_for_s = self.view.evacuated_for_s(state.target)
        if evacuated_for_s is not None:
            return not is_revocable and evacuated_for_s < EVACUATION_DELAY_S
        if state.leaving_since is None:
            return not is_revocable
        return not is_revocable and now - state.leaving_since < self.leaving_grace_s

    async def _grant_to_new_owner(
        self, move: RangeMove, fence: int, handover: str | None
    ) -> None:
        """Grant keys to their new owner; after two failures, leave it to renewals."""
        state = self.target_states[move.destination]
        for _ in range(2):
            async with state.lock:
                outcome = await self.lease_manager.grant(
                    state, move.keys, fence, handover
                )
            if isinstance(outcome, Granted | Outranked | Replaced):
                return

    def _merge_neighbours(self, service: str, keys: KeyRange) -> None:
        """Merge a moved range with adjacent ranges of its owner under a new token."""
        table = self.record.tables[service]
        adjacent = table.adjacent_ranges(keys.start)
        moving = self.moving.get(service, ())
        if len(adjacent) < 2 or any(
            k.overlaps(part.keys) for k in moving for part in adjacent
        ):
            return
        whole = KeyRange(adjacent[0].keys.start, adjacent[-1].keys.end)
        table.assign(whole, adjacent[0].owner, self.record.next_fence())

    def _expect_lost_term(self) -> None:
        """Expect that the restored store has lost a term of another placer."""
        for state in self.target_states.values():
            state.accepted_ranges.clear()
        self.lease_manager.expect_lost_leases(
            bound_earlier_leases(CONFIRMATION_TIMEOUT_S, True, self.hold_max_s)
        )
        self._spawn(self.lease_manager.wait_for_lost_leases)
        self._notify_change()

    def _notify_change(self) -> None:
        self.sequence += 1
        self.changed.notify()

    def _spawn(self, work: Callable[[], Coroutine]) -> asyncio.Task:
        task = asyncio.create_task(self._run_task(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _run_task(self, work: Callable[[], Coroutine]) -> None:
        try:
            await work()
        except TermLost:
            return
        except Exception as error:
            self.log.write("placer_task_failed", error=repr(error))
            self.record_writer.end_term(TermLost(repr(error)))
