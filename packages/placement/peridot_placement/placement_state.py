"""State shared by the parts of a placer: its term, its tables and VM reports."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from uuid import uuid4

from peridot_objects.objects import ObjectStore
from peridot_placement.assignments import (
    Assignment,
    parse_assignment,
    serialize_assignment,
)
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_placement.ejection import Ejector
from peridot_placement.errors import check_invariant
from peridot_placement.ledger import PermitLedger
from peridot_placement.loads import LoadAggregator
from peridot_placement.signals import ChangeSignal
from peridot_placement.slices import HashRange, HomeTable, SliceTable
from peridot_placement.terms import HeldTerm
from peridot_placement.writer import WriteDone, WriteSuperseded, write_with_retries
from peridot_resources.catalog import Catalog, Kind


class AssignmentNotStored(Exception):
    """Raised when an assignment isn't known to be stored.

    `stored_unchanged` is True if the store certainly still holds the assignment that
    this placer stored or read last.
    """

    def __init__(self, reason: str, stored_unchanged: bool) -> None:
        super().__init__(reason)
        self.stored_unchanged = stored_unchanged


@dataclass(frozen=True)
class PendingMove:
    """A slice that moves, and the epoch since which no new request is sent for it."""

    range: HashRange
    destination: str
    epoch: tuple[int, int]
    started_at: float
    reason: str
    # Started under this term, so no other placer can have completed it.
    own_term: bool = True


@dataclass
class PlacerCounts:
    """Counters of what the placer has done."""

    started_moves: int = 0
    completed_moves: int = 0
    permits: int = 0
    assignment_writes: int = 0


@dataclass
class ServiceState:
    """The placement of one service in one data centre, and the moves under way."""

    assignment: Assignment
    version: int
    home: HomeTable
    pending_moves: dict[int, PendingMove] = field(default_factory=dict)
    rebalanced_at: float = float("-inf")
    split_at: float = float("-inf")
    move_allowance: float = 0.0


@dataclass
class PlacementState:
    """The state of a placer, which stores and publishes its tables (peridotd mode)."""

    store: ObjectStore
    data_centre: str
    held: HeldTerm
    catalog: Callable[[], Catalog]
    confirm: Callable[[], Awaitable[None]]
    log: DecisionLog
    ledger: PermitLedger = field(default_factory=PermitLedger)
    loads: LoadAggregator = field(default_factory=LoadAggregator)
    ejector: Ejector = field(default_factory=Ejector)
    counts: PlacerCounts = field(default_factory=PlacerCounts)
    states: dict[str, ServiceState] = field(default_factory=dict)
    sequence: int = 0
    returned_at: dict[str, float] = field(default_factory=dict)
    lost_targets: set[str] = field(default_factory=set)
    write_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    tables_changed: ChangeSignal = field(default_factory=ChangeSignal)
    store_available: bool = True

    @property
    def epoch(self) -> tuple[int, int]:
        """Return the term and sequence of the newest assignment."""
        return (self.held.record.number, self.sequence)

    def publish(self) -> None:
        """Wake all lease streams so that they send what changed."""
        self.tables_changed.notify()

    async def write(self, state: ServiceState, table: SliceTable) -> int:
        """Store a table as a service's assignment, then use it.

        Return the sequence that it is stored under. Raises AssignmentNotStored unless
        it is known to be stored.
        """
        async with self.write_lock:
            sequence = self.sequence + 1
            assignment = Assignment(
                state.assignment.service,
                self.data_centre,
                self.held.record.number,
                sequence,
                uuid4().hex,
                table,
            )
            outcome = await write_with_retries(
                self.store,
                Kind.ASSIGNMENT,
                assignment.name,
                serialize_assignment(assignment),
                state.version,
                lambda value: parse_assignment(value).write_id == assignment.write_id,
                lambda: self.held.may_grant(boot_time()),
            )
            if isinstance(outcome, WriteSuperseded):
                self.held.stopped = True
                raise AssignmentNotStored(
                    "another placer wrote the assignment", stored_unchanged=False
                )
            if not isinstance(outcome, WriteDone):
                raise AssignmentNotStored("assignment not written", outcome.not_applied)
            check_invariant(
                outcome.version > state.version,
                "versions_rise",
                f"{assignment.name}: {state.version} then {outcome.version}",
            )
            self.store_available = True
            self.counts.assignment_writes += 1
            # A move that was cancelled meanwhile took this sequence. VMs that have
            # applied it get the table under a higher one.
            self.sequence += 1
            state.assignment = replace(assignment, sequence=self.sequence)
            state.version = outcome.version
            return sequence
