"""The placer against targets that enforce holds: moves, faults, changes of terms."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from peridot_fakes.holders import MemoryHoldControl
from peridot_objects.objects import MemoryObjectStore
from peridot_ownership import (
    granter as granter_module,
    placer as placer_module,
    recorder as recorder_module,
    rights as rights_module,
)
from peridot_ownership.errors import TermLost
from peridot_ownership.loads import KeyLoads
from peridot_ownership.placer import RENEW_S, Placer
from peridot_ownership.ranges import ALL_KEYS, KeyRange, RangeTable
from peridot_ownership.record import (
    FENCES_PER_TERM,
    RECORD_KIND,
    RECORD_NAME,
    Holder as TermHolder,
    parse_record,
)
from peridot_ownership.recorder import BEAT_S, CONFIRMED_S, take_term
from peridot_ownership.rights import (
    NO_EARLIER_RIGHTS,
    EarlierRights,
    bound_earlier_rights,
)
from peridot_ownership.view import FleetView
from peridot_placement.decisions import MemoryDecisionLog
from peridot_resources.configuration import ServingTarget

SERVICE = "status"
HOLD_S = 0.25
HOLD_MAX_S = 0.4
# Targets that leave serve for so long at most while a move has to wait (s).
LEAVING_SERVES_S = 1.0


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    """Shorten all times alike, so that a test takes about a second."""
    for name, value in {
        "RENEW_S": 0.05,
        "PLAN_PERIOD_S": 0.02,
        "ANNOUNCE_S": 0.001,
    }.items():
        monkeypatch.setattr(placer_module, name, value)
    for name, value in {
        "HOLD_S": HOLD_S,
        "GRANT_TIMEOUT_S": 0.04,
        "RELEASE_TIMEOUT_S": 0.1,
        "RETRY_PAUSE_S": 0.01,
        "FAILING_S": 0.05,
        "LONG_HOLD_DELAY_S": 0.03,
    }.items():
        monkeypatch.setattr(granter_module, name, value)
    monkeypatch.setattr(recorder_module, "BEAT_S", 0.05)
    monkeypatch.setattr(recorder_module, "CONFIRMED_S", 0.3)
    monkeypatch.setattr(recorder_module, "RETRY_PAUSE_S", 0.02)


def earlier_rights(recorder) -> EarlierRights:
    if recorder.record.term == 1:
        return NO_EARLIER_RIGHTS
    return bound_earlier_rights(recorder_module.CONFIRMED_S, True, HOLD_MAX_S)


class FixedView(FleetView):
    """Show a fixed set of targets."""

    def __init__(self, names: str) -> None:
        self.targets = [
            ServingTarget(name, SERVICE, f"127.0.0.1:{i}", "a", 3, False, 0.0, 1)
            for i, name in enumerate(names.split())
        ]
        self.loads = KeyLoads()
        self.reused: set[str] = set()
        # For how long targets have been leaving (s).
        self.leaving_for: dict[str, float] = {}

    def divided_services(self) -> list[str]:
        return [SERVICE]

    def targets_of(self, service: str) -> list[ServingTarget]:
        return self.targets

    def is_address_reused(self, target: ServingTarget) -> bool:
        return target.name in self.reused

    def leaving_s(self, target: str) -> float:
        return self.leaving_for.get(target, 0.0)

    def loads_of(self, service: str) -> KeyLoads:
        return self.loads

    def work_s(self, target: str) -> float | None:
        return 0.1

    def change(self, name: str, **changes) -> None:
        self.targets = [
            replace(item, **changes) if item.name == name else item
            for item in self.targets
        ]


class Scene:
    """Hold a store, targets and what the placers of a test share."""

    def __init__(self, names: str) -> None:
        self.store = MemoryObjectStore()
        self.control = MemoryHoldControl()
        self.view = FixedView(names)
        self.log = MemoryDecisionLog()

    @asynccontextmanager
    async def lead(self, vm: str, earlier: EarlierRights | None = None):
        found = await self.store.read(RECORD_KIND, RECORD_NAME)
        holder = TermHolder(vm, f"{vm}-1", "127.0.0.1:1")
        recorder = await take_term(self.store, holder, found, self.log)
        assert recorder is not None
        placer = Placer(
            recorder,
            self.control,
            self.view,
            self.log,
            HOLD_MAX_S,
            earlier or earlier_rights(recorder),
            lambda: True,
            LEAVING_SERVES_S,
        )
        writing = asyncio.create_task(recorder.run())
        try:
            async with placer.run():
                yield placer
        finally:
            writing.cancel()

    async def stored_table(self) -> RangeTable:
        found = await self.store.read(RECORD_KIND, RECORD_NAME)
        return parse_record(found.value).tables[SERVICE]

    def owners(self, placer: Placer) -> set[str | None]:
        table = placer.record.tables.get(SERVICE, RangeTable())
        return {item.owner for item in table.ranges}


async def settle(placer: Placer, condition, limit_s: float = 2.0) -> None:
    async with asyncio.timeout(limit_s):
        while not condition() or any(placer.moving.values()):
            await asyncio.sleep(0.01)


def run(test) -> None:
    asyncio.run(test)


def test_all_keys_get_an_owner_that_holds_them():
    async def play():
        scene = Scene("a b c")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a", "b", "c"})
        assert not scene.control.violations

    run(play())


def test_a_leaving_target_hands_its_keys_over():
    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a", "b"})
            scene.view.change("a", leaving=True)
            await settle(placer, lambda: scene.owners(placer) == {"b"})
            assert any(name == "a" for name, _ in scene.control.releases)
        assert not scene.control.violations

    run(play())


# Guards against requests at a target that leaves after a change of the placer: the
# next one let it serve as long as if it had said so only then.
def test_the_time_that_a_leaving_target_serves_is_not_begun_anew_by_the_next_placer():
    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as first:
            await settle(first, lambda: scene.owners(first) == {"a", "b"})
        # Rights of the earlier term make a move wait while the owner may serve.
        unclear = EarlierRights(unknown_left_s=0.6, late_left_s=0.6)
        scene.view.change("a", leaving=True)
        scene.view.leaving_for["a"] = 1.5
        async with scene.lead("vm2", unclear) as second:
            keys = second.record.tables[SERVICE].owned_by("a")[0].keys
            async with asyncio.timeout(0.3):
                while keys not in second.moving.get(SERVICE, ()):
                    await asyncio.sleep(0.01)
        assert not scene.control.violations

    run(play())


def test_a_silent_target_loses_its_keys_only_when_its_hold_has_run_out():
    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a", "b"})
            scene.control.holder("a").reachable = False
            await settle(placer, lambda: scene.owners(placer) == {"b"})
        assert not scene.control.violations

    run(play())


def test_a_late_grant_does_not_bring_keys_back_that_moved():
    """Grants that got no answer take effect later: they are outranked or waited out."""

    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a", "b"})
            scene.control.holder("a").late_s = 0.15
            await asyncio.sleep(0.06)
            scene.view.change("a", leaving=True)
            await settle(placer, lambda: scene.owners(placer) == {"b"})
            await asyncio.sleep(0.3)
        assert not scene.control.violations

    run(play())


def test_an_owner_is_stored_before_it_is_granted_keys():
    async def play():
        scene = Scene("a")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a"})
            assert {i.owner for i in (await scene.stored_table()).ranges} == {"a"}
            await scene.store.set_outage(True)
            await asyncio.sleep(0.1)
            scene.view.targets += FixedView("x b").targets[1:]
            await asyncio.sleep(0.2)
            assert "b" not in scene.control.holders

    run(play())


def test_the_next_placer_raises_fences_and_keeps_owners():
    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as first:
            await settle(first, lambda: scene.owners(first) == {"a", "b"})
            before = await scene.stored_table()
        highest = max(item.fence for item in before.ranges)
        async with scene.lead("vm2") as second:
            after = second.record.tables[SERVICE]
            assert [i.owner for i in after.ranges] == [i.owner for i in before.ranges]
            assert min(item.fence for item in after.ranges) > highest
            await asyncio.sleep(0.1)
            for name in ("a", "b"):
                fences = [item.fence for item in scene.control.holder(name).held]
                assert fences and min(fences) > highest
        assert not scene.control.violations

    run(play())


def test_a_placer_whose_term_was_taken_ends():
    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as first:
            await settle(first, lambda: scene.owners(first) == {"a", "b"})
            async with scene.lead("vm2"):
                async with asyncio.timeout(1):
                    await first.recorder.ended
                assert not first.recorder.may_act()

    run(play())


def test_keys_that_were_under_way_at_the_takeover_are_released_first():
    """A target whose ranges all were moving had counted as secured."""

    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as first:
            await settle(first, lambda: scene.owners(first) == {"a", "b"})
        scene.control.holder("a").reachable = False
        async with scene.lead("vm2") as second:
            contact_keys = second.record.tables[SERVICE].owned_by("a")[0].keys
            second.moving[SERVICE] = [ALL_KEYS]
            await asyncio.sleep(0.1)
            second.moving[SERVICE].clear()
            assert not second.contacts["a"].is_secured(contact_keys)

    run(play())


def test_a_restarted_target_gets_its_keys_with_higher_fences():
    async def play():
        scene = Scene("a")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a"})
            before = max(i.fence for i in placer.record.tables[SERVICE].ranges)
            scene.control.holders["a"].held.clear()
            scene.view.change("a", started_ms=2)
            await asyncio.sleep(0.1)
            held = scene.control.holder("a").held
            assert held and min(item.fence for item in held) > before

    run(play())


def test_holds_are_longest_while_the_store_is_away():
    async def play():
        scene = Scene("a")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a"})
            await scene.store.set_outage(True)
            await asyncio.sleep(0.15)
            assert placer.recorder.store_lost
            ends = max(item.ends for item in scene.control.holder("a").held)
            assert ends - asyncio.get_running_loop().time() > HOLD_S

    run(play())


def test_a_placer_without_the_store_stops_granting():
    """Another may have taken the term: only what was granted runs on."""

    async def play():
        scene = Scene("a")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a"})
            await scene.store.set_outage(True)
            await asyncio.sleep(0.4)
            assert not placer.recorder.may_act()
            count = len(scene.control.holder("a").seen)
            await asyncio.sleep(0.2)
            assert len(scene.control.holder("a").seen) == count

    run(play())


def test_a_placer_that_was_outranked_grants_no_more_until_it_is_confirmed():
    """Cut off from the store, it would go on until its confirmation is too old."""

    async def play():
        scene = Scene("a")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a"})
            await scene.store.set_outage(True)
            newer = placer.record.last_fence + FENCES_PER_TERM
            scene.control.holder("a").seen.append((ALL_KEYS, newer))
            await asyncio.sleep(0.1)
            assert not placer.recorder.may_act()
            await scene.store.set_outage(False)
            await asyncio.sleep(0.1)
            assert placer.recorder.doubted_at < placer.recorder.confirmed_at

    run(play())


def test_a_write_whose_answer_was_lost_is_found_again():
    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as placer:
            scene.store.lose_answers = 3
            await settle(placer, lambda: scene.owners(placer) == {"a", "b"})
            assert not placer.recorder.ended.done()

    run(play())


def test_a_replaced_target_holds_nothing():
    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a", "b"})
            scene.control.holder("a").held.clear()
            scene.control.holder("a").replaced = True
            await settle(placer, lambda: scene.owners(placer) == {"b"})
            assert (
                KeyRange(0, 1).minus(
                    [i.keys for i in placer.record.tables[SERVICE].ranges]
                )
                == []
            )

    run(play())


def test_keys_of_a_target_whose_address_is_reused_move_at_once(monkeypatch):
    """Seen in toga-inc-1e4b: they waited for holds of a process that was gone."""
    monkeypatch.setattr(granter_module, "HOLD_S", 30.0)

    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a", "b"})
            scene.control.holder("a").held.clear()
            scene.control.holder("a").denies = True
            scene.control.holder("a").gone = True
            scene.view.reused.add("a")
            await settle(placer, lambda: scene.owners(placer) == {"b"})
        assert not scene.control.violations

    run(play())


def test_a_denied_call_alone_does_not_end_a_hold(monkeypatch):
    """The answer may be garbled: the target holds on."""
    monkeypatch.setattr(granter_module, "HOLD_S", 0.6)

    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a", "b"})
            scene.control.holder("a").denies = True
            await settle(placer, lambda: scene.owners(placer) == {"b"})
        assert not scene.control.violations

    run(play())


def test_an_outage_leaves_time_for_long_holds_of_all_keys():
    """A silent store is noticed late: the last confirmed write is older by then."""
    noticed_s = BEAT_S + recorder_module.CALL_TIMEOUT_S
    begins_s = noticed_s + rights_module.LONG_HOLD_DELAY_S
    assert begins_s + RENEW_S < CONFIRMED_S


def test_an_even_out_move_does_not_wait_without_reason():
    """Ends were compared with a clock read later, so that nothing ever was clear."""

    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a", "b"})
            scene.view.targets += FixedView("x y c").targets[2:]
            await settle(placer, lambda: scene.owners(placer) == {"a", "b", "c"})

    run(play())


def test_a_renewal_pass_leaves_out_keys_that_moved_meanwhile():
    """Seen on the bench, scale-2: a slow pass granted keys that had moved away."""

    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as placer:
            await settle(placer, lambda: scene.owners(placer) == {"a", "b"})
            table = placer.record.tables[SERVICE]
            table.assign(ALL_KEYS, "a", placer.record.next_fence())
            for start in range(0, 60_000, 10_000):
                keys = KeyRange(start, start + 10_000)
                table.assign(keys, "a", placer.record.next_fence())
            await asyncio.sleep(0.1)
            scene.control.holder("a").answer_s = 0.03
            last = KeyRange(50_000, 60_000)
            passing = asyncio.create_task(placer._renew_all(placer.contacts["a"]))
            await asyncio.sleep(0.05)
            scene.control.holder("a").drop(last)
            table.assign(last, "b", placer.record.next_fence())
            await passing
            assert not scene.control.holder("a").holds(55_000, 0.0)

    run(play())


def test_what_a_resigned_placer_told_bounds_the_wait_of_the_next():
    """Keys of a target that fell silent at the same time wait for its hold only."""

    async def play():
        scene = Scene("a b")
        async with scene.lead("vm1") as first:
            await settle(first, lambda: scene.owners(first) == {"a", "b"})
            scene.control.holder("a").reachable = False
            first.recorder.fail(TermLost("given up"))
            rights = first.granter.leave_rights()
        assert rights.unknown_left_s == 0.0
        assert any(target == "a" for target, _ in rights.holds)
        async with scene.lead("vm2", rights) as second:
            limit_s = HOLD_S * 4
            await settle(second, lambda: scene.owners(second) == {"b"}, limit_s)
        assert not scene.control.violations

    run(play())
