"""Check the targets' journals: doubled runs, owners at once, false refusals."""

import re
from collections import Counter
from dataclasses import dataclass, field

# Readings of one clock in milliseconds may be off by this much.
CLOCK_STEP_S = 0.002


@dataclass
class Findings:
    """Hold what the journals show."""

    runs: int = 0
    doubled: list[str] = field(default_factory=list)
    refused_but_ran: list[str] = field(default_factory=list)
    answered_but_not_run: list[str] = field(default_factory=list)
    two_owners: list[str] = field(default_factory=list)


def check_journals(
    journals: list[dict], answered: list[str], not_run: list[str]
) -> Findings:
    """Compare journals with what callers were told of their orders."""
    findings = Findings()
    runs = Counter()
    for journal in journals:
        for run in journal["runs"]:
            findings.runs += 1
            if run["method"] == "POST":
                runs[run["tag"]] += 1
    findings.doubled = [tag for tag, count in runs.items() if count > 1]
    all_tags = {run["tag"] for journal in journals for run in journal["runs"]}
    findings.refused_but_ran = [tag for tag in not_run if tag in all_tags]
    findings.answered_but_not_run = [tag for tag in answered if tag not in runs]
    findings.two_owners = find_two_owners(journals)
    return findings


def find_lost_assignments(logs: list[str], history: list[dict]) -> list[str]:
    """Return the acknowledged owners that no stored assignment holds.

    A line move_settled acknowledges an owner: from it on, the owner is granted.
    """
    stored = {
        (form["service"], form["term"], form["sequence"], form["dataCentre"]): form
        for form in history
    }
    by_epoch: dict[tuple, list[dict]] = {}
    for (service, term, sequence, _), form in stored.items():
        by_epoch.setdefault((service, term, sequence), []).append(form)
    lost = []
    for line in logs:
        if "event=move_settled" not in line:
            continue
        fields = dict(re.findall(r"(\w+)=(\S+)", line))
        epoch = (fields["service"], int(fields["term"]), int(fields["sequence"]))
        forms = by_epoch.get(epoch, [])
        if not any(_holds(form, fields["slice"]) for form in forms):
            lost.append(line)
    return lost


def _holds(form: dict, start: str) -> bool:
    """Tell whether an assignment has a settled slice at a start."""
    if int(start, 16) not in form["starts"]:
        return False
    index = form["starts"].index(int(start, 16))
    return form["nextOwners"][index] == -1 and form["owners"][index] != -1


def find_two_owners(journals: list[dict]) -> list[str]:
    """Return the ownerships of different targets that overlap in range and time."""
    periods = [
        (item["service"], item["start"], item["last"], item["since"], item["until"], j)
        for j, journal in enumerate(journals)
        for item in journal["ownerships"]
    ]
    periods.sort(key=lambda period: period[3])
    found = []
    active: list[tuple] = []
    for period in periods:
        active = [other for other in active if other[4] > period[3] + CLOCK_STEP_S]
        found += [f"{period} {other}" for other in active if _overlap(period, other)]
        active.append(period)
    return found


def _overlap(one: tuple, other: tuple) -> bool:
    different = one[5] != other[5] and one[0] == other[0]
    return different and one[1] <= other[2] and other[1] <= one[2]
