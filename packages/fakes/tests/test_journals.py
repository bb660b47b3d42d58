"""Test the checks of journals, logs and histories: each must be able to fail."""

from peridot_fakes.journals import (
    check_journals,
    find_lost_assignments,
    find_two_owners,
)

LINE = "event=move_settled service=s slice=0000000000000010 target=b term=1 sequence=3"
FORM = {
    "service": "s",
    "dataCentre": "dc",
    "term": 1,
    "sequence": 3,
    "starts": [0, 16],
    "owners": [0, 1],
    "nextOwners": [-1, -1],
}


def journal(name, periods=(), runs=()):
    ownerships = [
        {"service": "s", "start": a, "last": b, "since": c, "until": d}
        for a, b, c, d in periods
    ]
    return {
        "name": name,
        "ownerships": ownerships,
        "runs": [{"tag": tag, "method": "POST"} for tag in runs],
    }


def test_overlap_in_range_and_time_is_two_owners():
    apart = [journal("a", [(0, 9, 1.0, 2.0)]), journal("b", [(0, 9, 2.0, 3.0)])]
    assert find_two_owners(apart) == []
    beside = [journal("a", [(0, 9, 1.0, 2.0)]), journal("b", [(10, 19, 1.0, 2.0)])]
    assert find_two_owners(beside) == []
    both = [journal("a", [(0, 9, 1.0, 2.0)]), journal("b", [(9, 19, 1.5, 3.0)])]
    assert len(find_two_owners(both)) == 1


def test_doubled_refused_and_missing_orders_are_found():
    journals = [journal("a", runs=["1", "2"]), journal("b", runs=["1"])]
    findings = check_journals(journals, answered=["1", "3"], not_run=["2", "4"])
    assert findings.doubled == ["1"]
    assert findings.refused_but_ran == ["2"]
    assert findings.answered_but_not_run == ["3"]


def test_acknowledged_owner_must_be_in_the_history():
    assert find_lost_assignments([LINE], [FORM]) == []
    assert find_lost_assignments([LINE], []) == [LINE]
    moving = FORM | {"nextOwners": [-1, 0]}
    assert find_lost_assignments([LINE], [moving]) == [LINE]
