"""Test the placer and the keeper of a term over in-memory interfaces."""

import asyncio
from contextlib import ExitStack, asynccontextmanager

from peridot_objects.objects import MemoryObjectStore
from peridot_objects.outcomes import StoredObject
from peridot_placement.assignments import parse_assignment
from peridot_placement.clock import boot_time
from peridot_placement.decisions import MemoryDecisionLog
from peridot_placement.keeper import (
    Presence,
    PromiseOutcome,
    TermKeeper,
    TermPeers,
)
from peridot_placement.terms import PROMISE_S, Candidacy, Candidate, parse_term
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


class MemoryPeers(TermPeers):
    """Reach keepers in this process."""

    def __init__(self):
        self.keepers = {}
        self.silent = set()

    async def ask_promise(self, candidate, term, length_s):
        keeper = self.keepers.get(candidate.vm)
        if candidate.vm in self.silent:
            return PromiseOutcome.SILENT
        if keeper is None:
            return PromiseOutcome.GONE
        kept = keeper.promise(term, length_s)
        return PromiseOutcome.PROMISED if kept else PromiseOutcome.REFUSED

    async def find_presence(self, candidate):
        if candidate.vm in self.silent:
            return Presence.SILENT
        there = candidate.vm in self.keepers
        return Presence.THERE if there else Presence.GONE


class Site:
    """Hold a store, keepers and a VM that asks for permits."""

    def __init__(self):
        self.store = MemoryObjectStore()
        self.peers = MemoryPeers()
        self.log = MemoryDecisionLog()
        self.tasks = {}
        self.applied = (0, 0)
        self.busy = []
        self.lost = []
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

    def keeper(self, name):
        me = Candidate(name, f"i-{name}", f"a-{name}")
        return TermKeeper(
            self.store,
            self.peers,
            me,
            "dc",
            lambda: CATALOG,
            lambda: ["vm1", "vm2", "vm3"],
            self.log,
        )

    def start(self, name):
        keeper = self.keeper(name)
        self.peers.keepers[name] = keeper
        self.tasks[name] = asyncio.create_task(keeper.run())
        return keeper

    async def kill(self, name):
        self.peers.keepers.pop(name, None)
        task = self.tasks.pop(name)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def placer(self):
        while True:
            for keeper in self.peers.keepers.values():
                if keeper.placer and keeper.placer.ready:
                    return keeper.placer
            await asyncio.sleep(0.01)

    def ask(self, placer, vm="vm1"):
        """Ask as a front does, and apply what the reply holds."""
        term, sequence = self.applied
        ask = pb.LeaseAsk(
            vm=vm,
            instance=f"i-{vm}",
            peer_address=f"a-{vm}",
            ask_id=1,
            term=term,
            applied_sequence=sequence,
            lost_targets=self.lost,
        )
        for key_hash in self.busy:
            ask.busy.add(service="s", start=key_hash, last=key_hash)
        self.connect(placer, Candidate(vm, f"i-{vm}", f"a-{vm}"))
        reply = placer.answer(ask)
        if reply.term:
            self.applied = max(self.applied, (reply.term, reply.sequence))
        return reply

    def connect(self, placer, holder):
        """Connect a VM to a placer for good, unless it is."""
        if (id(placer), holder) not in self.connected:
            self.connected.add((id(placer), holder))
            self.connections.enter_context(placer.connection(holder))

    async def owners(self):
        found = await self.store.read("Assignment", "s.dc")
        if not isinstance(found, StoredObject):
            return []
        return list(parse_assignment(found.value).table)

    async def until(self, condition, placer=None):
        while not await condition():
            if placer is not None:
                self.ask(placer)
            await asyncio.sleep(0.01)

    async def assigned(self):
        owners = await self.owners()
        return bool(owners) and all(item.settled for item in owners)

    async def nobody_owns_by(self, name):
        owners = await self.owners()
        return all(item.settled and item.owner != name for item in owners)


def run(scenario):
    return asyncio.run(scenario(Site()))


def test_first_assignment_is_stored_before_it_is_given():
    async def scenario(site):
        async with site.running("vm1"):
            placer = await site.placer()
            await site.until(site.assigned)
            reply = site.ask(placer)
            assert reply.granted
            stored = await site.store.read("Assignment", "s.dc")
            given = parse_assignment(reply.tables[0].assignment)
            assert given == parse_assignment(stored.value)

    run(scenario)


def test_lost_target_keeps_its_slices_until_no_vm_is_busy_there():
    async def scenario(site):
        async with site.running("vm1"):
            placer = await site.placer()
            await site.until(site.assigned)
            site.ask(placer)
            first = next(i for i in await site.owners() if i.owner == "t1")
            site.busy = [first.range.start]
            site.lost = ["t1"]
            for _ in range(30):
                site.ask(placer)
                await asyncio.sleep(0.01)
            left = [i for i in await site.owners() if i.owner == "t1"]
            assert [i.range.start for i in left] == [first.range.start]
            site.busy = []
            await site.until(lambda: site.nobody_owns_by("t1"), placer)

    run(scenario)


def test_silent_vm_delays_a_move_by_its_permit_only():
    async def scenario(site):
        async with site.running("vm1"):
            placer = await site.placer()
            await site.until(site.assigned)
            site.ask(placer, "vm2")
            asked_at = boot_time()
            site.lost = ["t1"]
            await site.until(lambda: site.nobody_owns_by("t1"), placer)
            assert 0.65 < boot_time() - asked_at < 1.2

    run(scenario)


def test_moves_survive_lost_answers():
    async def scenario(site):
        async with site.running("vm1"):
            placer = await site.placer()
            await site.until(site.assigned)
            site.ask(placer)
            site.store.lose_answers = 5
            site.lost = ["t1"]
            await site.until(lambda: site.nobody_owns_by("t1"), placer)
            assert not placer.shared.held.stopped

    run(scenario)


def test_placer_goes_on_in_an_outage_by_promises_and_then_moves():
    async def scenario(site):
        async with site.running("vm1", "vm2"):
            placer = await site.placer()
            await site.until(site.assigned)
            site.ask(placer, "vm1")
            site.ask(placer, "vm2")
            candidate = site.peers.keepers["vm2"]

            async def has_candidate():
                record = parse_term((await site.store.read("Term", "dc")).value)
                candidate.take_record(await site.store.read("Term", "dc"))
                candidate.hear_from_holder()
                site.ask(placer, "vm2")
                return bool(record.candidates)

            await site.until(has_candidate, placer)
            await site.store.set_outage(True)
            ends = boot_time() + 3.0
            while boot_time() < ends:
                candidate.hear_from_holder()
                assert site.ask(placer).granted
                site.ask(placer, "vm2")
                await asyncio.sleep(0.05)
            site.peers.silent.add("vm2")
            while site.ask(placer).granted:
                await asyncio.sleep(0.05)
            assert boot_time() - ends < 2.5

    run(scenario)


def test_candidate_takes_the_term_when_the_holder_is_gone():
    async def scenario(site):
        async with site.running("vm1", "vm2"):
            placer = await site.placer()
            holder = placer.shared.held.record.holder.vm
            heir = "vm2" if holder == "vm1" else "vm1"
            await site.until(site.assigned)

            async def has_candidate():
                site.ask(placer, heir)
                stored = await site.store.read("Term", "dc")
                site.peers.keepers[heir].take_record(stored)
                return bool(parse_term(stored.value).candidates)

            await site.until(has_candidate, placer)
            await site.kill(holder)
            site.peers.keepers[heir].note_holder_refused()
            killed_at = boot_time()
            successor = await site.placer()
            assert boot_time() - killed_at < 0.3
            assert successor.shared.held.record.number == 2
            assert site.ask(successor).granted

    run(scenario)


def test_promise_given_while_a_candidate_looks_around_is_kept():
    async def scenario(site):
        async with site.running("vm1"):
            placer = await site.placer()
            candidate = Candidate("vm2", "i-vm2", "a-vm2")

            async def has_candidate():
                site.ask(placer, "vm2")
                stored = await site.store.read("Term", "dc")
                return candidate in parse_term(stored.value).candidates

            await site.until(has_candidate, placer)
            keeper = site.keeper("vm2")
            keeper.take_record(await site.store.read("Term", "dc"))
            term = keeper.record.number

            read = site.store.read

            async def promise_meanwhile(kind, name):
                found = await read(kind, name)
                assert keeper.promise(term, PROMISE_S)
                return found

            site.store.read = promise_meanwhile
            await keeper._try_to_take()
            stored = await read("Term", "dc")
            assert parse_term(stored.value).number == term

    run(scenario)


def test_update_is_not_repeated_so_late_that_it_outlives_its_promise():
    candidacy = Candidacy()
    candidacy.begin_update(100.0)
    assert candidacy.may_repeat_update(101.4)
    assert not candidacy.may_repeat_update(101.6)
    assert not candidacy.give_promise(103.9, 1, PROMISE_S)
    assert candidacy.give_promise(104.1, 1, PROMISE_S)
    assert not candidacy.may_take(106.0)


def test_new_candidates_do_not_look_like_a_new_term():
    async def scenario(site):
        async with site.running("vm1"):
            placer = await site.placer()
            (keeper,) = site.peers.keepers.values()
            before = keeper.term_changed.next

            async def has_candidate():
                site.ask(placer, "vm2")
                stored = await site.store.read("Term", "dc")
                return bool(parse_term(stored.value).candidates)

            await site.until(has_candidate, placer)
            assert not before.is_set()

    run(scenario)


def test_wait_for_earlier_rights_is_not_handed_on_once_it_is_over():
    async def scenario(site):
        async with site.running("vm1"):
            placer = await site.placer()
            site.ask(placer)
            await site.store.delete("Term", "dc", None)

            async def waits(expected):
                found = await site.store.read("Term", "dc")
                if not isinstance(found, StoredObject):
                    return False
                for keeper in site.peers.keepers.values():
                    if keeper.placer is not None:
                        site.ask(keeper.placer)
                return (parse_term(found.value).earlier_wait_s > 0) == expected

            await site.until(site.assigned)
            await site.until(lambda: waits(True))
            await site.until(lambda: waits(False))

    run(scenario)


def test_deleted_term_starts_above_the_assignments_and_waits():
    async def scenario(site):
        async with site.running("vm1"):
            await site.placer()
            await site.until(site.assigned)
            await site.store.delete("Term", "dc", None)

            async def stands_again():
                found = await site.store.read("Term", "dc")
                return isinstance(found, StoredObject)

            await site.until(stands_again)
            record = parse_term((await site.store.read("Term", "dc")).value)
            assert record.number == 2
            assert record.earlier_wait_s > 2.0

    run(scenario)


def test_placer_whose_assignment_was_overwritten_gives_its_term_up():
    async def scenario(site):
        async with site.running("vm1"):
            placer = await site.placer()
            await site.until(site.assigned)
            site.ask(placer)
            stored = await site.store.read("Assignment", "s.dc")
            await site.store.write("Assignment", "s.dc", stored.value, None)
            site.lost = ["t1"]
            while not placer.shared.held.stopped:
                site.ask(placer)
                await asyncio.sleep(0.01)
            assert not site.ask(placer).granted

    run(scenario)
