"""Permits as their holder sees them, and the tables they cover."""

from dataclasses import dataclass, field

from peridot_placement.assignments import Assignment
from peridot_placement.clock import boot_time
from peridot_placement.signals import ChangeSignal


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
    changed: ChangeSignal = field(default_factory=ChangeSignal)

    def apply(self, epoch: tuple[int, int], changed: list[Assignment]) -> bool:
        """Take in tables of a newer epoch; tell whether they were taken."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            self.changed.notify()
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
