"""Replica of the stored objects on a VM that runs peridotd.

Revisions and object versions never decrease, in whatever order updates arrive.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from time import monotonic

import orjson

from peridot_objects.outcomes import Change, DeletedObject, Listing, StoredObject
from peridot_objects.vms import VmRecord
from peridot_placement.assignments import Assignment, parse_assignment, parse_home
from peridot_placement.decisions import DecisionLog
from peridot_placement.signals import ChangeSignal
from peridot_placement.slices import HomeTable
from peridot_resources.catalog import (
    CONFIGURATION_KINDS,
    Catalog,
    Kind,
    parse_policy,
    parse_service,
    parse_target,
)
from peridot_resources.errors import InvalidObject

WATCHED_KINDS = (*CONFIGURATION_KINDS, Kind.ASSIGNMENT, Kind.HOME, Kind.TERM)
PARSERS = {
    Kind.SERVICE: ("services", parse_service),
    Kind.TARGET: ("targets", parse_target),
    Kind.ROUTING_POLICY: ("policies", parse_policy),
}


@dataclass
class Replica:
    """Stored objects by kind and name, and the configuration parsed from them."""

    log: DecisionLog
    revision: int = 0
    objects: dict[tuple[str, str], Change] = field(default_factory=dict)
    catalog: Catalog = field(default_factory=Catalog)
    homes: dict[str, HomeTable] = field(default_factory=dict)
    assignments: dict[str, Assignment] = field(default_factory=dict)
    vms: tuple[VmRecord, ...] = ()
    from_store: bool = False
    confirmed_at: float = float("-inf")
    reverts_refused: int = 0
    # Number of times that an object couldn't be read or parsed.
    objects_refused: int = 0
    invalid_objects: set[tuple[str, str]] = field(default_factory=set)
    changed: ChangeSignal = field(default_factory=ChangeSignal)

    @property
    def loaded(self) -> bool:
        """Return whether any state has been received."""
        return self.revision > 0

    @property
    def age_s(self) -> float:
        """Return the time since the revision was last known to be current (s)."""
        return monotonic() - self.confirmed_at

    def apply_listing(self, listing: Listing) -> None:
        """Apply a full listing; objects missing from it count as deleted."""
        if listing.revision < self.revision:
            self.reverts_refused += 1
            return
        listed = {(item.kind, item.name) for item in listing.objects}
        deletions = [
            DeletedObject(item.kind, item.name, listing.revision)
            for key, item in self.objects.items()
            if key not in listed and isinstance(item, StoredObject)
        ]
        self.apply_changes(listing.revision, (*listing.objects, *deletions))

    def apply_changes(
        self, revision: int, changes: Iterable[Change], age_s: float = 0.0
    ) -> None:
        """Apply changes up to a revision that was current age_s ago (s).

        An older revision than the replica's, and older versions of objects, are
        ignored.
        """
        if revision < self.revision:
            self.reverts_refused += 1
            return
        applied = [change for change in changes if self._store_if_newer(change)]
        self.revision = revision
        self.confirmed_at = max(self.confirmed_at, monotonic() - age_s)
        if any(change.kind in CONFIGURATION_KINDS for change in applied):
            self._rebuild_catalog()
        for change in applied:
            self._apply_placement(change)
        if applied:
            self.changed.notify()

    def update_vms(self, vms: tuple[VmRecord, ...]) -> None:
        """Replace the platform's VM list."""
        if vms != self.vms:
            self.vms = vms
            self.changed.notify()

    def changes_since(self, revision: int) -> list[Change]:
        """Return the last change of each object that changed after a revision."""
        changes = [item for item in self.objects.values() if item.version > revision]
        return sorted(changes, key=lambda item: item.version)

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it is deleted or was never stored."""
        current = self.objects.get((kind, name))
        return current if isinstance(current, StoredObject) else None

    def _store_if_newer(self, change: Change) -> bool:
        key = (change.kind, change.name)
        current = self.objects.get(key)
        if current is not None and current.version >= change.version:
            return False
        self.objects[key] = change
        return True

    def _rebuild_catalog(self) -> None:
        resources: dict[str, dict] = {"services": {}, "targets": {}, "policies": {}}
        previous = self.catalog
        self.invalid_objects.clear()
        revision = 0
        for (kind, name), item in self.objects.items():
            if kind not in PARSERS:
                continue
            revision = max(revision, item.version)
            if isinstance(item, StoredObject):
                self._parse_resource(resources, previous, kind, name, item)
        self.catalog = Catalog(revision, **resources)
        self.log.write("configuration_applied", revision=revision)

    def _parse_resource(
        self,
        resources: dict,
        previous: Catalog,
        kind: str,
        name: str,
        item: StoredObject,
    ) -> None:
        """Parse an object into its section; if invalid, keep its last valid form."""
        section, parse = PARSERS[kind]
        try:
            resources[section][name] = parse(name, parse_spec(item))
        except InvalidObject as error:
            self.invalid_objects.add((kind, name))
            self._refuse(kind, name, error)
            last_valid = getattr(previous, section).get(name)
            if last_valid is not None:
                resources[section][name] = last_valid

    def _apply_placement(self, change: Change) -> None:
        if isinstance(change, DeletedObject):
            tables = {Kind.HOME: self.homes, Kind.ASSIGNMENT: self.assignments}
            tables.get(change.kind, {}).pop(change.name, None)
            return
        try:
            if change.kind == Kind.HOME:
                self.homes[change.name] = parse_home(change.value)
            elif change.kind == Kind.ASSIGNMENT:
                self.assignments[change.name] = parse_assignment(change.value)
        except InvalidObject as error:
            # The last valid form stays.
            self._refuse(change.kind, change.name, error)

    def _refuse(self, kind: str, name: str, error: InvalidObject) -> None:
        self.objects_refused += 1
        self.log.write("object_refused", kind=kind, name=name, reason=error)


def parse_spec(item: StoredObject) -> dict:
    """Return the spec in a stored resource; raise InvalidObject."""
    try:
        return orjson.loads(item.value)["spec"]
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidObject(f"{item.kind}/{item.name}: no valid spec") from error
