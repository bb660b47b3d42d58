"""Owners: this VM's view of who owns which keys."""

from bisect import bisect_right
from dataclasses import dataclass, field

from peridot_placement.signals import ChangeSignal


@dataclass(frozen=True)
class OwnerTable:
    """Hold the owner of each range of one service; empty while it has none."""

    starts: tuple[int, ...]
    owners: tuple[str, ...]

    def find(self, key: int) -> str:
        """Return the owner of a key, or an empty string."""
        return self.owners[bisect_right(self.starts, key) - 1]


@dataclass
class Owners:
    """Hold the newest tables that a placer sent."""

    term: int = 0
    sequence: int = 0
    tables: dict[str, OwnerTable] = field(default_factory=dict)
    changed: ChangeSignal = field(default_factory=ChangeSignal)

    def take(self, term: int, sequence: int, tables: dict[str, OwnerTable]) -> bool:
        """Take in tables unless newer ones are known; tell if they were taken."""
        if (term, sequence) <= (self.term, self.sequence):
            return False
        self.term, self.sequence, self.tables = term, sequence, tables
        self.changed.notify()
        return True

    def find(self, service: str, key: int) -> str:
        """Return the owner of a key, or an empty string."""
        table = self.tables.get(service)
        return table.find(key) if table is not None else ""
