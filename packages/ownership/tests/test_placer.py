"""Tests of the placer (gateway mode) with in-memory targets that enforce leases.

They cover moves, faults of targets and of the store, and changes of the term.
"""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from time import monotonic

import pytest

from peridot_fakes.cutstore import CutStore
from peridot_fakes.holders import MemoryLeaseClient
from peridot_objects.objects import MemoryObjectStore
from peridot_objects.outcomes import Conflict, StoreUnavailable
from peridot_objects.versions import version_revision
from peridot_ownership import (
    granter as granter_module,
    placer as placer_module,
    recorder as recorder_module,
    rights as rights_module,
    trials as trials_module,
)
from peridot_ownership.errors import TermLost
from peridot_ownership.granter import UNUSABLE_AFTER_S
from peridot_ownership.holds import Unanswered, max_lease_s
from peridot_ownership.loads import KeyLoads
from peridot_ownership.placer import RENEWAL_PERIOD_S, Placer
from peridot_ownership.ranges import ALL_KEYS, KEY_SPACE, KeyRange, RangeTable
from peridot_ownership.record import (
    FENCES_PER_TERM,
    RECORD_KIND,
    RECORD_NAME,
    DaemonInstance,
    parse_record,
)
from peridot_ownership.recorder import (
    CONFIRMATION_TIMEOUT_S,
    HEARTBEAT_PERIOD_S,
    acquire_term,
)
from peridot_ownership.rights import (
    NO_EARLIER_LEASES,
    EarlierLeases,
    bound_earlier_leases,
)
from peridot_ownership.view import FleetView
from peridot_placement.clock import boot_time
from peridot_placement.decisions import MemoryDecisionLog
from peridot_resources.configuration import TargetInstance

SERVICE = "status"
LEASE_S = 0.25
HOLD_MAX_S = 0.4
# Leaving targets serve for up to this long while a move is postponed (s).
LEAVING_GRACE_S = 1.0


@pytest.fixture(autouse=True)
def shorten_periods(monkeypatch):
    """Shorten all periods and timeouts, so that a test takes about a second."""
    for name, value in {
        "RENEWAL_PERIOD_S": 0.05,
        "PLAN_PERIOD_S": 0.02,
        "RETRY_PERIOD_S": 0.02,
        "ANNOUNCE_DELAY_S": 0.001,
        "CONFIRMATION_TIMEOUT_S": 0.3,
    }.items():
        monkeypatch.setattr(placer_module, name, value)
    for name, value in {
        "LEASE_S": LEASE_S,
        "GRANT_TIMEOUT_S": 0.04,
        "RELEASE_TIMEOUT_S": 0.1,
        "RETRY_PAUSE_S": 0.01,
        "UNUSABLE_AFTER_S": 0.11,
        "LONG_LEASE_DELAY_S": 0.03,
    }.items():
        monkeypatch.setattr(granter_module, name, value)
    monkeypatch.setattr(recorder_module, "HEARTBEAT_PERIOD_S", 0.05)
    monkeypatch.setattr(recorder_module, "CONFIRMATION_TIMEOUT_S", 0.3)
    monkeypatch.setattr(recorder_module, "RETRY_PAUSE_S", 0.02)


def find_earlier_leases(record_writer) -> EarlierLeases:
    if record_writer.is_first:
        return NO_EARLIER_LEASES
    return bound_earlier_leases(
        recorder_module.CONFIRMATION_TIMEOUT_S, True, HOLD_MAX_S
    )


class FixedView(FleetView):
    """A view of targets that change only on demand."""

    def __init__(self, names: str) -> None:
        self.targets = [
            TargetInstance(name, SERVICE, f"127.0.0.1:{i}", "a", 3, False, 0.0, 1)
            for i, name in enumerate(names.split())
        ]
        self.loads = KeyLoads()
        self.reused: set[str] = set()
        # For how long targets have been leaving (s).
        self.leaving_for: dict[str, float] = {}
        # Targets whose zone is evacuated, and cold ones.
        self.evacuated: set[str] = set()
        self.cold: set[str] = set()

    def divided_services(self) -> list[str]:
        return [SERVICE]

    def targets_of(self, service: str) -> list[TargetInstance]:
        return self.targets

    def is_address_reused(self, target: TargetInstance) -> bool:
        return target.name in self.reused

    def leaving_for_s(self, target: str) -> float:
        return self.leaving_for.get(target, 0.0)

    def loads_of(self, service: str) -> KeyLoads:
        return self.loads

    def processing_s(self, target: str) -> float | None:
        return 0.1

    def cold_rate(self, target: TargetInstance) -> float:
        return 4.5 if target.name in self.cold else float("inf")

    def evacuated_for_s(self, target: TargetInstance) -> float | None:
        return 0.0 if target.name in self.evacuated else None

    def change(self, name: str, **changes) -> None:
        self.targets = [
            replace(item, **changes) if item.name == name else item
            for item in self.targets
        ]


class PlacerHarness:
    """The store, targets, view and log that the placers of a test share."""

    def __init__(self, names: str) -> None:
        self.store = MemoryObjectStore()
        self.lease_client = MemoryLeaseClient()
        self.view = FixedView(names)
        self.log = MemoryDecisionLog()

    @asynccontextmanager
    async def run_placer(self, vm: str, earlier_leases: EarlierLeases | None = None):
        found = await self.store.read(RECORD_KIND, RECORD_NAME)
        holder = DaemonInstance(vm, f"{vm}-1", "127.0.0.1:1")
        record_writer = await acquire_term(self.store, holder, found, self.log)
        assert record_writer is not None
        placer = Placer(
            record_writer,
            self.lease_client,
            self.view,
            self.log,
            HOLD_MAX_S,
            earlier_leases or find_earlier_leases(record_writer),
            lambda: True,
            LEAVING_GRACE_S,
        )
        writer = asyncio.create_task(record_writer.run())
        try:
            async with placer.run():
                yield placer
        finally:
            writer.cancel()

    async def stored_table(self) -> RangeTable:
        found = await self.store.read(RECORD_KIND, RECORD_NAME)
        return parse_record(found.value).tables[SERVICE]

    def owners(self, placer: Placer) -> set[str | None]:
        table = placer.record.tables.get(SERVICE, RangeTable())
        return {item.owner for item in table.ranges}


async def wait_until(
    placer: Placer, condition, limit_s: float = 2.0, idle: bool = True
) -> None:
    """Wait for a condition, and until the placer moves no keys if it must be idle."""
    async with asyncio.timeout(limit_s):
        while not condition() or (idle and any(placer.moving.values())):
            await asyncio.sleep(0.01)


def run(test) -> None:
    asyncio.run(test)


def test_every_target_gets_keys_and_no_key_has_two_holders():
    async def check():
        harness = PlacerHarness("a b c")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b", "c"})
        assert not harness.lease_client.violations

    run(check())


def test_the_keys_of_a_leaving_target_are_released_and_moved():
    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            harness.view.change("a", leaving=True)
            await wait_until(placer, lambda: harness.owners(placer) == {"b"})
            assert any(name == "a" for name, _ in harness.lease_client.releases)
        assert not harness.lease_client.violations

    run(check())


# Guards against a leaving target that serves for too long after a change of the placer:
# the successor must count from when the target began to leave, not from its own start.
def test_the_next_placer_does_not_restart_the_time_for_which_a_leaving_target_serves():
    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as first:
            await wait_until(first, lambda: harness.owners(first) == {"a", "b"})
        # Leases of the earlier term postpone a move while the owner may serve.
        bounds = EarlierLeases(unknown_remaining_s=0.6, unanswered_remaining_s=0.6)
        harness.view.change("a", leaving=True)
        harness.view.leaving_for["a"] = 1.5
        async with harness.run_placer("vm2", bounds) as second:
            keys = second.record.tables[SERVICE].owned_by("a")[0].keys
            async with asyncio.timeout(0.3):
                while keys not in second.moving.get(SERVICE, ()):
                    await asyncio.sleep(0.01)
        assert not harness.lease_client.violations

    run(check())


def test_keys_of_an_unreachable_target_move_only_after_its_lease_expires():
    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            harness.lease_client.holder("a").reachable = False
            await wait_until(placer, lambda: harness.owners(placer) == {"b"})
        assert not harness.lease_client.violations

    run(check())


def test_a_delayed_grant_does_not_give_keys_two_holders():
    """Unanswered grants may take effect later: moves wait until their leases expire."""

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            harness.lease_client.holder("a").late_s = 0.15
            await asyncio.sleep(0.06)
            harness.view.change("a", leaving=True)
            await wait_until(placer, lambda: harness.owners(placer) == {"b"})
            await asyncio.sleep(0.3)
        assert not harness.lease_client.violations

    run(check())


def test_an_owner_is_stored_before_keys_are_granted_to_it():
    async def check():
        harness = PlacerHarness("a")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a"})
            assert {i.owner for i in (await harness.stored_table()).ranges} == {"a"}
            await harness.store.set_outage(True)
            await asyncio.sleep(0.1)
            harness.view.targets += FixedView("x b").targets[1:]
            await asyncio.sleep(0.2)
            assert "b" not in harness.lease_client.holders

    run(check())


def test_the_next_placer_keeps_owners_and_raises_fencing_tokens():
    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as first:
            await wait_until(first, lambda: harness.owners(first) == {"a", "b"})
            before = await harness.stored_table()
        highest_fence = max(item.fence for item in before.ranges)
        async with harness.run_placer("vm2") as second:
            after = second.record.tables[SERVICE]
            assert [i.owner for i in after.ranges] == [i.owner for i in before.ranges]
            assert min(item.fence for item in after.ranges) > highest_fence
            await asyncio.sleep(0.1)
            for name in ("a", "b"):
                fences = [item.fence for item in harness.lease_client.holder(name).held]
                assert fences and min(fences) > highest_fence
        assert not harness.lease_client.violations

    run(check())


def test_a_placer_ends_when_another_acquires_the_term():
    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as first:
            await wait_until(first, lambda: harness.owners(first) == {"a", "b"})
            async with harness.run_placer("vm2"):
                async with asyncio.timeout(1):
                    await first.record_writer.ended
                assert not first.record_writer.is_confirmed()

    run(check())


def test_moving_keys_do_not_count_as_accepted_after_a_change_of_the_placer():
    """A target whose ranges are all moving has accepted no grant of the new term."""

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as first:
            await wait_until(first, lambda: harness.owners(first) == {"a", "b"})
        harness.lease_client.holder("a").reachable = False
        async with harness.run_placer("vm2") as second:
            owned_keys = second.record.tables[SERVICE].owned_by("a")[0].keys
            second.moving[SERVICE] = [ALL_KEYS]
            await asyncio.sleep(0.1)
            second.moving[SERVICE].clear()
            assert not second.target_states["a"].has_accepted(owned_keys)

    run(check())


def test_a_restarted_target_gets_its_keys_with_higher_fencing_tokens():
    async def check():
        harness = PlacerHarness("a")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a"})
            before = max(i.fence for i in placer.record.tables[SERVICE].ranges)
            harness.lease_client.holders["a"].held.clear()
            harness.view.change("a", started_ms=2)
            await asyncio.sleep(0.1)
            held = harness.lease_client.holder("a").held
            assert held and min(item.fence for item in held) > before

    run(check())


def test_leases_are_longest_while_the_store_is_unavailable():
    async def check():
        harness = PlacerHarness("a")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a"})
            await harness.store.set_outage(True)
            await asyncio.sleep(0.15)
            assert placer.record_writer.store_lost
            ends = max(item.ends for item in harness.lease_client.holder("a").held)
            assert ends - asyncio.get_running_loop().time() > LEASE_S

    run(check())


def test_a_placer_that_lost_the_store_stops_granting():
    """Another daemon may have acquired the term, so no lease may be renewed."""

    async def check():
        harness = PlacerHarness("a")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a"})
            await harness.store.set_outage(True)
            await asyncio.sleep(0.4)
            assert not placer.record_writer.is_confirmed()
            count = len(harness.lease_client.holder("a").seen)
            await asyncio.sleep(0.2)
            assert len(harness.lease_client.holder("a").seen) == count

    run(check())


def test_an_outranked_placer_stops_granting_until_its_term_is_confirmed():
    """Without the store it would go on granting until its confirmation expires."""

    async def check():
        harness = PlacerHarness("a")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a"})
            await harness.store.set_outage(True)
            newer = placer.record.last_fence + FENCES_PER_TERM
            harness.lease_client.holder("a").seen.append((ALL_KEYS, newer))
            await asyncio.sleep(0.1)
            assert not placer.record_writer.is_confirmed()
            await harness.store.set_outage(False)
            await asyncio.sleep(0.1)
            assert (
                placer.record_writer.newer_term_seen_at
                < placer.record_writer.confirmed_at
            )

    run(check())


def test_a_lost_response_to_a_write_does_not_end_the_term():
    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            harness.store.lose_answers = 3
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            assert not placer.record_writer.ended.done()

    run(check())


def test_keys_of_a_replaced_target_move():
    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            harness.lease_client.holder("a").held.clear()
            harness.lease_client.holder("a").replaced = True
            await wait_until(placer, lambda: harness.owners(placer) == {"b"})
            assert (
                KeyRange(0, 1).minus(
                    [i.keys for i in placer.record.tables[SERVICE].ranges]
                )
                == []
            )

    run(check())


def test_keys_of_a_target_whose_address_is_reused_move_at_once(monkeypatch):
    """Incident toga-inc-1e4b: they waited for leases of a process that was gone."""
    monkeypatch.setattr(granter_module, "LEASE_S", 30.0)

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            harness.lease_client.holder("a").held.clear()
            harness.lease_client.holder("a").denies = True
            harness.lease_client.holder("a").gone = True
            harness.view.reused.add("a")
            await wait_until(placer, lambda: harness.owners(placer) == {"b"})
        assert not harness.lease_client.violations

    run(check())


def test_a_denied_call_alone_does_not_end_a_lease(monkeypatch):
    """The response may be garbled although the target accepted the grant."""
    monkeypatch.setattr(granter_module, "LEASE_S", 0.6)

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            harness.lease_client.holder("a").denies = True
            await wait_until(placer, lambda: harness.owners(placer) == {"b"})
        assert not harness.lease_client.violations

    run(check())


def test_an_outage_leaves_time_to_grant_long_leases_for_all_keys():
    """An outage is detected late; until then the last successful write grows older."""
    detected_s = HEARTBEAT_PERIOD_S + recorder_module.CALL_TIMEOUT_S
    long_leases_s = detected_s + rights_module.LONG_LEASE_DELAY_S
    assert long_leases_s + RENEWAL_PERIOD_S < CONFIRMATION_TIMEOUT_S


def test_long_leases_outlast_an_outage_of_the_store():
    """Each target is renewed within a period before the placer stops granting."""
    last_renewal_s = CONFIRMATION_TIMEOUT_S - RENEWAL_PERIOD_S
    assert last_renewal_s + rights_module.LONG_LEASE_S - HEARTBEAT_PERIOD_S >= 9.0


def test_a_balancing_move_is_not_postponed_without_reason():
    """Guards against comparing an expiry with a clock reading older than its own.

    Then no range would ever count as revocable.
    """

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            harness.view.targets += FixedView("x y c").targets[2:]
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b", "c"})

    run(check())


def test_a_slow_renewal_pass_skips_keys_that_moved_meanwhile():
    """Seen in the run scale-2: a slow pass renewed keys that had moved away."""

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            table = placer.record.tables[SERVICE]
            table.assign(ALL_KEYS, "a", placer.record.next_fence())
            for start in range(0, 60_000, 10_000):
                keys = KeyRange(start, start + 10_000)
                table.assign(keys, "a", placer.record.next_fence())
            await asyncio.sleep(0.1)
            harness.lease_client.holder("a").answer_s = 0.03
            last = KeyRange(50_000, 60_000)
            renewal = asyncio.create_task(placer._renew_all(placer.target_states["a"]))
            await asyncio.sleep(0.05)
            harness.lease_client.holder("a").drop(last)
            table.assign(last, "b", placer.record.next_fence())
            await renewal
            assert not harness.lease_client.holder("a").holds(55_000, 0.0)

    run(check())


def test_the_leases_reported_on_resignation_bound_the_wait_of_the_successor():
    """Keys of a target that became unreachable then wait for its lease only."""

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as first:
            await wait_until(first, lambda: harness.owners(first) == {"a", "b"})
            harness.lease_client.holder("a").reachable = False
            first.record_writer.end_term(TermLost("resigned"))
            earlier_leases = first.lease_manager.export_leases()
        assert earlier_leases.unknown_remaining_s == 0.0
        assert any(target == "a" for target, _ in earlier_leases.leases)
        async with harness.run_placer("vm2", earlier_leases) as second:
            limit_s = LEASE_S * 4
            await wait_until(second, lambda: harness.owners(second) == {"b"}, limit_s)
        assert not harness.lease_client.violations

    run(check())


def test_the_reported_lease_of_a_target_that_vanished_bounds_the_next_placer():
    """Pattern: renewals of entries are lost, so a target's entry lapses while it lives.

    The successor of a placer that resigned then doesn't know the target's address. It
    gave the keys away before the reported lease had expired.
    """

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as first:
            await wait_until(first, lambda: harness.owners(first) == {"a", "b"})
            first.record_writer.end_term(TermLost("resigned"))
            earlier_leases = first.lease_manager.export_leases()
        harness.view.targets = [t for t in harness.view.targets if t.name != "a"]
        async with harness.run_placer("vm2", earlier_leases) as second:
            limit_s = LEASE_S * 4
            await wait_until(second, lambda: harness.owners(second) == {"b"}, limit_s)
            await asyncio.sleep(RENEWAL_PERIOD_S)
        assert not harness.lease_client.violations

    run(check())


def test_unanswered_grants_of_long_leases_are_expected_if_some_may_have_been_granted():
    """A delayed grant may take effect after the target accepted one of this term.

    While the store is unavailable that may be a long lease.
    """
    long = bound_earlier_leases(CONFIRMATION_TIMEOUT_S, True, 10.0)
    assert long.unanswered_remaining_s == long.unknown_remaining_s
    short = bound_earlier_leases(CONFIRMATION_TIMEOUT_S, False, 10.0)
    assert short.unanswered_remaining_s < long.unanswered_remaining_s


def test_a_placer_goes_on_when_the_store_is_restored_from_a_copy():
    """Pattern: the store is back from a copy that lacks the placer's last writes.

    Leases must not lapse, and fencing tokens that the store has forgotten must not be
    issued again.
    """

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            copy = harness.store.take_copy()
            harness.view.targets = [t for t in harness.view.targets if t.name != "a"]
            await wait_until(placer, lambda: harness.owners(placer) == {"b"})
            highest = max(fence for _, fence in harness.lease_client.holder("b").seen)
            await harness.store.restore(copy)
            for _ in range(20):
                await asyncio.sleep(0.02)
                now = asyncio.get_running_loop().time()
                assert harness.lease_client.holder("b").holds(0, now)
            assert not placer.record_writer.ended.done()
            assert {item.owner for item in (await harness.stored_table()).ranges} == {
                "b"
            }
            lowest = min(item.fence for item in placer.record.tables[SERVICE].ranges)
            assert lowest > highest
        assert not harness.lease_client.violations

    run(check())


def test_a_successor_grants_nothing_by_a_restored_record_until_lost_leases_expire():
    """Pattern: the placer is lost as the store comes back without its last moves."""

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as first:
            await wait_until(first, lambda: harness.owners(first) == {"a", "b"})
            copy = harness.store.take_copy()
            harness.view.targets = [t for t in harness.view.targets if t.name != "a"]
            await wait_until(first, lambda: harness.owners(first) == {"b"})
        await harness.store.restore(copy)
        harness.view = FixedView("a b")
        granted = len(harness.lease_client.holder("a").seen)
        async with harness.run_placer("vm2") as second:
            await asyncio.sleep(LEASE_S)
            assert len(harness.lease_client.holder("a").seen) == granted
            await wait_until(second, lambda: second.record.certainty == 0)
            await wait_until(
                second, lambda: len(harness.lease_client.holder("a").seen) > granted
            )
        assert not harness.lease_client.violations

    run(check())


def test_the_record_of_another_placer_is_not_replaced_at_a_reissued_revision():
    """Pattern: a placer that lost the store writes after a restore.

    Revisions are given out again, so its write would pass the store's check.
    """

    async def check():
        harness = PlacerHarness("a")
        async with harness.run_placer("vm1") as first:
            await wait_until(first, lambda: harness.owners(first) == {"a"})
            copy = harness.store.take_copy()
            await first.record_writer.write()
            store = first.record_writer.store = CutStore(harness.store)
            store.cut = True
            await wait_until(first, lambda: first.record_writer.store_lost)
            await harness.store.restore(copy)
            found = await harness.store.read(RECORD_KIND, RECORD_NAME)
            holder = DaemonInstance("vm2", "vm2-1", "127.0.0.1:1")
            second = await acquire_term(harness.store, holder, found, harness.log)
            revision = version_revision(first.record_writer.version)
            while version_revision(second.version) < revision:
                await second._write_once()
            assert version_revision(second.version) == revision
            store.cut = False
            await wait_until(first, first.record_writer.ended.done)
            found = await harness.store.read(RECORD_KIND, RECORD_NAME)
            assert parse_record(found.value).holder == holder

    run(check())


class LostTerm:
    """A placer that loses the store while another has a term that a restore loses."""

    def __init__(self, names: str) -> None:
        self.harness = PlacerHarness(names)

    @asynccontextmanager
    async def run_first(self):
        async with self.harness.run_placer("vm1") as placer:
            self.store = placer.record_writer.store = CutStore(self.harness.store)
            yield placer

    @asynccontextmanager
    async def lose(self, names: str):
        """Run another placer with some targets, then restore the store without it."""
        copy = self.harness.store.take_copy()
        self.store.cut = True
        self.harness.view = FixedView(names)
        async with self.harness.run_placer("vm2", NO_EARLIER_LEASES) as rival:
            yield rival
        await self.harness.store.restore(copy)
        self.store.cut = False


def test_keys_without_an_owner_may_have_one_by_a_lost_term():
    async def check():
        lost = LostTerm("")
        harness = lost.harness
        async with lost.run_first() as placer:
            await wait_until(placer, lambda: SERVICE in placer.record.tables)
            await placer.record_writer.write()
            async with lost.lose("a") as rival:
                await wait_until(rival, lambda: harness.owners(rival) == {"a"})
            await wait_until(placer, lambda: placer.record.term > 1)
            placer.view.targets = FixedView("b").targets
            await wait_until(placer, lambda: harness.owners(placer) == {"b"})
        assert not harness.lease_client.violations

    run(check())


def test_keys_of_a_replaced_target_may_have_been_moved_by_a_lost_term():
    async def check():
        lost = LostTerm("a")
        harness = lost.harness
        async with lost.run_first() as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a"})
            await placer.record_writer.write()
            harness.lease_client.holder("a").replaced = True
            harness.lease_client.holder("a").held.clear()
            async with lost.lose("b") as rival:
                await wait_until(rival, lambda: harness.owners(rival) == {"b"})
            await wait_until(placer, lambda: placer.record.term > 1)
            placer.view.targets = FixedView("a c").targets
            await wait_until(placer, lambda: harness.owners(placer) == {"c"})
        assert not harness.lease_client.violations

    run(check())


def test_a_lost_term_may_have_renewed_the_lease_of_keys_that_were_moving():
    async def check():
        lost = LostTerm("a")
        harness = lost.harness
        release = harness.lease_client.release

        async def release_and_cut(*call):
            outcome = await release(*call)
            lost.store.cut = True
            return outcome

        async with lost.run_first() as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a"})
            await placer.record_writer.write()
            harness.lease_client.release = release_and_cut
            placer.view.targets = FixedView("b").targets
            await wait_until(placer, lambda: harness.lease_client.releases, idle=False)
            async with lost.lose("a") as rival:
                holder = harness.lease_client.holder("a")
                await wait_until(rival, lambda: holder.holds(0, monotonic()))
            await wait_until(placer, lambda: harness.owners(placer) == {"b"})
            await asyncio.sleep(RENEWAL_PERIOD_S)
        assert not harness.lease_client.violations

    run(check())


def test_a_write_by_a_reissued_revision_does_not_confirm_a_term():
    async def check():
        harness = PlacerHarness("a")
        found = await harness.store.read(RECORD_KIND, RECORD_NAME)
        holder = DaemonInstance("vm1", "vm1-1", "127.0.0.1:1")
        first = await acquire_term(harness.store, holder, found, harness.log)
        copy = harness.store.take_copy()
        await first._write_once()
        await harness.store.restore(copy)
        found = await harness.store.read(RECORD_KIND, RECORD_NAME)
        other = DaemonInstance("vm2", "vm2-1", "127.0.0.1:1")
        assert await acquire_term(harness.store, other, found, harness.log)
        confirmed_at = first.confirmed_at
        await first._write_once()
        assert first.confirmed_at == confirmed_at or first.record.term > 262_144

    run(check())


def test_a_lost_response_to_the_first_write_after_a_restore_does_not_end_the_term():
    async def check():
        harness = PlacerHarness("a")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a"})
            copy = harness.store.take_copy()
            for _ in range(5):
                await placer.record_writer.write()
            await harness.store.restore(copy)
            harness.store.lose_answers = 1
            await wait_until(placer, lambda: placer.record.term > 1)
            await placer.record_writer.write()
            assert not placer.record_writer.ended.done()

    run(check())


def test_a_placer_does_not_spin_while_a_restored_store_is_away():
    """A conditional write from an earlier era fails without a call to the store."""

    async def check():
        harness = PlacerHarness("a")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a"})
            reads = 0

            async def conflict(*call):
                return Conflict(0)

            async def fail(*call):
                nonlocal reads
                reads += 1
                return StoreUnavailable("away")

            harness.store.write, harness.store.read = conflict, fail
            await asyncio.sleep(0.3)
            assert 1 <= reads <= 20

    run(check())


def test_one_grant_without_an_answer_moves_no_keys():
    """Pattern: grants are carried out, but some aren't answered (applied_late).

    Keys moved away from targets that served them, and then had no owner until leases
    had expired.
    """

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            moves = placer.moves
            grant = harness.lease_client.grant
            calls = 0

            async def answer_half(target, call, timeout_s):
                nonlocal calls
                calls += 1
                outcome = await grant(target, call, timeout_s)
                if calls % 2:
                    return outcome
                await asyncio.sleep(timeout_s)
                return Unanswered("lost")

            harness.lease_client.grant = answer_half
            await asyncio.sleep(1.0)
            assert calls > 10 and placer.moves == moves
            now = asyncio.get_running_loop().time()
            for key in range(0, 65_536, 4_096):
                assert any(
                    harness.lease_client.holder(name).holds(key, now) for name in "ab"
                )
        assert not harness.lease_client.violations

    run(check())


def test_a_target_that_is_gone_is_unusable_before_its_leases_expire():
    """A longer time would delay the move of its keys."""
    next_renewal_s = placer_module.RENEWAL_PERIOD_S
    unusable_s = UNUSABLE_AFTER_S + rights_module.GRANT_TIMEOUT_S
    assert unusable_s + next_renewal_s <= max_lease_s(rights_module.LEASE_S)


# Guards against targets without keys for the rest of the term: only grants show that
# they answer again, and they got none.
@pytest.mark.parametrize("names", ["a b", "a b c"])
def test_targets_that_failed_one_after_another_get_keys_again(names, monkeypatch):
    monkeypatch.setattr(trials_module, "MIN_TRIAL_DELAY_S", 0.1)

    async def check():
        harness = PlacerHarness(names)
        *first, last = names.split()
        async with harness.run_placer("vm1") as placer:
            await wait_until(
                placer, lambda: harness.owners(placer) == set(names.split())
            )
            for name in first:
                harness.lease_client.holder(name).reachable = False
            await wait_until(placer, lambda: harness.owners(placer) == {last})
            # No target is usable now, and the others have no keys.
            harness.lease_client.holder(last).reachable = False
            for name in first:
                harness.lease_client.holder(name).reachable = True
            await wait_until(placer, lambda: harness.owners(placer) == set(first), 4.0)
        assert not harness.lease_client.violations

    run(check())


# Guards against a trial that sends requests into an evacuated zone.
def test_a_target_of_an_evacuated_zone_is_not_tried(monkeypatch):
    monkeypatch.setattr(trials_module, "MIN_TRIAL_DELAY_S", 0.05)

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            harness.lease_client.holder("a").reachable = False
            await wait_until(placer, lambda: harness.owners(placer) == {"b"})
            harness.view.evacuated = {"a"}
            harness.lease_client.holder("a").reachable = True
            harness.log.lines.clear()
            await asyncio.sleep(0.4)
            assert not any("destination=a" in line for line in harness.log.lines)
            harness.view.evacuated = set()
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})

    run(check())


# Guards against the wait for a trial, or none at all, for a target that starts again.
def test_a_new_start_of_a_target_resets_the_evidence_of_failure(monkeypatch):
    monkeypatch.setattr(trials_module, "MIN_TRIAL_DELAY_S", 99.0)
    monkeypatch.setattr(trials_module, "MAX_TRIAL_DELAY_S", 99.0)

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            harness.lease_client.holder("a").reachable = False
            await wait_until(placer, lambda: harness.owners(placer) == {"b"})
            harness.lease_client.holder("a").reachable = True
            await asyncio.sleep(0.2)
            assert harness.owners(placer) == {"b"}
            harness.view.change("a", started_ms=2)
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
        assert not harness.lease_client.violations

    run(check())


def test_the_release_at_a_silent_target_is_waited_for_until_its_lease_ends(monkeypatch):
    """A call on a kept connection hangs, and delayed the move by its whole timeout."""
    monkeypatch.setattr(granter_module, "RELEASE_TIMEOUT_S", 3.0)

    async def check():
        harness = PlacerHarness("a b")
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            harness.lease_client.holder("a").reachable = False
            # A lease and its margins, and the detection before it.
            limit_s = 2 * max_lease_s(LEASE_S)
            await wait_until(placer, lambda: harness.owners(placer) == {"b"}, limit_s)
        assert not harness.lease_client.violations

    run(check())


# Guards against plans that follow noise in the load: keys went back to the target that
# had just given them away, and requests for them waited twice.
def test_balancing_returns_no_keys_to_a_target_that_has_just_given_them_away(
    monkeypatch,
):
    monkeypatch.setattr(placer_module, "RETURN_DELAY_S", 0.5)

    async def check():
        harness = PlacerHarness("a b")
        loads = harness.view.loads
        async with harness.run_placer("vm1") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"a", "b"})
            table = placer.record.tables[SERVICE]
            owned = table.owned_by("a")[0].keys
            spread = range(owned.start, owned.end, (owned.end - owned.start) // 50)
            started_at = boot_time()
            loads.add([(key, 1) for key in spread], started_at)

            def find_moved() -> list[int]:
                return [key for key in spread if table.find(key).owner == "b"]

            await wait_until(placer, find_moved)
            moved = find_moved()
            loads.weights.clear()
            loads.add([(key, 50 // len(moved)) for key in moved], boot_time())
            await wait_until(placer, lambda: len(find_moved()) < len(moved))
            assert boot_time() - started_at >= 0.5
        assert not harness.lease_client.violations

    run(check())


def test_many_ranges_leave_an_evacuated_zone_with_handover_in_time():
    """Guards against moves one after the other while a zone is evacuated."""
    evacuate_s, margin_s = 5.0, 1.0
    names = [f"t{i}" for i in range(24)]

    async def check():
        harness = PlacerHarness(" ".join(names))
        zone = set(names[:8])
        async with harness.run_placer("a") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == set(names))
            table = placer.record.tables[SERVICE]
            for key in range(0, KEY_SPACE, KEY_SPACE // 200):
                # Many small ranges, which don't merge with their neighbours.
                owner = names[key * 7 % len(names)]
                table.assign(KeyRange(key, key + 1), owner, placer.record.next_fence())
            await asyncio.sleep(RENEWAL_PERIOD_S)
            harness.store.delay_s = 0.1
            began = monotonic()
            harness.view.evacuated = zone
            await wait_until(
                placer, lambda: not zone & harness.owners(placer), evacuate_s
            )
            assert monotonic() - began < evacuate_s - margin_s
            await asyncio.sleep(0.5)
            assert not zone & harness.owners(placer)

    run(check())


def test_a_cold_target_keeps_keys_for_the_rate_that_it_bears():
    """Guards against an owner that turned cold and gets the load of a warm one."""

    async def check():
        harness = PlacerHarness("p q r")
        async with harness.run_placer("a") as placer:
            await wait_until(placer, lambda: harness.owners(placer) == {"p", "q", "r"})
            harness.view.cold = {"p"}

            def rate() -> float:
                pairs = [(key, 1) for key in range(0, KEY_SPACE, KEY_SPACE // 60)]
                harness.view.loads.add(pairs, boot_time())
                profile = harness.view.loads.profile(boot_time())
                table = placer.record.tables[SERVICE]
                owned = sum(profile.load(r.keys) for r in table.owned_by("p"))
                return owned / profile.total

            await wait_until(placer, lambda: rate() < 0.2, 5.0, idle=False)
            moves = [line for line in harness.log.lines if "event=moved" in line]
            assert any("source=p" in line for line in moves)
            assert placer.record.tables[SERVICE].owned_by("p")

    run(check())
