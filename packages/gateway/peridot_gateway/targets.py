"""Targets: those that announced themselves, from the store or from the placer."""

from collections import deque
from collections.abc import Iterable, Mapping
from time import monotonic
from types import MappingProxyType

from peridot_gateway.dialect import Dialect, InvalidObject
from peridot_gateway.followers import Follower
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import Change, DeletedObject, StoredObject
from peridot_placement.decisions import DecisionLog
from peridot_resources.configuration import ServingTarget

# Changes that come together are fetched together, to save calls.
GATHER_S = 0.3
# Members that missed more changes than this are told all targets.
KEPT_CHANGES = 1_000
NONE_LEAVING: Mapping[str, float] = MappingProxyType({})


class TargetSource(Follower):
    """Hold the targets that announced themselves."""

    gather_s = GATHER_S

    def __init__(self, store: ObjectStore, dialect: Dialect, log: DecisionLog) -> None:
        super().__init__(store, dialect, log)
        self.kind = dialect.target_kind
        self.targets: dict[str, ServingTarget] = {}
        self.by_service: dict[str, list[ServingTarget]] = {}
        # Entries as stored, unreadable ones included, and versions of removed ones.
        self.entries: dict[str, StoredObject] = {}
        self.removed: dict[str, int] = {}
        # The last changes, for members; the count of all numbers them.
        self.changes: deque[Change] = deque(maxlen=KEPT_CHANGES)
        self.change_count = 0
        self.feeding = False
        # Before which time (s) leaving targets can't have said so.
        self.leaving_since: dict[str, float] = {}

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

    def leaving_s(self, name: str) -> float:
        """Return how long ago a target may have said that it leaves (s), 0 if never."""
        since = self.leaving_since.get(name)
        return 0.0 if since is None else monotonic() - since

    # Told by the placer.

    def is_fed(self) -> bool:
        return self.feeding and self.vouched() is not None

    def feed(
        self,
        changes: Iterable[Change],
        listed: bool,
        revision: int,
        age_s: float = 0.0,
        leaving_s: Mapping[str, float] = NONE_LEAVING,
    ) -> None:
        """Take in what the placer tells: all targets, or changes since the last.

        Its view is so old, and some targets have been leaving for so long (s).
        """
        now = monotonic()
        self.news_since, self.heard_at = now, max(self.heard_at, now - age_s)
        if listed:
            self.replace_all(tuple(changes), revision)
            self.feeding = self.loaded = True
        elif self.feeding:
            for change in changes:
                self.take(change)
        for name in self.leaving_since.keys() & leaving_s.keys():
            since = now - leaving_s[name]
            self.leaving_since[name] = min(self.leaving_since[name], since)
        self.revision = max(self.revision, revision)
        self.changed.notify()

    def end_feed(self) -> None:
        """Take in that the placer's link ended: watch the store again."""
        self.feeding = False

    def changes_since(self, count: int) -> list[Change] | None:
        """Return the changes after a number of them; None if some aren't kept."""
        missed = self.change_count - count
        if missed > len(self.changes):
            return None
        return list(self.changes)[len(self.changes) - missed :]

    # Taking changes in.

    def replace_all(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        listed = {item.name for item in objects}
        for name in set(self.entries) - listed:
            if self.entries[name].version <= revision:
                self._remove(DeletedObject(self.kind, name, revision))
        for item in objects:
            self._put(item)
        self._index()

    def take(self, change: Change) -> None:
        if isinstance(change, DeletedObject):
            self._remove(change)
        else:
            self._put(change)
        self._index()

    def _put(self, item: StoredObject) -> None:
        known = self.entries.get(item.name)
        version = known.version if known else self.removed.get(item.name, 0)
        if item.version <= version:
            # Told and read changes may cross.
            return
        self.entries[item.name] = item
        self.removed.pop(item.name, None)
        self._record(item)
        try:
            target = self.dialect.parse_target(item.name, item.value)
        except InvalidObject as error:
            self.log.write("target_invalid", target=item.name, reason=error)
            self.targets.pop(item.name, None)
            self.leaving_since.pop(item.name, None)
            return
        self._note_leaving(target)
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
                told_by="placer" if self.feeding else "store",
                age_before=round(self.age_before_s, 2),
            )

    def _note_leaving(self, target: ServingTarget) -> None:
        if target.leaving:
            self.leaving_since.setdefault(target.name, self.news_since)
        else:
            self.leaving_since.pop(target.name, None)

    def _remove(self, change: DeletedObject) -> None:
        known = self.entries.get(change.name)
        if known is None or change.version < known.version:
            return
        del self.entries[change.name]
        self.leaving_since.pop(change.name, None)
        self.removed[change.name] = max(change.version, known.version)
        self._record(change)
        if self.targets.pop(change.name, None) is not None:
            self.log.write(
                "target_removed", target=change.name, revision=change.version
            )

    def _record(self, change: Change) -> None:
        self.changes.append(change)
        self.change_count += 1

    def _index(self) -> None:
        by_service: dict[str, list[ServingTarget]] = {}
        for target in self.targets.values():
            by_service.setdefault(target.service, []).append(target)
        self.by_service = by_service
