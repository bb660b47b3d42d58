"""Followers: keep up with the objects of one kind in the store."""

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

# A quiet watch may be one that hears nothing, so its length bounds the view's age.
# Views must be current again a given time after a disruption of the store ends. A watch
# gets this share of it; the rest is for its late answer, a pause, the next call, and
# for members to learn that their placer's watch has failed.
WATCH_SHARE = 1 / 3
# The share of 3 s, the time to settle of the operators' sites.
WATCH_S = 1.0
# A placer that vouches that nothing is newer allows longer watches; they end before
# the store forgets the history since their start (20 s).
VOUCHED_WATCH_S = 15.0
# Watches that bring what the placer knows do so within this time, else hear nothing.
BEHIND_S = 0.4
VOUCH_CHECK_S = 0.25
# A watch that waited longer brings news as it happens; one that is answered at once may
# bring all that happened since the answer before.
PROMPT_S = 0.1
# While the store doesn't answer, shorter watches notice its return.
LOST_WATCH_S = 0.3
RETRY_S = 0.25


class Interruption(Enum):
    """Name why a watch was ended before its answer."""

    FED = auto()
    UNVOUCHED = auto()
    BEHIND = auto()


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
        # How long a watch lasts that nobody vouches for (s).
        self.watch_s = WATCH_S
        # When the last answer of the store arrived (s, monotonic).
        self.heard_at = 0.0
        # When the watch that runs or ran last began (s, monotonic).
        self.watch_began = 0.0
        # When the answer before the last arrived, and before which time the changes of
        # the last one can't have been made (s, monotonic).
        self.heard_before = float("-inf")
        self.news_since = float("-inf")
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
    def age_before_s(self) -> float:
        """Return how old the view was before the last answer, 0 before any."""
        return max(0.0, self.heard_at - self.heard_before) if self.loaded else 0.0

    @property
    def known_version(self) -> int:
        """Return the version of the newest change, 0 if there may be newer ones."""
        return self.last_change if self.reachable else 0

    def settle_within(self, settle_s: float) -> None:
        """Keep the view current to a time after a disruption (s)."""
        self.watch_s = settle_s * WATCH_SHARE

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
        self.news_since = self.heard_before
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
        if isinstance(outcome, Interruption):
            return outcome is not Interruption.BEHIND
        if isinstance(outcome, RevisionTooOld):
            self._log_watch("history_gone")
            return False
        if isinstance(outcome, StoreUnavailable):
            self._note(False, outcome.reason)
            await asyncio.sleep(RETRY_S)
            return True
        self._note(True, "watched")
        now = monotonic()
        waited = now - self.watch_began > PROMPT_S
        self.news_since = now - PROMPT_S if waited else self.heard_before
        self.revision = max(self.revision, outcome.revision)
        self._note_changes(outcome.changes)
        for change in outcome.changes:
            self.take(change)
        if outcome.changes:
            self.changed.notify()
        return True

    async def _wait_for_changes(self) -> WatchOutcome | Interruption:
        """Watch once."""
        if self.is_fed():
            await self._wait_while_fed()
            return Interruption.FED
        limit_s = self._watch_limit_s()
        watching = asyncio.create_task(
            self.store.watch([self.kind], self.revision, limit_s)
        )
        try:
            return await self._supervise(watching, limit_s)
        finally:
            watching.cancel()

    def _watch_limit_s(self) -> float:
        if not self.reachable:
            return LOST_WATCH_S
        return self.watch_s if self.vouched() is None else VOUCHED_WATCH_S

    def is_fed(self) -> bool:
        """Tell whether the placer tells all changes, so that no watch is needed."""
        return False

    async def _wait_while_fed(self) -> None:
        while self.is_fed():
            await asyncio.sleep(VOUCH_CHECK_S)

    async def _supervise(
        self, watching: asyncio.Task, limit_s: float
    ) -> WatchOutcome | Interruption:
        """Return a watch's outcome, or why it can't be relied on any longer."""
        behind_since: float | None = None
        while True:
            await asyncio.wait([watching], timeout=VOUCH_CHECK_S)
            if watching.done():
                return watching.result()
            if self.is_fed():
                return Interruption.FED
            now = monotonic()
            if self.vouched() is None:
                behind_since = None
                if limit_s > self.watch_s and now >= self.watch_began + self.watch_s:
                    return Interruption.UNVOUCHED
            elif not self._is_behind():
                behind_since, self.heard_at = None, now
            elif behind_since is None:
                behind_since = now
            elif now >= behind_since + BEHIND_S:
                self._log_watch("watch_behind")
                return Interruption.BEHIND

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
            if self.loaded:
                self.heard_before = self.heard_at
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
