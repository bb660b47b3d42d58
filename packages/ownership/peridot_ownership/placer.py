"""Placer: holds a term, keeps targets' holds alive and moves key ranges."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from functools import partial

from peridot_ownership.errors import TermLost
from peridot_ownership.granter import Contact, Granter
from peridot_ownership.holds import Granted, HoldControl, Outranked, Replaced
from peridot_ownership.planner import PlanInput, RangeMove, measure_balance, plan_moves
from peridot_ownership.ranges import ALL_KEYS, KeyRange, OwnedRange, RangeTable
from peridot_ownership.record import PlacementRecord
from peridot_ownership.recorder import Recorder
from peridot_ownership.rights import EarlierRights
from peridot_ownership.view import FleetView
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_placement.signals import ChangeSignal

# Three renewals fit into a hold.
RENEW_S = 0.7
# Time between plans; each sums the loads of all keys.
PLAN_PERIOD_S = 0.3
# The state of the balance is logged this often.
BALANCE_LOG_S = 1.0
# Daemons learn that keys move before the old owner refuses them.
ANNOUNCE_S = 0.01
# Work time (s) assumed of a service before any was measured.
FIRST_WORK_S = 0.2
# A target that has just started takes this factor longer.
COLD_FACTOR = 2.0


class Placer:
    """Run one term."""

    def __init__(
        self,
        recorder: Recorder,
        control: HoldControl,
        view: FleetView,
        log: DecisionLog,
        hold_max_s: float,
        earlier: EarlierRights,
        may_hold_long: Callable[[], bool],
        leaving_serves_s: float,
    ) -> None:
        self.recorder = recorder
        # A target that leaves goes on serving for so long (s) while grants without an
        # answer run out; after that its keys wait.
        self.leaving_serves_s = leaving_serves_s
        self.view = view
        self.log = log
        self.granter = Granter(
            recorder,
            control,
            log,
            hold_max_s,
            earlier,
            may_hold_long,
            view.is_address_reused,
        )
        self.contacts: dict[str, Contact] = {}
        self.moving: dict[str, list[KeyRange]] = {}
        self.tasks: set[asyncio.Task] = set()
        self.changed = ChangeSignal()
        self.sequence = 1
        self.moves = 0
        self.balance_logged: dict[str, float] = {}

    @property
    def record(self) -> PlacementRecord:
        """Return the record of the term."""
        return self.recorder.record

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Renew and move while the context lasts."""
        self._spawn(self._plan_periodically)
        try:
            yield
        finally:
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    def settled_tables(self) -> dict[str, list[tuple[int, str]]]:
        """Return start and owner of each range by service; moving ones have none."""
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

    # Renewing.

    async def _keep(self, name: str) -> None:
        """Renew all holds of one target, again and again."""
        contact = self.contacts[name]
        while True:
            if self.recorder.may_act():
                async with contact.lock:
                    await self._renew_all(contact)
            await asyncio.sleep(RENEW_S)

    async def _renew_all(self, contact: Contact) -> None:
        service = contact.target.service
        table = self.record.tables.get(service)
        if table is None:
            return
        for item in table.owned_by(contact.target.name):
            for keys in item.keys.minus(self.moving.get(service, ())):
                if not self._is_settled(service, item, keys):
                    # It moved while earlier grants of this pass were under way.
                    continue
                outcome = await self.granter.grant(contact, keys, item.fence)
                if not isinstance(outcome, Granted | Outranked):
                    return

    def _is_settled(self, service: str, item: OwnedRange, keys: KeyRange) -> bool:
        moving = self.moving.get(service, ())
        return item in self.record.tables[service].ranges and not any(
            other.overlaps(keys) for other in moving
        )

    # Planning.

    async def _plan_periodically(self) -> None:
        while True:
            self._follow_targets()
            if self.recorder.may_act() and not self.recorder.store_lost:
                for service in self.view.divided_services():
                    self._plan(service)
            await asyncio.sleep(PLAN_PERIOD_S)

    def _follow_targets(self) -> None:
        """Take in new targets and new incarnations."""
        for service in self.view.divided_services():
            for target in self.view.targets_of(service):
                contact = self.contacts.get(target.name)
                if contact is None:
                    contact = Contact(target)
                    if self.record.term == 1:
                        contact.secure(ALL_KEYS)
                    self.contacts[target.name] = contact
                    contact.task = self._spawn(partial(self._keep, target.name))
                elif contact.target.started_ms != target.started_ms:
                    contact.target = target
                    self._take_new_incarnation(contact)
                else:
                    contact.target = target
                if target.leaving and contact.leaving_since is None:
                    leaving_s = self.view.leaving_s(target.name)
                    contact.leaving_since = boot_time() - leaving_s

    def _take_new_incarnation(self, contact: Contact) -> None:
        """Give a restarted target its keys anew, with higher fences.

        The holds in the book stay: it may have taken some of them since its start.
        """
        target = contact.target
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
        )
        self._log_balance(service, plan)
        for move in plan_moves(plan):
            if self._must_wait(move):
                continue
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

    def _log_balance(self, service: str, plan: PlanInput) -> None:
        now = boot_time()
        if now < self.balance_logged.get(service, 0.0) + BALANCE_LOG_S:
            return
        self.balance_logged[service] = now
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
        """Return the requests a second that each usable target can take."""
        now = boot_time()
        capacities = {}
        for target in self.view.targets_of(service):
            contact = self.contacts.get(target.name)
            if target.leaving or contact is None or contact.is_failing(now):
                continue
            work_s = self.view.work_s(target.name) or FIRST_WORK_S
            if target.warm_up_left_s > 0:
                work_s *= COLD_FACTOR
            capacities[target.name] = target.slots / work_s
        return capacities

    # Moving.

    def _start_move(self, service: str, move: RangeMove) -> None:
        """Begin a move; its keys count as under way from now on."""
        self.moving.setdefault(service, []).append(move.keys)
        self._announce()
        self._spawn(partial(self._move, service, move))

    async def _move(self, service: str, move: RangeMove) -> None:
        """Take keys back, store the new owner, then grant them."""
        began = boot_time()
        with self._end_moving(service, move.keys):
            await asyncio.sleep(ANNOUNCE_S)
            handover = None
            if move.source is not None and move.source != move.destination:
                handover = await self._take_back(move.source, move.keys)
            taken_back = boot_time()
            fence = self.record.next_fence()
            self.record.tables[service].assign(move.keys, move.destination, fence)
            await self.recorder.write()
            stored = boot_time()
            await self._grant_first(move, fence, handover)
        self._log_moved(service, move, (began, taken_back, stored, boot_time()))
        self.moves += 1
        self._merge(service, move.keys)

    def _log_moved(
        self, service: str, move: RangeMove, times: tuple[float, ...]
    ) -> None:
        """Log how long a move took: taking back, storing, granting (ms)."""
        took = [round((b - a) * 1000) for a, b in zip(times, times[1:], strict=False)]
        self.log.write(
            "moved",
            service=service,
            keys=f"{move.keys.start}-{move.keys.end - 1}",
            source=move.source or "-",
            destination=move.destination,
            reason=move.reason,
            take_back_ms=took[0],
            store_ms=took[1],
            grant_ms=took[2],
        )

    @contextmanager
    def _end_moving(self, service: str, keys: KeyRange) -> Iterator[None]:
        """Count keys as under way until the context ends."""
        try:
            yield
        finally:
            self.moving[service].remove(keys)
            self._announce()

    async def _take_back(self, source: str, keys: KeyRange) -> str | None:
        contact = self.contacts.get(source)
        if contact is None:
            # Its address isn't known: its rights can only run out.
            await self.granter.outlast_earlier_rights()
            return None
        return await self.granter.take_back(contact, keys)

    def _must_wait(self, move: RangeMove) -> bool:
        """Tell whether a move is better begun later, its owner serving meanwhile."""
        contact = self.contacts.get(move.source or "")
        now = boot_time()
        if contact is None or contact.is_failing(now):
            return False
        is_clear = self.granter.clear_at(contact, move.keys) <= now
        if contact.leaving_since is None:
            return not is_clear
        return not is_clear and now - contact.leaving_since < self.leaving_serves_s

    async def _grant_first(
        self, move: RangeMove, fence: int, handover: str | None
    ) -> None:
        """Grant keys to their new owner; renewals take over if it doesn't answer."""
        contact = self.contacts[move.destination]
        for _ in range(2):
            async with contact.lock:
                outcome = await self.granter.grant(contact, move.keys, fence, handover)
            if isinstance(outcome, Granted | Outranked | Replaced):
                return

    def _merge(self, service: str, keys: KeyRange) -> None:
        """Join a moved range with neighbours of the same owner under a new fence."""
        table = self.record.tables[service]
        joined = table.neighbours_of_owner(keys.start)
        moving = self.moving.get(service, ())
        if len(joined) < 2 or any(
            k.overlaps(part.keys) for k in moving for part in joined
        ):
            return
        whole = KeyRange(joined[0].keys.start, joined[-1].keys.end)
        table.assign(whole, joined[0].owner, self.record.next_fence())

    def _announce(self) -> None:
        self.sequence += 1
        self.changed.notify()

    def _spawn(self, work: Callable[[], Coroutine]) -> asyncio.Task:
        task = asyncio.create_task(self._guard(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _guard(self, work: Callable[[], Coroutine]) -> None:
        try:
            await work()
        except TermLost:
            return
        except Exception as error:
            self.log.write("placer_task_failed", error=repr(error))
            self.recorder.fail(TermLost(repr(error)))
