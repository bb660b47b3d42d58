"""Evacuations: the zones whose targets get no requests, as listed in the store."""

from collections.abc import Callable, Iterable
from time import monotonic

from peridot_gateway.dialect import Dialect
from peridot_gateway.followers import ObjectWatcher
from peridot_gateway.targets import RESTORE_GRACE_S
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import Change, DeletedObject, StoredObject
from peridot_objects.versions import version_era
from peridot_placement.decisions import DecisionLog
from peridot_resources.configuration import TargetInstance

# Without a confirming state of the placer for this time (s), a VM watches the store
# itself. Together with the first response it must know of an evacuation within 2 s.
PUSH_TIMEOUT_S = 1.0
# An evacuation may be known to the placer this much later (s) than it was stored, while
# its watch is on a dead connection.
NOTICE_DELAY_S = 1.5
# From the choice of a target to the arrival of the request there (s).
ARRIVAL_MARGIN_S = 0.7


class Evacuations(ObjectWatcher):
    """The evacuated zones; an object's name is the zone, and its value isn't read."""

    def __init__(
        self,
        store: ObjectStore,
        dialect: Dialect,
        log: DecisionLog,
        evacuate_s: float,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        super().__init__(store, dialect, log)
        self.kind = dialect.evacuation_kind
        # No request may arrive this long after an evacuation was stored (s).
        self.evacuate_s = evacuate_s
        self.clock = clock
        # Version of the object by zone, and the earliest time at which it was stored.
        self.versions: dict[str, int] = {}
        self.since: dict[str, float] = {}
        # Called with a zone whose evacuation has ended.
        self.handle_end: Callable[[str], None] = lambda zone: None
        self.era = 0
        self.restored_until: float | None = None
        self.pushed_at = float("-inf")

    @property
    def zones(self) -> list[str]:
        """Return the evacuated zones."""
        return list(self.versions)

    @property
    def confirmed_revision(self) -> int:
        """Return the revision of the list, 0 if the store doesn't confirm it here."""
        confirmed = self.loaded and self.reachable and not self.receives_pushes()
        return self.revision if confirmed else 0

    def evacuated_for_s(self, target: TargetInstance) -> float | None:
        """Return for how long a target's zone may have been evacuated (s), or None."""
        since = self.since.get(target.data_centre)
        return None if since is None else max(0.0, self.clock() - since)

    def is_evacuated(self, target: TargetInstance) -> bool:
        """Return whether a target's zone is evacuated."""
        return target.data_centre in self.since

    def overdue_s(self, target: TargetInstance) -> float:
        """Return for how long (s) an owner has got no more requests; negative if it
        may still get them until its keys have moved.
        """
        evacuated_for_s = self.evacuated_for_s(target)
        if evacuated_for_s is None:
            return float("-inf")
        return evacuated_for_s - max(0.0, self.evacuate_s - ARRIVAL_MARGIN_S)

    # The list that the placer pushes.

    def receives_pushes(self) -> bool:
        return self.clock() - self.pushed_at < PUSH_TIMEOUT_S

    def apply_pushed(self, listed: bool, zones: Iterable[str], revision: int) -> None:
        """Apply the placer's list, if it can confirm one that isn't older."""
        if not listed or not revision or revision < self.revision:
            return
        self._notice_restore(revision)
        now = self.clock()
        self.changes_not_before = max(self.pushed_at, self.current_at) - NOTICE_DELAY_S
        self.pushed_at = self.current_at = now
        self._replace(dict.fromkeys(zones, revision), revision)
        self.revision, self.loaded = revision, True
        self.changed.notify()

    def end_push(self) -> None:
        """End pushes when the link to the placer ends: watch the store again."""
        if self.pushed_at > float("-inf"):
            # The list is confirmed again by the next response of the store.
            self.pushed_at = float("-inf")
            self.reachable = False

    # The list in the store.

    def needs_list(self) -> bool:
        return self.restored_until is not None and self.clock() >= self.restored_until

    def replace_all(self, objects: tuple[StoredObject, ...], revision: int) -> None:
        self._notice_restore(revision)
        self._replace({item.name: item.version for item in objects}, revision)

    def apply(self, change: Change) -> None:
        self._notice_restore(change.version)
        if change.version <= self.versions.get(change.name, 0):
            return
        if isinstance(change, DeletedObject):
            self._remove(change.name)
        else:
            self._add(change.name, change.version)

    def _replace(self, versions: dict[str, int], revision: int) -> None:
        for zone in self.versions.keys() - versions.keys():
            if self.versions[zone] <= revision:
                self._remove(zone)
        for zone, version in versions.items():
            self._add(zone, version)
        if self.needs_list():
            self.restored_until = None

    def _add(self, zone: str, version: int) -> None:
        if zone not in self.versions:
            now = self.clock()
            self.since[zone] = max(self.changes_not_before, now - self.evacuate_s)
            self.log.write(
                "evacuation_begun",
                zone=zone,
                revision=version,
                told_by="placer" if self.receives_pushes() else "store",
                age=round(now - self.since[zone], 2),
            )
        self.versions[zone] = max(version, self.versions.get(zone, 0))

    def _remove(self, zone: str) -> None:
        if zone not in self.versions or self._is_restoring():
            # A restored copy may be older than the object; the list after the time of
            # grace shows whether it was removed.
            return
        del self.versions[zone]
        lasted_s = self.clock() - self.since.pop(zone)
        self.log.write("evacuation_ended", zone=zone, lasted=round(lasted_s, 2))
        self.handle_end(zone)

    def _notice_restore(self, version: int) -> None:
        era = version_era(version)
        if era > self.era:
            if self.loaded:
                self.restored_until = self.clock() + RESTORE_GRACE_S
                self.log.write("store_restored", kind=self.kind, era=era)
            self.era = era

    def _is_restoring(self) -> bool:
        return self.restored_until is not None and self.clock() < self.restored_until
