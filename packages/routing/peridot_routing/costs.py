"""Cost of targets as one entry sees them, for services not divided by key."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from time import monotonic

LATENCY_WEIGHT = 0.2
FIRST_LATENCY_S = 0.005
# A latency seen so long ago has half faded, so that a slow target is tried again.
FADING_S = 10.0


@dataclass
class TargetCost:
    """Hold what one entry saw of a target."""

    in_flight: int = 0
    latency_s: float = FIRST_LATENCY_S
    seen_at: float = 0.0

    def faded_latency_s(self, now: float) -> float:
        """Return the latency, nearer to the first guess the older it is."""
        kept = 0.5 ** ((now - self.seen_at) / FADING_S)
        return FIRST_LATENCY_S + kept * (self.latency_s - FIRST_LATENCY_S)

    def value(self, slots: int, now: float) -> float:
        """Return how unattractive the target is for another request."""
        return (self.in_flight + 1) * self.faded_latency_s(now) / slots


@dataclass
class TargetCosts:
    """Hold the costs of all targets."""

    costs: dict[str, TargetCost] = field(default_factory=dict)

    def value(self, target: str, slots: int) -> float:
        """Return the cost of a target."""
        cost = self.costs.get(target)
        return cost.value(slots, monotonic()) if cost else FIRST_LATENCY_S / slots

    @contextmanager
    def attempt(self, target: str) -> Iterator[None]:
        """Count an attempt at a target and take its time."""
        cost = self.costs.setdefault(target, TargetCost())
        cost.in_flight += 1
        began = monotonic()
        try:
            yield
        finally:
            now = monotonic()
            cost.in_flight -= 1
            took_s = now - began
            before_s = cost.faded_latency_s(now)
            cost.latency_s = before_s + LATENCY_WEIGHT * (took_s - before_s)
            cost.seen_at = now
