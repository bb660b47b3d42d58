"""Errors of the resources layer."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ManifestError:
    """Tell where a manifest is wrong and why; lines count from 1."""

    file: str
    line: int
    field: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.field}: {self.reason}"


class InvalidManifests(Exception):
    """Carry every error found in a set of manifests."""

    def __init__(self, errors: list[ManifestError]) -> None:
        super().__init__("\n".join(str(error) for error in errors))
        self.errors = errors


class InvalidObject(Exception):
    """Report a stored object that can't be used as a resource."""
