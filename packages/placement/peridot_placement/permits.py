"""This VM's permit and the tables that it covers (peridotd mode).

A permit is a VM's lease, granted by the placer, to send requests by its tables.
"""

from dataclasses import dataclass, field

from peridot_placement.assignments import Assignment
from peridot_placement.clock import boot_time
from peridot_placement.hashing import HASH_SPACE
from peridot_placement.signals import ChangeSignal
from peridot_placement.slices import NO_TARGET, SliceTable


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
    # By service and slice: the epoch since which its owner has owned all of it.
    owner_epochs: dict[str, list[tuple[int, int]]] = field(default_factory=dict)

    def apply(self, epoch: tuple[int, int], changed: list[Assignment]) -> bool:
        """Apply changed assignments; return False if their epoch is older."""
        if epoch < self.epoch:
            return False
        if epoch > self.epoch:
            self.changed.notify()
        self.epoch = epoch
        for assignment in changed:
            self.owner_epochs[assignment.service] = self._find_owner_epochs(assignment)
            self.assignments[assignment.service] = assignment
        return True

    def assignment_epoch(self, service: str) -> tuple[int, int]:
        """Return the epoch of a service's assignment, (0, 0) without one."""
        assignment = self.assignments.get(service)
        return assignment.epoch if assignment else (0, 0)

    def owned_since(self, service: str, key_hash: int) -> tuple[int, int]:
        """Return an epoch since which the owner of a hash has owned it."""
        table = self.assignments[service].table
        return self.owner_epochs[service][table.find(key_hash)]

    def settled_owner(self, service: str, key_hash: int) -> str | None:
        """Return the owner of a hash, or None while it is unowned or moving."""
        assignment = self.assignments.get(service)
        if assignment is None:
            return None
        return assignment.table.settled_owner(key_hash)

    def _find_owner_epochs(self, current: Assignment) -> list[tuple[int, int]]:
        """Return for each slice of a new assignment since when its owner has owned it.

        No slice changes its owner unseen while this VM has a valid permit, as a move
        waits until the VM has applied its start. Without one, an owner that seems
        unchanged may have lost the slice and got it back.
        """
        previous = self.assignments.get(current.service)
        if previous is None or not self.permit.is_valid():
            return [current.epoch] * len(current.table)
        return carry_owner_epochs(
            previous.table, self.owner_epochs[current.service], current
        )


def carry_owner_epochs(
    before: SliceTable, epochs: list[tuple[int, int]], current: Assignment
) -> list[tuple[int, int]]:
    """Return since when the slices of an assignment have had their owners.

    `epochs` are those of the table before it.
    """
    table = current.table
    indexes = {name: index for index, name in enumerate(table.targets)}
    # Owners before, as indexes into the present table's targets; -2 is none of them.
    renamed = [indexes.get(name, -2) for name in before.targets]
    owners = [renamed[i] if i != NO_TARGET else NO_TARGET for i in before.owners]
    starts, count = before.starts, len(before)
    carried = []
    at = 0
    for index, (start, owner) in enumerate(
        zip(table.starts, table.owners, strict=True)
    ):
        end = table.starts[index + 1] if index + 1 < len(table) else HASH_SPACE
        while at + 1 < count and starts[at + 1] <= start:
            at += 1
        last = at
        while last + 1 < count and starts[last + 1] < end:
            last += 1
        if all(owners[i] == owner for i in range(at, last + 1)):
            carried.append(max(epochs[at : last + 1]))
        else:
            carried.append(current.epoch)
    return carried
