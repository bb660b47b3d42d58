"""Permits as the placer sees them: who may still send, and what is still busy."""

from dataclasses import dataclass, field

from peridot_placement.clock import with_drift
from peridot_placement.slices import HashRange
from peridot_placement.terms import PERMIT_S, Candidate

# A VM that has been silent for this long gets no new work.
LIVE_S = 0.5


@dataclass(frozen=True)
class BusyRange:
    """Name hashes for which a VM still has work or grants of an older table."""

    service: str
    range: HashRange

    def overlaps(self, service: str, other: HashRange) -> bool:
        """Tell whether a slice of a service has hashes in this range."""
        if service != self.service:
            return False
        return self.range.start < other.end and other.start < self.range.end


@dataclass
class PermitEntry:
    """Hold what one instance was granted and what it last reported."""

    holder: Candidate
    granted_at: float = float("-inf")
    heard_at: float = float("-inf")
    applied: tuple[int, int] = (0, 0)
    busy: tuple[BusyRange, ...] = ()
    leaving: bool = False
    connections: int = 0
    lost_targets: frozenset[str] = frozenset()
    config_revision: int = 0
    live_version: int = 0

    @property
    def lapses_at(self) -> float:
        """Return when the last permit given has certainly ended."""
        return self.granted_at + with_drift(PERMIT_S)

    def is_live(self, now: float) -> bool:
        """Tell whether the instance may get new work."""
        heard = now - self.heard_at < LIVE_S
        return heard and self.connections > 0 and not self.leaving

    def has_closed(
        self, service: str, closed_range: HashRange, epoch: tuple[int, int]
    ) -> bool:
        """Tell whether no right to a range from before an epoch is in use."""
        if self.applied < epoch:
            return False
        return not any(busy.overlaps(service, closed_range) for busy in self.busy)


@dataclass
class PermitLedger:
    """Track the permits that a placer has given, by instance."""

    entries: dict[str, PermitEntry] = field(default_factory=dict)

    def entry(self, holder: Candidate) -> PermitEntry:
        """Return the entry of an instance, a new one if it is unknown."""
        return self.entries.setdefault(holder.instance, PermitEntry(holder))

    def holders_of_rights(
        self,
        service: str,
        closed_range: HashRange,
        epoch: tuple[int, int],
        now: float,
    ) -> list[str]:
        """Return the VMs that may still use rights to a range."""
        return [
            entry.holder.vm
            for entry in self.entries.values()
            if entry.lapses_at > now
            and not entry.has_closed(service, closed_range, epoch)
        ]

    def live(self, now: float) -> list[Candidate]:
        """Return the instances that may get new work, ordered by VM."""
        found = [entry.holder for entry in self.entries.values() if entry.is_live(now)]
        return sorted(found, key=lambda holder: (holder.vm, holder.instance))

    def lost_targets(self, now: float) -> set[str]:
        """Return the targets that their fronts report as lost."""
        lost: set[str] = set()
        for entry in self.entries.values():
            if entry.connections and now - entry.heard_at < LIVE_S:
                lost |= entry.lost_targets
        return lost

    def forget_lapsed(self, now: float) -> None:
        """Drop instances whose permits ended and that have gone silent."""
        for instance, entry in list(self.entries.items()):
            silent = now - entry.heard_at > 2 * PERMIT_S
            if silent and entry.lapses_at <= now:
                del self.entries[instance]
