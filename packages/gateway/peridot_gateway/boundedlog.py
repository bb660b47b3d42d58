"""A decision log that drops lines beyond a rate and counts them."""

from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

from peridot_placement.decisions import DecisionLog

# Lines a second and at once; a line costs about 25 us.
LINES_PER_S = 400.0
BURST_LINES = 800.0


@dataclass
class BoundedDecisionLog(DecisionLog):
    """Pass lines on to another log while they come no faster than a rate."""

    inner: DecisionLog
    clock: Callable[[], float] = monotonic
    allowance: float = BURST_LINES
    filled_at: float = 0.0
    dropped: int = 0

    def write(self, event: str, **fields: object) -> None:
        now = self.clock()
        gained = max(0.0, now - self.filled_at) * LINES_PER_S
        self.allowance = min(BURST_LINES, self.allowance + gained)
        self.filled_at = now
        if self.allowance < 1:
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.inner.write("lines_dropped", count=dropped)
        self.allowance -= 1
        self.inner.write(event, **fields)
