"""Roster and Peers: the members of a placer, and the VMs known to a member."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from time import monotonic

from peridot_gateway.succession import MEMBER_FRESH_S
from peridot_ownership.record import DaemonInstance
from peridot_wire import peridot_pb2 as pb

# Number of VMs assumed to share a budget until the fleet is known.
ASSUMED_VMS = 16
# A new placer may know only some of the VMs for this long after its first state.
DISCOVERY_PERIOD_S = 3.0
# Shared budgets are divided by the largest number of VMs within this period.
PEAK_COUNT_PERIOD_S = 10.0


@dataclass
class Member:
    """The last report of a VM."""

    daemon_instance: DaemonInstance
    store_reachable: bool
    leaving: bool
    last_report_at: float
    accepts_patches: bool


@dataclass
class Roster:
    """The members of the placer that runs on this VM."""

    members: dict[str, Member] = field(default_factory=dict)
    # Incremented whenever a member joins or leaves.
    version: int = 0

    def record_report(self, report: pb.FleetReport) -> bool:
        """Record a report; return whether its sender is a new member."""
        daemon_instance = DaemonInstance(
            report.vm, report.instance, report.peer_address, report.cores
        )
        previous = self.members.get(report.vm)
        self.members[report.vm] = Member(
            daemon_instance,
            report.store_reachable,
            report.leaving,
            monotonic(),
            report.accepts_patches,
        )
        if previous is None or previous.daemon_instance != daemon_instance:
            self.version += 1
        return previous is None

    def remove(self, vm: str, instance: str) -> bool:
        """Remove an instance of a VM; return whether it was a member."""
        member = self.members.get(vm)
        if member is None or member.daemon_instance.instance != instance:
            return False
        del self.members[vm]
        self.version += 1
        return True

    def clear(self) -> None:
        """Remove all members at the start of a term."""
        self.members.clear()
        self.version += 1

    def instances(self) -> list[DaemonInstance]:
        """Return the daemon instances of all members."""
        return [member.daemon_instance for member in self.members.values()]

    def fresh_count(self) -> int:
        """Return how many members reported within MEMBER_FRESH_S."""
        oldest = monotonic() - MEMBER_FRESH_S
        return sum(member.last_report_at > oldest for member in self.members.values())

    def accepts_patches(self, vm: str) -> bool:
        """Return whether a member reads changes of tables; earlier builds don't."""
        member = self.members.get(vm)
        return member is not None and member.accepts_patches

    def any_reaches_store(self) -> bool:
        """Return whether any member can reach the store."""
        return any(member.store_reachable for member in self.members.values())

    def any_staying(self) -> bool:
        """Return whether any member isn't leaving."""
        return any(not member.leaving for member in self.members.values())


@dataclass
class Peers:
    """The VMs of the fleet as last listed by a placer."""

    instances: list[DaemonInstance] = field(default_factory=list)
    peak_updated_at: float = float("-inf")
    first_updated_at: float | None = None
    peak_count: int = 0

    def update(self, instances: Iterable[DaemonInstance]) -> None:
        """Replace the list of VMs and update the peak count of the last period."""
        now = monotonic()
        if self.first_updated_at is None:
            self.first_updated_at = now
        self.instances = list(instances)
        if (
            now - self.peak_updated_at > PEAK_COUNT_PERIOD_S
            or len(self.instances) >= self.peak_count
        ):
            self.peak_count = len(self.instances)
            self.peak_updated_at = now

    def count(self) -> int:
        """Return the number of VMs that share a budget."""
        now = monotonic()
        if (
            self.first_updated_at is None
            or now < self.first_updated_at + DISCOVERY_PERIOD_S
        ):
            return max(self.peak_count, ASSUMED_VMS)
        return max(self.peak_count, len(self.instances), 1)

    def others(self, *excluded: DaemonInstance) -> list[DaemonInstance]:
        """Return all VMs except some."""
        return [peer for peer in self.instances if peer not in excluded]

    def is_sampled(self, vm: str, count: int) -> bool:
        """Return whether a VM is in a sample of a size, spread over all names.

        VMs with adjacent names tend to be in one data centre and to fail together.
        """
        names = sorted(peer.vm for peer in self.instances)
        index = names.index(vm) if vm in names else len(names)
        return index % max(1, len(names) // count) == 0

    def election_rank(self, vm: str) -> int:
        """Return the index of a VM among all VMs, those with most cores first.

        The work of the placer grows with the number of targets.
        """
        ranked = sorted(self.instances, key=lambda peer: (-peer.cores, peer.vm))
        names = [peer.vm for peer in ranked]
        return names.index(vm) if vm in names else len(names)
