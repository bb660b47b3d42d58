"""Errors in manifests and stored resources."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ManifestError:
    """The position and reason of an error in a manifest; lines count from 1."""

    file: str
    line: int
    field: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.field}: {self.reason}"


class InvalidManifests(Exception):
    """Raised with every error found in a set of manifests."""

    def __init__(self, errors: list[ManifestError]) -> None:
        super().__init__("\n".join(str(error) for error in errors))
        self.errors = errors


class InvalidObject(Exception):
    """Raised for a stored object that isn't a valid resource."""
