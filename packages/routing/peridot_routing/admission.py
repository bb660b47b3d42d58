"""Admission at the entry: a service over capacity takes its higher classes only."""

from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

WINDOW_S = 1.0
# Shares of a window's requests that found their target overloaded.
RAISE_SHARE = 0.2
LOWER_SHARE = 0.05
MIN_REQUESTS = 20


@dataclass
class Admission:
    """Refuse the lowest classes of one service, never the highest in use.

    Each window moves the lowest admitted priority by one class.
    """

    clock: Callable[[], float] = monotonic
    level: int = 0
    window_ends: float = 0.0
    requests: int = 0
    overloaded: int = 0
    classes: set[int] = field(default_factory=set)

    def admits(self, priority: int) -> bool:
        """Tell whether a request of a class may be tried now."""
        self._turn_window()
        self.classes.add(priority)
        return priority >= self.level

    def note(self, overloaded: bool) -> None:
        """Take in whether an admitted request found its target overloaded."""
        self.requests += 1
        self.overloaded += overloaded

    def _turn_window(self) -> None:
        now = self.clock()
        if now < self.window_ends:
            return
        if self.requests >= MIN_REQUESTS or now > self.window_ends + WINDOW_S:
            self._move_level()
            self.requests = self.overloaded = 0
            self.classes.clear()
        self.window_ends = now + WINDOW_S

    def _move_level(self) -> None:
        share = self.overloaded / max(1, self.requests)
        if share > RAISE_SHARE:
            higher = [item for item in sorted(self.classes) if item > self.level]
            self.level = min(higher, default=self.level)
        elif share < LOWER_SHARE:
            lower = [item for item in sorted(self.classes) if item < self.level]
            self.level = max(lower, default=0)
