"""This VM's permit and the tables that it covers (peridotd mode).

A permit is a VM's lease, granted by the placer, to send requests by its tables.
"""

from dataclasses import dataclass, field

from peridot_placement.assignments import Assignment
from peridot_placement.clock import boot_time
from peridot_placement.signals import ChangeSignal


@dataclass
class Permit:
    """The term of a permit and its expiry on the boot clock (s).

    A permit starts when it is requested, so it expires at this VM before the placer
    counts it as expired.
    """

    term: int = 0
    valid_until: float = float("-inf")

    def is_valid(self) -> bool:
        """Return whether the permit is valid now."""
        return boot_time() < self.valid_until

    def extend(self, term: int, requested_at: float, length_s: float) -> bool:
        """Extend the permit from its request on; return False for a lower term."""
        if term < self.term:
            return False
        if term > self.term:
            self.term = term
            self.valid_until = float("-inf")
        self.valid_until = max(self.valid_until, requested_at + length_s)
        return True


@dataclass
class LocalTables:
    """The assignments that this VM received from the placer, with its permit."""

    permit: Permit = field(default_factory=Permit)
    epoch: tuple[int, int] = (0, 0)
    assignments: dict[str, Assignment] = field(default_factory=dict)
    changed: ChangeSignal = field(default_factory=ChangeSignal)

    def apply(self, epoch: tuple[int, int], changed: list[Assignment]) -> bool:
        """Apply changed assignments; return False if their epoch is older."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            self.changed.notify()
        self.epoch = epoch
        for assignment in changed:
            self.assignments[assignment.service] = assignment
        return True

    def settled_owner(self, service: str, key_hash: int) -> str | None:
        """Return the owner of a hash, or None while it is unowned or moving."""
        assignment = self.assignments.get(service)
        if assignment is None:
            return None
        return assignment.table.settled_owner(key_hash)
