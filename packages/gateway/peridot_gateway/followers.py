"""Followers: keep up with the objects of one kind in the store."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
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

# A connection that has gone silent is noticed after a watch and its margin, in time
# for changes to be in force 5 s later (3 s to settle, 2 s to take effect).
WATCH_S = 3.5
# A placer that vouches that nothing is newer allows longer watches; they end before
# the store forgets the history since their start (20 s).
VOUCHED_WATCH_S = 15.0
# A watch that is behind what the placer knows for longer has lost its connection.
BEHIND_S = 0.7
VOUCH_CHECK_S = 0.25
# While the store doesn't answer, shorter watches notice its return.
LOST_WATCH_S = 0.3
RETRY_S = 0.25


class Follower(ABC):
    """List the objects of one kind, then watch them, for as long as it runs."""

    kind: str
    gather_s = 0.0

    def __init__(self, store: ObjectStore, dialect: Dialect, log: DecisionLog) -> None:
        self.store = store
        self.dialect = dialect
        self.log = log
        self.loaded = False
        self.reachable = False
        self.revision = 0
        # Version of the newest change that was seen.
        self.last_change = 0
        # Tells the version of the newest change that exists, if the placer knows it.
        self.vouched: Callable[[], int | None] = lambda: None
        # When the last answer of the store arrived (s, monotonic).
        self.heard_at = 0.0
        # When the watch that runs or ran last began (s, monotonic).
        self.watch_began = 0.0
        # How old the view was when the last answer arrived (s).
        self.age_before_s = 0.0
        self.changed = ChangeSignal()

    @abstractmethod
    def replace_all(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        """Take in a complete list as of a revision."""

    @abstractmethod
    def take(self, change: Change) -> None:
        """Take in one change."""

    @property
    def age_s(self) -> float:
        """Return how old the view may be."""
        return monotonic() - self.heard_at

    @property
    def known_version(self) -> int:
        """Return the version of the newest change, 0 if there may be newer ones."""
        return self.last_change if self.reachable else 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if not await self._list():
                await asyncio.sleep(RETRY_S)
                continue
            while await self._watch():
                await asyncio.sleep(self.gather_s)

    async def _list(self) -> bool:
        outcome = await self.store.list([self.kind])
        if not isinstance(outcome, Listing):
            self._note(False, outcome.reason)
            return False
        self._note(True, "listed")
        self.revision = outcome.revision
        self._note_changes(outcome.objects)
        self.replace_all(outcome.objects, outcome.revision)
        self.loaded = True
        self.changed.notify()
        return True

    async def _watch(self) -> bool:
        """Return whether the watch can go on; if not, list again."""
        self.watch_began = monotonic()
        outcome = await self._wait_for_changes()
        if outcome is None:
            return True
        if isinstance(outcome, RevisionTooOld):
            self._log_watch("history_gone")
            return False
        if isinstance(outcome, StoreUnavailable):
            self._note(False, outcome.reason)
            await asyncio.sleep(RETRY_S)
            return True
        self._note(True, "watched")
        self.revision = max(self.revision, outcome.revision)
        self._note_changes(outcome.changes)
        for change in outcome.changes:
            self.take(change)
        if outcome.changes:
            self.changed.notify()
        return True

    async def _wait_for_changes(self) -> WatchOutcome | None:
        """Watch once; None if the watch has to begin anew."""
        if self.is_fed():
            await self._wait_while_fed()
            return None
        if not self.reachable:
            return await self.store.watch([self.kind], self.revision, LOST_WATCH_S)
        if self.vouched() is None or self._is_behind():
            return await self.store.watch([self.kind], self.revision, WATCH_S)
        watching = asyncio.create_task(
            self.store.watch([self.kind], self.revision, VOUCHED_WATCH_S)
        )
        try:
            return await self._watch_while_vouched(watching)
        finally:
            watching.cancel()

    def is_fed(self) -> bool:
        """Tell whether the placer tells all changes, so that no watch is needed."""
        return False

    async def _wait_while_fed(self) -> None:
        while self.is_fed():
            self.heard_at = monotonic()
            await asyncio.sleep(VOUCH_CHECK_S)

    async def _watch_while_vouched(self, watching: asyncio.Task) -> WatchOutcome | None:
        began = monotonic()
        current_at = began
        while True:
            await asyncio.wait([watching], timeout=VOUCH_CHECK_S)
            if watching.done():
                return watching.result()
            if self.is_fed():
                return None
            now = monotonic()
            if self.vouched() is None:
                if now >= began + WATCH_S:
                    return None
            elif not self._is_behind():
                current_at = self.heard_at = now
            if now >= current_at + BEHIND_S and self._is_behind():
                self._log_watch("watch_behind")
                return None

    def _is_behind(self) -> bool:
        vouched = self.vouched()
        return vouched is not None and vouched > self.revision

    def _note_changes(self, changes: Iterable[Change]) -> None:
        versions = (change.version for change in changes)
        self.last_change = max(self.last_change, *versions, 0)

    def _note(self, reachable: bool, reason: str) -> None:
        if reachable != self.reachable:
            event = "source_regained" if reachable else "source_lost"
            self._log_watch(event, reason=reason)
        self.reachable = reachable
        if reachable:
            self.age_before_s = self.age_s if self.loaded else 0.0
            self.heard_at = monotonic()

    def _log_watch(self, event: str, **more: object) -> None:
        """Log what became of a watch, since when it ran and how old the view is."""
        self.log.write(
            event,
            kind=self.kind,
            revision=self.revision,
            watched=round(monotonic() - self.watch_began, 2) if self.loaded else "-",
            age=round(self.age_s, 2) if self.loaded else "-",
            **more,
        )
