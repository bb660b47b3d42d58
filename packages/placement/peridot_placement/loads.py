"""Load of slices and keys: measured at fronts, summed at the placer."""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field

from peridot_placement.slices import HASH_SPACE, HashRange, SliceTable

HALF_LIFE_S = 5.0
HOT_KEYS = 42
# The sketch forgets keys beyond this number, the coldest first.
SKETCH_KEYS = 400
# One of so many requests is counted by key.
KEY_SAMPLE = 8
# Reports older than this no longer count.
REPORT_LIFE_S = 3.0
# Idle slices count as this share of the whole load, by their width.
BASE_SHARE = 0.02
# Below this load (1/s), differences between slices are noise.
MIN_BASE = 20.0


@dataclass
class KeySketch:
    """Count the most requested keys in bounded space (space-saving)."""

    counts: dict[int, float] = field(default_factory=dict)

    def add(self, key_hash: int, weight: float = 1.0) -> None:
        """Count a request of a key, for as many as the weight says."""
        if key_hash in self.counts or len(self.counts) < SKETCH_KEYS:
            self.counts[key_hash] = self.counts.get(key_hash, 0.0) + weight
            return
        coldest = min(self.counts, key=self.counts.__getitem__)
        self.counts[key_hash] = self.counts.pop(coldest) + weight

    def decay(self, factor: float) -> None:
        """Scale all counts and drop what has become negligible."""
        self.counts = {
            key: count * factor
            for key, count in self.counts.items()
            if count * factor > 0.01
        }

    def hottest(self) -> list[tuple[int, float]]:
        """Return the hottest keys with their counts."""
        ranked = sorted(self.counts.items(), key=lambda item: -item[1])
        return ranked[:HOT_KEYS]


@dataclass
class LoadMeter:
    """Measure the request rate of a service's slices at one front."""

    counts: dict[int, float] = field(default_factory=dict)
    keys: KeySketch = field(default_factory=KeySketch)
    decayed_at: float = 0.0
    until_sample: int = KEY_SAMPLE

    def add(self, start: int, key_hash: int) -> None:
        """Count one request for the slice with a start."""
        self.counts[start] = self.counts.get(start, 0.0) + 1.0
        self.until_sample -= 1
        if not self.until_sample:
            self.until_sample = KEY_SAMPLE
            self.keys.add(key_hash, KEY_SAMPLE)

    def decay(self, now: float) -> None:
        """Let old counts fade; call it before reading rates."""
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_S)
        self.decayed_at = now
        self.counts = {
            start: count * factor
            for start, count in self.counts.items()
            if count * factor > 0.01
        }
        self.keys.decay(factor)

    def rates(self) -> dict[int, float]:
        """Return requests a second by slice start."""
        return {start: to_rate(count) for start, count in self.counts.items()}


def to_rate(count: float) -> float:
    """Return the steady rate (1/s) whose decayed count this is."""
    return count * 0.6931471805599453 / HALF_LIFE_S


@dataclass
class LoadReport:
    """Hold one VM's rates for one service."""

    received_at: float
    rates: dict[int, float]
    hot_keys: dict[int, float]

    def rates_apart_from_hot_keys(self) -> list[tuple[int, float]]:
        """Return positions and rates: hot keys on their own, slices without them."""
        starts = sorted(self.rates)
        rest = dict(self.rates)
        positions = []
        for key_hash, rate in self.hot_keys.items():
            index = bisect_right(starts, key_hash) - 1
            if index < 0:
                continue
            taken = min(rate, rest[starts[index]])
            rest[starts[index]] -= taken
            positions.append((key_hash, taken))
        return positions + list(rest.items())


@dataclass
class LoadBook:
    """Sum the reports of a data centre's VMs."""

    reports: dict[tuple[str, str], LoadReport] = field(default_factory=dict)

    def take(self, vm: str, service: str, report: LoadReport) -> None:
        """Replace a VM's report for a service."""
        self.reports[vm, service] = report

    def slice_loads(
        self, service: str, table: SliceTable, ranges: Iterable[HashRange], now: float
    ) -> dict[int, float]:
        """Return the load (1/s) of each slice in the ranges, by index."""
        loads = self._indexes_in(table, ranges)
        total = 0.0
        for report in self._fresh(service, now):
            for start, rate in report.rates_apart_from_hot_keys():
                index = table.find(start)
                if index in loads:
                    loads[index] += rate
                    total += rate
        self._add_base(loads, table, max(MIN_BASE, total * BASE_SHARE))
        return loads

    def hot_keys(self, service: str, now: float) -> dict[int, float]:
        """Return the rate (1/s) of each reported hot key."""
        rates: dict[int, float] = {}
        for report in self._fresh(service, now):
            for key_hash, rate in report.hot_keys.items():
                rates[key_hash] = rates.get(key_hash, 0.0) + rate
        return rates

    def _fresh(self, service: str, now: float) -> list[LoadReport]:
        return [
            report
            for (_, name), report in self.reports.items()
            if name == service and now - report.received_at < REPORT_LIFE_S
        ]

    def _indexes_in(
        self, table: SliceTable, ranges: Iterable[HashRange]
    ) -> dict[int, float]:
        loads: dict[int, float] = {}
        for item in ranges:
            index = table.find(item.start)
            while index < len(table) and table.starts[index] < item.end:
                loads[index] = 0.0
                index += 1
        return loads

    def _add_base(
        self, loads: dict[int, float], table: SliceTable, base: float
    ) -> None:
        for index in loads:
            found = table.range_at(index)
            loads[index] += base * (found.end - found.start) / HASH_SPACE
