"""Track attempts in flight: a slice may move only once those at its owner ended."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from time import monotonic

from peridot_placement.ledger import BusyRange
from peridot_placement.permits import LocalTables
from peridot_placement.slices import HashRange


@dataclass(eq=False)
class InFlightAttempt:
    """An attempt that a target may still be running."""

    service: str
    key_hash: int
    target: str
    # Infinite until the attempt ended with an unknown outcome.
    expires_at: float = float("inf")


@dataclass
class InFlightTracker:
    """The attempts in flight of services divided by key."""

    attempts: set[InFlightAttempt] = field(default_factory=set)

    @contextmanager
    def track(
        self, service: str, key_hash: int, target: str
    ) -> Iterator[InFlightAttempt]:
        """Count an attempt as in flight while the context lasts.

        If expires_at is set by then, it counts until that time.
        """
        attempt = InFlightAttempt(service, key_hash, target)
        self.attempts.add(attempt)
        try:
            yield attempt
        finally:
            if attempt.expires_at == float("inf"):
                self.attempts.discard(attempt)

    def expire_attempts(self, target: str) -> None:
        """Expire attempts of unknown outcome at a target whose process is gone."""
        now = monotonic()
        for attempt in list(self.attempts):
            if attempt.target == target and attempt.expires_at != float("inf"):
                attempt.expires_at = now

    def busy_ranges(self, tables: LocalTables) -> list[BusyRange]:
        """Return the hashes of attempts at targets that don't own them any more."""
        now = monotonic()
        expired = {attempt for attempt in self.attempts if attempt.expires_at <= now}
        self.attempts -= expired
        return [
            BusyRange(
                attempt.service, HashRange(attempt.key_hash, attempt.key_hash + 1)
            )
            for attempt in self.attempts
            if tables.settled_owner(attempt.service, attempt.key_hash) != attempt.target
        ]
