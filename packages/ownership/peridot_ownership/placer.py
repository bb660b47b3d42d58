"""Placer: holds a term, keeps targets' holds alive and moves key ranges."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field

from peridot_ownership.errors import TermLost
from peridot_ownership.holds import (
    Grant,
    Granted,
    GrantOutcome,
    Hold,
    HoldBook,
    HoldControl,
    Outranked,
    Released,
    Replaced,
    Unreached,
    longest_hold,
)
from peridot_ownership.loads import KeyLoads
from peridot_ownership.planner import PlanInput, RangeMove, measure_balance, plan_moves
from peridot_ownership.ranges import ALL_KEYS, KeyRange, OwnedRange, RangeTable
from peridot_ownership.record import PlacementRecord
from peridot_ownership.recorder import Recorder
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_placement.signals import ChangeSignal
from peridot_resources.configuration import ServingTarget

# Two states reach the members before the first long hold is given.
LONG_HOLD_DELAY_S = 0.6
# Long enough to outlast a change of the placer, short enough that a dead target's
# keys are served again soon.
HOLD_S = 2.5
# Three renewals fit into a hold.
RENEW_S = 0.7
GRANT_TIMEOUT_S = 0.5
# A release is answered when the work that runs has ended.
RELEASE_TIMEOUT_S = 2.5
RETRY_PAUSE_S = 0.1
# Time between plans; each sums the loads of all keys.
PLAN_PERIOD_S = 0.3
# The state of the balance is logged this often.
BALANCE_LOG_S = 1.0
# Renewals that fail for this long make a target unusable.
FAILING_S = 0.6
# A target that leaves goes on serving for so long while grants without an answer run
# out; after that its keys wait. New work must end 2 s after its notice.
LEAVING_WAIT_S = 1.0
# Daemons learn that keys move before the old owner refuses them.
ANNOUNCE_S = 0.01
# Work time (s) assumed of a service before any was measured.
FIRST_WORK_S = 0.2
# A target that has just started takes this factor longer.
COLD_FACTOR = 2.0


@dataclass(frozen=True)
class EarlierRights:
    """Bound what the placers of earlier terms may have given."""

    # Time (s) until rights that this placer doesn't know of have ended ...
    unknown_left_s: float
    # ... and until grants without an answer can't take effect any more.
    late_left_s: float
    # Holds that the last placer told of.
    holds: tuple[tuple[str, Hold], ...] = ()


NO_EARLIER_RIGHTS = EarlierRights(0.0, 0.0)


def bound_earlier_rights(
    giving_s: float, long_holds: bool, hold_max_s: float
) -> EarlierRights:
    """Return the bound if the last placer may go on giving for a time (s)."""
    sending_s = giving_s + GRANT_TIMEOUT_S
    late_s = sending_s + longest_hold(HOLD_S)
    hold_s = hold_max_s if long_holds else HOLD_S
    return EarlierRights(sending_s + longest_hold(hold_s), late_s)


class FleetView(ABC):
    """Tell the placer what exists and how busy it is."""

    @abstractmethod
    def divided_services(self) -> list[str]:
        """Return the services that are divided by key."""

    @abstractmethod
    def targets_of(self, service: str) -> list[ServingTarget]:
        """Return the targets of a service, leaving ones included."""

    @abstractmethod
    def loads_of(self, service: str) -> KeyLoads:
        """Return the loads of a service's keys."""

    @abstractmethod
    def work_s(self, target: str) -> float | None:
        """Return how long a target works on one request, if that is known."""


@dataclass
class Contact:
    """Hold how renewals to one target went, and serialise its grants."""

    target: ServingTarget
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    failing_since: float | None = None
    leaving_since: float | None = None
    # Keys for which it took a grant of this term: grants of earlier terms are void.
    secured: list[KeyRange] = field(default_factory=list)
    task: asyncio.Task | None = None

    def is_secured(self, keys: KeyRange) -> bool:
        """Tell whether no grant of an earlier term can hold any of the keys."""
        return not keys.minus(self.secured)

    def secure(self, keys: KeyRange) -> None:
        """Take in that the target took a grant of this term."""
        if not self.is_secured(keys):
            kept = [item for item in self.secured if item.minus([keys])]
            self.secured = [*kept, keys]


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
    ) -> None:
        self.recorder = recorder
        self.control = control
        self.view = view
        self.log = log
        self.hold_max_s = hold_max_s
        self.may_hold_long = may_hold_long
        self.book = HoldBook()
        self.contacts: dict[str, Contact] = {}
        self.moving: dict[str, list[KeyRange]] = {}
        self.tasks: set[asyncio.Task] = set()
        self.changed = ChangeSignal()
        self.sequence = 1
        self.moves = 0
        self.balance_logged: dict[str, float] = {}
        now = boot_time()
        # No right given under an earlier term outlasts this ...
        self.earlier_rights_end = now + earlier.unknown_left_s
        # ... nor, at a target that took a grant of this term, one without an answer.
        self.late_grants_end = now + earlier.late_left_s
        for target, hold in earlier.holds:
            self.book.add(target, hold)

    @property
    def record(self) -> PlacementRecord:
        """Return the record of the term."""
        return self.recorder.record

    @asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Renew and move while the context lasts."""
        self._spawn(self._plan_periodically())
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
                outcome = await self._grant(contact, keys, item.fence)
                if not isinstance(outcome, Granted | Outranked):
                    return

    def _is_settled(self, service: str, item: OwnedRange, keys: KeyRange) -> bool:
        moving = self.moving.get(service, ())
        return item in self.record.tables[service].ranges and not any(
            other.overlaps(keys) for other in moving
        )

    async def _grant(
        self,
        contact: Contact,
        keys: KeyRange,
        fence: int,
        handover: str | None = None,
    ) -> GrantOutcome:
        target = contact.target
        if not self.recorder.may_act():
            # The process may have stood still since the caller looked.
            return Unreached("the term is not confirmed")
        grant = Grant(keys, fence, self._hold_s(), handover)
        sent = boot_time()
        hold = self.book.begin(target.name, grant, sent, GRANT_TIMEOUT_S)
        outcome = await self.control.grant(target, grant, GRANT_TIMEOUT_S)
        now = boot_time()
        self.book.finish(target.name, hold, outcome, grant, now)
        self._note_contact(contact, outcome, now)
        if isinstance(outcome, Granted):
            contact.secure(keys)
        elif isinstance(outcome, Replaced):
            self.book.forget(target.name)
        if not isinstance(outcome, Granted) or handover is not None:
            self._log_call("grant", target, keys, fence, outcome)
        if isinstance(outcome, Outranked):
            self.recorder.request_write()
        return outcome

    def _hold_s(self) -> float:
        """Return the length of a hold: the longest while the store is away.

        No other daemon can then take the term, and nothing can be moved. Members
        learn of the loss first, so that a successor knows of the long holds.
        """
        recorder = self.recorder
        lost_s = boot_time() - recorder.store_lost_at
        long = recorder.store_lost and lost_s > LONG_HOLD_DELAY_S
        return self.hold_max_s if long and self.may_hold_long() else HOLD_S

    def leave_rights(self) -> EarlierRights:
        """Return what a successor has to know; no right is given after this."""
        now = boot_time()
        return EarlierRights(
            max(0.0, self.earlier_rights_end - now),
            max(0.0, self.late_grants_end - now),
            tuple(self.book.live(now)),
        )

    def _note_contact(
        self, contact: Contact, outcome: GrantOutcome, now: float
    ) -> None:
        if isinstance(outcome, Granted | Outranked):
            if contact.failing_since is not None:
                self.log.write("target_regained", target=contact.target.name)
            contact.failing_since = None
        elif contact.failing_since is None:
            contact.failing_since = now
            self.log.write(
                "target_failing",
                target=contact.target.name,
                outcome=type(outcome).__name__,
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
                    contact.task = self._spawn(self._keep(target.name))
                elif contact.target.started_ms != target.started_ms:
                    contact.target = target
                    self._take_new_incarnation(contact)
                else:
                    contact.target = target
                if target.leaving and contact.leaving_since is None:
                    contact.leaving_since = boot_time()

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
            if target.leaving or contact is None or self._is_failing(contact, now):
                continue
            work_s = self.view.work_s(target.name) or FIRST_WORK_S
            if target.warm_up_left_s > 0:
                work_s *= COLD_FACTOR
            capacities[target.name] = target.slots / work_s
        return capacities

    def _is_failing(self, contact: Contact, now: float) -> bool:
        since = contact.failing_since
        return since is not None and now - since >= FAILING_S

    # Moving.

    def _start_move(self, service: str, move: RangeMove) -> None:
        """Begin a move; its keys count as under way from now on."""
        self.moving.setdefault(service, []).append(move.keys)
        self._announce()
        self._spawn(self._move(service, move))

    async def _move(self, service: str, move: RangeMove) -> None:
        """Take keys back, store the new owner, then grant them."""
        with self._end_moving(service, move.keys):
            await asyncio.sleep(ANNOUNCE_S)
            handover = None
            if move.source is not None and move.source != move.destination:
                handover = await self._take_back(move.source, move.keys)
            fence = self.record.next_fence()
            self.record.tables[service].assign(move.keys, move.destination, fence)
            await self.recorder.write()
            await self._grant_first(move, fence, handover)
        self.moves += 1
        self._merge(service, move.keys)

    @contextmanager
    def _end_moving(self, service: str, keys: KeyRange) -> Iterator[None]:
        """Count keys as under way until the context ends."""
        try:
            yield
        finally:
            self.moving[service].remove(keys)
            self._announce()

    async def _take_back(self, source: str, keys: KeyRange) -> str | None:
        """End a target's hold of keys; return the token that hands them over."""
        contact = self.contacts.get(source)
        if contact is None:
            # Its address isn't known: its rights can only run out.
            await self._wait_until(self.earlier_rights_end)
            return None
        async with contact.lock:
            # Renewals sent before the keys were marked as moving have ended.
            pass
        while not self._has_lapsed(contact, keys):
            outcome = await self.control.release(
                contact.target, keys, self.record.last_fence, RELEASE_TIMEOUT_S
            )
            if isinstance(outcome, Released):
                self.book.released(source, keys)
                await self._wait_until(self._clear_at(contact, keys))
                return outcome.handover
            self._log_call("release", contact.target, keys, 0, outcome)
            if isinstance(outcome, Replaced):
                self.book.forget(source)
                return None
            await asyncio.sleep(RETRY_PAUSE_S)
        return None

    def _clear_at(self, contact: Contact, keys: KeyRange) -> float:
        """Return when no grant without an answer can take effect any more."""
        now = boot_time()
        ends = self.book.unanswered_end(contact.target.name, keys, now)
        if not contact.is_secured(keys):
            return max(ends, self.earlier_rights_end)
        return max(ends, self.late_grants_end)

    def _must_wait(self, move: RangeMove) -> bool:
        """Tell whether a move is better begun later, its owner serving meanwhile."""
        contact = self.contacts.get(move.source or "")
        now = boot_time()
        if contact is None or self._is_failing(contact, now):
            return False
        is_clear = self._clear_at(contact, move.keys) <= now
        if contact.leaving_since is None:
            return not is_clear
        return not is_clear and now - contact.leaving_since < LEAVING_WAIT_S

    def _has_lapsed(self, contact: Contact, keys: KeyRange) -> bool:
        now = boot_time()
        ends = self.book.end_of(contact.target.name, keys, now)
        return now >= max(ends, self._clear_at(contact, keys))

    async def _grant_first(
        self, move: RangeMove, fence: int, handover: str | None
    ) -> None:
        """Grant keys to their new owner; renewals take over if it doesn't answer."""
        contact = self.contacts[move.destination]
        for _ in range(2):
            async with contact.lock:
                outcome = await self._grant(contact, move.keys, fence, handover)
            if isinstance(outcome, Granted | Outranked | Replaced):
                return

    def _merge(self, service: str, keys: KeyRange) -> None:
        """Join a moved range with neighbours of the same owner under a new fence."""
        table = self.record.tables[service]
        item = table.find(keys.start)
        joined = self._run_of_owner(table, item)
        moving = self.moving.get(service, ())
        if len(joined) < 2 or any(
            k.overlaps(part.keys) for k in moving for part in joined
        ):
            return
        whole = KeyRange(joined[0].keys.start, joined[-1].keys.end)
        table.assign(whole, item.owner, self.record.next_fence())

    def _run_of_owner(self, table: RangeTable, item: OwnedRange) -> list[OwnedRange]:
        at = table.ranges.index(item)
        first = last = at
        while first > 0 and table.ranges[first - 1].owner == item.owner:
            first -= 1
        while (
            last + 1 < len(table.ranges) and table.ranges[last + 1].owner == item.owner
        ):
            last += 1
        return table.ranges[first : last + 1]

    async def _wait_until(self, ends: float) -> None:
        while (left_s := ends - boot_time()) > 0:
            await asyncio.sleep(left_s)

    def _announce(self) -> None:
        self.sequence += 1
        self.changed.notify()

    def _spawn(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(self._guard(work))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _guard(self, work: Coroutine) -> None:
        try:
            await work
        except TermLost:
            return
        except Exception as error:
            self.log.write("placer_task_failed", error=repr(error))
            self.recorder.fail(TermLost(repr(error)))

    def _log_call(
        self,
        call: str,
        target: ServingTarget,
        keys: KeyRange,
        fence: int,
        outcome: object,
    ) -> None:
        self.log.write(
            call,
            target=target.name,
            keys=f"{keys.start}-{keys.end - 1}",
            fence=fence,
            term=self.record.term,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", "-"),
        )
