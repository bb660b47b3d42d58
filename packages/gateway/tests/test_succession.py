"""What a new placer assumes of the one before it."""

from peridot_gateway.leading import LEAD_CHECK_S, RESIGN_AFTER_S
from peridot_gateway.links import SILENT_S
from peridot_gateway.succession import (
    MEMBER_FRESH_S,
    PlacerSighting,
    find_earlier_rights,
)
from peridot_ownership.rights import LONG_HOLD_DELAY_S, EarlierRights

HOLD_MAX_S = 10.0
RIGHTS = EarlierRights(0.5, 0.25)


def how(sighting: PlacerSighting | None, term: int) -> str:
    return find_earlier_rights(sighting, term, HOLD_MAX_S)[1]


def test_what_a_placer_told_holds_for_the_next_term_only():
    """Another may have held a term in between, and given rights."""
    sighting = PlacerSighting(4, 100.0, False, resigned=RIGHTS)
    assert find_earlier_rights(sighting, 5, HOLD_MAX_S) == (RIGHTS, "resigned")
    assert how(sighting, 6) == "unknown"


def test_a_placer_that_most_vms_miss_gave_no_long_holds():
    sighting = PlacerSighting(4, 100.0, True, missed_at=100.0 + SILENT_S + 0.3)
    assert how(sighting, 5) == "missed"
    assert how(sighting, 6) == "unknown"
    rights, _ = find_earlier_rights(sighting, 5, HOLD_MAX_S)
    unknown, _ = find_earlier_rights(None, 5, HOLD_MAX_S)
    assert rights.unknown_left_s < unknown.unknown_left_s - 5


def test_a_placer_that_may_have_most_members_or_no_store_is_unknown():
    assert how(PlacerSighting(4, 100.0, True), 5) == "unknown"
    assert how(PlacerSighting(4, 100.0, False, missed_at=100.5), 5) == "unknown"
    late = 100.0 + LONG_HOLD_DELAY_S - MEMBER_FRESH_S
    assert how(PlacerSighting(4, 100.0, True, missed_at=late), 5) == "unknown"


def test_the_first_term_waits_for_nothing():
    rights, found = find_earlier_rights(None, 1, HOLD_MAX_S)
    assert (rights.unknown_left_s, found) == (0.0, "first")


def test_a_placer_that_alone_misses_the_store_resigns_before_long_holds():
    """Seen in toga-inc-1e4b: keys of targets that died then waited 10 s."""
    assert RESIGN_AFTER_S + 2 * LEAD_CHECK_S < LONG_HOLD_DELAY_S
