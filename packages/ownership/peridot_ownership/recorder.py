"""Recorder: writes the placement's record and so confirms the term."""

import asyncio

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
from peridot_ownership.errors import InvalidRecord, TermLost
from peridot_ownership.record import (
    RECORD_KIND,
    RECORD_NAME,
    Holder,
    PlacementRecord,
    parse_record,
    serialize_record,
    take_over,
)
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog

# Each write is a priced call; it proves to other daemons that the placer lives.
BEAT_S = 1.0
# A call without an answer for this long counts as lost; a slow store is quicker.
CALL_TIMEOUT_S = 0.6
# A placer acts only for so long after the start of its last confirmed write. In an
# outage this covers a beat, the write, the time before long holds are given
# (LONG_HOLD_DELAY_S) and one round of renewals.
CONFIRMED_S = 4.7
RETRY_PAUSE_S = 0.2


class Recorder:
    """Hold the record of one term and its version in the store."""

    def __init__(
        self,
        store: ObjectStore,
        record: PlacementRecord,
        version: int,
        confirmed_at: float,
        log: DecisionLog,
    ) -> None:
        self.store = store
        self.record = record
        self.version = version
        self.confirmed_at = confirmed_at
        self.log = log
        # When a sign of a newer term was last seen (s).
        self.doubted_at = float("-inf")
        self.store_lost = False
        self.store_lost_at = 0.0
        self.wanted = asyncio.Event()
        self.waiters: list[asyncio.Future] = []
        self.ended: asyncio.Future[TermLost] = (
            asyncio.get_running_loop().create_future()
        )

    def may_act(self) -> bool:
        """Tell whether the term was confirmed lately enough to give rights."""
        if self.ended.done() or self.confirmed_at <= self.doubted_at:
            return False
        return boot_time() - self.confirmed_at < CONFIRMED_S

    def doubt(self) -> None:
        """Act no more until a write that begins after this confirms the term."""
        self.doubted_at = boot_time()
        self.request_write()

    def request_write(self) -> None:
        """Have the record written soon."""
        self.wanted.set()

    async def write(self) -> None:
        """Return when the record as it is now is stored; raise TermLost."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        self.wanted.set()
        await waiter

    def fail(self, reason: TermLost) -> None:
        """End the term here."""
        if not self.ended.done():
            self.ended.set_result(reason)
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_exception(reason)
        self.waiters.clear()

    async def run(self) -> None:
        """Write on request and at each beat until the term is lost."""
        try:
            while not self.ended.done():
                try:
                    async with asyncio.timeout(BEAT_S):
                        await self.wanted.wait()
                except TimeoutError:
                    pass
                await self._write_once()
        except TermLost as error:
            self.log.write("term_lost", term=self.record.term, reason=error)
            self.fail(error)

    async def _write_once(self) -> None:
        self.wanted.clear()
        waiters, self.waiters = self.waiters, []
        self.record.beat += 1
        began = boot_time()
        outcome = await self._write_record()
        if isinstance(outcome, Written):
            self._confirm(began, outcome.version)
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)
            return
        # What they wait for is part of the next write as well.
        self.waiters += waiters
        self.wanted.set()
        await self._recover(outcome)

    async def _write_record(self) -> WriteOutcome:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self.store.write(
                    RECORD_KIND,
                    RECORD_NAME,
                    serialize_record(self.record),
                    self.version,
                )
        except TimeoutError as error:
            return WriteUnknown(repr(error))

    async def _read_record(self) -> ReadOutcome:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self.store.read(RECORD_KIND, RECORD_NAME)
        except TimeoutError as error:
            return StoreUnavailable(repr(error))

    async def _recover(self, outcome: WriteOutcome) -> None:
        """Find out what is stored after a write that wasn't confirmed."""
        if isinstance(outcome, Rejected):
            raise TermLost(f"the store refuses the record: {outcome.reason}")
        if not isinstance(outcome, Conflict):
            self._lose_store(outcome)
            await asyncio.sleep(RETRY_PAUSE_S)
        if isinstance(outcome, StoreUnavailable):
            return
        found = await self._read_record()
        if isinstance(found, StoreUnavailable):
            return
        if isinstance(found, Missing):
            raise TermLost("the record was deleted")
        self._check_own(found)
        self.version = found.version

    def _check_own(self, found: StoredObject) -> None:
        try:
            stored = parse_record(found.value)
        except InvalidRecord as error:
            raise TermLost(f"the record can't be read: {error}") from error
        if stored.holder != self.record.holder or stored.term != self.record.term:
            raise TermLost(f"term {stored.term} is held by {stored.holder.vm}")

    def _confirm(self, began: float, version: int) -> None:
        self.version = version
        self.confirmed_at = began
        if self.store_lost:
            self.log.write("store_regained", term=self.record.term)
        self.store_lost = False

    def _lose_store(self, outcome: WriteOutcome) -> None:
        if not self.store_lost:
            self.store_lost_at = boot_time()
            self.log.write(
                "store_lost", reason=outcome.reason, outcome=type(outcome).__name__
            )
        self.store_lost = True


async def take_term(
    store: ObjectStore, holder: Holder, found: StoredObject | Missing, log: DecisionLog
) -> Recorder | None:
    """Take the next term if the record is still the one that was found.

    None if another daemon was faster or the outcome is not known yet.
    """
    earlier = None
    if isinstance(found, StoredObject):
        try:
            earlier = parse_record(found.value)
        except InvalidRecord as error:
            log.write("record_unreadable", reason=error)
            return None
    record = take_over(earlier, holder)
    version = found.version if isinstance(found, StoredObject) else 0
    began = boot_time()
    outcome = await store.write(
        RECORD_KIND, RECORD_NAME, serialize_record(record), version
    )
    log.write(
        "take_term",
        term=record.term,
        found_version=version,
        outcome=type(outcome).__name__,
    )
    if not isinstance(outcome, Written):
        return None
    return Recorder(store, record, outcome.version, began, log)
