"""Work times of targets, from answers that waited and from odd ones."""

import pytest

from peridot_gateway.dialect import LoadHint
from peridot_gateway.estimates import Estimates, TargetEstimate


def test_answers_of_a_saturated_target_tell_its_work_time():
    """Only unqueued answers counted: a saturated target kept its first estimate."""
    estimate = TargetEstimate(work_s=0.3)
    for _ in range(60):
        estimate.note_answer(0.52, 12, LoadHint(3, 9, 3), 0.0)
    assert estimate.work_s == pytest.approx(0.13, rel=0.05)


def test_a_few_quick_requests_of_another_kind_do_not_spoil_the_estimate():
    """Requests on test routes took 7 ms and made targets look three times faster."""
    estimate = TargetEstimate(work_s=0.16)
    estimate.note_answer(0.007, 1, LoadHint(1, 0, 3), 0.0)
    assert estimate.work_s > 0.14


def test_the_first_estimate_comes_from_the_route(make_route):
    estimates = Estimates()
    with estimates.attempt("t", make_route(latency_objective_s=0.6)) as estimate:
        assert estimate.work_s == pytest.approx(0.2)
        assert estimate.in_flight == 1
    assert estimate.in_flight == 0


def test_a_backlog_is_a_wait():
    estimate = TargetEstimate(work_s=0.1, in_flight=5)
    estimate.others_in_flight, estimate.others_at = 4, 10.0
    assert estimate.expected_wait_s(3, 10.0) == pytest.approx(7 * 0.1 / 3)
    assert estimate.expected_wait_s(3, 99.0) == pytest.approx(3 * 0.1 / 3)


def test_failures_fade():
    estimate = TargetEstimate()
    for _ in range(20):
        estimate.note_failure(0.0)
    assert estimate.failing(0.0) > 0.9
    assert estimate.failing(9.0) < 0.15


def test_a_queue_that_grew_behind_an_answer_is_not_its_wait():
    """A hot key filled the queue after the request: its target looked five times as
    fast as it was."""
    estimate = TargetEstimate(work_s=0.12)
    for _ in range(60):
        estimate.note_answer(0.12, 2, LoadHint(6, 24, 6), 0.0)
    assert estimate.work_s == pytest.approx(0.12)
