"""Retry budget that all VMs share without communication."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

# Length of the steps in which a window is counted.
STEP_S = 0.5
# Share of the budget that is used; the rest covers the rounding of windows to whole
# steps.
USED_SHARE = 0.8


@dataclass(frozen=True)
class RetryBudgetLimits:
    """Limits of retries per window: a share of the requests plus a minimum."""

    ratio: float
    minimum: float
    window_s: float


@dataclass
class RetryBudget:
    """Limit the retries of one service at this VM."""

    limits: RetryBudgetLimits
    # Number of VMs that share the minimum.
    count_vms: Callable[[], int]
    clock: Callable[[], float] = monotonic
    # Number, requests and retries of each step.
    steps: deque[list[float]] = field(default_factory=deque)

    def record_request(self) -> None:
        """Record a request of a caller."""
        self._current_step()[1] += 1

    def has_room(self) -> bool:
        """Return whether the window's budget has room for one more retry."""
        self._current_step()
        requests = sum(item[1] for item in self.steps)
        retries = sum(item[2] for item in self.steps)
        share = self.limits.minimum / max(1, self.count_vms())
        return retries + 1 <= USED_SHARE * (self.limits.ratio * requests + share)

    def try_spend(self) -> bool:
        """Take one retry from the budget; return False if the window's is used up."""
        if not self.has_room():
            return False
        self._current_step()[2] += 1
        return True

    def _current_step(self) -> list[float]:
        number = self.clock() // STEP_S
        oldest = number - self.limits.window_s // STEP_S
        while self.steps and self.steps[0][0] < oldest:
            self.steps.popleft()
        if not self.steps or self.steps[-1][0] != number:
            self.steps.append([number, 0.0, 0.0])
        return self.steps[-1]
