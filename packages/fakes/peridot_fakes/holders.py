"""In-memory targets that enforce leases on keys (gateway mode), with faults."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

from peridot_ownership.holds import (
    Denied,
    Grant,
    Granted,
    GrantOutcome,
    Outranked,
    Released,
    ReleaseOutcome,
    Replaced,
    TargetLeaseClient,
    Unanswered,
    Unreached,
)
from peridot_ownership.ranges import KeyRange
from peridot_resources.configuration import TargetInstance


@dataclass
class HeldLease:
    """A lease on keys as the target keeps it; `ends` is its expiry (s)."""

    keys: KeyRange
    fence: int
    ends: float


@dataclass
class LeaseHolder:
    """A target's leases, with faults that tests can inject.

    A grant is refused if one with a higher fencing token was accepted for some of its
    keys. Leases expire by themselves.
    """

    held: list[HeldLease] = field(default_factory=list)
    # The keys and fencing tokens of all accepted grants.
    seen: list[tuple[KeyRange, int]] = field(default_factory=list)
    reachable: bool = True
    # If set, grants get no response and take effect after this time (s).
    late_s: float | None = None
    # Another incarnation uses the address.
    replaced: bool = False
    # Calls take effect, unless the target is gone, but are answered as invalid.
    denies: bool = False
    # The target doesn't exist any more and accepts no leases.
    gone: bool = False
    # Time (s) until a grant is answered, after it has taken effect.
    answer_s: float = 0.0
    # Time (s) that in-flight requests for released keys need to finish.
    processing_s: float = 0.0

    def accept_grant(self, grant: Grant, arrived: float) -> GrantOutcome:
        """Check a grant that arrived at a time (s) and accept it if it is valid."""
        if self.gone:
            return Denied("gone")
        if any(f > grant.fence and k.overlaps(grant.keys) for k, f in self.seen):
            return Outranked()
        self.seen.append((grant.keys, grant.fence))
        self.add_lease(grant, arrived)
        return Granted()

    def add_lease(self, grant: Grant, arrived: float) -> None:
        """Add the lease of a grant without a check; it starts on arrival (s)."""
        if self.gone:
            return
        self.drop(grant.keys)
        expires_at = arrived + grant.hold_s
        self.held.append(HeldLease(grant.keys, grant.fence, expires_at))

    def drop(self, keys: KeyRange) -> None:
        """Cut keys out of all leases."""
        self.held = [
            HeldLease(part, item.fence, item.ends)
            for item in self.held
            for part in item.keys.minus([keys])
        ]

    def holds(self, key: int, now: float) -> bool:
        """Return whether an unexpired lease covers a key at a time (s)."""
        return any(
            item.keys.start <= key < item.keys.end and item.ends > now
            for item in self.held
        )


class MemoryLeaseClient(TargetLeaseClient):
    """Grant and release leases in memory; record keys that two targets hold at once."""

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        self.clock = clock
        self.holders: dict[str, LeaseHolder] = {}
        self.violations: list[str] = []
        self.releases: list[tuple[str, KeyRange]] = []
        self.late_tasks: set[asyncio.Task] = set()

    def holder(self, name: str) -> LeaseHolder:
        """Return the lease holder of a target, created on first use."""
        return self.holders.setdefault(name, LeaseHolder())

    async def grant(
        self, target: TargetInstance, grant: Grant, timeout_s: float
    ) -> GrantOutcome:
        await asyncio.sleep(0)
        holder = self.holder(target.name)
        if holder.replaced:
            return Replaced()
        if not holder.reachable:
            await asyncio.sleep(timeout_s)
            return Unreached("unreachable")
        arrived = self.clock()
        if holder.late_s is not None:
            task = asyncio.create_task(self._apply_late(target.name, grant, arrived))
            self.late_tasks.add(task)
            task.add_done_callback(self.late_tasks.discard)
            await asyncio.sleep(timeout_s)
            return Unanswered("no answer")
        outcome = holder.accept_grant(grant, arrived)
        self.check()
        await asyncio.sleep(holder.answer_s)
        return Denied("status 400") if holder.denies else outcome

    async def _apply_late(self, name: str, grant: Grant, arrived: float) -> None:
        holder = self.holder(name)
        await asyncio.sleep(holder.late_s or 0.0)
        # Skips the check of the fencing token: in the worst case a delayed grant takes
        # effect although a newer one was accepted.
        holder.add_lease(grant, arrived)
        self.check()

    async def release(
        self, target: TargetInstance, keys: KeyRange, fence: int, timeout_s: float
    ) -> ReleaseOutcome:
        holder = self.holder(target.name)
        if holder.replaced:
            return Replaced()
        if not holder.reachable:
            await asyncio.sleep(timeout_s)
            return Unreached("unreachable")
        if holder.denies:
            return Denied("status 400")
        holder.drop(keys)
        self.releases.append((target.name, keys))
        await asyncio.sleep(holder.processing_s)
        return Released("token")

    def check(self) -> None:
        """Record each pair of targets whose unexpired leases overlap."""
        now = self.clock()
        live = [
            (name, item.keys)
            for name, holder in self.holders.items()
            for item in holder.held
            if item.ends > now
        ]
        for at, (name, keys) in enumerate(live):
            for other, other_keys in live[at + 1 :]:
                if other != name and keys.overlaps(other_keys):
                    self.violations.append(f"{name} {keys} and {other} {other_keys}")
