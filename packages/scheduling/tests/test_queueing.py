"""Floors of routes over time, and with many routes."""

from peridot_scheduling.queueing import FLOOR_AVERAGING_S, FloorGuard


class CountingDict(dict):
    """A dictionary that counts the passes over all of its items."""

    passes = 0

    def __iter__(self):
        self.passes += 1
        return super().__iter__()

    def values(self):
        self.passes += 1
        return super().values()


def test_a_request_needs_no_pass_over_all_routes():
    """Guards against a processor time per request that grows with the routes."""
    counts = CountingDict()
    guard = FloorGuard(counts)
    for number in range(100):
        guard.record_arrival(f"r{number % 7}", 0.01 * number)
        assert not guard.is_starved("r1")
    assert counts.passes <= 1


def test_old_refusals_weigh_less():
    """Guards against a floor for a route that was refused long ago only."""
    guard = FloorGuard()
    now = 1e6
    for _ in range(10):
        for route in ("r0", "r1"):
            guard.record_arrival(route, now)
        guard.record_refusal("r1", now)
    assert guard.is_starved("r1") and not guard.is_starved("r0")
    for later in range(10):
        guard.record_arrival("r1", now + 2 * FLOOR_AVERAGING_S + later)
    assert not guard.is_starved("r1")
    now += 1e9
    for _ in range(4):
        guard.record_arrival("r1", now)
        assert not guard.is_starved("r0")
        guard.record_refusal("r1", now)
    guard.record_arrival("r0", now)
    assert guard.is_starved("r1")
