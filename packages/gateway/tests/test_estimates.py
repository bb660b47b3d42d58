"""Estimates of processing times from queued and from untypical requests."""

import pytest

from peridot_gateway.dialect import ReportedLoad
from peridot_gateway.estimates import Estimates, TargetEstimate


def test_the_processing_time_of_a_saturated_target_is_learnt():
    """A saturated target kept its first estimate if only unqueued requests counted."""
    estimate = TargetEstimate(processing_s=0.3)
    for _ in range(60):
        estimate.record_response(0.52, 12, ReportedLoad(3, 9, 3), 0.0)
    assert estimate.processing_s == pytest.approx(0.13, rel=0.05)


def test_a_few_untypical_requests_do_not_distort_the_estimate():
    """Requests on test routes took 7 ms and made targets look three times as fast."""
    estimate = TargetEstimate(processing_s=0.16)
    estimate.record_response(0.007, 1, ReportedLoad(1, 0, 3), 0.0)
    assert estimate.processing_s > 0.14


def test_the_initial_estimate_comes_from_the_route(make_route):
    estimates = Estimates()
    with estimates.track_attempt("t", make_route(latency_objective_s=0.6)) as estimate:
        assert estimate.processing_s == pytest.approx(0.2)
        assert estimate.in_flight == 1
    assert estimate.in_flight == 0


def test_the_expected_wait_grows_with_the_backlog():
    estimate = TargetEstimate(processing_s=0.1, in_flight=5)
    estimate.others_in_flight, estimate.others_updated_at = 4, 10.0
    assert estimate.expected_wait_s(3, 10.0) == pytest.approx(7 * 0.1 / 3)
    assert estimate.expected_wait_s(3, 99.0) == pytest.approx(3 * 0.1 / 3)


def test_the_failure_rate_decays():
    estimate = TargetEstimate()
    for _ in range(20):
        estimate.record_failure(0.0)
    assert estimate.current_failure_rate(0.0) > 0.9
    assert estimate.current_failure_rate(9.0) < 0.15


def test_requests_queued_later_do_not_count_as_the_wait_of_a_response():
    """A hot key filled the queue after a request was sent. When the whole queue counted
    as its wait, the target looked five times as fast as it was."""
    estimate = TargetEstimate(processing_s=0.12)
    for _ in range(60):
        estimate.record_response(0.12, 2, ReportedLoad(6, 24, 6), 0.0)
    assert estimate.processing_s == pytest.approx(0.12)


def test_requests_in_flight_of_this_vm_are_not_counted_twice():
    """The placer sends the same totals to all VMs, and each its own part of them."""
    estimates = Estimates()
    estimates.get("t").in_flight = 7
    estimates.set_in_flight({"t": 5, "u": 1}, {"t": 2})
    assert estimates.get("t").others_in_flight == 3
    assert estimates.get("u").others_in_flight == 1
    estimates.set_in_flight({"t": 1}, {"t": 1})
    assert estimates.get("t").others_in_flight == 0
    assert estimates.get("u").others_in_flight == 0
