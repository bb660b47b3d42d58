"""What the parts of a placer share: the term, the tables and what VMs reported."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
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
from peridot_placement.loads import LoadBook
from peridot_placement.signals import ChangeSignal
from peridot_placement.slices import HashRange, HomeTable, SliceTable
from peridot_placement.terms import HeldTerm
from peridot_placement.writer import WriteDone, WriteLost, write_durably
from peridot_resources.catalog import Catalog, Kind


class StoreLost(Exception):
    """Report that a write to the store didn't succeed, for certain if known."""

    def __init__(self, reason: str, known: bool) -> None:
        super().__init__(reason)
        self.known = known


@dataclass(frozen=True)
class PendingMove:
    """Hold a slice that is moving and the epoch from which nobody has it."""

    range: HashRange
    destination: str
    epoch: tuple[int, int]
    began: float
    reason: str
    # Begun under this term, so nobody else can have settled it.
    own: bool = True


@dataclass
class PlacerCounts:
    """Count what the placer has done."""

    moves: int = 0
    settled: int = 0
    permits: int = 0
    assignment_writes: int = 0


@dataclass
class ServiceState:
    """Hold what the placer knows of one service in its data centre."""

    assignment: Assignment
    version: int
    home: HomeTable
    pending: dict[int, PendingMove] = field(default_factory=dict)
    rebalanced_at: float = float("-inf")
    split_at: float = float("-inf")
    move_allowance: float = 0.0


@dataclass
class PlacementState:
    """Hold what a placer knows, and store and publish its tables."""

    store: ObjectStore
    data_centre: str
    held: HeldTerm
    catalog: Callable[[], Catalog]
    confirm: Callable[[], Awaitable[None]]
    log: DecisionLog
    ledger: PermitLedger = field(default_factory=PermitLedger)
    loads: LoadBook = field(default_factory=LoadBook)
    ejector: Ejector = field(default_factory=Ejector)
    counts: PlacerCounts = field(default_factory=PlacerCounts)
    states: dict[str, ServiceState] = field(default_factory=dict)
    sequence: int = 0
    returned_at: dict[str, float] = field(default_factory=dict)
    known_lost: set[str] = field(default_factory=set)
    write_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    pushed: ChangeSignal = field(default_factory=ChangeSignal)
    store_available: bool = True

    @property
    def epoch(self) -> tuple[int, int]:
        """Return the term and the sequence of the last published table."""
        return (self.held.record.number, self.sequence)

    def push(self) -> None:
        """Wake every lease stream so that it sends what changed."""
        self.pushed.notify()

    async def write(self, state: ServiceState, table: SliceTable) -> None:
        """Store a table durably, then publish it; raise StoreLost otherwise."""
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
            outcome = await write_durably(
                self.store,
                Kind.ASSIGNMENT,
                assignment.name,
                serialize_assignment(assignment),
                state.version,
                lambda value: parse_assignment(value).write_id == assignment.write_id,
                lambda: self.held.may_give(boot_time()),
            )
            if isinstance(outcome, WriteLost):
                self.held.stopped = True
                raise StoreLost("another placer wrote the assignment", known=False)
            if not isinstance(outcome, WriteDone):
                raise StoreLost("assignment not written", outcome.known)
            check_invariant(
                outcome.version > state.version,
                "versions_rise",
                f"{assignment.name}: {state.version} then {outcome.version}",
            )
            self.store_available = True
            self.counts.assignment_writes += 1
            self.sequence = sequence
            state.assignment = assignment
            state.version = outcome.version
