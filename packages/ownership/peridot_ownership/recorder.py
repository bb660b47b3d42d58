"""Writing the placement record (gateway mode), which also confirms the term."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import (
    Conflict,
    Missing,
    ReadOutcome,
    Rejected,
    StoredObject,
    StoreUnavailable,
    WriteOutcome,
    WriteUnknown,
    Written,
)
from peridot_objects.versions import version_era
from peridot_ownership.errors import InvalidRecord, TermLost
from peridot_ownership.record import (
    RECORD_KIND,
    RECORD_NAME,
    Certainty,
    DaemonInstance,
    PlacementRecord,
    next_term_record,
    parse_record,
    precedes_restore,
    serialize_record,
)
from peridot_ownership.rights import bound_earlier_leases
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog

# Heartbeat: a write at least this often shows other daemons that the placer is alive.
# Not more often, because the store bills each call.
HEARTBEAT_PERIOD_S = 1.0
# A call is considered lost after this time; even a slow store answers sooner.
CALL_TIMEOUT_S = 0.6
# A placer grants leases only within this time after the start of its last successful
# write.
# In an outage of the store this covers a heartbeat period, the failed write, the delay
# before long leases are granted (LONG_LEASE_DELAY_S) and one round of renewals.
CONFIRMATION_TIMEOUT_S = 4.7
RETRY_PAUSE_S = 0.2
# A placer that has written its record within this time continues after a restore of the
# store. Until then no other placer can have moved keys away from their owners.
SAFE_RENUMBERING_S = bound_earlier_leases(
    CONFIRMATION_TIMEOUT_S, False, 0.0
).unknown_remaining_s


class RecordWriter:
    """Write the record of one term and track whether the term is confirmed."""

    def __init__(
        self,
        store: ObjectStore,
        record: PlacementRecord,
        version: int,
        confirmed_at: float,
        log: DecisionLog,
        is_first: bool = False,
    ) -> None:
        self.store = store
        self.record = record
        self.version = version
        self.confirmed_at = confirmed_at
        self.log = log
        # Whether no placer can have granted leases before this term.
        self.is_first = is_first
        # When the term was last renumbered after a restore of the store (s).
        self.restored_at = float("-inf")
        # Called when the record has got a new term and new fencing tokens.
        self.handle_restore: Callable[[], None] = lambda: None
        # When a target last reported a fencing token of a newer term (s).
        self.newer_term_seen_at = float("-inf")
        self.store_lost = False
        self.store_lost_at = 0.0
        self.write_requested = asyncio.Event()
        self.waiters: list[asyncio.Future] = []
        self.ended: asyncio.Future[TermLost] = (
            asyncio.get_running_loop().create_future()
        )

    def is_confirmed(self) -> bool:
        """Return whether the term was confirmed recently enough to grant leases."""
        if self.ended.done() or self.confirmed_at <= self.newer_term_seen_at:
            return False
        return boot_time() - self.confirmed_at < CONFIRMATION_TIMEOUT_S

    def require_confirmation(self) -> None:
        """Grant no leases until a write that starts after this succeeds."""
        self.newer_term_seen_at = boot_time()
        self.request_write()

    def request_write(self) -> None:
        """Have the record written as soon as possible."""
        self.write_requested.set()

    async def write(self) -> None:
        """Return once the record as it is now has been stored; raise TermLost."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        self.write_requested.set()
        await waiter

    def end_term(self, reason: TermLost) -> None:
        """End the term in this process and fail the waiting writes."""
        if not self.ended.done():
            self.ended.set_result(reason)
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_exception(reason)
        self.waiters.clear()

    async def run(self) -> None:
        """Write on request and at each heartbeat until the term ends."""
        try:
            while not self.ended.done():
                try:
                    async with asyncio.timeout(HEARTBEAT_PERIOD_S):
                        await self.write_requested.wait()
                except TimeoutError:
                    pass
                await self._write_once()
        except TermLost as error:
            self.log.write("term_lost", term=self.record.term, reason=error)
            self.end_term(error)

    async def _write_once(self) -> None:
        self.write_requested.clear()
        if self.store_lost and not await self._is_still_recorded():
            self.write_requested.set()
            return
        waiters, self.waiters = self.waiters, []
        self.record.heartbeat += 1
        started_at = boot_time()
        outcome = await self._write_record(self.record, self.version)
        if isinstance(outcome, Written):
            if version_era(outcome.version) != version_era(self.version):
                # The copy has the record at the same revision. It is the one that this
                # placer wrote last, unless another acquired a term since, within the
                # time between two writes, and got the same revision for its record.
                self.waiters += waiters
                self.write_requested.set()
                await self._check_found(await self._read_record())
                return
            self._confirm(started_at, outcome.version)
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)
            return
        # The next write contains what they wait for as well.
        self.waiters += waiters
        self.write_requested.set()
        await self._resolve_failed_write(outcome)

    async def _is_still_recorded(self) -> bool:
        """Return whether the term is still stored; raise TermLost.

        A store that was restored meanwhile may have a newer record at the revision that
        the next write expects, and would replace it.
        """
        found = await self._read_record()
        await self._check_found(found)
        return not isinstance(found, StoreUnavailable)

    async def _write_record(
        self, record: PlacementRecord, version: int
    ) -> WriteOutcome:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await write_changed_record(self.store, record, version)
        except TimeoutError as error:
            return WriteUnknown(repr(error))

    async def _read_record(self) -> ReadOutcome:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self.store.read(RECORD_KIND, RECORD_NAME)
        except TimeoutError as error:
            return StoreUnavailable(repr(error))

    async def _resolve_failed_write(self, outcome: WriteOutcome) -> None:
        """Read the record after a failed write; raise TermLost if the term is lost."""
        if isinstance(outcome, Rejected):
            raise TermLost(f"the store rejected the record: {outcome.reason}")
        if not isinstance(outcome, Conflict):
            self._mark_store_lost(outcome)
            await asyncio.sleep(RETRY_PAUSE_S)
        if isinstance(outcome, StoreUnavailable):
            return
        await self._check_found(await self._read_record())

    async def _check_found(self, found: ReadOutcome) -> None:
        """Continue from the record that is stored now; raise TermLost."""
        if isinstance(found, StoreUnavailable):
            self._mark_store_lost(found)
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        era = found.era if isinstance(found, Missing) else version_era(found.version)
        if era > version_era(self.version):
            await self._renumber_term(found, era)
            return
        if isinstance(found, Missing):
            raise TermLost("the record was deleted")
        self._check_holder(found)
        self.version = found.version

    async def _renumber_term(self, found: StoredObject | Missing, era: int) -> None:
        """Continue under a new term after the store was restored; raise TermLost.

        The owners in memory are newer than those that were restored. Another placer can
        have acquired a term that was lost only after the last write of this one; it
        moved no owned keys before the leases of this term had expired.
        """
        unwritten_s = boot_time() - self.confirmed_at
        if unwritten_s >= SAFE_RENUMBERING_S:
            raise TermLost(f"the store was restored after {unwritten_s:.1f} s")
        version, stored_term = 0, 0
        if isinstance(found, StoredObject):
            stored = _parse_found(found)
            version, stored_term = found.version, stored.term
            is_own = stored.holder == self.record.holder
            if not is_own and not precedes_restore(stored, era):
                raise TermLost(f"term {stored_term} is held by {stored.holder.vm}")
        # A record of its own in the new era is from a write without a response.
        record = next_term_record(self.record, self.record.holder, era, stored_term)
        record.certainty = max(record.certainty, Certainty.LEASES_UNCERTAIN)
        started_at = boot_time()
        outcome = await self._write_record(record, version)
        self.log.write(
            "term_renumbered",
            term=self.record.term,
            new_term=record.term,
            era=era,
            stored_term=stored_term,
            unwritten_s=round(unwritten_s, 2),
            outcome=type(outcome).__name__,
        )
        if not isinstance(outcome, Written):
            return
        if version_era(outcome.version) != era:
            raise TermLost("the store was restored during a write")
        self._adopt_term(record)
        self._confirm(started_at, outcome.version)

    def _adopt_term(self, record: PlacementRecord) -> None:
        """Continue under a new term's number, with new fencing tokens for all ranges.

        The owners may have changed while the new record was written.
        """
        self.record.term, self.record.last_fence = record.term, record.last_fence
        self.record.certainty = record.certainty
        for table in self.record.tables.values():
            table.ranges = [
                replace(item, fence=self.record.next_fence()) for item in table.ranges
            ]
        self.restored_at = boot_time()
        self.handle_restore()

    def _check_holder(self, found: StoredObject) -> None:
        stored = _parse_found(found)
        if stored.holder != self.record.holder or stored.term != self.record.term:
            raise TermLost(f"term {stored.term} is held by {stored.holder.vm}")

    def _confirm(self, started_at: float, version: int) -> None:
        self.version = version
        self.confirmed_at = started_at
        if self.store_lost:
            self.log.write("store_regained", term=self.record.term)
        self.store_lost = False

    def _mark_store_lost(self, outcome: WriteOutcome) -> None:
        if not self.store_lost:
            self.store_lost_at = boot_time()
            self.log.write(
                "store_lost", reason=outcome.reason, outcome=type(outcome).__name__
            )
        self.store_lost = True


def _parse_found(found: StoredObject) -> PlacementRecord:
    try:
        return parse_record(found.value)
    except InvalidRecord as error:
        raise TermLost(f"the stored record is invalid: {error}") from error


async def write_changed_record(
    store: ObjectStore, record: PlacementRecord, version: int
) -> WriteOutcome:
    """Replace the record at a version, from which this one differs."""
    outcome = await store.write(
        RECORD_KIND, RECORD_NAME, serialize_record(record), version
    )
    if isinstance(outcome, Written) and outcome.version <= version:
        # A late copy of the response to an earlier call; the write may be lost.
        return WriteUnknown(f"the version did not rise: {outcome.version}")
    return outcome


async def acquire_term(
    store: ObjectStore,
    holder: DaemonInstance,
    found: StoredObject | Missing,
    log: DecisionLog,
    may_be_first: bool = True,
    known_term: int = 0,
) -> RecordWriter | None:
    """Acquire the next term if the record is still the one that was found.

    Without a record the term is the first, if it may be. Return None if another daemon
    was faster, the write failed, its outcome is unknown or the found record is invalid.
    """
    previous, version = None, 0
    if isinstance(found, StoredObject):
        try:
            previous = parse_record(found.value)
        except InvalidRecord as error:
            log.write("record_unreadable", reason=error)
            return None
        version, era = found.version, version_era(found.version)
        restored = precedes_restore(previous, era)
    else:
        era, restored = found.era, not may_be_first
    record = next_term_record(previous, holder, era, known_term if restored else 0)
    if restored:
        record.certainty = Certainty.OWNERS_UNCERTAIN
    started_at = boot_time()
    outcome = await write_changed_record(store, record, version)
    log.write(
        "take_term",
        term=record.term,
        found_version=version,
        certainty=record.certainty.name,
        outcome=type(outcome).__name__,
    )
    if not isinstance(outcome, Written) or version_era(outcome.version) != era:
        return None
    is_first = isinstance(found, Missing) and not restored
    return RecordWriter(store, record, outcome.version, started_at, log, is_first)
