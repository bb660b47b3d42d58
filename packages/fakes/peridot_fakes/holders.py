"""Targets that enforce holds, in memory, with faults on demand."""

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
class HeldRange:
    """Hold keys that a target holds until a time (s)."""

    keys: KeyRange
    fence: int
    ends: float


@dataclass
class Holder:
    """Act as one target: takes grants with rising fences, lets them run out."""

    held: list[HeldRange] = field(default_factory=list)
    seen: list[tuple[KeyRange, int]] = field(default_factory=list)
    reachable: bool = True
    # Grants that get no answer and take effect after this time (s).
    late_s: float | None = None
    replaced: bool = False
    # Calls are carried out, unless it is gone, and answered as if they were invalid.
    denies: bool = False
    gone: bool = False
    # Time (s) that the answer to a grant takes.
    answer_s: float = 0.0
    # Time that the work running on released keys takes (s).
    processing_s: float = 0.0

    def take(self, grant: Grant, arrived: float) -> GrantOutcome:
        """Take a grant whose time counts from its arrival (s)."""
        if self.gone:
            return Denied("gone")
        if any(f > grant.fence and k.overlaps(grant.keys) for k, f in self.seen):
            return Outranked()
        self.seen.append((grant.keys, grant.fence))
        self.hold(grant, arrived)
        return Granted()

    def hold(self, grant: Grant, arrived: float) -> None:
        """Hold keys for the time of a grant, counted from its arrival (s)."""
        if self.gone:
            return
        self.drop(grant.keys)
        ends = arrived + grant.hold_s
        self.held.append(HeldRange(grant.keys, grant.fence, ends))

    def drop(self, keys: KeyRange) -> None:
        """Hold none of the keys any more."""
        self.held = [
            HeldRange(part, item.fence, item.ends)
            for item in self.held
            for part in item.keys.minus([keys])
        ]

    def holds(self, key: int, now: float) -> bool:
        """Tell whether a key is held now."""
        return any(
            item.keys.start <= key < item.keys.end and item.ends > now
            for item in self.held
        )


class MemoryLeaseClient(TargetLeaseClient):
    """Reach targets in memory; records every moment with two holders of a key."""

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        self.clock = clock
        self.holders: dict[str, Holder] = {}
        self.violations: list[str] = []
        self.releases: list[tuple[str, KeyRange]] = []
        self.late: set[asyncio.Task] = set()

    def holder(self, name: str) -> Holder:
        """Return the target with a name."""
        return self.holders.setdefault(name, Holder())

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
            late = asyncio.create_task(self._take_late(target.name, grant, arrived))
            self.late.add(late)
            late.add_done_callback(self.late.discard)
            await asyncio.sleep(timeout_s)
            return Unanswered("no answer")
        outcome = holder.take(grant, arrived)
        self.check()
        await asyncio.sleep(holder.answer_s)
        return Denied("status 400") if holder.denies else outcome

    async def _take_late(self, name: str, grant: Grant, arrived: float) -> None:
        holder = self.holder(name)
        await asyncio.sleep(holder.late_s or 0.0)
        # Newer grants don't hinder it.
        holder.hold(grant, arrived)
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
        """Note each key range that two targets hold now."""
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
