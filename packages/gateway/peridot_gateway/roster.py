"""Roster: the VMs that report to a placer, and the VMs that a member knows of."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from time import monotonic

from peridot_gateway.succession import MEMBER_FRESH_S
from peridot_ownership.record import Holder
from peridot_wire import peridot_pb2 as pb

# VMs assumed to share what is shared before any others are known.
ASSUMED_VMS = 16
# The first placer that is heard may have met few of the others yet.
SETTLE_S = 3.0
# The largest number of VMs seen lately counts for shared allowances.
VMS_MEMORY_S = 10.0


@dataclass
class Member:
    """Hold what a VM last reported."""

    holder: Holder
    store_reachable: bool
    leaving: bool
    heard_at: float


@dataclass
class Roster:
    """Hold the members of the placer that runs here."""

    members: dict[str, Member] = field(default_factory=dict)
    # Rises whenever a member joins or leaves.
    version: int = 0

    def take(self, report: pb.FleetReport) -> bool:
        """Take in a report; tell whether its sender is new."""
        holder = Holder(report.vm, report.instance, report.peer_address)
        before = self.members.get(report.vm)
        self.members[report.vm] = Member(
            holder, report.store_reachable, report.leaving, monotonic()
        )
        if before is None or before.holder != holder:
            self.version += 1
        return before is None

    def remove(self, vm: str, instance: str) -> bool:
        """Take in that a member left; tell whether it was known."""
        member = self.members.get(vm)
        if member is None or member.holder.instance != instance:
            return False
        del self.members[vm]
        self.version += 1
        return True

    def clear(self) -> None:
        """Forget all members: another term begins."""
        self.members.clear()
        self.version += 1

    def holders(self) -> list[Holder]:
        """Return the members' processes."""
        return [member.holder for member in self.members.values()]

    def fresh_count(self) -> int:
        """Return how many members reported just now."""
        oldest = monotonic() - MEMBER_FRESH_S
        return sum(member.heard_at > oldest for member in self.members.values())

    def any_reaches_store(self) -> bool:
        """Tell whether a member reaches the store."""
        return any(member.store_reachable for member in self.members.values())

    def any_stays(self) -> bool:
        """Tell whether a member isn't leaving."""
        return any(not member.leaving for member in self.members.values())


@dataclass
class Peers:
    """Hold the VMs of the fleet, as a placer told."""

    holders: list[Holder] = field(default_factory=list)
    told_at: float = float("-inf")
    first_told_at: float | None = None
    most: int = 0

    def take(self, holders: Iterable[Holder]) -> None:
        """Take in the VMs of now; a larger number of lately is remembered."""
        now = monotonic()
        if self.first_told_at is None:
            self.first_told_at = now
        self.holders = list(holders)
        if now - self.told_at > VMS_MEMORY_S or len(self.holders) >= self.most:
            self.most = len(self.holders)
            self.told_at = now

    def count(self) -> int:
        """Return the number of VMs that share what is shared."""
        now = monotonic()
        if self.first_told_at is None or now < self.first_told_at + SETTLE_S:
            return max(self.most, ASSUMED_VMS)
        return max(self.most, len(self.holders), 1)

    def others(self, *left_out: Holder) -> list[Holder]:
        """Return all VMs but some."""
        return [peer for peer in self.holders if peer not in left_out]

    def is_sampled(self, vm: str, count: int) -> bool:
        """Tell whether a VM is one of a few that are spread over all names.

        Names go with data centres: those next to each other tend to fail together.
        """
        return self.rank(vm) % max(1, len(self.holders) // count) == 0

    def rank(self, vm: str) -> int:
        """Return the place of a VM among all, by name."""
        names = sorted(peer.vm for peer in self.holders)
        return names.index(vm) if vm in names else len(names)
