"""Permits as their holder sees them, and the tables they cover."""

import asyncio
from dataclasses import dataclass, field

from peridot_placement.assignments import Assignment
from peridot_placement.clock import boot_time


@dataclass
class Permit:
    """Hold until when this VM may send under which term.

    The permit counts from the moment it was asked for.
    """

    term: int = 0
    valid_until: float = float("-inf")

    def is_live(self) -> bool:
        """Tell whether the permit stands at this moment."""
        return boot_time() < self.valid_until

    def extend(self, term: int, asked_at: float, length_s: float) -> bool:
        """Take in a permit; refuse one of a lower term."""
        if term < self.term:
            return False
        if term > self.term:
            self.term = term
            self.valid_until = float("-inf")
        self.valid_until = max(self.valid_until, asked_at + length_s)
        return True


@dataclass
class LocalTables:
    """Hold the assignments that this VM serves by, from the placer itself."""

    permit: Permit = field(default_factory=Permit)
    epoch: tuple[int, int] = (0, 0)
    assignments: dict[str, Assignment] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Return when tables change or the time is up."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()
        except TimeoutError:
            pass

    def apply(self, epoch: tuple[int, int], changed: list[Assignment]) -> bool:
        """Take in tables of a newer epoch; tell whether they were taken."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            event, self.changed = self.changed, asyncio.Event()
            event.set()
        self.epoch = epoch
        for assignment in changed:
            self.assignments[assignment.service] = assignment
        return True

    def settled_owner(self, service: str, key_hash: int) -> str | None:
        """Return the target that owns a hash, or None while nobody does."""
        assignment = self.assignments.get(service)
        if assignment is None:
            return None
        return assignment.table.settled_owner(key_hash)
