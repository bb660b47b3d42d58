"""Ranges of numeric keys and the table of their owners (gateway mode)."""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

# Number of keys.
KEY_SPACE = 65_536


@dataclass(frozen=True)
class KeyRange:
    """A range of keys from start to end, without the end."""

    start: int
    end: int

    def overlaps(self, other: "KeyRange") -> bool:
        """Return whether the two ranges share a key."""
        return self.start < other.end and other.start < self.end

    def minus(self, others: Iterable["KeyRange"]) -> list["KeyRange"]:
        """Return the parts of this range that none of the others covers."""
        left = [self]
        for other in others:
            # Most don't overlap, and plans subtract all moving ranges from all others.
            if self.start < other.end and other.start < self.end:
                left = [part for item in left for part in item._subtract(other)]
        return left

    def _subtract(self, other: "KeyRange") -> list["KeyRange"]:
        if not self.overlaps(other):
            return [self]
        parts = []
        if self.start < other.start:
            parts.append(KeyRange(self.start, other.start))
        if other.end < self.end:
            parts.append(KeyRange(other.end, self.end))
        return parts


ALL_KEYS = KeyRange(0, KEY_SPACE)


@dataclass(frozen=True)
class OwnedRange:
    """A range with its owner and the fencing token of the owner's grants."""

    keys: KeyRange
    owner: str | None
    fence: int


def _unowned() -> list[OwnedRange]:
    return [OwnedRange(ALL_KEYS, None, 0)]


@dataclass
class RangeTable:
    """The owners of all keys of one service, as sorted ranges without gaps."""

    ranges: list[OwnedRange] = field(default_factory=_unowned)

    def find(self, key: int) -> OwnedRange:
        """Return the range that contains a key."""
        index = bisect_right(self.ranges, key, key=lambda item: item.keys.start)
        return self.ranges[index - 1]

    def assign(self, keys: KeyRange, owner: str | None, fence: int) -> None:
        """Set the owner of keys; split the ranges that they overlap."""
        remaining = [
            replace(item, keys=part)
            for item in self.ranges
            for part in item.keys.minus([keys])
        ]
        remaining.append(OwnedRange(keys, owner, fence))
        self.ranges = sorted(remaining, key=lambda item: item.keys.start)

    def owned_by(self, owner: str) -> list[OwnedRange]:
        """Return the ranges of one owner."""
        return [item for item in self.ranges if item.owner == owner]

    def adjacent_ranges(self, key: int) -> list[OwnedRange]:
        """Return the contiguous ranges around a key that have its owner."""
        first = last = self.ranges.index(self.find(key))
        owner = self.ranges[first].owner
        while first > 0 and self.ranges[first - 1].owner == owner:
            first -= 1
        while last + 1 < len(self.ranges) and self.ranges[last + 1].owner == owner:
            last += 1
        return self.ranges[first : last + 1]

    def copy(self) -> "RangeTable":
        """Return an independent copy."""
        return RangeTable(list(self.ranges))
