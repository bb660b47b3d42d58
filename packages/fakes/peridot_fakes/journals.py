"""Checks of targets' journals: requests run twice, false refusals, double ownership."""

import re
from collections import Counter
from dataclasses import dataclass, field

# Error of times that are derived from a clock reading in milliseconds.
CLOCK_RESOLUTION_S = 0.002


@dataclass
class Findings:
    """What the journals show; requests are given by their tags.

    `run_twice` lists only non-idempotent requests. `overlaps` lists pairs of targets
    that owned a hash at the same time, `spans` requests that one target ran before and
    after another owned their key.
    """

    runs: int = 0
    run_twice: list[str] = field(default_factory=list)
    refused_but_ran: list[str] = field(default_factory=list)
    answered_but_not_run: list[str] = field(default_factory=list)
    overlaps: list[str] = field(default_factory=list)
    spans: list[str] = field(default_factory=list)


def check_journals(
    journals: list[dict], answered: list[str], not_run: list[str]
) -> Findings:
    """Compare journals with the outcomes that callers saw.

    `answered` are tags of answered POST requests, `not_run` tags of requests that were
    reported as not run.
    """
    findings = Findings()
    runs = Counter()
    for journal in journals:
        for run in journal["runs"]:
            findings.runs += 1
            if run["method"] == "POST":
                runs[run["tag"]] += 1
    findings.run_twice = [tag for tag, count in runs.items() if count > 1]
    all_tags = {run["tag"] for journal in journals for run in journal["runs"]}
    findings.refused_but_ran = [tag for tag in not_run if tag in all_tags]
    findings.answered_but_not_run = [tag for tag in answered if tag not in runs]
    findings.overlaps = find_ownership_overlaps(journals)
    findings.spans = find_runs_that_span_owners(journals)
    return findings


def find_lost_assignments(logs: list[str], history: list[dict]) -> list[str]:
    """Return the log lines of completed moves whose assignment was never stored.

    A placer logs move_settled when a move is complete, and then grants the slice to
    the new owner. An assignment of that epoch, with an owner of the slice and no next
    owner, must be in the history by then.
    """
    stored = {
        (item["service"], item["term"], item["sequence"], item["dataCentre"]): item
        for item in history
    }
    by_epoch: dict[tuple, list[dict]] = {}
    for (service, term, sequence, _), assignment in stored.items():
        by_epoch.setdefault((service, term, sequence), []).append(assignment)
    lost = []
    for line in logs:
        if "event=move_settled" not in line:
            continue
        fields = dict(re.findall(r"(\w+)=(\S+)", line))
        epoch = (fields["service"], int(fields["term"]), int(fields["sequence"]))
        assignments = by_epoch.get(epoch, [])
        if not any(_has_owner(item, fields["slice"]) for item in assignments):
            lost.append(line)
    return lost


def _has_owner(assignment: dict, start: str) -> bool:
    """Return whether a slice has an owner and isn't moving; `start` is in hex."""
    if int(start, 16) not in assignment["starts"]:
        return False
    index = assignment["starts"].index(int(start, 16))
    return assignment["nextOwners"][index] == -1 and assignment["owners"][index] != -1


def find_ownership_overlaps(journals: list[dict]) -> list[str]:
    """Return the pairs of different targets' ownerships that overlap in range and time.

    Each is described by service, first and last hash, period (s) and journal number.
    """
    periods = [
        (item["service"], item["start"], item["last"], item["since"], item["until"], j)
        for j, journal in enumerate(journals)
        for item in journal["ownerships"]
    ]
    periods.sort(key=lambda period: period[3])
    found = []
    active: list[tuple] = []
    for period in periods:
        active = [
            other for other in active if other[4] > period[3] + CLOCK_RESOLUTION_S
        ]
        found += [f"{period} {other}" for other in active if _overlap(period, other)]
        active.append(period)
    return found


def find_runs_that_span_owners(journals: list[dict]) -> list[str]:
    """Return the requests that a target ran twice, with another owner between.

    Seen as one time of work, the two runs span the other's ownership of the key.
    """
    found = []
    for journal in journals:
        runs: dict[str, list[dict]] = {}
        for run in journal["runs"]:
            runs.setdefault(run["request_id"], []).append(run)
        services = {item["service"] for item in journal["ownerships"]}
        others = [
            item
            for other in journals
            if other is not journal
            for item in other["ownerships"]
            if item["service"] in services
        ]
        for request_id, repeated in runs.items():
            repeated.sort(key=lambda run: run["began"])
            first, last = repeated[0], repeated[-1]
            if first is last:
                continue
            if any(_owned_between(item, first, last) for item in others):
                found.append(f"{request_id} at {journal['name']}")
    return found


def _owned_between(ownership: dict, first: dict, last: dict) -> bool:
    """Return whether a target owned the key of two runs for a time between them."""
    return (
        ownership["start"] <= first["key_hash"] <= ownership["last"]
        and ownership["until"] > first["ended"]
        and ownership["since"] < last["began"]
    )


def _overlap(one: tuple, other: tuple) -> bool:
    different = one[5] != other[5] and one[0] == other[0]
    return different and one[1] <= other[2] and other[1] <= one[2]
