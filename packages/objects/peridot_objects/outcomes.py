"""Outcomes of calls to the object API."""

from dataclasses import dataclass


@dataclass(frozen=True)
class StoredObject:
    """An object with its JSON value; its version is the revision that wrote it.

    Versions rise with each change, also when the store is restored from a backup.
    """

    kind: str
    name: str
    version: int
    value: bytes


@dataclass(frozen=True)
class DeletedObject:
    """A deletion of an object; its version is the revision that deleted it."""

    kind: str
    name: str
    version: int


Change = StoredObject | DeletedObject


@dataclass(frozen=True)
class Listing:
    """All objects of the requested kinds at a revision."""

    revision: int
    objects: tuple[StoredObject, ...]
    # Why further objects can't be read, not even their names.
    unreadable: tuple[str, ...] = ()


@dataclass(frozen=True)
class WatchBatch:
    """The changes up to a revision, oldest first."""

    revision: int
    changes: tuple[Change, ...]
    # Why further changes can't be read, not even the names of their objects.
    unreadable: tuple[str, ...] = ()


@dataclass(frozen=True)
class RevisionTooOld:
    """The changes since the revision can't be told: list again.

    The history doesn't reach back to it, was restored, or has a change that can't be
    told from others.
    """


@dataclass(frozen=True)
class Missing:
    """No such object is stored, in the store's present era."""

    era: int = 0


@dataclass(frozen=True)
class Written:
    """A write or deletion succeeded and produced this version."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """The stored version isn't the expected one; 0 means that there is none."""

    current_version: int


@dataclass(frozen=True)
class Rejected:
    """The object API refused the value as invalid or too large."""

    reason: str


@dataclass(frozen=True)
class StoreUnavailable:
    """A read failed, or a write failed and certainly had no effect."""

    reason: str


@dataclass(frozen=True)
class WriteUnknown:
    """A write may or may not have taken effect."""

    reason: str


ReadOutcome = StoredObject | Missing | StoreUnavailable
ListOutcome = Listing | StoreUnavailable
WatchOutcome = WatchBatch | RevisionTooOld | StoreUnavailable
WriteOutcome = Written | Conflict | Rejected | StoreUnavailable | WriteUnknown
