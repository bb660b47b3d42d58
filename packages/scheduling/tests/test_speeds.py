"""Speeds of targets that turn slow and recover, and figures that can't be true."""

import random
from math import inf, nan

import pytest

from peridot_scheduling.speeds import HINT_S, Speeds


def play(speeds: Speeds, factor: float, count: int, start: float, seed: int = 1):
    """Record responses every 0.3 s, 3 in 100 with 7 times the work."""
    rng = random.Random(seed)
    for number in range(count):
        work_s = 0.1 * rng.uniform(0.7, 1.3) * (7 if rng.random() < 0.03 else 1)
        speeds.record("t", 0.1, work_s * factor, start + 0.3 * number)
    return start + 0.3 * count


@pytest.mark.parametrize("seed", range(5))
def test_a_target_that_turns_slow_is_followed_and_recovers(seed):
    speeds = Speeds()
    now = play(speeds, 1.0, 40, 0.0, seed)
    assert speeds.current("t", now) == pytest.approx(1.0, rel=0.3)
    now = play(speeds, 4.5, 8, now, seed + 10)
    slow = speeds.current("t", now)
    assert slow < 0.5
    now = play(speeds, 1.0, 12, now, seed + 20)
    assert speeds.current("t", now) > 1.5 * slow
    now = play(speeds, 1.0, 24, now, seed + 30)
    assert speeds.current("t", now) > 0.7


def test_requests_with_much_work_do_not_make_a_target_look_slow():
    """The load: 3 in 100 requests take 7 times as long."""
    speeds, lowest, now = Speeds(), 1.0, play(Speeds(), 1.0, 1, 0.0)
    for number in range(400):
        now = play(speeds, 1.0, 1, now, number)
        if number > 20:
            lowest = min(lowest, speeds.current("t", now))
    assert lowest > 0.6


def test_a_target_without_new_figures_returns_to_its_average():
    """Guards against a target that gets no requests as it was slow once."""
    speeds = Speeds()
    now = play(speeds, 1.0, 60, 0.0)
    now = play(speeds, 4.5, 8, now)
    slow = speeds.current("t", now)
    assert speeds.current("t", now + 8.0) > 1.5 * slow


def test_a_slowdown_figure_counts_for_its_moment_only():
    speeds = Speeds()
    now = play(speeds, 1.0, 40, 0.0)
    usual = speeds.current("t", now)
    speeds.record_hint("t", 1.0, now)
    speeds.record_hint("t", 3.0, now)
    assert speeds.current("t", now) < 0.5 * usual
    assert speeds.current("t", now + HINT_S + 0.01) == pytest.approx(usual, rel=0.01)


@pytest.mark.parametrize("value", (nan, inf, -1.0, 0.0, 1e9))
def test_impossible_figures_are_dropped(value):
    speeds = Speeds()
    assert not speeds.record_hint("t", value, 1.0)
    assert not speeds.merge_report("t", value, 1, 1.0)
    assert not speeds.set_shared("t", value, 1.0)
    assert not speeds.record("t", value, 0.1, 1.0)
    if value != 1e9:
        assert not speeds.record("t", 0.1, value, 1.0)
    assert speeds.current("t", 1.0) is None


def test_speeds_of_a_service_stay_around_1():
    """Guards against costs and speeds that grow together without end."""
    speeds = Speeds()
    for step in range(400):
        now = 0.25 * step
        for name, factor in (("a", 1.0), ("b", 2.0)):
            speeds.merge_report(name, 4.0 / factor, 1, now)
        speeds.centre("s", ("a", "b", "unknown"), now)
    values = [speeds.current(name, now) for name in ("a", "b")]
    assert values[0] * values[1] < 8.0
    assert values[0] == pytest.approx(2 * values[1], rel=0.01)
