"""Refusals of requests that can't be served in time, and their Retry-After."""

import random

from peridot_gateway.admission import Admission
from peridot_gateway.estimates import Estimates

PROCESSING_S = 0.16
SLOTS = 3


def test_a_request_that_can_be_served_in_time_is_admitted(make_request, make_target):
    estimates = Estimates()
    estimates.get("t").processing_s = PROCESSING_S
    estimates.get("t").in_flight = 6
    assert Admission(estimates).check(make_request(), make_target("t")) is None


def test_a_request_is_refused_at_once_if_the_backlog_exceeds_its_deadline(
    make_request, make_target
):
    estimates = Estimates()
    estimates.get("t").processing_s = PROCESSING_S
    estimates.get("t").in_flight = 30
    refusal = Admission(estimates).check(make_request(), make_target("t"))
    assert refusal is not None
    # 28 requests ahead take 1.49 s, 0.7 of the processing time is 0.11 s, 1 s remains.
    assert 500 <= refusal.retry_after_ms <= 700


def test_an_idle_but_slow_target_is_tried(make_request, make_target):
    estimates = Estimates()
    estimates.get("t").processing_s = 3.0
    assert Admission(estimates).check(make_request(), make_target("t")) is None


def test_admission_serves_more_requests_in_time_under_overload_by_a_hot_key():
    """Guards against late responses when one key gets twice its owner's capacity.

    Without admission, requests wait in the target's queue beyond their deadline.
    """
    assert simulate_queue(limit_s=0.9) > 1.5 * simulate_queue(limit_s=float("inf"))


def simulate_queue(limit_s: float, deadline_s: float = 1.0) -> int:
    """Return how many requests three slots serve in time at twice their capacity."""
    rng = random.Random(7)
    free_at = [0.0] * SLOTS
    served = now = 0.0
    while now < 20.0:
        now += rng.expovariate(2 * SLOTS / PROCESSING_S)
        slot = min(range(SLOTS), key=free_at.__getitem__)
        starts = max(now, free_at[slot])
        if starts - now + PROCESSING_S > limit_s:
            continue
        free_at[slot] = starts + PROCESSING_S
        served += starts + PROCESSING_S - now <= deadline_s
    return int(served)


def test_a_cheap_request_is_admitted_where_a_costly_one_is_refused(
    make_request, make_target
):
    """The load: routes of one service whose requests need 50 and 900 ms.

    The earlier rule, by one processing time per target, refuses both or none.
    """
    estimates = Estimates()
    now = estimates.clock()
    for route, cost_s in (("cheap", 0.05), ("costly", 0.9)):
        estimates.costs.set_shared("files", route, cost_s, now)
    estimates.speeds.set_shared("t", 1.0, now)
    estimate = estimates.get("t")
    estimate.in_flight, estimate.in_flight_work_s = 6, 1.8
    admission, target = Admission(estimates), make_target("t")
    # Four requests ahead of 0.3 s each take 0.4 s at three slots; 1 s remains.
    assert admission.check(make_request(name="cheap"), target) is None
    assert admission.check(make_request(name="costly"), target) is not None
