"""Test the placer and the election of peridotd with an in-memory store and peers."""

import asyncio
from contextlib import ExitStack, asynccontextmanager
from dataclasses import replace

from peridot_objects.objects import MemoryObjectStore
from peridot_objects.outcomes import StoredObject
from peridot_placement.assignments import Assignment, parse_assignment
from peridot_placement.clock import boot_time
from peridot_placement.decisions import MemoryDecisionLog
from peridot_placement.keeper import (
    ElectionPeers,
    Liveness,
    PromiseOutcome,
    TermElector,
)
from peridot_placement.mover import ServiceMover
from peridot_placement.placement_state import (
    PendingMove,
    PlacementState,
    ServiceState,
)
from peridot_placement.placer import Placer
from peridot_placement.slices import HomeTable, SliceTable
from peridot_placement.terms import (
    PERMIT_S,
    PROMISE_S,
    Candidacy,
    DaemonInstance,
    HeldTerm,
    TermRecord,
    parse_term,
)
from peridot_resources.catalog import Catalog, RoutingPolicy, Service, Target
from peridot_wire import peridot_pb2 as pb

POLICY = RoutingPolicy(
    "p", 2000, 1000, 5, (), 0.1, 200, 0.5, 1000, 1000, 60, 1.0, 1.0, 1.0
)
SERVICE = Service("s", "/s/", "Key", None, True, frozenset({"GET"}), (), "p")
TARGETS = {
    name: Target(name, "s", "127.0.0.1:1", "dc", 3, 8, True, False)
    for name in ("t1", "t2")
}
CATALOG = Catalog(1, {"s": SERVICE}, TARGETS, {"p": POLICY})
TIMEOUT_S = 12.0


class MemoryPeers(ElectionPeers):
    """Call the other daemons of this process."""

    def __init__(self):
        self.electors = {}
        self.unreachable = set()

    async def request_promise(self, candidate, term, length_s):
        elector = self.electors.get(candidate.vm)
        if candidate.vm in self.unreachable:
            return PromiseOutcome.UNREACHABLE
        if elector is None:
            return PromiseOutcome.NOT_RUNNING
        promised = elector.promise(term, length_s)
        return PromiseOutcome.PROMISED if promised else PromiseOutcome.REFUSED

    async def check_liveness(self, candidate):
        if candidate.vm in self.unreachable:
            return Liveness.UNREACHABLE
        running = candidate.vm in self.electors
        return Liveness.RUNNING if running else Liveness.NOT_RUNNING


class Cluster:
    """A data centre: a store, daemons in this process, and VMs that request permits."""

    def __init__(self):
        self.store = MemoryObjectStore()
        self.peers = MemoryPeers()
        self.log = MemoryDecisionLog()
        self.tasks = {}
        self.applied_epoch = (0, 0)
        self.busy = []
        self.lost_targets = []
        self.connected = set()
        self.connections = ExitStack()

    @asynccontextmanager
    async def running(self, *names):
        for name in names:
            self.start(name)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                yield
        finally:
            for name in list(self.tasks):
                await self.kill(name)

    def elector(self, name):
        local_instance = DaemonInstance(name, f"i-{name}", f"a-{name}")
        return TermElector(
            self.store,
            self.peers,
            local_instance,
            "dc",
            lambda: CATALOG,
            lambda: ["vm1", "vm2", "vm3"],
            self.log,
        )

    def start(self, name):
        elector = self.elector(name)
        self.peers.electors[name] = elector
        self.tasks[name] = asyncio.create_task(elector.run())
        return elector

    async def kill(self, name):
        self.peers.electors.pop(name, None)
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def placer(self):
        while True:
            for elector in self.peers.electors.values():
                if elector.placer and elector.placer.ready:
                    return elector.placer
            await asyncio.sleep(0.01)

    def request_permit(self, placer, vm="vm1"):
        """Send a lease request as a VM does, and apply the epoch of the reply."""
        term, sequence = self.applied_epoch
        request = pb.LeaseAsk(
            vm=vm,
            instance=f"i-{vm}",
            peer_address=f"a-{vm}",
            ask_id=1,
            term=term,
            applied_sequence=sequence,
            lost_targets=self.lost_targets,
        )
        for key_hash in self.busy:
            request.busy.add(service="s", start=key_hash, last=key_hash)
        self.connect(placer, DaemonInstance(vm, f"i-{vm}", f"a-{vm}"))
        reply = placer.renew_permit(request)
        if reply.term:
            self.applied_epoch = max(self.applied_epoch, (reply.term, reply.sequence))
        return reply

    def connect(self, placer, holder):
        """Connect a VM to a placer until the test ends, if it isn't connected yet."""
        if (id(placer), holder) not in self.connected:
            self.connected.add((id(placer), holder))
            self.connections.enter_context(placer.track_connection(holder))

    async def owners(self):
        found = await self.store.read("Assignment", "s.dc")
        if not isinstance(found, StoredObject):
            return []
        return list(parse_assignment(found.value).table)

    async def wait_until(self, condition, placer=None):
        while not await condition():
            if placer is not None:
                self.request_permit(placer)
            await asyncio.sleep(0.01)

    async def is_assigned(self):
        owners = await self.owners()
        return bool(owners) and all(item.settled for item in owners)

    async def owns_no_slices(self, name):
        owners = await self.owners()
        return all(item.settled and item.owner != name for item in owners)


def run(scenario):
    return asyncio.run(scenario(Cluster()))


def test_first_assignment_is_stored_before_it_is_sent():
    """Guard against a table in use that a successor of the placer can't read."""

    async def scenario(cluster):
        async with cluster.running("vm1"):
            placer = await cluster.placer()
            await cluster.wait_until(cluster.is_assigned)
            reply = cluster.request_permit(placer)
            assert reply.granted
            stored = await cluster.store.read("Assignment", "s.dc")
            given = parse_assignment(reply.tables[0].assignment)
            assert given == parse_assignment(stored.value)

    run(scenario)


def test_first_term_is_stored_by_a_vm_that_the_vm_list_lacks():
    """Guard against an elector that ends in an error until the VM list has its VM."""

    async def scenario(cluster):
        elector = cluster.elector("vm4")
        assert "vm4" not in elector.vm_names()
        task = asyncio.create_task(elector.run())
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while elector.record is None:
                    await asyncio.wait((task,), timeout=0.01)
                    if task.done():
                        task.result()
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        assert elector.record.holder.vm == "vm4"

    run(scenario)


def test_slices_leave_a_lost_target_only_when_no_vm_has_requests_there():
    """Guard against two targets serving a key while the old one still runs requests."""

    async def scenario(cluster):
        async with cluster.running("vm1"):
            placer = await cluster.placer()
            await cluster.wait_until(cluster.is_assigned)
            cluster.request_permit(placer)
            first = next(i for i in await cluster.owners() if i.owner == "t1")
            cluster.busy = [first.range.start]
            cluster.lost_targets = ["t1"]
            for _ in range(30):
                cluster.request_permit(placer)
                await asyncio.sleep(0.01)
            left = [i for i in await cluster.owners() if i.owner == "t1"]
            assert [i.range.start for i in left] == [first.range.start]
            cluster.busy = []
            await cluster.wait_until(lambda: cluster.owns_no_slices("t1"), placer)

    run(scenario)


def test_unreachable_vm_delays_a_move_until_its_permit_expires():
    """Guard against moves that ignore, or wait forever for, a VM without heartbeats."""

    async def scenario(cluster):
        async with cluster.running("vm1"):
            placer = await cluster.placer()
            await cluster.wait_until(cluster.is_assigned)
            cluster.request_permit(placer, "vm2")
            asked_at = boot_time()
            cluster.lost_targets = ["t1"]
            await cluster.wait_until(lambda: cluster.owns_no_slices("t1"), placer)
            assert 0.65 < boot_time() - asked_at < 1.2

    run(scenario)


def test_moves_complete_despite_lost_store_replies():
    """Guard against a placer that takes its own write for a conflict.

    That happens if the reply was lost: the retry then finds a newer version.
    """

    async def scenario(cluster):
        async with cluster.running("vm1"):
            placer = await cluster.placer()
            await cluster.wait_until(cluster.is_assigned)
            cluster.request_permit(placer)
            cluster.store.lose_answers = 5
            cluster.lost_targets = ["t1"]
            await cluster.wait_until(lambda: cluster.owns_no_slices("t1"), placer)
            assert not placer.placement.held.stopped

    run(scenario)


def test_placer_grants_permits_in_an_outage_while_candidates_promise():
    """Guard against permits that end with the store, or that outlast the promises."""

    async def scenario(cluster):
        async with cluster.running("vm1", "vm2"):
            placer = await cluster.placer()
            await cluster.wait_until(cluster.is_assigned)
            cluster.request_permit(placer, "vm1")
            cluster.request_permit(placer, "vm2")
            candidate = cluster.peers.electors["vm2"]

            async def has_candidate():
                record = parse_term((await cluster.store.read("Term", "dc")).value)
                candidate.observe_record(await cluster.store.read("Term", "dc"))
                candidate.record_heartbeat()
                cluster.request_permit(placer, "vm2")
                return bool(record.candidates)

            await cluster.wait_until(has_candidate, placer)
            await cluster.store.set_outage(True)
            ends = boot_time() + 3.0
            while boot_time() < ends:
                candidate.record_heartbeat()
                assert cluster.request_permit(placer).granted
                cluster.request_permit(placer, "vm2")
                await asyncio.sleep(0.05)
            cluster.peers.unreachable.add("vm2")
            while cluster.request_permit(placer).granted:
                await asyncio.sleep(0.05)
            assert boot_time() - ends < 2.5

    run(scenario)


def test_candidate_acquires_the_term_when_the_holder_refuses_connections():
    """Guard against waiting for the heartbeat timeout after a crash of the placer."""

    async def scenario(cluster):
        async with cluster.running("vm1", "vm2"):
            placer = await cluster.placer()
            holder = placer.placement.held.record.holder.vm
            candidate = "vm2" if holder == "vm1" else "vm1"
            await cluster.wait_until(cluster.is_assigned)

            async def has_candidate():
                cluster.request_permit(placer, candidate)
                stored = await cluster.store.read("Term", "dc")
                cluster.peers.electors[candidate].observe_record(stored)
                return bool(parse_term(stored.value).candidates)

            await cluster.wait_until(has_candidate, placer)
            await cluster.kill(holder)
            cluster.peers.electors[candidate].record_connection_refused()
            killed_at = boot_time()
            successor = await cluster.placer()
            assert boot_time() - killed_at < 0.3
            assert successor.placement.held.record.number == 2
            assert cluster.request_permit(successor).granted

    run(scenario)


def test_promise_given_during_an_attempt_to_acquire_the_term_is_kept():
    """Guard against two placers.

    The request for a promise arrives while the candidate awaits its read of the term.
    """

    async def scenario(cluster):
        async with cluster.running("vm1"):
            placer = await cluster.placer()
            candidate = DaemonInstance("vm2", "i-vm2", "a-vm2")

            async def has_candidate():
                cluster.request_permit(placer, "vm2")
                stored = await cluster.store.read("Term", "dc")
                return candidate in parse_term(stored.value).candidates

            await cluster.wait_until(has_candidate, placer)
            elector = cluster.elector("vm2")
            elector.observe_record(await cluster.store.read("Term", "dc"))
            term = elector.record.number

            read = cluster.store.read

            async def read_and_promise(kind, name):
                found = await read(kind, name)
                assert elector.promise(term, PROMISE_S)
                return found

            cluster.store.read = read_and_promise
            await elector._try_to_acquire_term()
            stored = await read("Term", "dc")
            assert parse_term(stored.value).number == term

    run(scenario)


def test_update_is_not_retried_so_late_that_it_outlives_a_promise():
    """Guard against a delayed update of the term that takes effect after a promise."""

    candidacy = Candidacy()
    candidacy.begin_update(100.0)
    assert candidacy.may_retry_update(101.4)
    assert not candidacy.may_retry_update(101.6)
    assert not candidacy.give_promise(103.9, 1, PROMISE_S)
    assert candidacy.give_promise(104.1, 1, PROMISE_S)
    assert not candidacy.may_acquire_term(106.0)


def test_new_candidates_do_not_signal_a_new_term():
    """Guard against lease clients that reconnect whenever candidates change."""

    async def scenario(cluster):
        async with cluster.running("vm1"):
            placer = await cluster.placer()
            (elector,) = cluster.peers.electors.values()
            before = elector.term_changed.next

            async def has_candidate():
                cluster.request_permit(placer, "vm2")
                stored = await cluster.store.read("Term", "dc")
                return bool(parse_term(stored.value).candidates)

            await cluster.wait_until(has_candidate, placer)
            assert not before.is_set()

    run(scenario)


def test_wait_for_earlier_permits_is_stored_as_zero_once_it_is_over():
    """Guard against successors that wait again for permits that expired long ago."""

    async def scenario(cluster):
        async with cluster.running("vm1"):
            placer = await cluster.placer()
            cluster.request_permit(placer)
            await cluster.store.delete("Term", "dc", None)

            async def has_earlier_wait(expected):
                found = await cluster.store.read("Term", "dc")
                if not isinstance(found, StoredObject):
                    return False
                for elector in cluster.peers.electors.values():
                    if elector.placer is not None:
                        cluster.request_permit(elector.placer)
                return (parse_term(found.value).earlier_wait_s > 0) == expected

            await cluster.wait_until(cluster.is_assigned)
            await cluster.wait_until(lambda: has_earlier_wait(True))
            await cluster.wait_until(lambda: has_earlier_wait(False))

    run(scenario)


def test_deleted_term_is_recreated_above_the_assignments_with_a_wait():
    """Guard against two placers: the holder of a deleted term may still run."""

    async def scenario(cluster):
        async with cluster.running("vm1"):
            await cluster.placer()
            await cluster.wait_until(cluster.is_assigned)
            await cluster.store.delete("Term", "dc", None)

            async def is_recreated():
                found = await cluster.store.read("Term", "dc")
                return isinstance(found, StoredObject)

            await cluster.wait_until(is_recreated)
            record = parse_term((await cluster.store.read("Term", "dc")).value)
            assert record.number == 2
            assert record.earlier_wait_s > 2.0

    run(scenario)


def test_placer_whose_assignment_was_overwritten_stops_granting():
    """Guard against a placer that grants permits by a table that has been replaced."""

    async def scenario(cluster):
        async with cluster.running("vm1"):
            placer = await cluster.placer()
            await cluster.wait_until(cluster.is_assigned)
            cluster.request_permit(placer)
            stored = await cluster.store.read("Assignment", "s.dc")
            await cluster.store.write("Assignment", "s.dc", stored.value, None)
            cluster.lost_targets = ["t1"]
            while not placer.placement.held.stopped:
                cluster.request_permit(placer)
                await asyncio.sleep(0.01)
            assert not cluster.request_permit(placer).granted

    run(scenario)


def test_placer_that_stopped_acquires_a_new_term_and_waits_for_its_own_permits():
    """Guard against a data centre without a placer, and against a term led twice.

    The second time, the placer would know nothing of the permits of the first, nor of
    the sequences that it gave to cancelled moves.
    """

    async def scenario(cluster):
        async with cluster.running("vm1"):
            placer = await cluster.placer()
            await cluster.wait_until(cluster.is_assigned)
            assert cluster.request_permit(placer).granted
            placer.placement.held.stopped = True
            while cluster.peers.electors["vm1"].placer is placer:
                await asyncio.sleep(0.01)
            stopped_at = boot_time()
            successor = await cluster.placer()
            held = successor.placement.held
            assert held.record.number == 2
            assert held.earlier_permits_end_at > stopped_at + PERMIT_S
            assert cluster.request_permit(successor).granted

    run(scenario)


def settled_state(service, sequence):
    """Return the state of a service in which t1 owns all hashes."""
    table = SliceTable()
    table.set_owner(0, "t1")
    assignment = Assignment(service, "dc", 1, sequence, "w", table)
    return ServiceState(assignment, 0, HomeTable((0,), ("dc",)))


def make_placer(store, *services):
    """Return a placer of term 1; t1 owns all services and is a target of the last."""
    holder = DaemonInstance("vm1", "i-vm1", "a-vm1")
    held = HeldTerm(TermRecord(1, holder, (), "w"), 1, float("-inf"))
    held.confirmed_from = boot_time()
    catalog = Catalog(
        1,
        {name: replace(SERVICE, name=name) for name in services},
        {"t1": replace(TARGETS["t1"], service=services[-1])},
        {"p": POLICY},
    )

    async def confirm():
        held.confirmed_from = boot_time()

    placement = PlacementState(
        store, "dc", held, lambda: catalog, confirm, MemoryDecisionLog()
    )
    for sequence, name in enumerate(services, 1):
        placement.states[name] = settled_state(name, sequence)
    placement.sequence = len(services)
    placer = Placer(placement)
    placer.ready = True
    return placer


def test_tables_written_while_a_move_is_cancelled_reach_vms_that_saw_the_cancellation():
    """Guard against two owners: a VM that is taken to have applied a started move.

    The cancellation of one service's move and the table of another that was being
    written had the same sequence.
    """

    async def scenario():
        store = MemoryObjectStore()
        placer = make_placer(store, "r", "s")
        placement, states = placer.placement, placer.placement.states
        to_cancel = states["s"].assignment.table.copy()
        to_cancel.start_move(0, "t2")
        await placement.write(states["s"], to_cancel)
        move = PendingMove(
            to_cancel.range_at(0), "t2", placement.epoch, boot_time(), "test"
        )
        states["s"].pending_moves[0] = move
        started = states["r"].assignment.table.copy()
        started.start_move(0, "t2")
        store.delay_s = 0.1
        writing = asyncio.create_task(placement.write(states["r"], started))
        await asyncio.sleep(0.05)
        ServiceMover(placement, "s")._cancel_moves()
        assert not states["s"].pending_moves
        seen = placer.build_update((0, 0), 0)
        await writing
        reply = placer.build_update((seen.term, seen.sequence), 0)
        tables = {
            item.service: parse_assignment(item.assignment) for item in reply.tables
        }
        assert tables.keys() == {"r"}
        assert tables["r"].table == started
        assert tables["r"].sequence == reply.sequence > seen.sequence
        stored = await store.read("Assignment", "r.dc")
        assert parse_assignment(stored.value).table == started

    asyncio.run(scenario())
