"""Retry budgets: a share of a service's recent requests."""

from dataclasses import dataclass
from time import monotonic

WINDOW_S = 10.0
# A service with little traffic may still retry this often in a window.
MIN_RETRIES = 3.0


@dataclass
class RetryBudget:
    """Allow retries as a share of recent requests."""

    share: float
    requests: float = 0.0
    retries: float = 0.0
    decayed_at: float = 0.0

    def note_request(self) -> None:
        """Count one new request."""
        self._decay()
        self.requests += 1

    def take(self) -> bool:
        """Take one retry if the budget allows it."""
        self._decay()
        if self.retries + 1 > max(MIN_RETRIES, self.requests * self.share):
            return False
        self.retries += 1
        return True

    def _decay(self) -> None:
        now = monotonic()
        factor = 0.5 ** ((now - self.decayed_at) / WINDOW_S)
        self.decayed_at = now
        self.requests *= factor
        self.retries *= factor
