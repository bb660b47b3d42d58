"""A decision log with a rate limit that counts dropped lines."""

from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

from peridot_placement.decisions import DecisionLog

# Rate and burst of lines; a line costs about 25 us.
LINES_PER_S = 400.0
BURST_LINES = 800.0


@dataclass
class BoundedDecisionLog(DecisionLog):
    """Forward lines to another log, limited by a token bucket."""

    inner: DecisionLog
    clock: Callable[[], float] = monotonic
    tokens: float = BURST_LINES
    refilled_at: float = 0.0
    dropped: int = 0

    def write(self, event: str, **fields: object) -> None:
        now = self.clock()
        refill = max(0.0, now - self.refilled_at) * LINES_PER_S
        self.tokens = min(BURST_LINES, self.tokens + refill)
        self.refilled_at = now
        if self.tokens < 1:
            self.dropped += 1
            return
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.inner.write("lines_dropped", count=dropped)
        self.tokens -= 1
        self.inner.write(event, **fields)
