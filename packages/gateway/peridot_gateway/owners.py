"""Owners: this VM's view of which target owns which keys."""

from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from time import monotonic

from peridot_ownership.ranges import KEY_SPACE
from peridot_placement.signals import ChangeSignal

# Replaced tables are kept for this long and up to this number, to see whether a key has
# moved since a time. Few requests last longer.
KEPT_REPLACED_S = 10.0
KEPT_REPLACED_TABLES = 256
# A move away and back takes this many changes of the tables and at least this long (s);
# one update that contains as much shows only their result.
HIDDEN_MOVES_CHANGES = 4
HIDDEN_MOVES_S = 0.3


class PatchMismatch(ConnectionError):
    """Raised for changes of other tables than the present ones: get all tables."""


@dataclass(frozen=True)
class OwnerTable:
    """The owner of each key range of one service; an empty string for none."""

    starts: tuple[int, ...]
    owners: tuple[str, ...]

    def find(self, key: int) -> str:
        """Return the owner of a key, or an empty string."""
        return self.owners[bisect_right(self.starts, key) - 1]


@dataclass(frozen=True)
class OwnerChange:
    """The new owner of the keys from start to end - 1; an empty string for none."""

    start: int
    end: int
    owner: str


def diff_tables(old: OwnerTable, new: OwnerTable) -> list[OwnerChange]:
    """Return the changes that turn one table into another."""
    changes: list[OwnerChange] = []
    starts = sorted({*old.starts, *new.starts})
    for start, end in zip(starts, [*starts[1:], KEY_SPACE], strict=True):
        owner = new.find(start)
        if old.find(start) == owner:
            continue
        last = changes[-1] if changes else None
        if last is not None and (last.end, last.owner) == (start, owner):
            changes[-1] = replace(last, end=end)
        else:
            changes.append(OwnerChange(start, end, owner))
    return changes


def patch_table(table: OwnerTable, changes: Iterable[OwnerChange]) -> OwnerTable:
    """Return a table with changes applied; adjacent ranges of an owner are merged."""
    starts, owners = list(table.starts), list(table.owners)
    for change in changes:
        first, last = (bisect_left(starts, key) for key in (change.start, change.end))
        new_starts, new_owners = [change.start], [change.owner]
        if change.end < KEY_SPACE and starts[last : last + 1] != [change.end]:
            new_starts.append(change.end)
            new_owners.append(owners[last - 1])
        starts[first:last], owners[first:last] = new_starts, new_owners
    kept = [
        index
        for index, owner in enumerate(owners)
        if index == 0 or owner != owners[index - 1]
    ]
    return OwnerTable(
        tuple(starts[index] for index in kept), tuple(owners[index] for index in kept)
    )


@dataclass(frozen=True)
class ReplacedTables:
    """Owner tables, by service, and when newer ones replaced them (s)."""

    tables: dict[str, OwnerTable]
    replaced_at: float
    # Whether keys may have moved away and back until then.
    may_hide_moves: bool


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
    # When the present tables came (s).
    updated_at: float = float("-inf")
    # The last tables before them, oldest first.
    replaced: deque[ReplacedTables] = field(
        default_factory=lambda: deque(maxlen=KEPT_REPLACED_TABLES)
    )

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
        self._keep_replaced(term, sequence, now)
        self.term, self.sequence, self.tables = term, sequence, tables
        self.updated_at = now
        self.changed.notify()
        return True

    def patch(
        self,
        term: int,
        sequence: int,
        patched_sequence: int,
        patches: dict[str, list[OwnerChange]],
    ) -> None:
        """Apply changes to the tables of a sequence; raise PatchMismatch for others."""
        if (term, patched_sequence) != (self.term, self.sequence):
            raise PatchMismatch(
                f"has {self.term}.{self.sequence}, got {term}.{patched_sequence}"
            )
        tables = {
            service: patch_table(table, patches[service])
            if patches.get(service)
            else table
            for service, table in self.tables.items()
        }
        self.update(term, sequence, tables)

    def find(self, service: str, key: int) -> str:
        """Return the owner of a key, or an empty string."""
        table = self.tables.get(service)
        return table.find(key) if table is not None else ""

    def _keep_replaced(self, term: int, sequence: int, now: float) -> None:
        """Keep the tables that an update replaces; forget the oldest ones."""
        may_hide_moves = term != self.term or (
            sequence - self.sequence >= HIDDEN_MOVES_CHANGES
            and now - self.updated_at >= HIDDEN_MOVES_S
        )
        self.replaced.append(ReplacedTables(self.tables, now, may_hide_moves))
        while self.replaced[0].replaced_at < now - KEPT_REPLACED_S:
            self.replaced.popleft()

    def has_moved_since(self, service: str, key: int, since: float) -> bool:
        """Return whether a key may have had other owners, or none, since a time (s)."""
        owner = self.find(service, key)
        for item in reversed(self.replaced):
            if item.replaced_at < since:
                return False
            table = item.tables.get(service)
            if item.may_hide_moves or table is None or table.find(key) != owner:
                return True
        is_full = len(self.replaced) == KEPT_REPLACED_TABLES
        return is_full or since < self.clock() - KEPT_REPLACED_S

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
