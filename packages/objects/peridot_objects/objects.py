"""Interface of the object store, and an in-memory implementation."""

import asyncio
from abc import ABC, abstractmethod
from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass, replace

from peridot_objects.outcomes import (
    Change,
    Conflict,
    DeletedObject,
    Listing,
    ListOutcome,
    Missing,
    ReadOutcome,
    Rejected,
    RevisionTooOld,
    StoredObject,
    StoreUnavailable,
    WatchBatch,
    WatchOutcome,
    WriteOutcome,
    WriteUnknown,
    Written,
)
from peridot_objects.versions import (
    compose_version,
    version_era,
    version_revision,
)

MAX_VALUE_BYTES = 1_000_000
# Changes kept for watches.
HISTORY_LENGTH = 10_000


class ObjectStore(ABC):
    """A store of versioned objects with conditional writes and watches."""

    async def confirm_listing(self, listing: Listing) -> ListOutcome:
        """Read the objects again that a list shows more than once.

        An unreadable object's text may look like another object.
        """
        counts = Counter((item.kind, item.name) for item in listing.objects)
        objects = [i for i in listing.objects if counts[i.kind, i.name] == 1]
        for kind, name in (key for key, count in counts.items() if count > 1):
            outcome = await self.read(kind, name)
            if isinstance(outcome, StoreUnavailable):
                return outcome
            if isinstance(outcome, StoredObject):
                objects.append(outcome)
        return replace(listing, objects=tuple(objects))

    @abstractmethod
    async def list(self, kinds: Collection[str]) -> ListOutcome:
        """Return all objects of the given kinds, with the store's revision."""

    @abstractmethod
    async def read(self, kind: str, name: str) -> ReadOutcome:
        """Return one object."""

    @abstractmethod
    async def write(
        self, kind: str, name: str, value: bytes, expected: int | None
    ) -> WriteOutcome:
        """Store a value if the object has the expected version.

        0 expects that there is no such object; None skips the check.
        """

    @abstractmethod
    async def delete(self, kind: str, name: str, expected: int | None) -> WriteOutcome:
        """Delete an object if it has the expected version; None skips the check."""

    @abstractmethod
    async def watch(
        self, kinds: Collection[str], since: int, timeout_s: float
    ) -> WatchOutcome:
        """Return the changes after a revision, or an empty batch on timeout."""


@dataclass(frozen=True)
class StoreCopy:
    """The objects of a store at a revision."""

    revision: int
    objects: dict[tuple[str, str], StoredObject]


class MemoryObjectStore(ObjectStore):
    """An object store in memory, with faults that tests can inject."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.history: deque[Change] = deque(maxlen=HISTORY_LENGTH)
        self.changed = asyncio.Condition()
        self.reads = 0
        self.writes = 0
        self.outage = False
        self.delay_s = 0.0
        self.lose_answers = 0

    async def list(self, kinds: Collection[str]) -> ListOutcome:
        self.reads += 1
        if not await self._is_reachable():
            return StoreUnavailable("outage")
        found = (item for (kind, _), item in self.objects.items() if kind in kinds)
        return Listing(self.revision, tuple(found))

    async def read(self, kind: str, name: str) -> ReadOutcome:
        self.reads += 1
        if not await self._is_reachable():
            return StoreUnavailable("outage")
        missing = Missing(version_era(self.revision))
        return self.objects.get((kind, name), missing)

    async def write(
        self, kind: str, name: str, value: bytes, expected: int | None
    ) -> WriteOutcome:
        self.writes += 1
        if not await self._is_reachable():
            return StoreUnavailable("outage")
        if len(value) > MAX_VALUE_BYTES:
            return Rejected(f"value has {len(value)} bytes, over {MAX_VALUE_BYTES}")
        current = self._version(kind, name)
        # Only revisions are compared, as by a store that is told no era.
        if expected is not None and version_revision(expected) != version_revision(
            current
        ):
            return Conflict(current)
        self.revision += 1
        stored = StoredObject(kind, name, self.revision, value)
        self.objects[kind, name] = stored
        return await self._record_change(stored)

    async def delete(self, kind: str, name: str, expected: int | None) -> WriteOutcome:
        self.writes += 1
        if not await self._is_reachable():
            return StoreUnavailable("outage")
        current = self._version(kind, name)
        if current == 0 or (expected is not None and expected != current):
            return Conflict(current)
        self.revision += 1
        del self.objects[kind, name]
        return await self._record_change(DeletedObject(kind, name, self.revision))

    async def watch(
        self, kinds: Collection[str], since: int, timeout_s: float
    ) -> WatchOutcome:
        self.reads += 1
        if not await self._is_reachable():
            return StoreUnavailable("outage")
        if self.history and since < self.history[0].version - 1:
            return RevisionTooOld()

        def changes() -> tuple[Change, ...]:
            return tuple(
                change
                for change in self.history
                if change.version > since and change.kind in kinds
            )

        try:
            async with asyncio.timeout(timeout_s), self.changed:
                await self.changed.wait_for(
                    lambda: changes() or self.outage or self._is_restored_since(since)
                )
        except TimeoutError:
            pass
        if self.outage:
            return StoreUnavailable("outage")
        if self._is_restored_since(since):
            return RevisionTooOld()
        return WatchBatch(self.revision, changes())

    def take_copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(version_revision(self.revision), dict(self.objects))

    async def restore(self, copy: StoreCopy) -> None:
        """Begin a new era with the objects of a copy; revisions go back to its own."""
        era = version_era(self.revision) + 1
        self.revision = compose_version(era, copy.revision)
        self.objects = {
            key: replace(
                item, version=compose_version(era, version_revision(item.version))
            )
            for key, item in copy.objects.items()
        }
        self.history.clear()
        async with self.changed:
            self.changed.notify_all()

    async def set_outage(self, outage: bool) -> None:
        """Start or end an outage; its start fails the watches that wait."""
        self.outage = outage
        async with self.changed:
            self.changed.notify_all()

    def _is_restored_since(self, version: int) -> bool:
        return version_era(version) != version_era(self.revision)

    def _version(self, kind: str, name: str) -> int:
        current = self.objects.get((kind, name))
        return current.version if current else 0

    async def _is_reachable(self) -> bool:
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        return not self.outage

    async def _record_change(self, change: Change) -> WriteOutcome:
        self.history.append(change)
        async with self.changed:
            self.changed.notify_all()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return WriteUnknown("answer lost")
        return Written(change.version)
