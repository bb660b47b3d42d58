"""Budget of repeats that all VMs share without talking."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

# Windows are kept in steps of this length (s).
STEP_S = 0.5
# Part of the allowance that is used; the rest covers uneven counting at the ends
# of windows.
USED_SHARE = 0.8


@dataclass(frozen=True)
class BudgetTerms:
    """Hold the bound of repeats: a share of requests and a minimum, per window."""

    ratio: float
    minimum: float
    window_s: float


@dataclass
class RepeatBudget:
    """Allow repeats of one service at this VM."""

    terms: BudgetTerms
    # Number of VMs that share the minimum.
    vms: Callable[[], int]
    clock: Callable[[], float] = monotonic
    # Pairs of a step's number and its requests and repeats.
    steps: deque[list[float]] = field(default_factory=deque)

    def note_request(self) -> None:
        """Count a request of a caller."""
        self._step()[1] += 1

    def take(self) -> bool:
        """Take one repeat if the window's allowance isn't used up."""
        step = self._step()
        requests = sum(item[1] for item in self.steps)
        repeats = sum(item[2] for item in self.steps)
        share = self.terms.minimum / max(1, self.vms())
        if repeats + 1 > USED_SHARE * (self.terms.ratio * requests + share):
            return False
        step[2] += 1
        return True

    def _step(self) -> list[float]:
        number = self.clock() // STEP_S
        oldest = number - self.terms.window_s // STEP_S
        while self.steps and self.steps[0][0] < oldest:
            self.steps.popleft()
        if not self.steps or self.steps[-1][0] != number:
            self.steps.append([number, 0.0, 0.0])
        return self.steps[-1]
