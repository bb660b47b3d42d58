"""Retry budgets of peridotd: retries as a share of a service's recent requests."""

from dataclasses import dataclass
from time import monotonic

# Counts of requests and retries halve in this time.
HALF_LIFE_S = 10.0
# A service with little traffic may still make this many retries in about that time.
MIN_RETRIES = 3.0


@dataclass
class RetryBudget:
    """A budget of retries, as a share of recent requests."""

    share: float
    requests: float = 0.0
    retries: float = 0.0
    decayed_at: float = 0.0

    def record_request(self) -> None:
        """Record a new request."""
        self._decay()
        self.requests += 1

    def try_spend(self) -> bool:
        """Spend one retry and return True, or return False if none is left."""
        self._decay()
        if self.retries + 1 > max(MIN_RETRIES, self.requests * self.share):
            return False
        self.retries += 1
        return True

    def _decay(self) -> None:
        now = monotonic()
        factor = 0.5 ** ((now - self.decayed_at) / HALF_LIFE_S)
        self.decayed_at = now
        self.requests *= factor
        self.retries *= factor
