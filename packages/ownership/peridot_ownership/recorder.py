"""Writing the placement record (gateway mode), which also confirms the term."""

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
    DaemonInstance,
    PlacementRecord,
    next_term_record,
    parse_record,
    serialize_record,
)
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


class RecordWriter:
    """Write the record of one term and track whether the term is confirmed."""

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
        waiters, self.waiters = self.waiters, []
        self.record.heartbeat += 1
        started_at = boot_time()
        outcome = await self._write_record()
        if isinstance(outcome, Written):
            self._confirm(started_at, outcome.version)
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)
            return
        # The next write contains what they wait for as well.
        self.waiters += waiters
        self.write_requested.set()
        await self._resolve_failed_write(outcome)

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

    async def _resolve_failed_write(self, outcome: WriteOutcome) -> None:
        """Read the record after a failed write; raise TermLost if the term is lost."""
        if isinstance(outcome, Rejected):
            raise TermLost(f"the store rejected the record: {outcome.reason}")
        if not isinstance(outcome, Conflict):
            self._mark_store_lost(outcome)
            await asyncio.sleep(RETRY_PAUSE_S)
        if isinstance(outcome, StoreUnavailable):
            return
        found = await self._read_record()
        if isinstance(found, StoreUnavailable):
            return
        if isinstance(found, Missing):
            raise TermLost("the record was deleted")
        self._check_holder(found)
        self.version = found.version

    def _check_holder(self, found: StoredObject) -> None:
        try:
            stored = parse_record(found.value)
        except InvalidRecord as error:
            raise TermLost(f"the stored record is invalid: {error}") from error
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


async def acquire_term(
    store: ObjectStore,
    holder: DaemonInstance,
    found: StoredObject | Missing,
    log: DecisionLog,
) -> RecordWriter | None:
    """Acquire the next term if the record is still the one that was found.

    Return None if another daemon was faster, the write failed, its outcome is unknown
    or the found record is invalid.
    """
    previous = None
    if isinstance(found, StoredObject):
        try:
            previous = parse_record(found.value)
        except InvalidRecord as error:
            log.write("record_unreadable", reason=error)
            return None
    record = next_term_record(previous, holder)
    version = found.version if isinstance(found, StoredObject) else 0
    started_at = boot_time()
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
    return RecordWriter(store, record, outcome.version, started_at, log)
