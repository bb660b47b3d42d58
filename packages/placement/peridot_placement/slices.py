"""Tables of a service's hash slices, their owners and their home data centres."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from peridot_placement.hashing import HASH_SPACE

# Stands for no owner, and for no next owner of a slice that isn't moving.
NO_TARGET = -1


@dataclass(frozen=True)
class HashRange:
    """A range of hashes, the end excluded."""

    start: int
    end: int


@dataclass(frozen=True)
class Slice:
    """A slice with its range, owner and, while it moves, its next owner."""

    index: int
    range: HashRange
    owner: str | None
    next_owner: str | None

    @property
    def settled(self) -> bool:
        """Return whether the slice has an owner and isn't moving."""
        return self.owner is not None and self.next_owner is None


@dataclass
class SliceTable:
    """The slices of one service as parallel arrays, sorted by start.

    Owners and next owners are indexes into `targets`.
    """

    targets: list[str] = field(default_factory=list)
    starts: array = field(default_factory=lambda: array("Q", [0]))
    owners: array = field(default_factory=lambda: array("i", [NO_TARGET]))
    next_owners: array = field(default_factory=lambda: array("i", [NO_TARGET]))

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
        """Return the index of the slice that contains a hash."""
        return bisect_right(self.starts, key_hash) - 1

    def settled_owner(self, key_hash: int) -> str | None:
        """Return the owner of a hash, or None while it is unowned or moving."""
        index = self.find(key_hash)
        if self.next_owners[index] != NO_TARGET or self.owners[index] == NO_TARGET:
            return None
        return self.targets[self.owners[index]]

    def slice_at(self, index: int) -> Slice:
        """Return the slice with an index."""
        return Slice(
            index,
            self.range_at(index),
            self._target_name(self.owners[index]),
            self._target_name(self.next_owners[index]),
        )

    def range_at(self, index: int) -> HashRange:
        """Return the range of the slice with an index."""
        last = index + 1 == len(self.starts)
        return HashRange(
            self.starts[index], HASH_SPACE if last else self.starts[index + 1]
        )

    def ranges_owned_by(self, target: str) -> tuple[HashRange, ...]:
        """Return the ranges of a target's settled slices, with neighbours joined."""
        if target not in self.targets:
            return ()
        target_index = self.targets.index(target)
        ranges: list[HashRange] = []
        for index, owner in enumerate(self.owners):
            if owner != target_index or self.next_owners[index] != NO_TARGET:
                continue
            hash_range = self.range_at(index)
            if ranges and ranges[-1].end == hash_range.start:
                hash_range = HashRange(ranges.pop().start, hash_range.end)
            ranges.append(hash_range)
        return tuple(ranges)

    def start_move(self, index: int, target: str) -> None:
        """Mark a slice as moving; its new requests wait until the move completes."""
        self.next_owners[index] = self._target_index(target)

    def set_owner(self, index: int, target: str) -> None:
        """Make a target the owner of a slice, which also ends a move."""
        self.owners[index] = self._target_index(target)
        self.next_owners[index] = NO_TARGET

    def split(self, at: int) -> None:
        """Split the slice that contains a hash so that a slice starts at the hash."""
        index = self.find(at)
        if self.starts[index] == at:
            return
        self.starts.insert(index + 1, at)
        self.owners.insert(index + 1, self.owners[index])
        self.next_owners.insert(index + 1, self.next_owners[index])

    def merge_with_next(self, index: int) -> bool:
        """Merge a slice with the next if they share an owner; return whether merged."""
        next_index = index + 1
        if next_index >= len(self.starts):
            return False
        if self.owners[index] != self.owners[next_index]:
            return False
        if (self.next_owners[index], self.next_owners[next_index]) != (
            NO_TARGET,
            NO_TARGET,
        ):
            return False
        del self.starts[next_index]
        del self.owners[next_index]
        del self.next_owners[next_index]
        return True

    def _target_name(self, index: int) -> str | None:
        return None if index == NO_TARGET else self.targets[index]

    def _target_index(self, target: str) -> int:
        if target not in self.targets:
            self.targets.append(target)
        return self.targets.index(target)


@dataclass(frozen=True)
class HomeTable:
    """The home of each hash range of a service: the data centre that places it."""

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
    """Divide the hash space among data centres by the number of their slots."""
    total = sum(slots_by_data_centre.values())
    starts: list[int] = []
    names: list[str] = []
    preceding_slots = 0
    for name, slots in sorted(slots_by_data_centre.items()):
        if slots:
            starts.append(HASH_SPACE * preceding_slots // total)
            names.append(name)
        preceding_slots += slots
    return HomeTable(tuple(starts), tuple(names))


def divide_ranges(ranges: Iterable[HashRange], slices: int) -> SliceTable:
    """Divide the ranges into slices; each gap between them is one slice."""
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
