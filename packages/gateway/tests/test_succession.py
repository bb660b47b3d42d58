"""Which leases of its predecessor a new placer assumes."""

from types import SimpleNamespace

from pytest import approx

from peridot_gateway.leading import LEADER_CHECK_PERIOD_S, RESIGN_DELAY_S
from peridot_gateway.links import HEARTBEAT_TIMEOUT_S
from peridot_gateway.succession import (
    MEMBER_FRESH_S,
    ObservedPlacer,
    find_earlier_leases,
)
from peridot_ownership.holds import max_lease_s
from peridot_ownership.record import Certainty, DaemonInstance, PlacementRecord
from peridot_ownership.rights import (
    LEASE_S,
    LONG_LEASE_DELAY_S,
    LONG_LEASE_S,
    EarlierLeases,
)

HOLD_MAX_S = 10.0
LEASES = EarlierLeases(0.5, 0.25)


def make_writer(term: int, is_first: bool = False) -> SimpleNamespace:
    record = PlacementRecord(term, DaemonInstance("vm", "vm-1", "127.0.0.1:1"))
    return SimpleNamespace(record=record, is_first=is_first)


def find_source(predecessor: ObservedPlacer | None, term: int) -> str:
    return find_earlier_leases(predecessor, make_writer(term), HOLD_MAX_S)[1]


def test_leases_reported_at_a_resignation_count_for_the_next_term_only():
    """Another placer may have held a term in between and granted leases."""
    predecessor = ObservedPlacer(4, 100.0, False, resigned=LEASES)
    found = find_earlier_leases(predecessor, make_writer(5), HOLD_MAX_S)
    assert found == (LEASES, "resigned")
    assert find_source(predecessor, 6) == "unknown"


def test_a_placer_lost_by_a_majority_granted_no_long_leases():
    predecessor = ObservedPlacer(
        4, 100.0, True, lost_by_majority_at=100.0 + HEARTBEAT_TIMEOUT_S + 0.3
    )
    assert find_source(predecessor, 5) == "missed"
    assert find_source(predecessor, 6) == "unknown"
    earlier_leases, _ = find_earlier_leases(predecessor, make_writer(5), HOLD_MAX_S)
    unknown, _ = find_earlier_leases(None, make_writer(5), HOLD_MAX_S)
    shorter_s = max_lease_s(LONG_LEASE_S) - max_lease_s(LEASE_S)
    assert earlier_leases.unknown_remaining_s == approx(
        unknown.unknown_remaining_s - shorter_s
    )


def test_long_leases_are_assumed_if_the_placer_may_have_granted_them():
    assert find_source(ObservedPlacer(4, 100.0, True), 5) == "unknown"
    assert (
        find_source(ObservedPlacer(4, 100.0, False, lost_by_majority_at=100.5), 5)
        == "unknown"
    )
    late = 100.0 + LONG_LEASE_DELAY_S - MEMBER_FRESH_S
    assert (
        find_source(ObservedPlacer(4, 100.0, True, lost_by_majority_at=late), 5)
        == "unknown"
    )


def test_the_first_term_has_no_earlier_leases():
    earlier_leases, source = find_earlier_leases(
        None, make_writer(1, is_first=True), HOLD_MAX_S
    )
    assert (earlier_leases.unknown_remaining_s, source) == (0.0, "first")


def test_a_resignation_does_not_count_while_the_store_may_have_lost_a_term():
    predecessor = ObservedPlacer(4, 100.0, False, resigned=LEASES)
    writer = make_writer(5)
    writer.record.certainty = Certainty.LEASES_UNCERTAIN
    earlier_leases, source = find_earlier_leases(predecessor, writer, HOLD_MAX_S)
    assert source == "restored"
    unknown, _ = find_earlier_leases(None, make_writer(5), HOLD_MAX_S)
    assert earlier_leases == unknown


def test_a_placer_that_alone_cannot_reach_the_store_resigns_before_long_leases():
    """Otherwise the keys of dead targets had no owner for 10 s (toga-inc-1e4b)."""
    assert RESIGN_DELAY_S + 2 * LEADER_CHECK_PERIOD_S < LONG_LEASE_DELAY_S
