"""Costs: the expected work of requests by service and route, robust against tails."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import isfinite

# Share of a route's latency objective that counts as its cost without samples.
INITIAL_SHARE = 1 / 3
# The cost without samples and without a usable objective (s).
DEFAULT_COST_S = 0.2
# Weight of a sample in the moving average; the first samples weigh more.
SAMPLE_WEIGHT = 0.03
# Samples are bounded to these multiples of the mean: 3 in 100 requests take 7 times as
# long as the others.
MIN_SAMPLE_FACTOR = 0.3
MAX_SAMPLE_FACTOR = 3.0
# The first samples may be further from the initial cost, which is a guess.
FIRST_SAMPLE_FACTOR = 10.0
# A cost counts as learned from this number of samples on.
MIN_SAMPLES = 3
# The fleet's cost counts as so many samples of a VM.
SHARED_SAMPLES = 100
# A cost without new samples for this time (s) is forgotten.
MAX_AGE_S = 60.0
# Bounds of any work figure (s); others are dropped.
MIN_WORK_S = 1e-4
MAX_WORK_S = 120.0
# Most samples in one report; the report of a VM covers a quarter of a second.
MAX_SAMPLE_COUNT = 100_000


def initial_cost_s(latency_objective_s: float) -> float:
    """Return the cost of a route without samples (s)."""
    cost_s = INITIAL_SHARE * latency_objective_s
    return cost_s if is_work(cost_s) else DEFAULT_COST_S


def is_work(work_s: float) -> bool:
    """Return whether a figure can be the work of a request (s)."""
    return isfinite(work_s) and MIN_WORK_S <= work_s <= MAX_WORK_S


@dataclass
class Cost:
    """The mean work of a route's requests (s)."""

    mean_s: float
    samples: int = 0
    updated_at: float = float("-inf")
    # Bounded samples since the last report: their sum (s) and number.
    reported_s: float = 0.0
    reported_count: int = 0

    def bound(self, work_s: float) -> float:
        """Return a sample (s) bounded against the mean."""
        low, high = MIN_SAMPLE_FACTOR, MAX_SAMPLE_FACTOR
        if self.samples < MIN_SAMPLES:
            low, high = 1 / FIRST_SAMPLE_FACTOR, FIRST_SAMPLE_FACTOR
        return min(max(work_s, low * self.mean_s), high * self.mean_s)

    def add(self, work_s: float, count: int, now: float) -> None:
        """Add bounded samples with a mean (s)."""
        if now - self.updated_at > MAX_AGE_S:
            self.samples = 0
        self.samples = min(self.samples + count, MAX_SAMPLE_COUNT)
        weight = max(1 - (1 - SAMPLE_WEIGHT) ** count, count / self.samples)
        self.mean_s += min(1.0, weight) * (work_s - self.mean_s)
        self.updated_at = now


@dataclass
class Costs:
    """The costs of all routes, by service and route."""

    costs: dict[tuple[str, str], Cost] = field(default_factory=dict)

    def learned_s(self, service: str, route: str, now: float) -> float | None:
        """Return a route's cost (s), None without enough recent samples."""
        cost = self.costs.get((service, route))
        if cost is None or cost.samples < MIN_SAMPLES:
            return None
        return cost.mean_s if now - cost.updated_at <= MAX_AGE_S else None

    def record(
        self, service: str, route: str, initial_s: float, work_s: float, now: float
    ) -> bool:
        """Record the work of a request (s); return whether the figure is usable."""
        if not is_work(work_s):
            return False
        cost = self.costs.get((service, route))
        if cost is None:
            cost = self.costs[service, route] = Cost(initial_s)
        sample_s = cost.bound(work_s)
        cost.add(sample_s, 1, now)
        cost.reported_s += sample_s
        cost.reported_count += 1
        return True

    def pop_reports(self) -> Iterator[tuple[str, str, float, int]]:
        """Yield service, route, sum (s) and number of samples since the last call."""
        for (service, route), cost in self.costs.items():
            if cost.reported_count:
                yield service, route, cost.reported_s, cost.reported_count
                cost.reported_s, cost.reported_count = 0.0, 0

    def merge_report(
        self, service: str, route: str, work_s: float, count: int, now: float
    ) -> bool:
        """Add a VM's sum of work (s) and count; return whether they are usable."""
        if not 0 < count <= MAX_SAMPLE_COUNT or not is_work(work_s / count):
            return False
        mean_s = work_s / count
        cost = self.costs.get((service, route))
        if cost is None:
            cost = self.costs[service, route] = Cost(mean_s)
        cost.add(cost.bound(mean_s), count, now)
        return True

    def set_shared(self, service: str, route: str, mean_s: float, now: float) -> bool:
        """Take over the fleet's cost (s); return whether the figure is usable."""
        if not is_work(mean_s):
            return False
        cost = self.costs.setdefault((service, route), Cost(mean_s))
        cost.mean_s = mean_s
        cost.samples = max(cost.samples, SHARED_SAMPLES)
        cost.updated_at = now
        return True

    def remove_old(self, now: float) -> None:
        """Remove costs without samples for MAX_AGE_S."""
        for key, cost in list(self.costs.items()):
            if now - cost.updated_at > MAX_AGE_S:
                del self.costs[key]
