"""Election of a data centre's placer, the leader that places hash slices.

Each daemon holds the term and is the placer, is a candidate to succeed it, or only
watches the stored term.
"""

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
from peridot_placement.clock import add_drift_margin, boot_time
from peridot_placement.decisions import DecisionLog
from peridot_placement.hashing import rank_by_rendezvous
from peridot_placement.placement_state import PlacementState
from peridot_placement.placer import Placer
from peridot_placement.signals import ChangeSignal
from peridot_placement.terms import (
    CONFIRMATION_TIMEOUT_S,
    HEARTBEAT_TIMEOUT_S,
    PERMIT_S,
    PROMISE_S,
    Candidacy,
    DaemonInstance,
    HeldTerm,
    TermRecord,
    choose_candidates,
    earlier_wait_to_store_s,
    handover_wait_s,
    parse_term,
    serialize_term,
    takeover_wait_s,
)
from peridot_placement.writer import WriteAbandoned, WriteDone, write_with_retries
from peridot_resources.catalog import Catalog, Kind

CHECK_PERIOD_S = 0.05
HOLDER_CHECK_PERIOD_S = 0.1
# A longer gap between two checks means that this process was paused.
PAUSE_THRESHOLD_S = 0.2
CONFIRMATION_PERIOD_S = CONFIRMATION_TIMEOUT_S / 4
# Each further candidate waits this much longer than the one before.
CANDIDATE_STAGGER_S = 0.1
# An instance that isn't a candidate tries to acquire the term after this long without
# a heartbeat.
NON_CANDIDATE_TIMEOUT_S = 2.0
RETRY_PERIOD_S = 0.1


class Liveness(Enum):
    """Whether an instance still runs at its address."""

    RUNNING = "there"
    NOT_RUNNING = "gone"
    UNREACHABLE = "silent"


class PromiseOutcome(Enum):
    """The outcome of a request for a promise."""

    PROMISED = "promised"
    REFUSED = "refused"
    NOT_RUNNING = "gone"
    UNREACHABLE = "silent"


class ElectionPeers(ABC):
    """Calls to the other instances that take part in the election."""

    @abstractmethod
    async def request_promise(
        self, candidate: DaemonInstance, term: int, length_s: float
    ) -> PromiseOutcome:
        """Ask a candidate to promise not to acquire the term for `length_s`."""

    @abstractmethod
    async def check_liveness(self, candidate: DaemonInstance) -> Liveness:
        """Return whether an instance runs; no reply doesn't prove that it stopped."""


class TermElector:
    """Run this VM's part in the election of its data centre's placer."""

    def __init__(
        self,
        store: ObjectStore,
        peers: ElectionPeers,
        local_instance: DaemonInstance,
        data_centre: str,
        catalog: Callable[[], Catalog],
        vm_names: Callable[[], list[str]],
        log: DecisionLog,
    ) -> None:
        self.store = store
        self.peers = peers
        self.local_instance = local_instance
        self.data_centre = data_centre
        self.catalog = catalog
        self.vm_names = vm_names
        self.log = log
        self.record: TermRecord | None = None
        self.version = 0
        # The last term that this instance has led; it leads none twice.
        self.led_term = 0
        self.candidacy = Candidacy()
        self.placer: Placer | None = None
        self.last_heartbeat_at = boot_time()
        self.next_attempt_at = float("-inf")
        self.holder_stopped = False
        self.term_changed = ChangeSignal()
        self.leaving = False
        self.confirmation_started_at = float("-inf")
        # All that the stored record may name as candidates: an update may be under way.
        self.possible_candidates: set[DaemonInstance] = set()

    # Events from other parts of the daemon

    def record_heartbeat(self) -> None:
        """Record a heartbeat from the placer."""
        self.last_heartbeat_at = boot_time()
        self.holder_stopped = False

    def record_connection_refused(self) -> None:
        """Record that the placer's address refuses connections."""
        self.holder_stopped = True

    def observe_record(self, stored: StoredObject) -> None:
        """Apply a stored term if its version is newer than the known one.

        After stepping down, the known version itself is applied again.
        """
        if stored.version < self.version:
            return
        if stored.version == self.version and self.record is not None:
            return
        record = parse_term(stored.value)
        if self.record is None or record.number > self.record.number:
            self.last_heartbeat_at = boot_time()
            self.holder_stopped = False
            self.term_changed.notify()
        self.record = record
        self.version = stored.version

    def promise(self, term: int, length_s: float) -> bool:
        """Promise not to acquire the term for `length_s`; return whether promised."""
        if self.record is None or term != self.record.number or self.placer:
            return False
        return self.candidacy.give_promise(boot_time(), term, length_s)

    @property
    def holds_term(self) -> bool:
        """Return whether this VM is the placer."""
        return self.placer is not None

    def lease_addresses(self) -> list[str]:
        """Return where to request permits: at the holder first, then at candidates."""
        if self.record is None:
            return []
        members = (self.record.holder, *self.record.candidates)
        return list(dict.fromkeys(item.address for item in members))

    # The election

    async def run(self) -> None:
        """Take part in the election until cancelled."""
        last_check_at = boot_time()
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            now = boot_time()
            if now - last_check_at > PAUSE_THRESHOLD_S:
                self.last_heartbeat_at = now
            last_check_at = now
            if self.leaving:
                continue
            if self.record is None:
                await self._find_or_create_term()
            elif self.record.holder.instance == self.local_instance.instance:
                if self.record.number > self.led_term:
                    await self._run_as_placer(self.record)
                    last_check_at = boot_time()
                elif now - self.last_heartbeat_at > NON_CANDIDATE_TIMEOUT_S:
                    await self._replace_led_term(self.record)
            elif self._should_try_to_acquire(now):
                await self._try_to_acquire_term()

    def _should_try_to_acquire(self, now: float) -> bool:
        """Return whether it is time to try to acquire the term."""
        if now < self.next_attempt_at:
            return False
        since_heartbeat_s = now - self.last_heartbeat_at
        if self.local_instance in self.record.candidates:
            if self.holder_stopped:
                return True
            rank = self.record.candidates.index(self.local_instance)
            return since_heartbeat_s > HEARTBEAT_TIMEOUT_S + rank * CANDIDATE_STAGGER_S
        return since_heartbeat_s > NON_CANDIDATE_TIMEOUT_S

    async def _find_or_create_term(self) -> None:
        found = await self.store.read(Kind.TERM, self.data_centre)
        if isinstance(found, StoredObject):
            self.observe_record(found)
            return
        if not isinstance(found, Missing):
            return
        names = rank_by_rendezvous(self.vm_names(), f"term/{self.data_centre}")
        vm = self.local_instance.vm
        if names and names[0] != vm:
            # The list lags, so it may lack this VM.
            rank = names.index(vm) if vm in names else len(names)
            await asyncio.sleep(0.1 * (1 + rank))
        listing = await self.store.list((Kind.ASSIGNMENT,))
        if isinstance(listing, Listing):
            record = self._first_record(listing)
            await self._store_record(record, 0)

    def _first_record(self, listing: Listing) -> TermRecord:
        """Return the record to store where there is none.

        If there are assignments, the term was deleted and its holder may still run.
        """
        terms = [
            assignment.term
            for assignment in map(parse_assignment, (o.value for o in listing.objects))
            if assignment.data_centre == self.data_centre
        ]
        if not terms:
            return TermRecord(1, self.local_instance, (), uuid4().hex)
        wait_s = add_drift_margin(CONFIRMATION_TIMEOUT_S + PERMIT_S)
        return TermRecord(max(terms) + 1, self.local_instance, (), uuid4().hex, wait_s)

    async def _try_to_acquire_term(self) -> None:
        """Acquire the term unless a promise, heartbeat or running member forbids it."""
        started_at = boot_time()
        self.next_attempt_at = started_at + RETRY_PERIOD_S
        if not self.candidacy.may_acquire_term(started_at):
            return
        found = await self.store.read(Kind.TERM, self.data_centre)
        if not isinstance(found, StoredObject):
            return
        known_term = self.record.number
        self.observe_record(found)
        if self.record.number != known_term or self.last_heartbeat_at > started_at:
            return
        if not self.candidacy.may_acquire_term(boot_time()):
            return
        holder_stopped = self.holder_stopped
        if self.local_instance not in self.record.candidates:
            holder_stopped = await self._all_members_stopped()
            if not holder_stopped:
                self.last_heartbeat_at = boot_time()
                return
        record = TermRecord(
            self.record.number + 1,
            self.local_instance,
            tuple(
                item for item in self.record.candidates if item != self.local_instance
            ),
            uuid4().hex,
            takeover_wait_s(self.record, holder_stopped),
        )
        # A promise may have been given while the reads and calls above were awaited.
        if self.candidacy.may_acquire_term(boot_time()):
            await self._store_record(record, self.version)

    async def _replace_led_term(self, led: TermRecord) -> None:
        """Acquire a new term after one in which this instance stopped as the placer.

        It has forgotten the permits of that term, and which sequences it published
        without a write. Candidates had time to succeed it.
        """
        wait_s = takeover_wait_s(led, holder_stopped=True)
        record = TermRecord(
            led.number + 1, self.local_instance, led.candidates, uuid4().hex, wait_s
        )
        await self._store_record(record, self.version)

    async def _all_members_stopped(self) -> bool:
        """Return whether the holder and all candidates have certainly stopped."""
        for member in (self.record.holder, *self.record.candidates):
            if await self.peers.check_liveness(member) is not Liveness.NOT_RUNNING:
                return False
        return True

    async def _store_record(self, record: TermRecord, expected: int) -> bool:
        """Store a term record; return whether it is stored."""
        self.candidacy.begin_update(boot_time())
        outcome = await write_with_retries(
            self.store,
            Kind.TERM,
            self.data_centre,
            serialize_term(record),
            expected,
            lambda value: parse_term(value).write_id == record.write_id,
            lambda: self.candidacy.may_retry_update(boot_time()),
        )
        if outcome != WriteAbandoned(not_applied=False):
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
            self.observe_record(found)
        return False

    async def _run_as_placer(self, record: TermRecord) -> None:
        """Act as the placer until the term is lost or handed over."""
        self.led_term = record.number
        earlier_permits_end_at = boot_time() + record.earlier_wait_s
        held = HeldTerm(record, self.version, earlier_permits_end_at)
        self.confirmation_started_at = float("-inf")
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
        self.log.write("term_taken", term=record.number, vm=self.local_instance.vm)
        self.possible_candidates = set(record.candidates)
        async with AsyncExitStack() as stack:
            self.placer = placer
            stack.callback(self._step_down)
            await stack.enter_async_context(placer.run())
            while not held.stopped and not self.leaving:
                if boot_time() - self.confirmation_started_at > CONFIRMATION_PERIOD_S:
                    await self.confirm()
                await self._update_candidates(held)
                await asyncio.sleep(HOLDER_CHECK_PERIOD_S)
            if self.leaving and not held.stopped:
                await self._hand_over(held)
        self.log.write("term_ended", term=record.number, vm=self.local_instance.vm)

    def _step_down(self) -> None:
        self.placer = None
        self.record = None
        self.last_heartbeat_at = boot_time()

    async def confirm(self) -> None:
        """Confirm the term by a read or, if it fails, by every candidate's promise."""
        placer = self.placer
        if placer is None:
            return
        read_started_at = boot_time()
        self.confirmation_started_at = read_started_at
        found = await self.store.read(Kind.TERM, self.data_centre)
        placer.placement.store_available = not isinstance(found, StoreUnavailable)
        if isinstance(found, StoredObject):
            record = parse_term(found.value)
            placer.placement.held.confirm(read_started_at, record, found.version)
            self.version = found.version
            return
        if isinstance(found, Missing):
            placer.placement.held.stopped = True
            return
        requested_at = boot_time()
        term = placer.placement.held.record.number
        outcomes = await asyncio.gather(
            *(
                self.peers.request_promise(candidate, term, PROMISE_S)
                for candidate in self.possible_candidates
            )
        )
        promised = (PromiseOutcome.PROMISED, PromiseOutcome.NOT_RUNNING)
        if all(outcome in promised for outcome in outcomes):
            placer.placement.held.promise(requested_at, PROMISE_S)
        self.log.write(
            "promises",
            term=term,
            outcomes=",".join(outcome.value for outcome in outcomes) or "-",
        )

    async def _update_candidates(self, held: HeldTerm) -> None:
        """Store changed candidates, and that permits of earlier terms have expired."""
        placer = self.placer
        if not placer.placement.store_available or not placer.live:
            return
        wanted = choose_candidates(
            placer.live, self.local_instance, held.record.candidates
        )
        wait_s = earlier_wait_to_store_s(held, boot_time())
        record = replace(held.record, candidates=wanted, earlier_wait_s=wait_s)
        if record == held.record:
            return
        record = replace(record, write_id=uuid4().hex)
        self.possible_candidates |= set(wanted)
        if await self._store_record(record, self.version):
            held.record = record
            self.possible_candidates = set(wanted)

    async def _hand_over(self, held: HeldTerm) -> None:
        """Stop granting permits and hand the term over to the first candidate."""
        held.stopped = True
        if not held.record.candidates:
            return
        successor, *others = held.record.candidates
        record = TermRecord(
            held.record.number + 1,
            successor,
            tuple(others),
            uuid4().hex,
            handover_wait_s(held, boot_time()),
        )
        await self._store_record(record, self.version)
