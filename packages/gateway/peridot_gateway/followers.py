"""Watch the objects of one kind in the store: list them, then follow changes."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from enum import Enum, auto
from time import monotonic

from peridot_gateway.dialect import Dialect
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import (
    Change,
    Listing,
    RevisionTooOld,
    StoredObject,
    StoreUnavailable,
    WatchOutcome,
)
from peridot_placement.decisions import DecisionLog
from peridot_placement.signals import ChangeSignal

# A watch without changes looks the same as one on a dead connection, so its timeout
# bounds the age of the view. Views must be current again within a recovery time after
# a disruption of the store ends. A watch may take this share of that time; the rest
# covers its late response, the retry delay, the next call, and the time until members
# learn that the placer's watch has failed.
WATCH_TIMEOUT_SHARE = 1 / 3
# The share of 3 s, the recovery time at the operators' sites.
WATCH_TIMEOUT_S = 1.0
# Watches may be longer while the placer confirms that nothing newer is stored. They
# end before the store drops the history since their start (20 s).
CONFIRMED_WATCH_TIMEOUT_S = 15.0
# A watch that hasn't returned a change this long after the placer confirmed it is on a
# dead connection.
BEHIND_TIMEOUT_S = 0.4
CONFIRMATION_CHECK_PERIOD_S = 0.25
# A watch that was pending for longer returns changes as they happen; one that returns
# sooner may return any change since the previous response.
IMMEDIATE_RESPONSE_S = 0.1
# Short watches notice sooner that an unreachable store is back.
UNREACHABLE_WATCH_TIMEOUT_S = 0.3
RETRY_DELAY_S = 0.25
# The store bills refused calls too, and with many VMs they are most of its calls in an
# outage. A view must be current again within seconds.
MAX_RETRY_DELAY_S = 1.0


class WatchInterruption(Enum):
    """Why a watch was ended before its response."""

    PUSHED = auto()
    UNCONFIRMED = auto()
    BEHIND = auto()
    LIST_DUE = auto()


class ObjectWatcher(ABC):
    """List the objects of one kind in the store, then watch them for changes."""

    kind: str
    batch_delay_s = 0.0

    def __init__(self, store: ObjectStore, dialect: Dialect, log: DecisionLog) -> None:
        self.store = store
        self.dialect = dialect
        self.log = log
        self.loaded = False
        self.reachable = False
        self.revision = 0
        # Version of the newest change seen by this VM.
        self.newest_version = 0
        # Returns the version of the newest change that exists, as the placer confirms
        # it; None if no placer does.
        self.get_confirmed_version: Callable[[], int | None] = lambda: None
        # Timeout of watches while no placer confirms versions (s).
        self.watch_timeout_s = WATCH_TIMEOUT_S
        # When the view was last known to be current (s, monotonic).
        self.current_at = 0.0
        # Start of the current or last watch (s, monotonic).
        self.watch_started_at = 0.0
        # Value of current_at before the last response, and the earliest time at which
        # the changes in the last response can have been made (s, monotonic).
        self.previous_current_at = float("-inf")
        self.changes_not_before = float("-inf")
        self.changed = ChangeSignal()
        # Number of failed calls since the last response.
        self.failures = 0
        # Number of objects that couldn't be read or parsed so far.
        self.invalid_objects = 0

    @abstractmethod
    def replace_all(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        """Replace the view by a complete list as of a revision."""

    @abstractmethod
    def apply(self, change: Change) -> None:
        """Apply one change to the view."""

    @property
    def age_s(self) -> float:
        """Return how old the view may be (s)."""
        return monotonic() - self.current_at

    @property
    def previous_age_s(self) -> float:
        """Return how old the view was before the last response (s), 0 before any."""
        return (
            max(0.0, self.current_at - self.previous_current_at) if self.loaded else 0.0
        )

    @property
    def known_version(self) -> int:
        """Return the newest version seen, 0 while the store is unreachable."""
        return self.newest_version if self.reachable else 0

    def set_recovery_time(self, recovery_time_s: float) -> None:
        """Set how soon the view must be current again after a disruption (s)."""
        self.watch_timeout_s = recovery_time_s * WATCH_TIMEOUT_SHARE

    async def run(self) -> None:
        """List and watch until cancelled."""
        while True:
            if not await self._list():
                await self._wait_before_retry()
                continue
            while await self._watch():
                await asyncio.sleep(self.batch_delay_s)

    async def _list(self) -> bool:
        outcome = await self.store.list([self.kind])
        if not isinstance(outcome, Listing):
            self._update_reachability(False, outcome.reason)
            return False
        self._update_reachability(True, "listed")
        self.changes_not_before = self.previous_current_at
        self.revision = outcome.revision
        self._record_versions(outcome.objects)
        self._record_unreadable(outcome.unreadable)
        self.replace_all(outcome.objects, outcome.revision)
        self.loaded = True
        self.changed.notify()
        return True

    async def _watch(self) -> bool:
        """Watch once and apply the changes; return False if a new list is needed."""
        self.watch_started_at = monotonic()
        outcome = await self._wait_for_changes()
        if isinstance(outcome, WatchInterruption):
            return outcome not in (
                WatchInterruption.BEHIND,
                WatchInterruption.LIST_DUE,
            )
        if isinstance(outcome, RevisionTooOld):
            self._log_watch("history_gone")
            return False
        if isinstance(outcome, StoreUnavailable):
            self._update_reachability(False, outcome.reason)
            await self._wait_before_retry()
            return True
        self._update_reachability(True, "watched")
        now = monotonic()
        was_pending = now - self.watch_started_at > IMMEDIATE_RESPONSE_S
        self.changes_not_before = (
            now - IMMEDIATE_RESPONSE_S if was_pending else self.previous_current_at
        )
        self.revision = max(self.revision, outcome.revision)
        self._record_versions(outcome.changes)
        self._record_unreadable(outcome.unreadable)
        for change in outcome.changes:
            self.apply(change)
        if outcome.changes:
            self.changed.notify()
        return True

    async def _wait_for_changes(self) -> WatchOutcome | WatchInterruption:
        """Return the outcome of one watch, or why it was ended early."""
        if self.receives_pushes():
            await self._wait_while_pushed()
            return WatchInterruption.PUSHED
        timeout_s = self._next_watch_timeout_s()
        watch = asyncio.create_task(
            self.store.watch([self.kind], self.revision, timeout_s)
        )
        try:
            return await self._monitor_watch(watch, timeout_s)
        finally:
            watch.cancel()

    def _next_watch_timeout_s(self) -> float:
        if not self.reachable:
            return UNREACHABLE_WATCH_TIMEOUT_S
        return (
            self.watch_timeout_s
            if self.get_confirmed_version() is None
            else CONFIRMED_WATCH_TIMEOUT_S
        )

    def needs_list(self) -> bool:
        """Return whether the objects must be listed again although none changed."""
        return False

    def receives_pushes(self) -> bool:
        """Return whether the placer pushes all changes, so that no watch is needed."""
        return False

    async def _wait_while_pushed(self) -> None:
        while self.receives_pushes():
            await asyncio.sleep(CONFIRMATION_CHECK_PERIOD_S)

    async def _monitor_watch(
        self, watch: asyncio.Task, timeout_s: float
    ) -> WatchOutcome | WatchInterruption:
        """Return a watch's outcome, or why it must not go on."""
        behind_since: float | None = None
        while True:
            await asyncio.wait([watch], timeout=CONFIRMATION_CHECK_PERIOD_S)
            if watch.done():
                return watch.result()
            if self.receives_pushes():
                return WatchInterruption.PUSHED
            if self.needs_list():
                return WatchInterruption.LIST_DUE
            now = monotonic()
            if self.get_confirmed_version() is None:
                behind_since = None
                if (
                    timeout_s > self.watch_timeout_s
                    and now >= self.watch_started_at + self.watch_timeout_s
                ):
                    return WatchInterruption.UNCONFIRMED
            elif not self._is_behind():
                behind_since, self.current_at = None, now
            elif behind_since is None:
                behind_since = now
            elif now >= behind_since + BEHIND_TIMEOUT_S:
                self._log_watch("watch_behind")
                return WatchInterruption.BEHIND

    def _is_behind(self) -> bool:
        confirmed_version = self.get_confirmed_version()
        return confirmed_version is not None and confirmed_version > self.revision

    def _record_versions(self, changes: Iterable[Change]) -> None:
        versions = (change.version for change in changes)
        self.newest_version = max(self.newest_version, *versions, 0)

    def _record_unreadable(self, reasons: Iterable[str]) -> None:
        for reason in reasons:
            self.invalid_objects += 1
            self.log.write("object_unreadable", kind=self.kind, reason=reason)

    async def _wait_before_retry(self) -> None:
        """Wait for longer after each failure, but not while changes are missing."""
        delay_s = RETRY_DELAY_S * 2 ** min(self.failures, 8)
        deadline = monotonic() + min(delay_s, MAX_RETRY_DELAY_S)
        self.failures += 1
        await asyncio.sleep(RETRY_DELAY_S)
        while not self._is_behind() and (left_s := deadline - monotonic()) > 0:
            await asyncio.sleep(min(left_s, CONFIRMATION_CHECK_PERIOD_S))

    def _update_reachability(self, reachable: bool, reason: str) -> None:
        if reachable != self.reachable:
            event = "source_regained" if reachable else "source_lost"
            self._log_watch(event, reason=reason)
        self.reachable = reachable
        if reachable:
            self.failures = 0
            if self.loaded:
                self.previous_current_at = self.current_at
            self.current_at = monotonic()

    def _log_watch(self, event: str, **more: object) -> None:
        """Log an event of a watch with its duration and the age of the view."""
        self.log.write(
            event,
            kind=self.kind,
            revision=self.revision,
            watched=round(monotonic() - self.watch_started_at, 2)
            if self.loaded
            else "-",
            age=round(self.age_s, 2) if self.loaded else "-",
            **more,
        )
