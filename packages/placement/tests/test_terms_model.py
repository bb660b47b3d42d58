"""Check the term protocol over random interleavings of pauses, losses and delays.

The rules call the functions that the daemon calls; only the network, the store and
the clock are simulated.
"""

from copy import deepcopy
from dataclasses import dataclass, field, replace
from unittest.mock import patch

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from peridot_placement.assignments import Assignment
from peridot_placement.clock import with_drift
from peridot_placement.ledger import PermitLedger
from peridot_placement.permits import LocalTables
from peridot_placement.slices import HASH_SPACE, HashRange, SliceTable
from peridot_placement.terms import (
    PERMIT_S,
    PROMISE_S,
    Candidacy,
    Candidate,
    HeldTerm,
    TermRecord,
    wait_after,
    wait_after_handover,
)

SERVICE = "status-desk"
WHOLE = HashRange(0, HASH_SPACE)
KEY_HASH = 7
TARGETS = ("one", "two", "three")
NODES = 3
VMS = 2


@dataclass
class Stored:
    """Hold a value and its version in the simulated store."""

    value: object
    version: int = 1


@dataclass
class Node:
    """Hold one instance that may hold the term."""

    me: Candidate
    candidacy: Candidacy = field(default_factory=Candidacy)
    held: HeldTerm | None = None
    ledger: PermitLedger = field(default_factory=PermitLedger)
    assignment: Assignment | None = None
    version: int = 0
    sequence: int = 0
    moving_epoch: tuple[int, int] = (0, 0)
    reads: list = field(default_factory=list)


@dataclass
class Ask:
    """Hold a permit that is asked for, and the answer on its way."""

    vm: int
    asked_at: float
    applied: tuple[int, int]
    reply: tuple | None = None


def settled(table_owner: str) -> SliceTable:
    table = SliceTable()
    table.settle(0, table_owner)
    return table


class TermMachine(RuleBasedStateMachine):
    """Let three instances contend for one slice's term before two VMs."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.clock = patch(
            "peridot_placement.permits.boot_time", side_effect=lambda: self.now
        )
        self.clock.start()
        members = [Candidate(f"vm{i}", f"i{i}", f"a{i}") for i in range(NODES)]
        record = TermRecord(1, members[0], tuple(members[1:]), "w")
        self.term = Stored(record)
        first = Assignment(SERVICE, "dc", 1, 1, "w", settled("one"))
        self.assigned = Stored(first)
        self.nodes = [Node(member) for member in members]
        self.nodes[0].held = HeldTerm(record, 1, self.now, confirmed_from=self.now)
        self.adopt(self.nodes[0])
        self.vms = [LocalTables() for _ in range(VMS)]
        self.asks: list[Ask] = []
        self.late_updates: list = []
        self.settled_moves = 0

    def teardown(self):
        self.clock.stop()

    def adopt(self, node):
        node.ledger = PermitLedger()
        node.assignment = deepcopy(self.assigned.value)
        node.version = self.assigned.version
        node.sequence = node.assignment.sequence
        node.moving_epoch = (node.held.record.number, node.sequence)

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.3, 0.7, 1.0, 2.0, 2.8, 5.0]))
    def pass_time(self, seconds):
        self.now += seconds

    # Permits

    @rule(vm=st.integers(0, VMS - 1))
    def ask(self, vm):
        self.asks.append(Ask(vm, self.now, self.vms[vm].epoch))

    @rule(node=st.integers(0, NODES - 1), data=st.data())
    def answer(self, node, data):
        placer = self.nodes[node]
        waiting = [ask for ask in self.asks if ask.reply is None]
        if placer.held is None or not waiting:
            return
        ask = data.draw(st.sampled_from(waiting))
        entry = placer.ledger.entry(Candidate(f"front{ask.vm}", f"f{ask.vm}", "x"))
        entry.heard_at = self.now
        entry.applied = ask.applied
        granted = placer.held.may_give(self.now)
        if granted:
            entry.granted_at = self.now
        epoch = (placer.held.record.number, placer.sequence)
        ask.reply = (granted, epoch, deepcopy(placer.assignment))

    @rule(data=st.data())
    def deliver_answer(self, data):
        answered = [ask for ask in self.asks if ask.reply is not None]
        if not answered:
            return
        ask = data.draw(st.sampled_from(answered))
        self.asks.remove(ask)
        granted, epoch, assignment = ask.reply
        tables = self.vms[ask.vm]
        if tables.apply(epoch, [assignment]) and granted:
            tables.permit.extend(epoch[0], ask.asked_at, PERMIT_S)

    @rule(data=st.data())
    def lose_message(self, data):
        if self.asks:
            self.asks.remove(data.draw(st.sampled_from(self.asks)))

    # Terms

    @rule(node=st.integers(0, NODES - 1), known_gone=st.just(False))
    def take_term(self, node, known_gone):
        taker = self.nodes[node]
        record = self.term.value
        if taker.held or taker.me not in record.candidates:
            return
        if not taker.candidacy.may_take(self.now):
            return
        previous = record.holder
        others = tuple(c for c in record.candidates if c != taker.me)
        wait_s = wait_after(record, holder_stopped=known_gone)
        new = TermRecord(record.number + 1, taker.me, (*others, previous), "w", wait_s)
        self.term = Stored(new, self.term.version + 1)
        taker.held = HeldTerm(new, self.term.version, self.now + wait_s)
        self.adopt(taker)

    @rule(node=st.integers(0, NODES - 1))
    def hand_over(self, node):
        giver = self.nodes[node]
        record = self.term.value
        if giver.held is None or record.holder != giver.me or not record.candidates:
            return
        giver.held.stopped = True
        heir, *others = record.candidates
        wait_s = wait_after_handover(giver.held, self.now)
        members = (*others, giver.me)
        new = TermRecord(record.number + 1, heir, members, "w", wait_s)
        self.term = Stored(new, self.term.version + 1)
        giver.held = None
        for node_ in self.nodes:
            if node_.me == heir:
                node_.held = HeldTerm(new, self.term.version, self.now + wait_s)
                self.adopt(node_)

    @rule(node=st.integers(0, NODES - 1))
    def begin_confirmation(self, node):
        if self.nodes[node].held:
            found = (self.now, self.term.value, self.term.version)
            self.nodes[node].reads.append((self.nodes[node].held, found))

    @rule(node=st.integers(0, NODES - 1))
    def end_confirmation(self, node):
        holder = self.nodes[node]
        if holder.reads:
            held, found = holder.reads.pop(0)
            held.confirm(*found)
            if holder.held and holder.held.stopped:
                holder.held = None

    @rule(node=st.integers(0, NODES - 1))
    def gather_promises(self, node):
        holder = self.nodes[node]
        if holder.held is None:
            return
        asked_at = self.now
        self.now += 0.05
        term = holder.held.record.number
        kept = [
            other.held is None
            and other.candidacy.give_promise(self.now, term, PROMISE_S)
            for other in self.nodes
            if other.me in holder.held.record.candidates
        ]
        if all(kept):
            holder.held.promise(asked_at, PROMISE_S)

    # Moves

    @rule(node=st.integers(0, NODES - 1), destination=st.sampled_from(TARGETS))
    def start_move(self, node, destination):
        placer = self.nodes[node]
        if placer.held is None or not placer.held.may_give(self.now):
            return
        table = placer.assignment.table.copy()
        if not table.slice_at(0).settled:
            return
        table.start_move(0, destination)
        if self.write(placer, table):
            placer.moving_epoch = (placer.held.record.number, placer.sequence)

    @rule(node=st.integers(0, NODES - 1), read_takes=st.sampled_from([0.0, 0.5]))
    def settle_move(self, node, read_takes):
        placer = self.nodes[node]
        if placer.held is None:
            return
        moving = placer.assignment.table.slice_at(0)
        if moving.next_owner is None:
            return
        if placer.ledger.holders_of_rights(
            SERVICE, WHOLE, placer.moving_epoch, self.now
        ):
            return
        rights_ended = self.now
        record, version = self.term.value, self.term.version
        self.now += read_takes
        placer.held.confirm(rights_ended, record, version)
        if placer.held.may_settle(self.now, rights_ended):
            table = placer.assignment.table.copy()
            table.settle(0, moving.next_owner)
            self.settled_moves += self.write(placer, table)

    def write(self, placer, table):
        """Write conditionally; a writer that lost steps down."""
        if placer.version != self.assigned.version:
            placer.held = None
            return False
        term = placer.held.record.number
        placer.sequence += 1
        placer.assignment = replace(
            placer.assignment, term=term, sequence=placer.sequence, table=table
        )
        self.assigned = Stored(deepcopy(placer.assignment), placer.version + 1)
        placer.version += 1
        return True

    @invariant()
    def at_most_one_owner(self):
        owners = {
            tables.settled_owner(SERVICE, KEY_HASH)
            for tables in self.vms
            if tables.permit.is_live()
        }
        owners.discard(None)
        assert len(owners) <= 1, owners

    @invariant()
    def permits_are_bounded(self):
        for tables in self.vms:
            assert tables.permit.valid_until <= self.now + with_drift(PERMIT_S)


TestTerms = TermMachine.TestCase
TestTerms.settings = settings(
    max_examples=300,
    stateful_step_count=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
