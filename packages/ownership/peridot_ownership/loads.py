"""Load of keys (gateway mode): decaying request rates and their sums over ranges."""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import accumulate
from math import log, sqrt

from peridot_ownership.ranges import KEY_SPACE, KeyRange

# The set of hot keys changes within seconds; a shorter half-life leaves too few samples
# per target.
HALF_LIFE_S = 1.2
# Random arrivals that are counted with weights of this half-life have a variance of the
# rate times this (1/s).
VARIANCE_FACTOR = log(2) / (2 * HALF_LIFE_S)
# Keys with rates below this (1/s) are dropped.
MIN_RATE = 0.01
# Weights are rescaled above this, before they lose precision.
MAX_WEIGHT = 1e12
# After this time without requests nothing is left of the counts.
MAX_HALF_LIVES = 1_000
# This share of the measured load is added and spread evenly over all keys, so that
# ranges without requests count by their width.
IDLE_SHARE = 0.05
# The lower limit of the rate that is added (1/s).
MIN_IDLE_RATE = 1.0


@dataclass(frozen=True)
class LoadProfile:
    """The request rates of keys at one time, with cumulative sums for ranges."""

    keys: list[int]
    cumulative_rates: list[float]
    idle_rate: float
    # The variance of a measured rate as a multiple of the rate (1/s).
    variance_factor: float = 0.0

    @property
    def total(self) -> float:
        """Return the request rate of all keys (1/s)."""
        return self.cumulative_rates[-1] + self.idle_rate

    def standard_error(self, rate: float) -> float:
        """Return the standard error of a measured rate (1/s)."""
        return sqrt(self.variance_factor * max(0.0, rate))

    def load(self, keys: KeyRange) -> float:
        """Return the request rate of a range (1/s)."""
        first = bisect_left(self.keys, keys.start)
        last = bisect_left(self.keys, keys.end)
        width = (keys.end - keys.start) / KEY_SPACE
        return (
            self.cumulative_rates[last]
            - self.cumulative_rates[first]
            + self.idle_rate * width
        )

    def hottest(self, keys: KeyRange) -> tuple[int, float]:
        """Return the key of a range with the highest rate (1/s), and that rate."""
        first = bisect_left(self.keys, keys.start)
        last = bisect_left(self.keys, keys.end)
        if first == last:
            return keys.start, 0.0
        sums = self.cumulative_rates
        index = max(range(first, last), key=lambda i: sums[i + 1] - sums[i])
        return self.keys[index], sums[index + 1] - sums[index]

    def find_split(self, keys: KeyRange, rate: float) -> int:
        """Return the key that splits a range so that a rate (1/s) lies before it."""
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
    """Count requests by key with weights that halve every HALF_LIFE_S."""

    # Counts in units of a request at the reference time; newer ones weigh more.
    weights: dict[int, float] = field(default_factory=dict)
    reference_time: float | None = None

    def add(self, counts: Iterable[tuple[int, float]], now: float) -> None:
        """Add requests by key that arrived about now (s).

        One that is more work than the mean counts as more than one.
        """
        weight = self._weight_at(now)
        for key, count in counts:
            self.weights[key] = self.weights.get(key, 0.0) + count * weight

    def profile(self, now: float) -> LoadProfile:
        """Return the rates at now (s); drop keys with rates below MIN_RATE."""
        scale = log(2) / HALF_LIFE_S / self._weight_at(now)
        rates = {key: weight * scale for key, weight in self.weights.items()}
        for key, rate in rates.items():
            if rate < MIN_RATE:
                del self.weights[key]
        keys = sorted(key for key, rate in rates.items() if rate >= MIN_RATE)
        cumulative_rates = list(accumulate((rates[key] for key in keys), initial=0.0))
        idle_rate = max(MIN_IDLE_RATE, cumulative_rates[-1] * IDLE_SHARE)
        return LoadProfile(keys, cumulative_rates, idle_rate, VARIANCE_FACTOR)

    def _weight_at(self, now: float) -> float:
        """Return the weight of one request that arrives now (s)."""
        if self.reference_time is None:
            self.reference_time = now
        half_lives = (now - self.reference_time) / HALF_LIFE_S
        # Without the bound, the power overflows 20 minutes after the last request.
        weight = 2.0 ** min(half_lives, MAX_HALF_LIVES)
        if weight > MAX_WEIGHT:
            self.weights = {key: value / weight for key, value in self.weights.items()}
            self.reference_time = now
            return 1.0
        return weight
