"""Priority admission of peridotd: an overloaded service sheds its lowest classes."""

from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

WINDOW_S = 1.0
# Shares of overloaded requests in a window, above which the lowest admitted priority
# is raised and below which it is lowered.
RAISE_SHARE = 0.2
LOWER_SHARE = 0.05
# A window with fewer requests runs on into the next one. Refused ones count only for
# admitting a class again: what they would have met is unknown.
MIN_REQUESTS = 20


@dataclass
class PriorityAdmission:
    """Admission control of one service by priority, which never sheds the top class.

    The lowest admitted priority moves by at most one class a window.
    """

    clock: Callable[[], float] = monotonic
    min_priority: int = 0
    window_end: float = 0.0
    requests: int = 0
    overloaded: int = 0
    refused: int = 0
    seen_priorities: set[int] = field(default_factory=set)

    def admits(self, priority: int) -> bool:
        """Return whether a request of a priority is admitted now."""
        self._roll_window()
        self.seen_priorities.add(priority)
        admitted = priority >= self.min_priority
        self.refused += not admitted
        return admitted

    def record(self, overloaded: bool) -> None:
        """Record whether an admitted request found its target overloaded."""
        self.requests += 1
        self.overloaded += overloaded

    def _roll_window(self) -> None:
        now = self.clock()
        if now < self.window_end:
            return
        share = self.overloaded / max(1, self.requests)
        complete = self.requests >= MIN_REQUESTS or now > self.window_end + WINDOW_S
        mostly_refused = self.requests + self.refused >= MIN_REQUESTS
        if complete or (mostly_refused and share < LOWER_SHARE):
            self._adjust_min_priority(share)
            self.requests = self.overloaded = self.refused = 0
            self.seen_priorities.clear()
        self.window_end = now + WINDOW_S

    def _adjust_min_priority(self, share: float) -> None:
        if share > RAISE_SHARE:
            higher = [p for p in sorted(self.seen_priorities) if p > self.min_priority]
            self.min_priority = min(higher, default=self.min_priority)
        elif share < LOWER_SHARE:
            lower = [p for p in sorted(self.seen_priorities) if p < self.min_priority]
            self.min_priority = max(lower, default=0)
