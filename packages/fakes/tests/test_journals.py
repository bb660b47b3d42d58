"""Tests of the checks of journals, logs and histories: each must be able to fail."""

from peridot_fakes.journals import (
    check_journals,
    find_lost_assignments,
    find_ownership_overlaps,
    find_runs_that_span_owners,
)

LINE = "event=move_settled service=s slice=0000000000000010 target=b term=1 sequence=3"
ASSIGNMENT = {
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
        "runs": [make_run(tag, 5, 0.0, 0.1) for tag in runs],
    }


def make_run(tag, key_hash, began, ended):
    return {
        "request_id": f"id-{tag}",
        "tag": tag,
        "method": "POST",
        "key_hash": key_hash,
        "began": began,
        "ended": ended,
    }


def test_ownerships_that_overlap_in_range_and_time_are_found():
    apart = [journal("a", [(0, 9, 1.0, 2.0)]), journal("b", [(0, 9, 2.0, 3.0)])]
    assert find_ownership_overlaps(apart) == []
    beside = [journal("a", [(0, 9, 1.0, 2.0)]), journal("b", [(10, 19, 1.0, 2.0)])]
    assert find_ownership_overlaps(beside) == []
    overlapping = [journal("a", [(0, 9, 1.0, 2.0)]), journal("b", [(9, 19, 1.5, 3.0)])]
    assert len(find_ownership_overlaps(overlapping)) == 1


def test_requests_run_twice_run_though_refused_and_not_run_are_found():
    journals = [journal("a", runs=["1", "2"]), journal("b", runs=["1"])]
    findings = check_journals(journals, answered=["1", "3"], not_run=["2", "4"])
    assert findings.run_twice == ["1"]
    assert findings.refused_but_ran == ["2"]
    assert findings.answered_but_not_run == ["3"]


def test_runs_of_a_request_at_a_target_with_another_owner_between_are_found():
    def spans(first_key_hash, other_period):
        target = journal("a", [(0, 9, 1.0, 2.0), (0, 9, 3.0, 4.0)])
        target["runs"] = [
            make_run("1", first_key_hash, 1.1, 1.2),
            make_run("1", first_key_hash, 3.1, 3.2),
            make_run("2", 5, 1.3, 1.4),
        ]
        return find_runs_that_span_owners([target, journal("b", [other_period])])

    assert spans(5, (0, 9, 2.0, 3.0)) == ["id-1 at a"]
    assert spans(15, (0, 9, 2.0, 3.0)) == []
    assert spans(5, (0, 9, 3.5, 4.5)) == []
    assert spans(5, (0, 9, 0.1, 1.0)) == []


def test_the_owner_of_a_completed_move_must_be_in_the_history():
    assert find_lost_assignments([LINE], [ASSIGNMENT]) == []
    assert find_lost_assignments([LINE], []) == [LINE]
    moving = ASSIGNMENT | {"nextOwners": [-1, 0]}
    assert find_lost_assignments([LINE], [moving]) == [LINE]
