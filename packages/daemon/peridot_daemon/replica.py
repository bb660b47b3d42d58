"""Replica of the stored objects that this VM serves by; versions only rise."""

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
    """Hold objects by kind and name, and what was parsed from them."""

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
    invalid_objects: set[tuple[str, str]] = field(default_factory=set)
    changed: ChangeSignal = field(default_factory=ChangeSignal)

    @property
    def loaded(self) -> bool:
        """Tell whether any configuration has been taken in."""
        return self.revision > 0

    @property
    def age_s(self) -> float:
        """Return the seconds since the revision was last known to be current."""
        return monotonic() - self.confirmed_at

    def take_listing(self, listing: Listing) -> None:
        """Take in a full state; what it lacks was deleted before its revision."""
        if listing.revision < self.revision:
            self.reverts_refused += 1
            return
        listed = {(item.kind, item.name) for item in listing.objects}
        gone = [
            DeletedObject(item.kind, item.name, listing.revision)
            for key, item in self.objects.items()
            if key not in listed and isinstance(item, StoredObject)
        ]
        self.take(listing.revision, (*listing.objects, *gone))

    def take(
        self, revision: int, changes: Iterable[Change], age_s: float = 0.0
    ) -> None:
        """Take in changes up to a revision; older versions are refused."""
        if revision < self.revision:
            self.reverts_refused += 1
            return
        touched = [change for change in changes if self._store(change)]
        self.revision = revision
        self.confirmed_at = max(self.confirmed_at, monotonic() - age_s)
        if any(change.kind in CONFIGURATION_KINDS for change in touched):
            self._rebuild_catalog()
        for change in touched:
            self._take_placement(change)
        if touched:
            self.changed.notify()

    def take_vms(self, vms: tuple[VmRecord, ...]) -> None:
        """Take in the platform's VM list."""
        if vms != self.vms:
            self.vms = vms
            self.changed.notify()

    def changes_since(self, revision: int) -> list[Change]:
        """Return the last change of each object touched after a revision."""
        changes = [item for item in self.objects.values() if item.version > revision]
        return sorted(changes, key=lambda item: item.version)

    def stored(self, kind: str, name: str) -> StoredObject | None:
        """Return a stored object."""
        found = self.objects.get((kind, name))
        return found if isinstance(found, StoredObject) else None

    def _store(self, change: Change) -> bool:
        key = (change.kind, change.name)
        known = self.objects.get(key)
        if known is not None and known.version >= change.version:
            return False
        self.objects[key] = change
        return True

    def _rebuild_catalog(self) -> None:
        parts: dict[str, dict] = {"services": {}, "targets": {}, "policies": {}}
        previous = self.catalog
        self.invalid_objects.clear()
        revision = 0
        for (kind, name), item in self.objects.items():
            if kind not in PARSERS:
                continue
            revision = max(revision, item.version)
            if isinstance(item, StoredObject):
                self._parse_into(parts, previous, kind, name, item)
        self.catalog = Catalog(revision, **parts)
        self.log.write("configuration_applied", revision=revision)

    def _parse_into(
        self, parts: dict, previous: Catalog, kind: str, name: str, item: StoredObject
    ) -> None:
        """Parse an object; keep its last good form if it is broken."""
        part, parse = PARSERS[kind]
        try:
            parts[part][name] = parse(name, load_spec(item))
        except InvalidObject as error:
            self.invalid_objects.add((kind, name))
            self.log.write("object_refused", kind=kind, name=name, reason=error)
            kept = getattr(previous, part).get(name)
            if kept is not None:
                parts[part][name] = kept

    def _take_placement(self, change: Change) -> None:
        if isinstance(change, DeletedObject):
            return
        if change.kind == Kind.HOME:
            self.homes[change.name] = parse_home(change.value)
        elif change.kind == Kind.ASSIGNMENT:
            self.assignments[change.name] = parse_assignment(change.value)


def load_spec(item: StoredObject) -> dict:
    """Return the spec in a stored resource; raise InvalidObject."""
    try:
        return orjson.loads(item.value)["spec"]
    except (ValueError, KeyError, TypeError) as error:
        raise InvalidObject(f"{item.kind}/{item.name}: no spec") from error
