"""Ejection of faltering targets, bounded to a share of a service's targets."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from statistics import median

# A target this much slower than the median of its service is faltering.
SLOW_FACTOR = 4.0
# Differences below this are of no concern.
MIN_LATENCY_S = 0.02
MAX_EJECTED_SHARE = 0.3
# A target is tried again after this long, with a small share at first.
EJECTION_S = 30.0
REPORT_LIFE_S = 5.0


@dataclass(frozen=True)
class LatencyReport:
    """Hold a target's service time as its front saw it."""

    received_at: float
    latency_s: float


@dataclass
class Ejector:
    """Decide which targets get no slices because they are too slow."""

    reports: dict[str, LatencyReport] = field(default_factory=dict)
    ejected_until: dict[str, float] = field(default_factory=dict)

    def take(self, target: str, latency_s: float, now: float) -> None:
        """Take in a front's report."""
        self.reports[target] = LatencyReport(now, latency_s)

    def judge(self, targets: list[str], now: float) -> list[str]:
        """Eject what is too slow now; return the newly ejected targets."""
        fresh = self._fresh(targets, now)
        if len(fresh) < 2:
            return []
        limit_s = max(MIN_LATENCY_S, SLOW_FACTOR * median(fresh.values()))
        room = int(len(targets) * MAX_EJECTED_SHARE) - len(self.ejected(targets, now))
        slow = sorted(
            (name for name, latency_s in fresh.items() if latency_s > limit_s),
            key=lambda name: -fresh[name],
        )
        chosen = [name for name in slow if name not in self.ejected(targets, now)]
        for name in chosen[: max(0, room)]:
            self.ejected_until[name] = now + EJECTION_S
            self.reports.pop(name)
        return chosen[: max(0, room)]

    def ejected(self, targets: list[str], now: float) -> set[str]:
        """Return the targets that are ejected now."""
        return {name for name in targets if self.ejected_until.get(name, 0.0) > now}

    def returned_at(self, target: str) -> float:
        """Return when a target's last ejection ended or ends."""
        return self.ejected_until.get(target, float("-inf"))

    def _fresh(self, targets: list[str], now: float) -> Mapping[str, float]:
        return {
            name: self.reports[name].latency_s
            for name in targets
            if name in self.reports
            and now - self.reports[name].received_at < REPORT_LIFE_S
        }
