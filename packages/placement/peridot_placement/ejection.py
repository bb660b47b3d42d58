"""Ejection of slow targets, bounded to a share of a service's targets."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from statistics import median

# A target is slow if its latency exceeds the median of its service by this factor.
SLOW_FACTOR = 4.0
# A target below this latency is never slow.
MIN_LATENCY_S = 0.02
MAX_EJECTED_SHARE = 0.3
# An ejected target gets slices again after this long, with a small share at first.
EJECTION_S = 30.0
REPORT_MAX_AGE_S = 5.0


@dataclass(frozen=True)
class LatencyReport:
    """A target's latency as measured by its front, the VM that sends to it."""

    received_at: float
    latency_s: float


@dataclass
class Ejector:
    """Eject slow targets, which then own no slices for a while."""

    reports: dict[str, LatencyReport] = field(default_factory=dict)
    ejected_until: dict[str, float] = field(default_factory=dict)

    def record_latency(self, target: str, latency_s: float, now: float) -> None:
        """Record the latency (s) of a target that its front reported at `now` (s)."""
        self.reports[target] = LatencyReport(now, latency_s)

    def eject_slow_targets(self, targets: list[str], now: float) -> list[str]:
        """Eject targets that are too slow; return the newly ejected ones."""
        latencies_s = self._recent_latencies(targets, now)
        if len(latencies_s) < 2:
            return []
        threshold_s = max(MIN_LATENCY_S, SLOW_FACTOR * median(latencies_s.values()))
        allowed = int(len(targets) * MAX_EJECTED_SHARE) - len(
            self.ejected(targets, now)
        )
        slow = sorted(
            (
                name
                for name, latency_s in latencies_s.items()
                if latency_s > threshold_s
            ),
            key=lambda name: -latencies_s[name],
        )
        newly_slow = [name for name in slow if name not in self.ejected(targets, now)]
        for name in newly_slow[: max(0, allowed)]:
            self.ejected_until[name] = now + EJECTION_S
            self.reports.pop(name)
        return newly_slow[: max(0, allowed)]

    def ejected(self, targets: list[str], now: float) -> set[str]:
        """Return the targets that are ejected now."""
        return {name for name in targets if self.ejected_until.get(name, 0.0) > now}

    def ejection_ends_at(self, target: str) -> float:
        """Return when a target's last ejection ended or ends."""
        return self.ejected_until.get(target, float("-inf"))

    def _recent_latencies(self, targets: list[str], now: float) -> Mapping[str, float]:
        return {
            name: self.reports[name].latency_s
            for name in targets
            if name in self.reports
            and now - self.reports[name].received_at < REPORT_MAX_AGE_S
        }
