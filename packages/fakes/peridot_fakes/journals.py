"""Check the targets' journals: doubled runs, owners at once, false refusals."""

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
