"""Keeper of a VM's part in the term: holds it, stands as candidate, or watches."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import replace
from enum import Enum
from uuid import uuid4

from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import (
    Listing,
    Missing,
    StoredObject,
    StoreUnavailable,
)
from peridot_placement.assignments import parse_assignment
from peridot_placement.clock import boot_time, with_drift
from peridot_placement.decisions import DecisionLog
from peridot_placement.hashing import rank_by_rendezvous
from peridot_placement.placement_state import PlacementState
from peridot_placement.placer import Placer
from peridot_placement.signals import ChangeSignal
from peridot_placement.terms import (
    CONFIRMATION_S,
    PERMIT_S,
    PROMISE_S,
    SILENCE_S,
    Candidacy,
    Candidate,
    HeldTerm,
    TermRecord,
    choose_candidates,
    parse_term,
    serialize_term,
    wait_after,
    wait_after_handover,
    wait_to_hand_on,
)
from peridot_placement.writer import WriteAbandoned, WriteDone, write_durably
from peridot_resources.catalog import Catalog, Kind

TICK_S = 0.05
HOLD_TICK_S = 0.1
# A longer gap between two ticks means that this process was paused.
PAUSE_S = 0.2
CONFIRM_PERIOD_S = CONFIRMATION_S / 4
SECOND_CANDIDATE_DELAY_S = 0.1
# A VM that isn't a candidate waits this long before it looks for a free term.
STRANGER_WAIT_S = 2.0
RETRY_PERIOD_S = 0.1


class Presence(Enum):
    """Name what is known of an instance at an address."""

    THERE = "there"
    GONE = "gone"
    SILENT = "silent"


class PromiseOutcome(Enum):
    """Name the answers to a request for a promise."""

    PROMISED = "promised"
    REFUSED = "refused"
    GONE = "gone"
    SILENT = "silent"


class TermPeers(ABC):
    """Reach the other instances that take part in a term."""

    @abstractmethod
    async def ask_promise(
        self, candidate: Candidate, term: int, length_s: float
    ) -> PromiseOutcome:
        """Ask a candidate not to take the term for a while."""

    @abstractmethod
    async def find_presence(self, candidate: Candidate) -> Presence:
        """Tell whether an instance still runs; silence alone proves nothing."""


class TermKeeper:
    """Play this VM's part in the term of its data centre."""

    def __init__(
        self,
        store: ObjectStore,
        peers: TermPeers,
        me: Candidate,
        data_centre: str,
        catalog: Callable[[], Catalog],
        vm_names: Callable[[], list[str]],
        log: DecisionLog,
    ) -> None:
        self.store = store
        self.peers = peers
        self.me = me
        self.data_centre = data_centre
        self.catalog = catalog
        self.vm_names = vm_names
        self.log = log
        self.record: TermRecord | None = None
        self.version = 0
        self.candidacy = Candidacy()
        self.placer: Placer | None = None
        self.heard_at = boot_time()
        self.next_try_at = float("-inf")
        self.holder_gone = False
        self.term_changed = ChangeSignal()
        self.leaving = False
        self.confirmed_at = float("-inf")
        self.candidates_asked: set[Candidate] = set()

    # What other parts of the daemon tell the keeper

    def hear_from_holder(self) -> None:
        """Note a sign of life from the placer."""
        self.heard_at = boot_time()
        self.holder_gone = False

    def note_holder_refused(self) -> None:
        """Note that the placer's address refuses connections."""
        self.holder_gone = True

    def take_record(self, stored: StoredObject) -> None:
        """Take in a stored term, if it is newer than the known one."""
        if stored.version <= self.version:
            return
        record = parse_term(stored.value)
        if self.record is None or record.number > self.record.number:
            self.heard_at = boot_time()
            self.holder_gone = False
            self.term_changed.notify()
        self.record = record
        self.version = stored.version

    def promise(self, term: int, length_s: float) -> bool:
        """Promise not to take the term, if that can be kept."""
        if self.record is None or term != self.record.number or self.placer:
            return False
        return self.candidacy.give_promise(boot_time(), term, length_s)

    @property
    def holds_term(self) -> bool:
        """Tell whether this VM is the placer now."""
        return self.placer is not None

    def addresses_to_ask(self) -> list[str]:
        """Return where permits may be had: the holder first, then candidates."""
        if self.record is None:
            return []
        members = (self.record.holder, *self.record.candidates)
        return list(dict.fromkeys(item.address for item in members))

    # Running

    async def run(self) -> None:
        """Play the part until cancelled."""
        last_tick = boot_time()
        while True:
            await asyncio.sleep(TICK_S)
            now = boot_time()
            if now - last_tick > PAUSE_S:
                self.heard_at = now
            last_tick = now
            if self.leaving:
                continue
            if self.record is None:
                await self._find_or_create()
            elif self.record.holder.instance == self.me.instance:
                await self._hold(self.record)
                last_tick = boot_time()
            elif self._should_try(now):
                await self._try_to_take()

    def _should_try(self, now: float) -> bool:
        """Tell whether the placer has been silent for long enough to act."""
        if now < self.next_try_at:
            return False
        silent = now - self.heard_at
        if self.me in self.record.candidates:
            if self.holder_gone:
                return True
            rank = self.record.candidates.index(self.me)
            return silent > SILENCE_S + rank * SECOND_CANDIDATE_DELAY_S
        return silent > STRANGER_WAIT_S

    async def _find_or_create(self) -> None:
        found = await self.store.read(Kind.TERM, self.data_centre)
        if isinstance(found, StoredObject):
            self.take_record(found)
            return
        if not isinstance(found, Missing):
            return
        names = rank_by_rendezvous(self.vm_names(), f"term/{self.data_centre}")
        if names and names[0] != self.me.vm:
            await asyncio.sleep(0.1 * (1 + names.index(self.me.vm)))
        listing = await self.store.list((Kind.ASSIGNMENT,))
        if isinstance(listing, Listing):
            record = self._first_record(listing)
            await self._store_record(record, 0)

    def _first_record(self, listing: Listing) -> TermRecord:
        """Return the record to store where none stands.

        If assignments stand, the term was deleted and its holder may yet run.
        """
        terms = [
            assignment.term
            for assignment in map(parse_assignment, (o.value for o in listing.objects))
            if assignment.data_centre == self.data_centre
        ]
        if not terms:
            return TermRecord(1, self.me, (), uuid4().hex)
        wait_s = with_drift(CONFIRMATION_S + PERMIT_S)
        return TermRecord(max(terms) + 1, self.me, (), uuid4().hex, wait_s)

    async def _try_to_take(self) -> None:
        """Take the term if the rules allow it."""
        asked = boot_time()
        self.next_try_at = asked + RETRY_PERIOD_S
        if not self.candidacy.may_take(asked):
            return
        found = await self.store.read(Kind.TERM, self.data_centre)
        if not isinstance(found, StoredObject):
            return
        before = self.record.number
        self.take_record(found)
        if self.record.number != before or self.heard_at > asked:
            return
        if not self.candidacy.may_take(boot_time()):
            return
        holder_gone = self.holder_gone
        if self.me not in self.record.candidates:
            holder_gone = await self._all_gone()
            if not holder_gone:
                self.heard_at = boot_time()
                return
        record = TermRecord(
            self.record.number + 1,
            self.me,
            tuple(item for item in self.record.candidates if item != self.me),
            uuid4().hex,
            wait_after(self.record, holder_gone),
        )
        # A promise may have been given while others were looked for.
        if self.candidacy.may_take(boot_time()):
            await self._store_record(record, self.version)

    async def _all_gone(self) -> bool:
        """Tell whether the holder and all candidates are certainly gone."""
        for member in (self.record.holder, *self.record.candidates):
            if await self.peers.find_presence(member) is not Presence.GONE:
                return False
        return True

    async def _store_record(self, record: TermRecord, expected: int) -> bool:
        """Write a term record; tell whether it is stored."""
        self.candidacy.begin_update(boot_time())
        outcome = await write_durably(
            self.store,
            Kind.TERM,
            self.data_centre,
            serialize_term(record),
            expected,
            lambda value: parse_term(value).write_id == record.write_id,
            lambda: self.candidacy.may_repeat_update(boot_time()),
        )
        if outcome != WriteAbandoned(known=False):
            self.candidacy.end_update()
        if isinstance(outcome, WriteDone):
            new_term = self.record is None or record.number > self.record.number
            self.record = record
            self.version = outcome.version
            if new_term:
                self.term_changed.notify()
            self.log.write(
                "term_written",
                term=record.number,
                holder=record.holder.vm,
                candidates=",".join(item.vm for item in record.candidates) or "-",
            )
            return True
        found = await self.store.read(Kind.TERM, self.data_centre)
        if isinstance(found, StoredObject):
            self.take_record(found)
        return False

    async def _hold(self, record: TermRecord) -> None:
        """Be the placer until the term is lost or given up."""
        earlier_rights_until = boot_time() + record.earlier_wait_s
        held = HeldTerm(record, self.version, earlier_rights_until)
        self.confirmed_at = float("-inf")
        placer = Placer(
            PlacementState(
                self.store,
                self.data_centre,
                held,
                self.catalog,
                self.confirm,
                self.log,
            )
        )
        self.log.write("term_taken", term=record.number, vm=self.me.vm)
        self.candidates_asked = set(record.candidates)
        async with AsyncExitStack() as stack:
            self.placer = placer
            stack.callback(self._step_down)
            await stack.enter_async_context(placer.run())
            while not held.stopped and not self.leaving:
                if boot_time() - self.confirmed_at > CONFIRM_PERIOD_S:
                    await self.confirm()
                await self._keep_candidates(held)
                await asyncio.sleep(HOLD_TICK_S)
            if self.leaving and not held.stopped:
                await self._hand_over(held)
        self.log.write("term_ended", term=record.number, vm=self.me.vm)

    def _step_down(self) -> None:
        self.placer = None
        self.record = None
        self.heard_at = boot_time()

    async def confirm(self) -> None:
        """Read the held term back, or get every candidate's promise instead."""
        placer = self.placer
        if placer is None:
            return
        began = boot_time()
        self.confirmed_at = began
        found = await self.store.read(Kind.TERM, self.data_centre)
        placer.shared.store_available = not isinstance(found, StoreUnavailable)
        if isinstance(found, StoredObject):
            record = parse_term(found.value)
            placer.shared.held.confirm(began, record, found.version)
            self.version = found.version
            return
        if isinstance(found, Missing):
            placer.shared.held.stopped = True
            return
        asked = boot_time()
        term = placer.shared.held.record.number
        outcomes = await asyncio.gather(
            *(
                self.peers.ask_promise(candidate, term, PROMISE_S)
                for candidate in self.candidates_asked
            )
        )
        kept = (PromiseOutcome.PROMISED, PromiseOutcome.GONE)
        if all(outcome in kept for outcome in outcomes):
            placer.shared.held.promise(asked, PROMISE_S)
        self.log.write(
            "promises",
            term=term,
            outcomes=",".join(outcome.value for outcome in outcomes) or "-",
        )

    async def _keep_candidates(self, held: HeldTerm) -> None:
        """Store new candidates, and once that earlier rights have ended."""
        placer = self.placer
        if not placer.shared.store_available or not placer.live:
            return
        wanted = choose_candidates(placer.live, self.me, held.record.candidates)
        wait_s = wait_to_hand_on(held, boot_time())
        record = replace(held.record, candidates=wanted, earlier_wait_s=wait_s)
        if record == held.record:
            return
        record = replace(record, write_id=uuid4().hex)
        self.candidates_asked |= set(wanted)
        if await self._store_record(record, self.version):
            held.record = record
            self.candidates_asked = set(wanted)

    async def _hand_over(self, held: HeldTerm) -> None:
        """Stop giving rights and pass the term to the first candidate."""
        held.stopped = True
        if not held.record.candidates:
            return
        heir, *others = held.record.candidates
        record = TermRecord(
            held.record.number + 1,
            heir,
            tuple(others),
            uuid4().hex,
            wait_after_handover(held, boot_time()),
        )
        await self._store_record(record, self.version)
