"""Refusals at once of what can't be served in time, and truthful times to return."""

import random

from peridot_gateway.admission import Admission
from peridot_gateway.estimates import Estimates

WORK_S = 0.16
SLOTS = 3


def test_a_request_that_can_be_served_is_let_in(make_request, make_target):
    estimates = Estimates()
    estimates.of("t").work_s = WORK_S
    estimates.of("t").in_flight = 6
    assert Admission(estimates).refusal(make_request(), make_target("t")) is None


def test_a_backlog_beyond_the_deadline_refuses_at_once(make_request, make_target):
    estimates = Estimates()
    estimates.of("t").work_s = WORK_S
    estimates.of("t").in_flight = 30
    refusal = Admission(estimates).refusal(make_request(), make_target("t"))
    assert refusal is not None
    # 28 requests ahead take 1.49 s, the work 0.11 s more, 1 s is left.
    assert 500 <= refusal.retry_after_ms <= 700


def test_an_idle_but_slow_target_is_tried(make_request, make_target):
    estimates = Estimates()
    estimates.of("t").work_s = 3.0
    assert Admission(estimates).refusal(make_request(), make_target("t")) is None


def test_hot_key_beyond_its_target_serves_more_than_without_admission():
    """Answers the pattern of one key with twice what its owner can do.

    Without admission, requests wait in the target's queue until they are late.
    """
    assert run_queue(limit_s=0.9) > 1.5 * run_queue(limit_s=float("inf"))


def run_queue(limit_s: float, deadline_s: float = 1.0) -> int:
    """Return the requests served in time by three slots at twice their capacity."""
    rng = random.Random(7)
    free_at = [0.0] * SLOTS
    served = now = 0.0
    while now < 20.0:
        now += rng.expovariate(2 * SLOTS / WORK_S)
        slot = min(range(SLOTS), key=free_at.__getitem__)
        starts = max(now, free_at[slot])
        if starts - now + WORK_S > limit_s:
            continue
        free_at[slot] = starts + WORK_S
        served += starts + WORK_S - now <= deadline_s
    return int(served)
