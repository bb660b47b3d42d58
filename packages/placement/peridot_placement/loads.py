"""Request rates of slices and keys in peridotd mode, summed by the placer.

A front, the VM that all requests of a target pass through, measures them.
"""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field

from peridot_placement.slices import HASH_SPACE, HashRange, SliceTable

HALF_LIFE_S = 5.0
MAX_HOT_KEYS = 42
# Keys beyond this number replace the least requested ones in the sketch.
MAX_SKETCH_KEYS = 400
# One in this many requests is counted by key.
KEY_SAMPLE_INTERVAL = 8
# Older reports don't count.
REPORT_MAX_AGE_S = 3.0
# Slices get this share of the total load in proportion to their width, so that idle
# ones have a load too.
IDLE_LOAD_SHARE = 0.02
# Least load (1/s) to share out so, as smaller differences between slices are noise.
MIN_IDLE_LOAD = 20.0


@dataclass
class KeySketch:
    """Count the most requested keys in bounded space (Space-Saving algorithm)."""

    counts: dict[int, float] = field(default_factory=dict)

    def add(self, key_hash: int, weight: float = 1.0) -> None:
        """Count `weight` requests of a key."""
        if key_hash in self.counts or len(self.counts) < MAX_SKETCH_KEYS:
            self.counts[key_hash] = self.counts.get(key_hash, 0.0) + weight
            return
        coldest = min(self.counts, key=self.counts.__getitem__)
        self.counts[key_hash] = self.counts.pop(coldest) + weight

    def decay(self, factor: float) -> None:
        """Scale all counts and drop negligible ones."""
        self.counts = {
            key: count * factor
            for key, count in self.counts.items()
            if count * factor > 0.01
        }

    def hottest(self) -> list[tuple[int, float]]:
        """Return the hottest keys with their counts."""
        ranked = sorted(self.counts.items(), key=lambda item: -item[1])
        return ranked[:MAX_HOT_KEYS]


@dataclass
class LoadMeter:
    """Measure the request rates of a service's slices at one front."""

    counts: dict[int, float] = field(default_factory=dict)
    keys: KeySketch = field(default_factory=KeySketch)
    decayed_at: float = 0.0
    requests_until_sample: int = KEY_SAMPLE_INTERVAL

    def add(self, start: int, key_hash: int) -> None:
        """Count one request for the slice with a start."""
        self.counts[start] = self.counts.get(start, 0.0) + 1.0
        self.requests_until_sample -= 1
        if not self.requests_until_sample:
            self.requests_until_sample = KEY_SAMPLE_INTERVAL
            self.keys.add(key_hash, KEY_SAMPLE_INTERVAL)

    def decay(self, now: float) -> None:
        """Decay the counts to the time `now` (s); call it before reading rates."""
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_S)
        self.decayed_at = now
        self.counts = {
            start: count * factor
            for start, count in self.counts.items()
            if count * factor > 0.01
        }
        self.keys.decay(factor)

    def rates(self) -> dict[int, float]:
        """Return the requests per second by slice start."""
        return {start: to_rate(count) for start, count in self.counts.items()}


def to_rate(count: float) -> float:
    """Return the steady rate (1/s) that leads to a decayed count."""
    return count * 0.6931471805599453 / HALF_LIFE_S


@dataclass
class LoadReport:
    """The rates (1/s) of one service at one VM, by slice start and for hot keys."""

    received_at: float
    rates: dict[int, float]
    hot_keys: dict[int, float]

    def rates_by_position(self) -> list[tuple[int, float]]:
        """Return positions with rates (1/s): hot keys, and slices without hot keys."""
        starts = sorted(self.rates)
        slice_rates = dict(self.rates)
        positions = []
        for key_hash, rate in self.hot_keys.items():
            index = bisect_right(starts, key_hash) - 1
            if index < 0:
                continue
            key_rate = min(rate, slice_rates[starts[index]])
            slice_rates[starts[index]] -= key_rate
            positions.append((key_hash, key_rate))
        return positions + list(slice_rates.items())


@dataclass
class LoadAggregator:
    """Sum the load reports of a data centre's VMs."""

    reports: dict[tuple[str, str], LoadReport] = field(default_factory=dict)

    def record(self, vm: str, service: str, report: LoadReport) -> None:
        """Replace a VM's report for a service."""
        self.reports[vm, service] = report

    def slice_loads(
        self, service: str, table: SliceTable, ranges: Iterable[HashRange], now: float
    ) -> dict[int, float]:
        """Return the load (1/s) of each slice in the ranges, by index."""
        loads = self._zero_loads(table, ranges)
        total = 0.0
        for report in self._recent_reports(service, now):
            for start, rate in report.rates_by_position():
                index = table.find(start)
                if index in loads:
                    loads[index] += rate
                    total += rate
        self._add_idle_load(loads, table, max(MIN_IDLE_LOAD, total * IDLE_LOAD_SHARE))
        return loads

    def hot_keys(self, service: str, now: float) -> dict[int, float]:
        """Return the rate (1/s) of each reported hot key."""
        rates: dict[int, float] = {}
        for report in self._recent_reports(service, now):
            for key_hash, rate in report.hot_keys.items():
                rates[key_hash] = rates.get(key_hash, 0.0) + rate
        return rates

    def _recent_reports(self, service: str, now: float) -> list[LoadReport]:
        return [
            report
            for (_, name), report in self.reports.items()
            if name == service and now - report.received_at < REPORT_MAX_AGE_S
        ]

    def _zero_loads(
        self, table: SliceTable, ranges: Iterable[HashRange]
    ) -> dict[int, float]:
        loads: dict[int, float] = {}
        for item in ranges:
            index = table.find(item.start)
            while index < len(table) and table.starts[index] < item.end:
                loads[index] = 0.0
                index += 1
        return loads

    def _add_idle_load(
        self, loads: dict[int, float], table: SliceTable, idle_load: float
    ) -> None:
        for index in loads:
            hash_range = table.range_at(index)
            loads[index] += idle_load * (hash_range.end - hash_range.start) / HASH_SPACE
