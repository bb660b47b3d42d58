"""The parts that the limit of cold targets is made of."""

from math import inf, nan

import pytest

from peridot_scheduling.cold_starts import (
    PERMIT_S,
    QUIET_S,
    REASSIGNMENT_DELAY_S,
    USABLE_S,
    VIEW_COUNT,
    Allotment,
    Allowance,
    ColdTimes,
    choose_senders,
    find_limits,
)

ZONES = {f"v{i}": f"z{i % 4}" for i in range(71)}


@pytest.mark.parametrize("rate", [0.5, 1.0, 4.5, 20.0, 300.0])
@pytest.mark.parametrize("slack", [0.0, 2.0, 8.0, nan])
@pytest.mark.parametrize("factor", [0.0, 1.5, 10.0, -1.0, inf])
def test_two_views_together_stay_within_any_limit(rate, slack, factor):
    """Guards against settings for which bursts or rates add up to more."""
    limits = find_limits(rate, factor, slack, 8.0)
    senders = limits.sender_count * (1 + limits.sender_rate)
    assert VIEW_COUNT * senders <= limits.limit + 1e-9
    if limits.permit_rate:
        permits = limits.permit_burst + limits.permit_rate * USABLE_S
        assert VIEW_COUNT * permits <= limits.limit + 1e-9
    assert limits.sender_count * limits.sender_rate <= rate + 1e-9


@pytest.mark.parametrize("rate", [inf, nan, 0.0, -1.0])
def test_services_without_a_usable_rate_have_no_limit(rate):
    """Guards against a service that is stopped by an error of its configuration."""
    assert find_limits(rate, 1.5, 8.0, 8.0) is None
    assert find_limits(4.5, None, 8.0, 8.0) is None


def test_senders_are_in_the_zone_of_the_target_and_spread_over_targets():
    """Guards against traffic between zones, and against one VM that sends to all."""
    chosen = [choose_senders(f"t{i}", "z1", ZONES, 2) for i in range(50)]
    assert {ZONES[vm] for pair in chosen for vm in pair} == {"z1"}
    assert len({vm for pair in chosen for vm in pair}) > 10
    assert len(choose_senders("t", "unknown", ZONES, 2)) == 2


def test_what_a_request_took_that_is_not_sent_is_there_for_another():
    """Guards against permits lost to refused requests, and permits that double."""
    allowance = Allowance()
    allowance.permit(0.0)
    assert allowance.take(0.05)
    allowance.give_back()
    assert allowance.take(0.05) and not allowance.take(0.05)
    allowance.give_back()
    assert not allowance.take(PERMIT_S)
    allowance.assign(2.0, 1.0)
    assert allowance.take(1.5)
    allowance.give_back()
    assert allowance.take(1.5) and not allowance.take(1.5)


def test_a_lost_sender_is_replaced_after_its_assignment_has_lapsed():
    """Guards against a sender that was cut off and sends beside its successor."""
    limits, allotment = find_limits(4.5, 1.5, 8.0, 8.0), Allotment()
    allotment.add_target("t", limits, 0.0)
    first, second = allotment.update_senders("t", "z1", ZONES, limits, 0.0)
    others = {vm: zone for vm, zone in ZONES.items() if vm != first}
    for now in (1.0, 1.0 + REASSIGNMENT_DELAY_S - 0.1):
        assert allotment.update_senders("t", "z1", others, limits, now) == [second]
    later = 1.0 + REASSIGNMENT_DELAY_S
    assert len(allotment.update_senders("t", "z1", others, limits, later)) == 2


def test_no_permits_are_issued_in_the_first_second():
    """Guards against permits beside the requests of the second before."""
    limits, allotment = find_limits(4.5, 1.5, 8.0, 8.0), Allotment()
    allotment.add_target("t", limits, 0.0)
    for now in (0.0, QUIET_S):
        allotment.add_demand("t", "v1", 5, now)
        assert not allotment.issue_permit("t", "v1", now)
    allotment.add_demand("t", "v1", 5, QUIET_S + 0.3)
    assert allotment.issue_permit("t", "v1", QUIET_S + 0.3)
    assert not allotment.issue_permit("t", "v2", QUIET_S + 0.9)


def test_an_assignment_that_ended_leaves_no_burst():
    """Guards against bursts of senders that change several times a second."""
    allowance = Allowance()
    allowance.assign(2.25, 0.0)
    allowance.assign(2.25, 1.0)
    assert allowance.may_send(1.0)
    assert not allowance.may_send(3.1)
    allowance.assign(2.25, 3.1)
    assert not allowance.take(3.1)


def test_bad_times_are_dropped():
    """Guards against a target that is cold for ever by an error."""
    times = ColdTimes()
    for left_s in (nan, inf, -1.0):
        times.set_cold("t", left_s, 0.0)
    assert times.left_s("t", 0.0) == 0 and times.ramp_share("t", 0.0) == 1
