"""Sources: follow the configuration and the targets in the object store."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from time import monotonic

from peridot_gateway.dialect import Dialect, InvalidObject
from peridot_gateway.routes import RouteIndex
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import (
    Change,
    DeletedObject,
    Listing,
    RevisionTooOld,
    StoredObject,
    StoreUnavailable,
    WatchOutcome,
)
from peridot_placement.decisions import DecisionLog
from peridot_placement.signals import ChangeSignal
from peridot_resources.configuration import Configuration, ServingTarget

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
# Changes that come together are fetched together, to save calls.
GATHER_TARGETS_S = 0.3


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
        self.changed = ChangeSignal()

    @abstractmethod
    def replace_all(self, objects: tuple[StoredObject, ...]) -> None:
        """Take in a complete list."""

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
        self.replace_all(outcome.objects)
        self.loaded = True
        self.changed.notify()
        return True

    async def _watch(self) -> bool:
        """Return whether the watch can go on; if not, list again."""
        outcome = await self._wait_for_changes()
        if outcome is None:
            return True
        if isinstance(outcome, RevisionTooOld):
            self.log.write("history_gone", kind=self.kind, revision=self.revision)
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

    async def _watch_while_vouched(self, watching: asyncio.Task) -> WatchOutcome | None:
        began = monotonic()
        current_at = began
        while True:
            await asyncio.wait([watching], timeout=VOUCH_CHECK_S)
            if watching.done():
                return watching.result()
            now = monotonic()
            if self.vouched() is None:
                if now >= began + WATCH_S:
                    return None
            elif not self._is_behind():
                current_at = self.heard_at = now
            if now >= current_at + BEHIND_S and self._is_behind():
                self.log.write("watch_behind", kind=self.kind, revision=self.revision)
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
            self.log.write(event, kind=self.kind, reason=reason, revision=self.revision)
        self.reachable = reachable
        if reachable:
            self.heard_at = monotonic()


class ConfigurationSource(Follower):
    """Hold the newest configuration that was seen; it never reverts."""

    def __init__(self, store: ObjectStore, dialect: Dialect, log: DecisionLog) -> None:
        super().__init__(store, dialect, log)
        self.kind = dialect.configuration_kind
        self.index = RouteIndex(Configuration())

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force; version 0 if there is none yet."""
        return self.index.configuration

    def replace_all(self, objects: tuple[StoredObject, ...]) -> None:
        for item in objects:
            self.take(item)

    def take(self, change: Change) -> None:
        if change.name != self.dialect.configuration_name:
            return
        if isinstance(change, DeletedObject):
            self.log.write("configuration_deleted", kept=self.configuration.version)
            return
        try:
            found = self.dialect.parse_configuration(change.value)
        except InvalidObject as error:
            self.log.write(
                "configuration_invalid", reason=error, kept=self.configuration.version
            )
            return
        if found.version <= self.configuration.version:
            return
        self.log.write(
            "configuration",
            version=found.version,
            before=self.configuration.version,
            routes=len(found.routes),
            revision=change.version,
        )
        self.index = RouteIndex(found)


class TargetSource(Follower):
    """Hold the targets that announced themselves."""

    gather_s = GATHER_TARGETS_S

    def __init__(self, store: ObjectStore, dialect: Dialect, log: DecisionLog) -> None:
        super().__init__(store, dialect, log)
        self.kind = dialect.target_kind
        self.targets: dict[str, ServingTarget] = {}
        self.by_service: dict[str, list[ServingTarget]] = {}

    def of_service(self, service: str) -> list[ServingTarget]:
        """Return the targets of a service, leaving ones included."""
        return self.by_service.get(service, [])

    def is_address_reused(self, target: ServingTarget) -> bool:
        """Tell whether a target that started later announces the same address."""
        return any(
            other.address == target.address
            and other.name != target.name
            and other.started_ms > target.started_ms
            for other in self.targets.values()
        )

    def replace_all(self, objects: tuple[StoredObject, ...]) -> None:
        for name in set(self.targets) - {item.name for item in objects}:
            self._remove(name)
        for item in objects:
            self.take(item)
        self._index()

    def take(self, change: Change) -> None:
        if isinstance(change, DeletedObject):
            self._remove(change.name)
        else:
            self._put(change)
        self._index()

    def _put(self, item: StoredObject) -> None:
        try:
            target = self.dialect.parse_target(item.name, item.value)
        except InvalidObject as error:
            self.log.write("target_invalid", target=item.name, reason=error)
            self._remove(item.name)
            return
        before = self.targets.get(item.name)
        self.targets[item.name] = target
        if before is None or (before.leaving, before.started_ms) != (
            target.leaving,
            target.started_ms,
        ):
            self.log.write(
                "target",
                target=target.name,
                service=target.service,
                address=target.address,
                leaving=target.leaving,
                revision=item.version,
            )

    def _remove(self, name: str) -> None:
        if self.targets.pop(name, None) is not None:
            self.log.write("target_removed", target=name, revision=self.revision)

    def _index(self) -> None:
        by_service: dict[str, list[ServingTarget]] = {}
        for target in self.targets.values():
            by_service.setdefault(target.service, []).append(target)
        self.by_service = by_service
