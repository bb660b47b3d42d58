"""Targets: those registered in the store, watched there or pushed by the placer."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import replace
from time import monotonic
from types import MappingProxyType

from peridot_gateway.dialect import Dialect, InvalidObject
from peridot_gateway.followers import ObjectWatcher
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import Change, DeletedObject, StoredObject
from peridot_objects.versions import version_era
from peridot_placement.decisions import DecisionLog
from peridot_resources.configuration import TargetInstance

# Wait after a watch, so that one call returns several changes.
BATCH_DELAY_S = 0.3
# Members that missed more changes than this are sent the list of all targets.
MAX_RECENT_CHANGES = 1_000
# After a restore of the store, targets write their entries again within about 2 s, and
# the store drops those of targets that are gone after three heartbeats.
RESTORE_GRACE_S = 4.0
NONE_LEAVING: Mapping[str, float] = MappingProxyType({})


class TargetSource(ObjectWatcher):
    """The targets registered in the store."""

    batch_delay_s = BATCH_DELAY_S

    def __init__(self, store: ObjectStore, dialect: Dialect, log: DecisionLog) -> None:
        super().__init__(store, dialect, log)
        self.kind = dialect.target_kind
        self.targets: dict[str, TargetInstance] = {}
        self.by_service: dict[str, list[TargetInstance]] = {}
        # Stored entries, invalid ones included, and versions of removed ones, by name.
        self.entries: dict[str, StoredObject] = {}
        self.removed_versions: dict[str, int] = {}
        # Era of the store, and until when (s) its entries may be missing or outdated.
        self.era = 0
        self.restored_until: float | None = None
        # The last changes, for members, and the number of all changes so far.
        self.recent_changes: deque[Change] = deque(maxlen=MAX_RECENT_CHANGES)
        self.change_count = 0
        self.push_active = False
        # Earliest time (s) at which leaving targets can have begun to leave, by name.
        self.leaving_since: dict[str, float] = {}
        # Start of the incarnations that announced in responses that they are leaving.
        self.announced_leaving: dict[str, int] = {}

    def of_service(self, service: str) -> list[TargetInstance]:
        """Return the targets of a service, leaving ones included."""
        return self.by_service.get(service, [])

    def is_address_reused(self, target: TargetInstance) -> bool:
        """Return whether a target that started later is registered at the address."""
        return any(
            other.address == target.address
            and other.name != target.name
            and other.started_ms > target.started_ms
            for other in self.targets.values()
        )

    def leaving_for_s(self, name: str) -> float:
        """Return for how long a target may have been leaving (s), 0 if it isn't."""
        since = self.leaving_since.get(name)
        return 0.0 if since is None else monotonic() - since

    def announce_leaving(
        self, name: str, started_ms: int, leaving_for_s: float = 0.0
    ) -> None:
        """Record that a target said itself that it is leaving, since a time (s) ago.

        It stays so whatever the store says, until another incarnation starts.
        """
        target = self.targets.get(name)
        if target is None or target.started_ms != started_ms or target.leaving:
            return
        self.announced_leaving[name] = started_ms
        self.targets[name] = replace(target, leaving=True)
        self.leaving_since[name] = monotonic() - leaving_for_s
        self.log.write("target_announced_leaving", target=name, started=started_ms)
        # Members of this VM learn of it like of a stored notice.
        self._record_change(self.entries[name])
        self._rebuild_index()
        self.changed.notify()

    # Changes pushed by the placer.

    def receives_pushes(self) -> bool:
        return self.push_active and self.get_confirmed_version() is not None

    def apply_pushed(
        self,
        changes: Iterable[Change],
        listed: bool,
        revision: int,
        age_s: float = 0.0,
        leaving_for_s: Mapping[str, float] = NONE_LEAVING,
    ) -> None:
        """Apply pushed entries: all targets if listed, else the changes since the last.

        The placer's view has an age (s); leaving_for_s says for how long targets have
        been leaving, by name.
        """
        now = monotonic()
        self.changes_not_before, self.current_at = (
            now,
            max(self.current_at, now - age_s),
        )
        if listed:
            self.replace_all(tuple(changes), revision)
            self.push_active = self.loaded = True
        elif self.push_active:
            for change in changes:
                self.apply(change)
        for name in leaving_for_s.keys() & self.targets.keys():
            started_ms = self.targets[name].started_ms
            self.announce_leaving(name, started_ms, leaving_for_s[name])
        for name in self.leaving_since.keys() & leaving_for_s.keys():
            since = now - leaving_for_s[name]
            self.leaving_since[name] = min(self.leaving_since[name], since)
        self.revision = max(self.revision, revision)
        self.changed.notify()

    def end_push(self) -> None:
        """End pushes when the placer's link ends: watch the store again."""
        self.push_active = False

    def changes_since(self, count: int) -> list[Change] | None:
        """Return the changes after the first count; None if some aren't kept."""
        missed = self.change_count - count
        if missed > len(self.recent_changes):
            return None
        return list(self.recent_changes)[len(self.recent_changes) - missed :]

    # Applying changes.

    def needs_list(self) -> bool:
        return self.restored_until is not None and not self._is_restoring()

    def replace_all(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        self._notice_restore(revision)
        if self.needs_list():
            self.restored_until = None
        listed = {item.name for item in objects}
        for name in set(self.entries) - listed:
            if self._is_restoring():
                # It is written again if the target lives; the next list shows it.
                continue
            if self.entries[name].version <= revision:
                self._remove_entry(DeletedObject(self.kind, name, revision))
        for item in objects:
            self._store_entry(item)
        self._rebuild_index()

    def _notice_restore(self, version: int) -> None:
        """Keep what is known for a while if a version is of a new era of the store."""
        era = version_era(version)
        if era <= self.era:
            return
        if self.loaded:
            self.restored_until = monotonic() + RESTORE_GRACE_S
            self.log.write("store_restored", kind=self.kind, era=era, before=self.era)
        self.era = era

    def _is_restoring(self) -> bool:
        return self.restored_until is not None and monotonic() < self.restored_until

    def apply(self, change: Change) -> None:
        self._notice_restore(change.version)
        if isinstance(change, DeletedObject):
            self._remove_entry(change)
        else:
            self._store_entry(change)
        self._rebuild_index()

    def _store_entry(self, item: StoredObject) -> None:
        stored = self.entries.get(item.name)
        version = stored.version if stored else self.removed_versions.get(item.name, 0)
        if item.version <= version:
            # Pushed and watched changes may arrive out of order.
            return
        if (
            self._is_restoring()
            and item.name in self.removed_versions
            and not self.push_active
        ):
            # The copy is older than the removal; the next list shows if it was undone.
            return
        self.entries[item.name] = item
        self.removed_versions.pop(item.name, None)
        self._record_change(item)
        try:
            target = self.dialect.parse_target(item.name, item.value)
        except InvalidObject as error:
            self.invalid_objects += 1
            self.log.write("target_invalid", target=item.name, reason=error)
            self.targets.pop(item.name, None)
            self.leaving_since.pop(item.name, None)
            return
        previous = self.targets.get(item.name)
        if previous is not None and self._is_restoring():
            target = keep_leaving(previous, target)
        if self.announced_leaving.get(item.name) == target.started_ms:
            target = replace(target, leaving=True)
        else:
            self.announced_leaving.pop(item.name, None)
        self._track_leaving(target)
        self.targets[item.name] = target
        if previous is None or (previous.leaving, previous.started_ms) != (
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
                told_by="placer" if self.push_active else "store",
                age_before=round(self.previous_age_s, 2),
            )

    def _track_leaving(self, target: TargetInstance) -> None:
        if target.leaving:
            self.leaving_since.setdefault(target.name, self.changes_not_before)
        else:
            self.leaving_since.pop(target.name, None)

    def _remove_entry(self, change: DeletedObject) -> None:
        stored = self.entries.get(change.name)
        if stored is None or change.version < stored.version:
            return
        del self.entries[change.name]
        self.leaving_since.pop(change.name, None)
        self.announced_leaving.pop(change.name, None)
        self.removed_versions[change.name] = max(change.version, stored.version)
        self._record_change(change)
        if self.targets.pop(change.name, None) is not None:
            self.log.write(
                "target_removed", target=change.name, revision=change.version
            )

    def _record_change(self, change: Change) -> None:
        self.recent_changes.append(change)
        self.change_count += 1

    def _rebuild_index(self) -> None:
        by_service: dict[str, list[TargetInstance]] = {}
        for target in self.targets.values():
            by_service.setdefault(target.service, []).append(target)
        self.by_service = by_service


def keep_leaving(previous: TargetInstance, restored: TargetInstance) -> TargetInstance:
    """Return a restored target, leaving if the same incarnation was known to leave."""
    if restored.started_ms != previous.started_ms or not previous.leaving:
        return restored
    return replace(restored, leaving=True)
