"""Costs of targets, measured at this VM, to balance services not divided by key."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from time import monotonic

# Weight of a new sample in the moving average.
LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.005
# A measured latency decays towards the initial one, so that a slow target gets tried
# again.
LATENCY_HALF_LIFE_S = 10.0


@dataclass
class TargetStats:
    """Attempts in flight and average latency of one target."""

    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S
    measured_at: float = 0.0

    def decayed_latency_s(self, now: float) -> float:
        """Return the average latency, decayed towards the initial one by its age."""
        weight = 0.5 ** ((now - self.measured_at) / LATENCY_HALF_LIFE_S)
        return INITIAL_LATENCY_S + weight * (self.latency_s - INITIAL_LATENCY_S)

    def cost(self, slots: int, now: float) -> float:
        """Return the expected latency (s) of another request, per slot."""
        return (self.in_flight + 1) * self.decayed_latency_s(now) / slots


@dataclass
class TargetCosts:
    """Statistics of all targets, and their costs for load balancing."""

    stats: dict[str, TargetStats] = field(default_factory=dict)

    def cost_of(self, target: str, slots: int) -> float:
        """Return the cost of a target (s); cheaper targets are preferred."""
        stats = self.stats.get(target)
        return stats.cost(slots, monotonic()) if stats else INITIAL_LATENCY_S / slots

    @contextmanager
    def measure_attempt(self, target: str) -> Iterator[None]:
        """Count an attempt at a target as in flight and measure its duration."""
        stats = self.stats.setdefault(target, TargetStats())
        stats.in_flight += 1
        started_at = monotonic()
        try:
            yield
        finally:
            now = monotonic()
            stats.in_flight -= 1
            duration_s = now - started_at
            average_s = stats.decayed_latency_s(now)
            stats.latency_s = average_s + LATENCY_WEIGHT * (duration_s - average_s)
            stats.measured_at = now
