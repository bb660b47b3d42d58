"""Measure the time in which requests of a service wait for an owner of their slice."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from time import monotonic


@dataclass
class OwnerWaitMeter:
    """The total time in which at least one request waited."""

    waiting: int = 0
    waiting_since: float = 0.0
    finished_s: float = 0.0

    @contextmanager
    def track_wait(self) -> Iterator[None]:
        """Count a request as waiting while the context lasts."""
        if not self.waiting:
            self.waiting_since = monotonic()
        self.waiting += 1
        try:
            yield
        finally:
            self.waiting -= 1
            if not self.waiting:
                self.finished_s += monotonic() - self.waiting_since

    def total_s(self) -> float:
        """Return the total time, including a wait that still lasts."""
        current_s = monotonic() - self.waiting_since if self.waiting else 0.0
        return self.finished_s + current_s
