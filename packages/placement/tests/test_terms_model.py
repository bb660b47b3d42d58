"""Check the term protocol in random interleavings of pauses, losses and delays.

The actions call the functions that the daemon calls; only the network, the store and
the clock are simulated.
"""

import os
from copy import deepcopy
from dataclasses import dataclass, field, replace
from random import Random
from unittest.mock import patch

from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from peridot_placement.assignments import Assignment
from peridot_placement.clock import add_drift_margin
from peridot_placement.ledger import PermitLedger
from peridot_placement.permits import LocalTables
from peridot_placement.slices import HASH_SPACE, HashRange, SliceTable
from peridot_placement.terms import (
    PERMIT_S,
    PROMISE_S,
    Candidacy,
    DaemonInstance,
    HeldTerm,
    TermRecord,
    earlier_wait_to_store_s,
    handover_wait_s,
    takeover_wait_s,
)

SERVICE = "status-desk"
WHOLE = HashRange(0, HASH_SPACE)
KEY_HASH = 7
TARGETS = ("one", "two", "three")
NODES = 3
VMS = 2
TIME_STEPS_S = (0.01, 0.05, 0.1, 0.1, 0.3, 0.3, 0.92, 0.92, 3.0)
ACTIONS_IN_A_BURST = 40


@dataclass
class Stored:
    """A value and its version in the simulated store."""

    value: object
    version: int = 1


@dataclass
class Node:
    """A daemon that may hold the term."""

    local_instance: DaemonInstance
    candidacy: Candidacy = field(default_factory=Candidacy)
    held: HeldTerm | None = None
    ledger: PermitLedger = field(default_factory=PermitLedger)
    assignment: Assignment | None = None
    version: int = 0
    sequence: int = 0
    moving_epoch: tuple[int, int] = (0, 0)
    started_move: bool = False
    reads: list = field(default_factory=list)


@dataclass
class DelayedWrite:
    """A conditional update of the assignment on its way to the store."""

    node: "Node"
    held: HeldTerm
    assignment: Assignment
    expected: int


@dataclass
class DelayedTermUpdate:
    """A candidate's update of the term on its way to the store."""

    node: "Node"
    record: TermRecord
    expected: int
    expires_at: float


@dataclass
class PermitRequest:
    """A request for a permit, and its reply if one is on its way."""

    vm: int
    requested_at: float
    applied_epoch: tuple[int, int]
    reply: tuple | None = None


def single_slice_table(owner: str) -> SliceTable:
    table = SliceTable()
    table.set_owner(0, owner)
    return table


class TermModel:
    """Three daemons compete for the term; two VMs send to one slice by its table.

    Guards against two VMs with valid permits that send a key to different targets. That
    would happen if a daemon acted under a term or an assignment that has been replaced.
    """

    def __init__(self):
        self.now = 100.0
        members = [DaemonInstance(f"vm{i}", f"i{i}", f"a{i}") for i in range(NODES)]
        record = TermRecord(1, members[0], tuple(members[1:]), "w")
        self.term = Stored(record)
        first = Assignment(SERVICE, "dc", 1, 1, "w", single_slice_table("one"))
        self.assigned = Stored(first)
        self.nodes = [Node(member) for member in members]
        self.nodes[0].held = HeldTerm(record, 1, self.now, confirmed_from=self.now)
        self.load_assignment(self.nodes[0])
        self.vms = [LocalTables() for _ in range(VMS)]
        self.requests: list[PermitRequest] = []
        self.delayed_writes: list[DelayedWrite] = []
        self.delayed_updates: list[DelayedTermUpdate] = []
        self.completed_moves = 0
        self.actions = {
            self.advance_time: 5,
            self.renew: 8,
            self.request_permit: 3,
            self.reply: 4,
            self.deliver_reply: 3,
            self.lose_message: 0.3,
            self.take_term: 1,
            self.deliver_term_update: 2,
            self.hand_over: 1,
            self.crash: 1,
            self.clear_earlier_wait: 2,
            self.confirm_at_once: 4,
            self.begin_confirmation: 1,
            self.end_confirmation: 1,
            self.gather_promises: 1,
            self.start_move: 4,
            self.complete_move: 6,
            self.deliver_write: 5,
            self.cancel_move: 1,
        }

    def act(self, rng):
        """Do one action chosen by weight, then check the invariants."""
        (action,) = rng.choices(list(self.actions), list(self.actions.values()))
        action(rng)
        self.check()

    def load_assignment(self, node):
        node.ledger = PermitLedger()
        node.assignment = deepcopy(self.assigned.value)
        node.version = self.assigned.version
        node.sequence = node.assignment.sequence
        node.moving_epoch = (node.held.record.number, node.sequence)
        node.started_move = False

    def choose_holder(self, rng):
        """Return a daemon that believes it holds the term; the newest most often."""
        holders = [node for node in self.nodes if node.held is not None]
        if not holders:
            return None
        newest = max(holders, key=lambda node: node.held.record.number)
        return newest if rng.random() < 0.6 else rng.choice(holders)

    def advance_time(self, rng):
        self.now += rng.choice(TIME_STEPS_S)

    # Permits

    def renew(self, rng):
        """Send a lease request and its reply without delay."""
        holder = self.choose_holder(rng)
        if holder is not None:
            request = self.new_request(rng)
            self.reply_to(holder, request)
            self.deliver(request)

    def new_request(self, rng):
        vm = rng.randrange(VMS)
        return PermitRequest(vm, self.now, self.vms[vm].epoch)

    def request_permit(self, rng):
        self.requests.append(self.new_request(rng))

    def reply(self, rng):
        holder = self.choose_holder(rng)
        waiting = [request for request in self.requests if request.reply is None]
        if holder is not None and waiting:
            self.reply_to(holder, rng.choice(waiting))

    def reply_to(self, placer, request):
        entry = placer.ledger.entry(
            DaemonInstance(f"front{request.vm}", f"f{request.vm}", "x")
        )
        entry.last_heartbeat_at = self.now
        entry.applied_epoch = request.applied_epoch
        granted = placer.held.may_grant(self.now)
        if granted:
            entry.granted_at = self.now
        epoch = (placer.held.record.number, placer.sequence)
        request.reply = (granted, epoch, deepcopy(placer.assignment))

    def deliver_reply(self, rng):
        replied = [request for request in self.requests if request.reply is not None]
        if replied:
            request = rng.choice(replied)
            self.requests.remove(request)
            self.deliver(request)

    def deliver(self, request):
        granted, epoch, assignment = request.reply
        tables = self.vms[request.vm]
        if tables.apply(epoch, [assignment]) and granted:
            tables.permit.extend(epoch[0], request.requested_at, PERMIT_S)

    def lose_message(self, rng):
        if self.requests:
            self.requests.remove(rng.choice(self.requests))

    # Terms

    def take_term(self, rng):
        candidate = rng.choice(self.nodes)
        record = self.term.value
        if candidate.held or candidate.local_instance not in record.candidates:
            return
        if not candidate.candidacy.may_acquire_term(self.now):
            return
        if any(update.node is candidate for update in self.delayed_updates):
            return
        previous = record.holder
        others = tuple(c for c in record.candidates if c != candidate.local_instance)
        (holder,) = (node for node in self.nodes if node.local_instance == previous)
        wait_s = takeover_wait_s(record, holder_stopped=holder.held is None)
        new = TermRecord(
            record.number + 1,
            candidate.local_instance,
            (*others, previous),
            "w",
            wait_s,
        )
        candidate.candidacy.begin_update(self.now)
        expires_at = candidate.candidacy.update_expires_at
        self.delayed_updates.append(
            DelayedTermUpdate(candidate, new, self.term.version, expires_at)
        )

    def deliver_term_update(self, rng):
        """Let a candidate's update reach the store within its lifetime."""
        if not self.delayed_updates:
            return
        update = self.delayed_updates.pop(rng.randrange(len(self.delayed_updates)))
        if self.now >= update.expires_at:
            return
        update.node.candidacy.end_update()
        if update.expected == self.term.version and update.node.held is None:
            self.begin_term(update.node, update.record)

    def begin_term(self, node, record):
        self.term = Stored(record, self.term.version + 1)
        earlier = self.now + record.earlier_wait_s
        node.held = HeldTerm(record, self.term.version, earlier)
        node.held.confirm(self.now, record, self.term.version)
        self.load_assignment(node)

    def clear_earlier_wait(self, rng):
        """Let a holder store that the permits of earlier terms have expired."""
        holder = self.choose_holder(rng)
        if holder is None or holder.held.version != self.term.version:
            return
        wait_s = earlier_wait_to_store_s(holder.held, self.now)
        record = replace(holder.held.record, earlier_wait_s=wait_s)
        self.term = Stored(record, self.term.version + 1)
        holder.held.record = record
        holder.held.version = self.term.version

    def crash(self, rng):
        """Let a holder stop without a handover, so that a candidate may take over."""
        holder = self.choose_holder(rng)
        if holder is not None:
            holder.held = None

    def hand_over(self, rng):
        holder = rng.choice(self.nodes)
        record = self.term.value
        if holder.held is None or record.holder != holder.local_instance:
            return
        holder.held.stopped = True
        successor, *others = record.candidates
        wait_s = handover_wait_s(holder.held, self.now)
        members = (*others, holder.local_instance)
        new = TermRecord(record.number + 1, successor, members, "w", wait_s)
        holder.held = None
        for node in self.nodes:
            if node.local_instance == successor:
                self.begin_term(node, new)

    def confirm_at_once(self, rng):
        holder = self.choose_holder(rng)
        if holder is not None:
            self.confirm(holder.held, self.now, self.term)

    def confirm(self, held, read_started_at, stored):
        held.confirm(read_started_at, stored.value, stored.version)
        for node in self.nodes:
            if node.held is not None and node.held.stopped:
                node.held = None

    def begin_confirmation(self, rng):
        holder = self.choose_holder(rng)
        if holder is not None:
            holder.reads.append((holder.held, self.now, self.term))

    def end_confirmation(self, rng):
        holder = rng.choice(self.nodes)
        if holder.reads:
            self.confirm(*holder.reads.pop(0))

    def gather_promises(self, rng):
        holder = self.choose_holder(rng)
        if holder is None:
            return
        requested_at = self.now
        self.now += 0.05
        term = holder.held.record.number
        promises = [
            other.held is None
            and other.candidacy.give_promise(self.now, term, PROMISE_S)
            for other in self.nodes
            if other.local_instance in holder.held.record.candidates
        ]
        if all(promises):
            holder.held.promise(requested_at, PROMISE_S)

    # Moves

    def start_move(self, rng):
        placer = self.choose_holder(rng)
        if placer is None or not placer.held.may_grant(self.now):
            return
        table = placer.assignment.table.copy()
        if not table.slice_at(0).settled:
            return
        table.start_move(0, rng.choice(TARGETS))
        self.send_write(placer, table)
        if self.apply_write(self.delayed_writes.pop()):
            placer.moving_epoch = (placer.held.record.number, placer.sequence)
            placer.started_move = True

    def complete_move(self, rng):
        placer = self.choose_holder(rng)
        if placer is None:
            return
        moving = placer.assignment.table.slice_at(0)
        if moving.next_owner is None or self.has_delayed_write(placer):
            return
        if placer.ledger.vms_still_using(SERVICE, WHOLE, placer.moving_epoch, self.now):
            return
        released_at = self.now
        stored = self.term
        self.now += rng.choice((0.0, 0.01, 0.5))
        held = placer.held
        held.confirm(released_at, stored.value, stored.version)
        if held.may_complete_move(self.now, released_at):
            table = placer.assignment.table.copy()
            table.set_owner(0, moving.next_owner)
            self.send_write(placer, table)

    def has_delayed_write(self, placer):
        return any(write.held is placer.held for write in self.delayed_writes)

    def send_write(self, placer, table):
        placer.sequence += 1
        term = placer.held.record.number
        assignment = replace(
            placer.assignment, term=term, sequence=placer.sequence, table=table
        )
        delayed = DelayedWrite(placer, placer.held, assignment, placer.version)
        self.delayed_writes.append(delayed)

    def deliver_write(self, rng):
        if self.delayed_writes:
            write = self.delayed_writes.pop(rng.randrange(len(self.delayed_writes)))
            self.completed_moves += self.apply_write(write)

    def apply_write(self, write):
        """Apply a conditional update, whose writer may have lost its term since."""
        current = write.node.held is write.held
        if write.expected != self.assigned.version:
            if current:
                write.node.held = None
            return False
        self.assigned = Stored(deepcopy(write.assignment), write.expected + 1)
        if current:
            write.node.assignment = write.assignment
            write.node.version = self.assigned.version
        return True

    def cancel_move(self, rng):
        placer = self.choose_holder(rng)
        if placer is None or not placer.held.may_grant(self.now):
            return
        moving = placer.assignment.table.slice_at(0)
        if moving.next_owner is None or self.has_delayed_write(placer):
            return
        if not placer.started_move:
            return
        table = placer.assignment.table.copy()
        table.set_owner(0, moving.owner)
        placer.sequence += 1
        term = placer.held.record.number
        placer.assignment = replace(
            placer.assignment, term=term, sequence=placer.sequence, table=table
        )

    # Invariants

    def check(self):
        """Assert that VMs send to at most one target and that permits expire."""
        owners = {
            tables.settled_owner(SERVICE, KEY_HASH)
            for tables in self.vms
            if tables.permit.is_valid()
        }
        owners.discard(None)
        assert len(owners) <= 1, owners
        for tables in self.vms:
            assert tables.permit.valid_until <= self.now + add_drift_margin(PERMIT_S)


class TermMachine(RuleBasedStateMachine):
    """Run bursts of actions, each burst by its seed."""

    def __init__(self):
        super().__init__()
        self.model = TermModel()
        self.clock = patch(
            "peridot_placement.permits.boot_time", side_effect=lambda: self.model.now
        )
        self.clock.start()

    def teardown(self):
        self.clock.stop()

    @rule(seed=st.integers(0, 2**32 - 1))
    def burst(self, seed):
        rng = Random(seed)
        for _ in range(ACTIONS_IN_A_BURST):
            self.model.act(rng)


TestTerms = TermMachine.TestCase
TestTerms.settings = settings(
    max_examples=int(os.environ.get("TERM_EXAMPLES", "300")),
    stateful_step_count=10,
    deadline=None,
    phases=(Phase.generate,),
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
