"""Load of keys: request rates that fade, and their sums over ranges."""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import accumulate
from math import log

from peridot_ownership.ranges import KEY_SPACE, KeyRange

# A hot set moves within seconds; shorter lives leave too few samples a target.
HALF_LIFE_S = 1.2
# Rates below this (1/s) are dropped.
MIN_RATE = 0.01
# Weights are rescaled before they lose precision.
MAX_WEIGHT = 1e12
# Idle keys count together as this share of the load, by their number.
IDLE_SHARE = 0.05
# At least this rate (1/s) is spread over all keys.
MIN_IDLE_RATE = 1.0


@dataclass(frozen=True)
class LoadProfile:
    """Hold the rates of keys at one moment, ready to be summed over ranges."""

    keys: list[int]
    sums: list[float]
    idle_rate: float

    @property
    def total(self) -> float:
        """Return the rate of all keys (1/s)."""
        return self.sums[-1] + self.idle_rate

    def load(self, keys: KeyRange) -> float:
        """Return the rate of a range (1/s)."""
        first = bisect_left(self.keys, keys.start)
        last = bisect_left(self.keys, keys.end)
        width = (keys.end - keys.start) / KEY_SPACE
        return self.sums[last] - self.sums[first] + self.idle_rate * width

    def hottest(self, keys: KeyRange) -> tuple[int, float]:
        """Return the key of a range with the highest rate (1/s), and that rate."""
        first = bisect_left(self.keys, keys.start)
        last = bisect_left(self.keys, keys.end)
        if first == last:
            return keys.start, 0.0
        sums = self.sums
        at = max(range(first, last), key=lambda i: sums[i + 1] - sums[i])
        return self.keys[at], sums[at + 1] - sums[at]

    def cut_after(self, keys: KeyRange, rate: float) -> int:
        """Return where to cut a range so that about a rate lies before it."""
        low, high = keys.start, keys.end
        while low < high:
            middle = (low + high) // 2
            if self.load(KeyRange(keys.start, middle)) < rate:
                low = middle + 1
            else:
                high = middle
        return low


@dataclass
class KeyLoads:
    """Count requests by key; older ones weigh less."""

    weights: dict[int, float] = field(default_factory=dict)
    began: float | None = None

    def add(self, counts: Iterable[tuple[int, int]], now: float) -> None:
        """Take in pairs of a key and a number of requests, seen about now (s)."""
        unit = self._unit(now)
        for key, count in counts:
            self.weights[key] = self.weights.get(key, 0.0) + count * unit

    def profile(self, now: float) -> LoadProfile:
        """Return the rates of now (s); keys that have faded are dropped."""
        scale = log(2) / HALF_LIFE_S / self._unit(now)
        rates = {key: weight * scale for key, weight in self.weights.items()}
        for key, rate in rates.items():
            if rate < MIN_RATE:
                del self.weights[key]
        keys = sorted(key for key, rate in rates.items() if rate >= MIN_RATE)
        sums = list(accumulate((rates[key] for key in keys), initial=0.0))
        idle_rate = max(MIN_IDLE_RATE, sums[-1] * IDLE_SHARE)
        return LoadProfile(keys, sums, idle_rate)

    def _unit(self, now: float) -> float:
        """Return the weight of one request seen now."""
        if self.began is None:
            self.began = now
        unit = 2.0 ** ((now - self.began) / HALF_LIFE_S)
        if unit > MAX_WEIGHT:
            self.weights = {key: value / unit for key, value in self.weights.items()}
            self.began = now
            return 1.0
        return unit
