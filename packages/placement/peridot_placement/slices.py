"""Slices of the hash space and who owns them, as sorted arrays."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from peridot_placement.hashing import HASH_SPACE

NOBODY = -1


@dataclass(frozen=True)
class HashRange:
    """Hold a range of hashes, the end not included."""

    start: int
    end: int


@dataclass(frozen=True)
class Slice:
    """Describe one slice: its range, owner and, while it moves, its next owner."""

    index: int
    range: HashRange
    owner: str | None
    next_owner: str | None

    @property
    def settled(self) -> bool:
        """Tell whether the slice has an owner and isn't moving."""
        return self.owner is not None and self.next_owner is None


@dataclass
class SliceTable:
    """Hold the slices of one service as parallel arrays, sorted by start."""

    targets: list[str] = field(default_factory=list)
    starts: array = field(default_factory=lambda: array("Q", [0]))
    owners: array = field(default_factory=lambda: array("i", [NOBODY]))
    next_owners: array = field(default_factory=lambda: array("i", [NOBODY]))

    def __len__(self) -> int:
        return len(self.starts)

    def __iter__(self) -> Iterator[Slice]:
        return (self.slice_at(index) for index in range(len(self.starts)))

    def copy(self) -> "SliceTable":
        """Return an independent copy."""
        return SliceTable(
            list(self.targets), self.starts[:], self.owners[:], self.next_owners[:]
        )

    def find(self, key_hash: int) -> int:
        """Return the index of the slice that holds a hash."""
        return bisect_right(self.starts, key_hash) - 1

    def settled_owner(self, key_hash: int) -> str | None:
        """Return the owner of a hash, or None if nobody owns it or it moves."""
        index = self.find(key_hash)
        if self.next_owners[index] != NOBODY or self.owners[index] == NOBODY:
            return None
        return self.targets[self.owners[index]]

    def slice_at(self, index: int) -> Slice:
        """Return the slice with an index."""
        return Slice(
            index,
            self.range_at(index),
            self._name(self.owners[index]),
            self._name(self.next_owners[index]),
        )

    def range_at(self, index: int) -> HashRange:
        """Return the range of the slice with an index."""
        last = index + 1 == len(self.starts)
        return HashRange(
            self.starts[index], HASH_SPACE if last else self.starts[index + 1]
        )

    def ranges_owned_by(self, target: str) -> tuple[HashRange, ...]:
        """Return the settled ranges of a target, neighbours joined."""
        if target not in self.targets:
            return ()
        wanted = self.targets.index(target)
        ranges: list[HashRange] = []
        for index, owner in enumerate(self.owners):
            if owner != wanted or self.next_owners[index] != NOBODY:
                continue
            found = self.range_at(index)
            if ranges and ranges[-1].end == found.start:
                found = HashRange(ranges.pop().start, found.end)
            ranges.append(found)
        return tuple(ranges)

    def start_move(self, index: int, target: str) -> None:
        """Mark a slice as moving; nobody is given it until it settles."""
        self.next_owners[index] = self._number(target)

    def settle(self, index: int, target: str) -> None:
        """Give a slice to a target."""
        self.owners[index] = self._number(target)
        self.next_owners[index] = NOBODY

    def split(self, at: int) -> None:
        """Cut the slice that holds a hash so that a slice starts there."""
        index = self.find(at)
        if self.starts[index] == at:
            return
        self.starts.insert(index + 1, at)
        self.owners.insert(index + 1, self.owners[index])
        self.next_owners.insert(index + 1, self.next_owners[index])

    def merge_with_next(self, index: int) -> bool:
        """Join a slice and the next if one target owns both; tell if done."""
        following = index + 1
        if following >= len(self.starts):
            return False
        if self.owners[index] != self.owners[following]:
            return False
        if (self.next_owners[index], self.next_owners[following]) != (NOBODY, NOBODY):
            return False
        del self.starts[following]
        del self.owners[following]
        del self.next_owners[following]
        return True

    def _name(self, number: int) -> str | None:
        return None if number == NOBODY else self.targets[number]

    def _number(self, target: str) -> int:
        if target not in self.targets:
            self.targets.append(target)
        return self.targets.index(target)


@dataclass(frozen=True)
class HomeTable:
    """Hold which data centre decides about each range of a service's hashes."""

    starts: tuple[int, ...]
    data_centres: tuple[str, ...]

    def find(self, key_hash: int) -> str:
        """Return the home data centre of a hash."""
        return self.data_centres[bisect_right(self.starts, key_hash) - 1]

    def ranges_of(self, data_centre: str) -> list[HashRange]:
        """Return the ranges whose home is a data centre."""
        ends = (*self.starts[1:], HASH_SPACE)
        return [
            HashRange(start, end)
            for start, end, home in zip(
                self.starts, ends, self.data_centres, strict=True
            )
            if home == data_centre
        ]


def divide_homes(slots_by_data_centre: dict[str, int]) -> HomeTable:
    """Divide the hash space among data centres in proportion to their slots."""
    total = sum(slots_by_data_centre.values())
    starts: list[int] = []
    names: list[str] = []
    before = 0
    for name, slots in sorted(slots_by_data_centre.items()):
        if slots:
            starts.append(HASH_SPACE * before // total)
            names.append(name)
        before += slots
    return HomeTable(tuple(starts), tuple(names))


def divide_ranges(ranges: Iterable[HashRange], slices: int) -> SliceTable:
    """Return a table whose slices divide the ranges; the rest is one slice each."""
    ranges = list(ranges)
    table = SliceTable()
    size = sum(item.end - item.start for item in ranges)
    step = max(1, size // max(1, slices))
    for item in ranges:
        for start in range(item.start, item.end - step // 2, step):
            table.split(start)
        if item.end < HASH_SPACE:
            table.split(item.end)
    return table
