"""Outcomes of the operators' actions."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Applied:
    """Tell that a resource was created, changed or already as declared."""

    kind: str
    name: str
    action: str
    version: int
    difference: str = ""


@dataclass(frozen=True)
class Raced:
    """Tell that another operator changed a resource at the same time."""

    kind: str
    name: str
    difference: str


@dataclass(frozen=True)
class Failed:
    """Tell that the object API refused a call or was away."""

    kind: str
    name: str
    reason: str


@dataclass(frozen=True)
class Uncertain:
    """Tell that a write's answer was lost and it couldn't be read back."""

    kind: str
    name: str
    reason: str


ActionOutcome = Applied | Raced | Failed | Uncertain
