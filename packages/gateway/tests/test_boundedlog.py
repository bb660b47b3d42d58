"""The rate limit of the log, and the count of dropped lines."""

from peridot_gateway.boundedlog import BURST_LINES, BoundedDecisionLog
from peridot_placement.decisions import MemoryDecisionLog


def test_lines_beyond_the_rate_are_dropped_and_counted():
    inner = MemoryDecisionLog()
    now = 100.0
    log = BoundedDecisionLog(inner, clock=lambda: now, refilled_at=now)
    for number in range(2_000):
        log.write("request", number=number)
    assert len(inner.lines) == BURST_LINES
    now = 101.0
    log.write("request", number=0)
    assert "event=lines_dropped count=1200" in inner.lines
