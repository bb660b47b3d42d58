"""Meter of the time in which requests of a service waited for an owner."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from time import monotonic


@dataclass
class OutageMeter:
    """Add up the time in which at least one request waited."""

    waiting: int = 0
    since: float = 0.0
    total_s: float = 0.0

    @contextmanager
    def wait(self) -> Iterator[None]:
        """Count a request as waiting while the context lasts."""
        if not self.waiting:
            self.since = monotonic()
        self.waiting += 1
        try:
            yield
        finally:
            self.waiting -= 1
            if not self.waiting:
                self.total_s += monotonic() - self.since

    def seconds(self) -> float:
        """Return the time so far, a standing wait included."""
        standing = monotonic() - self.since if self.waiting else 0.0
        return self.total_s + standing
