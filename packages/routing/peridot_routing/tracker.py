"""Track attempts in flight, so that a slice closes only when they have ended."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from time import monotonic

from peridot_placement.ledger import BusyRange
from peridot_placement.permits import LocalTables
from peridot_placement.slices import HashRange


@dataclass(eq=False)
class Flight:
    """Name one attempt that a target may be running, while open or until a time."""

    service: str
    key_hash: int
    target: str
    lingers_until: float = float("inf")


@dataclass
class FlightTracker:
    """Hold the attempts of services divided by key."""

    flights: set[Flight] = field(default_factory=set)

    @contextmanager
    def track(self, service: str, key_hash: int, target: str) -> Iterator[Flight]:
        """Count an attempt as in flight while the context lasts."""
        flight = Flight(service, key_hash, target)
        self.flights.add(flight)
        try:
            yield flight
        finally:
            if flight.lingers_until == float("inf"):
                self.flights.discard(flight)

    def forget_target(self, target: str) -> None:
        """Drop the lingering attempts of a target whose process is gone."""
        now = monotonic()
        for flight in list(self.flights):
            if flight.target == target and flight.lingers_until != float("inf"):
                flight.lingers_until = now

    def busy_ranges(self, tables: LocalTables) -> list[BusyRange]:
        """Return what is in flight against the current tables."""
        now = monotonic()
        ended = {flight for flight in self.flights if flight.lingers_until <= now}
        self.flights -= ended
        return [
            BusyRange(flight.service, HashRange(flight.key_hash, flight.key_hash + 1))
            for flight in self.flights
            if tables.settled_owner(flight.service, flight.key_hash) != flight.target
        ]
