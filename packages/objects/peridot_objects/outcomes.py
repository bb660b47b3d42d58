"""Outcomes of calls to the object API."""

from dataclasses import dataclass


@dataclass(frozen=True)
class StoredObject:
    """Hold an object's JSON value and the revision that wrote it."""

    kind: str
    name: str
    version: int
    value: bytes


@dataclass(frozen=True)
class DeletedObject:
    """Tell that an object went away at a revision."""

    kind: str
    name: str
    version: int


Change = StoredObject | DeletedObject


@dataclass(frozen=True)
class Listing:
    """Hold all objects of some kinds as they stood at a revision."""

    revision: int
    objects: tuple[StoredObject, ...]


@dataclass(frozen=True)
class WatchBatch:
    """Hold the changes up to a revision, oldest first."""

    revision: int
    changes: tuple[Change, ...]


@dataclass(frozen=True)
class RevisionTooOld:
    """Tell a watcher that it must list again."""


@dataclass(frozen=True)
class Missing:
    """Tell that no such object is stored."""


@dataclass(frozen=True)
class Written:
    """Tell the version that a write or deletion produced."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """Tell that another version than the expected one is stored; 0 is none."""

    current_version: int


@dataclass(frozen=True)
class Rejected:
    """Tell that the object API refused the value itself."""

    reason: str


@dataclass(frozen=True)
class StoreUnavailable:
    """Tell that a read failed, or that a write certainly had no effect."""

    reason: str


@dataclass(frozen=True)
class WriteUnknown:
    """Tell that a write may or may not have taken effect."""

    reason: str


ReadOutcome = StoredObject | Missing | StoreUnavailable
ListOutcome = Listing | StoreUnavailable
WatchOutcome = WatchBatch | RevisionTooOld | StoreUnavailable
WriteOutcome = Written | Conflict | Rejected | StoreUnavailable | WriteUnknown
