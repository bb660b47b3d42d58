"""Owners: this VM's view of which target owns which keys."""

from bisect import bisect_right
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from peridot_placement.signals import ChangeSignal


@dataclass(frozen=True)
class OwnerTable:
    """The owner of each key range of one service; an empty string for none."""

    starts: tuple[int, ...]
    owners: tuple[str, ...]

    def find(self, key: int) -> str:
        """Return the owner of a key, or an empty string."""
        return self.owners[bisect_right(self.starts, key) - 1]


@dataclass
class Owners:
    """The newest owner tables that a placer sent, by service."""

    term: int = 0
    sequence: int = 0
    tables: dict[str, OwnerTable] = field(default_factory=dict)
    changed: ChangeSignal = field(default_factory=ChangeSignal)
    clock: Callable[[], float] = monotonic
    # Since when (s) ranges have had no owner, by service and start of the range.
    unowned_since: dict[tuple[str, int], float] = field(default_factory=dict)

    def update(self, term: int, sequence: int, tables: dict[str, OwnerTable]) -> bool:
        """Replace the tables unless newer ones are known; return whether it did."""
        if (term, sequence) <= (self.term, self.sequence):
            return False
        now = self.clock()
        self.unowned_since = {
            (service, start): self._find_unowned_since(service, start, now)
            for service, table in tables.items()
            for start, owner in zip(table.starts, table.owners, strict=True)
            if not owner
        }
        self.term, self.sequence, self.tables = term, sequence, tables
        self.changed.notify()
        return True

    def find(self, service: str, key: int) -> str:
        """Return the owner of a key, or an empty string."""
        table = self.tables.get(service)
        return table.find(key) if table is not None else ""

    def unowned_s(self, service: str, key: int) -> float:
        """Return for how long a key has had no owner (s); 0 if it has one."""
        table = self.tables.get(service)
        if table is None or table.find(key):
            return 0.0
        start = table.starts[bisect_right(table.starts, key) - 1]
        return self.clock() - self.unowned_since.get((service, start), self.clock())

    def _find_unowned_since(self, service: str, start: int, now: float) -> float:
        """Return since when the keys at a start have had no owner."""
        table = self.tables.get(service)
        if table is None or table.find(start):
            return now
        previous_start = table.starts[bisect_right(table.starts, start) - 1]
        return self.unowned_since.get((service, previous_start), now)
