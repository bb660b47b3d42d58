"""Outcomes of the operators' actions, one for each resource, and their errors."""

from dataclasses import dataclass


class InvalidReply(Exception):
    """Raised for a reply of a daemon's admin pages that isn't of the expected form."""


@dataclass(frozen=True)
class Applied:
    """A resource was created, changed or deleted, would be, or is as declared."""

    kind: str
    name: str
    action: str
    version: int
    difference: str = ""


@dataclass(frozen=True)
class Conflicted:
    """Another operator changed the resource at the same time; it wasn't written."""

    kind: str
    name: str
    difference: str


@dataclass(frozen=True)
class Failed:
    """The action was refused or the object API unavailable; nothing changed."""

    kind: str
    name: str
    reason: str


@dataclass(frozen=True)
class OutcomeUnknown:
    """The response to a write was lost, and no read showed that it took effect."""

    kind: str
    name: str
    reason: str


ActionOutcome = Applied | Conflicted | Failed | OutcomeUnknown
