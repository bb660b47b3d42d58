"""Ranges of numeric keys and who owns them."""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

KEY_SPACE = 65_536


@dataclass(frozen=True)
class KeyRange:
    """Hold a range of keys, the end not included."""

    start: int
    end: int

    def overlaps(self, other: "KeyRange") -> bool:
        """Tell whether the two ranges share a key."""
        return self.start < other.end and other.start < self.end

    def minus(self, others: Iterable["KeyRange"]) -> list["KeyRange"]:
        """Return what is left of this range without the others."""
        left = [self]
        for other in others:
            left = [part for item in left for part in item._without(other)]
        return left

    def _without(self, other: "KeyRange") -> list["KeyRange"]:
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
    """Hold a range, its owner and the fence of the owner's grant."""

    keys: KeyRange
    owner: str | None
    fence: int


def _unowned() -> list[OwnedRange]:
    return [OwnedRange(ALL_KEYS, None, 0)]


@dataclass
class RangeTable:
    """Hold the owners of all keys of one service, sorted and without gaps."""

    ranges: list[OwnedRange] = field(default_factory=_unowned)

    def find(self, key: int) -> OwnedRange:
        """Return the range that holds a key."""
        at = bisect_right(self.ranges, key, key=lambda item: item.keys.start)
        return self.ranges[at - 1]

    def assign(self, keys: KeyRange, owner: str | None, fence: int) -> None:
        """Give keys to an owner; ranges that overlap are cut."""
        kept = [
            replace(item, keys=part)
            for item in self.ranges
            for part in item.keys.minus([keys])
        ]
        kept.append(OwnedRange(keys, owner, fence))
        self.ranges = sorted(kept, key=lambda item: item.keys.start)

    def owned_by(self, owner: str) -> list[OwnedRange]:
        """Return the ranges of one owner."""
        return [item for item in self.ranges if item.owner == owner]

    def neighbours_of_owner(self, key: int) -> list[OwnedRange]:
        """Return the ranges around a key, side by side, that one owner has."""
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
