"""The placer's record of permits: which VMs may still send, and to which ranges.

A permit is a VM's lease to send requests by the placer's tables. A range may change its
owner once no VM with an unexpired permit still uses it under an older table.
"""

from dataclasses import dataclass, field

from peridot_placement.clock import add_drift_margin
from peridot_placement.slices import HashRange
from peridot_placement.terms import PERMIT_S, DaemonInstance

# A VM without a heartbeat for this long gets no new work.
LIVENESS_TIMEOUT_S = 0.5


@dataclass(frozen=True)
class BusyRange:
    """Hashes for which a VM still has requests or grants under an older table."""

    service: str
    range: HashRange

    def overlaps(self, service: str, other: HashRange) -> bool:
        """Return whether a range of a service overlaps this one."""
        if service != self.service:
            return False
        return self.range.start < other.end and other.start < self.range.end


@dataclass
class PermitEntry:
    """The last permit and the last report of one instance."""

    holder: DaemonInstance
    granted_at: float = float("-inf")
    last_heartbeat_at: float = float("-inf")
    applied_epoch: tuple[int, int] = (0, 0)
    busy: tuple[BusyRange, ...] = ()
    leaving: bool = False
    connections: int = 0
    lost_targets: frozenset[str] = frozenset()
    config_revision: int = 0
    live_version: int = 0

    @property
    def expires_at(self) -> float:
        """Return when the last permit has expired by any clock (s)."""
        return self.granted_at + add_drift_margin(PERMIT_S)

    def is_live(self, now: float) -> bool:
        """Return whether the instance may get new work."""
        recently_heard = now - self.last_heartbeat_at < LIVENESS_TIMEOUT_S
        return recently_heard and self.connections > 0 and not self.leaving

    def has_released(
        self, service: str, moving_range: HashRange, epoch: tuple[int, int]
    ) -> bool:
        """Return whether the instance uses a range by no table older than `epoch`."""
        if self.applied_epoch < epoch:
            return False
        return not any(busy.overlaps(service, moving_range) for busy in self.busy)


@dataclass
class PermitLedger:
    """Track the permits that a placer has granted, by instance."""

    entries: dict[str, PermitEntry] = field(default_factory=dict)

    def entry(self, holder: DaemonInstance) -> PermitEntry:
        """Return the entry of an instance, creating it if there is none."""
        return self.entries.setdefault(holder.instance, PermitEntry(holder))

    def vms_still_using(
        self,
        service: str,
        moving_range: HashRange,
        epoch: tuple[int, int],
        now: float,
    ) -> list[str]:
        """Return the VMs that may still use a range by a table older than `epoch`."""
        return [
            entry.holder.vm
            for entry in self.entries.values()
            if entry.expires_at > now
            and not entry.has_released(service, moving_range, epoch)
        ]

    def live(self, now: float) -> list[DaemonInstance]:
        """Return the instances that may get new work, ordered by VM."""
        instances = [
            entry.holder for entry in self.entries.values() if entry.is_live(now)
        ]
        return sorted(instances, key=lambda holder: (holder.vm, holder.instance))

    def lost_targets(self, now: float) -> set[str]:
        """Return the targets that connected VMs report as lost."""
        lost: set[str] = set()
        for entry in self.entries.values():
            if entry.connections and now - entry.last_heartbeat_at < LIVENESS_TIMEOUT_S:
                lost |= entry.lost_targets
        return lost

    def remove_expired(self, now: float) -> None:
        """Remove instances whose permits expired and that send no more heartbeats."""
        for instance, entry in list(self.entries.items()):
            unreachable = now - entry.last_heartbeat_at > 2 * PERMIT_S
            if unreachable and entry.expires_at <= now:
                del self.entries[instance]
