"""Tests of the rules around a lost store or a lost term, with the real constants.

In virtual time, with in-memory targets that enforce leases. Each test fails without the
rule that it is for.
"""

import asyncio

import pytest

from peridot_fakes.cutstore import CutStore
from peridot_fakes.placers import SERVICE, PlacerRun, PlacerSite, virtual_clocks
from peridot_fakes.virtualtime import run_virtual, virtual_time
from peridot_objects.objects import MemoryObjectStore
from peridot_objects.versions import version_revision
from peridot_ownership.errors import TermLost
from peridot_ownership.placer import RENEWAL_PERIOD_S
from peridot_ownership.planner import RangeMove
from peridot_ownership.ranges import ALL_KEYS, KeyRange
from peridot_ownership.record import (
    FENCES_PER_TERM,
    RECORD_KIND,
    RECORD_NAME,
    TERMS_PER_ERA,
    DaemonInstance,
    parse_record,
)
from peridot_ownership.recorder import (
    CONFIRMATION_TIMEOUT_S,
    HEARTBEAT_PERIOD_S,
    SAFE_RENUMBERING_S,
    RecordWriter,
    acquire_term,
)
from peridot_ownership.rights import (
    GRANT_TIMEOUT_S,
    LEASE_S,
    NO_EARLIER_LEASES,
    bound_earlier_leases,
)
from peridot_placement.decisions import MemoryDecisionLog

# What a successor expects if the last placer reached the store until it was lost.
SHORT_LEASES = bound_earlier_leases(CONFIRMATION_TIMEOUT_S, False, 0.0)
LONG_LEASES = bound_earlier_leases(CONFIRMATION_TIMEOUT_S, True, 10.0)


def run(test) -> None:
    with virtual_clocks():
        run_virtual(test)


async def wait_until(condition, limit_s: float = 30.0) -> None:
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


async def wait_until_granted(site: PlacerSite, run: PlacerRun, owners: set) -> None:
    """Wait until exactly these targets own keys, and all keys are held."""
    await wait_until(
        lambda: (
            run.owners() == owners
            and not run.placer.moving.get(SERVICE)
            and not site.unheld_ranges(set())
        )
    )


def advance_clock(delay_s: float) -> None:
    """Let time pass in which this process doesn't run."""
    asyncio.get_running_loop().now += delay_s


def split_range(run: PlacerRun, owner: str, parts: int) -> KeyRange:
    """Split an owner's first range into parts to be renewed singly; return the last."""
    record = run.placer.record
    keys = record.tables[SERVICE].owned_by(owner)[0].keys
    step = (keys.end - keys.start) // parts
    starts = [keys.start + step * index for index in range(parts)]
    for start, end in zip(starts, [*starts[1:], keys.end], strict=True):
        part = KeyRange(start, end)
        record.tables[SERVICE].assign(part, owner, record.next_fence())
    return part


async def acquire(store, vm: str) -> RecordWriter:
    found = await store.read(RECORD_KIND, RECORD_NAME)
    holder = DaemonInstance(vm, f"{vm}-1", "127.0.0.1:1")
    writer = await acquire_term(store, holder, found, MemoryDecisionLog())
    assert writer is not None
    return writer


# Rule: after a failed write the record is read before the next one. Revisions are
# issued again after a restore, so that the write of a placer that was cut off could
# replace the record of the one that has acquired the term.
def test_a_placer_that_lost_the_store_does_not_replace_a_record_at_its_revision():
    async def check():
        store = MemoryObjectStore()
        cut_store = CutStore(store)
        first = await acquire(cut_store, "vm1")
        copy = store.take_copy()
        for _ in range(3):
            await first._write_once()
        cut_store.cut = True
        await first._write_once()
        await store.restore(copy)
        second = await acquire(store, "vm2")
        while version_revision(second.version) < version_revision(first.version):
            await second._write_once()
        assert version_revision(second.version) == version_revision(first.version)
        cut_store.cut = False
        with pytest.raises(TermLost):
            await first._write_once()
        found = await store.read(RECORD_KIND, RECORD_NAME)
        assert parse_record(found.value).holder == second.record.holder
        await second._write_once()

    run(check())


# Rule: no number of a term is issued twice. The write of a placer that hasn't noticed a
# restore may replace the record of one that has, at an equal revision; then the term of
# the other can't be read any more.
def test_a_write_that_passes_by_accident_does_not_lead_to_the_term_of_another_placer():
    async def check():
        store = MemoryObjectStore()
        first = await acquire(store, "vm1")
        copy = store.take_copy()
        second = await acquire(store, "vm2")
        await second._write_once()
        await store.restore(copy)
        await first._write_once()
        assert first.record.term > TERMS_PER_ERA
        assert version_revision(first.version) == version_revision(second.version)
        await second._write_once()
        with pytest.raises(TermLost):
            await first._write_once()
        assert second.ended.done() or second.record.term > first.record.term

    run(check())


async def move_keys_by_a_term_that_is_lost(first_away_s: float) -> bool:
    """Cut a placer off; move its keys in the next term; restore the store without it.

    Return whether the first placer's term has ended.
    """
    site = PlacerSite()
    async with site.run_placer("vm1", "a", NO_EARLIER_LEASES) as first:
        await wait_until_granted(site, first, {"a"})
        await first.placer.record_writer.write()
        written_at = virtual_time()
        copy = site.store.take_copy()
        first.store.cut = True
        # Few members report to the first placer any more, so its leases stay short.
        first.placer.lease_manager.may_grant_long_leases = lambda: False
        async with site.run_placer("vm2", "b", SHORT_LEASES) as rival:
            rival.lease_client.cut = {"a"}
            await asyncio.sleep(written_at + first_away_s - virtual_time())
        has_moved = rival.owners() == {"b"}
        await site.store.restore(copy)
        first.store.cut = False
        # Shorter than a lease of the rival.
        await asyncio.sleep(HEARTBEAT_PERIOD_S)
        assert not site.lease_client.violations, site.lease_client.violations[:3]
        assert has_moved == first.has_ended()
        return first.has_ended()


# Rule: a placer whose last write is 7.9 s old doesn't go on after a restore, since
# another may have moved its keys under a term that the store has lost.
def test_a_placer_ends_if_a_lost_term_may_have_moved_its_keys():
    async def check():
        assert await move_keys_by_a_term_that_is_lost(SAFE_RENUMBERING_S + 0.7)

    run(check())


# The other side of that rule: the placer goes on as long as it is safe.
def test_a_placer_goes_on_if_no_lost_term_can_have_moved_its_keys():
    async def check():
        assert not await move_keys_by_a_term_that_is_lost(SAFE_RENUMBERING_S - 1.0)

    run(check())


# Rule: a successor takes over what is uncertain in the record. It would grant keys to
# owners from whom a lost term has moved them.
def test_the_successor_of_a_placer_with_uncertain_owners_waits_as_well():
    async def check():
        site = PlacerSite()
        async with site.run_placer("vm1", "a", NO_EARLIER_LEASES) as first:
            await wait_until_granted(site, first, {"a"})
            await first.placer.record_writer.write()
            copy = site.store.take_copy()
            first.view.show("b")
            await wait_until_granted(site, first, {"b"})
        await site.store.restore(copy)
        async with site.run_placer("vm2", "a b", LONG_LEASES) as second:
            assert second.owners() == {"a"}
        async with site.run_placer("vm3", "a b", LONG_LEASES) as third:
            await asyncio.sleep(LEASE_S)
            assert not site.lease_client.violations, site.lease_client.violations[:3]
            await wait_until_granted(site, third, {"a", "b"})
        assert not site.lease_client.violations, site.lease_client.violations[:3]

    run(check())


async def restore_while_a_grant_is_answered(site: PlacerSite, first: PlacerRun) -> None:
    """Restore the store after a grant was sent and before its answer arrives."""
    await first.placer.record_writer.write()
    copy = site.store.take_copy()
    holder = site.lease_client.holder("a")
    grants = len(holder.seen)
    holder.answer_s = 0.45
    await wait_until(lambda: len(holder.seen) > grants)
    holder.answer_s = 0.0
    await site.store.restore(copy)
    first.placer.record_writer.request_write()
    await wait_until(lambda: first.placer.record.term > TERMS_PER_ERA, GRANT_TIMEOUT_S)


# Rule: an answer to a grant that was sent before a restore doesn't count as accepted in
# the term that goes on. A lost term may have granted leases on the keys since.
def test_an_answer_to_a_grant_of_the_old_term_does_not_count_as_accepted():
    async def check():
        site = PlacerSite()
        async with site.run_placer("vm1", "a", NO_EARLIER_LEASES) as first:
            await wait_until_granted(site, first, {"a"})
            await restore_while_a_grant_is_answered(site, first)
            await asyncio.sleep(GRANT_TIMEOUT_S)
            state = first.placer.target_states["a"]
            assert not state.lock.locked()
            assert not state.has_accepted(ALL_KEYS)
            await asyncio.sleep(RENEWAL_PERIOD_S)
            assert state.has_accepted(ALL_KEYS)

    run(check())


# Rule: what targets accepted before a restore doesn't count after it, for the same
# reason.
def test_what_a_target_accepted_before_a_restore_does_not_count_after_it():
    async def check():
        site = PlacerSite()
        async with site.run_placer("vm1", "a", NO_EARLIER_LEASES) as first:
            await wait_until_granted(site, first, {"a"})
            await wait_until(
                lambda: first.placer.target_states["a"].has_accepted(ALL_KEYS)
            )
            await restore_while_a_grant_is_answered(site, first)
            assert not first.placer.target_states["a"].has_accepted(ALL_KEYS)

    run(check())


# Rule: once a target has reported a newer term's fencing token, no target gets a grant
# until a later write has confirmed the term, however recent the last one is.
def test_a_placer_that_was_outranked_at_one_target_grants_nothing_at_others():
    async def check():
        site = PlacerSite()
        async with site.run_placer("vm1", "a b", NO_EARLIER_LEASES) as first:
            await wait_until_granted(site, first, {"a", "b"})
            await first.placer.record_writer.write()
            written_at = virtual_time()
            first.store.cut = True
            newer = first.placer.record.last_fence + FENCES_PER_TERM
            site.lease_client.holder("a").seen.append((ALL_KEYS, newer))
            await wait_until(lambda: not first.placer.record_writer.is_confirmed())
            assert virtual_time() - written_at < LEASE_S
            grants = len(site.lease_client.holder("b").seen)
            await asyncio.sleep(CONFIRMATION_TIMEOUT_S / 2)
            assert len(site.lease_client.holder("b").seen) == grants
            first.store.cut = False
            await asyncio.sleep(HEARTBEAT_PERIOD_S + RENEWAL_PERIOD_S)
            assert len(site.lease_client.holder("b").seen) > grants

    run(check())


# Rule: no grants without a recent write. A partition may leave an old placer with one
# target, and the next placer with the store and all others.
def test_a_placer_that_lost_the_store_does_not_keep_a_target_beside_its_successor():
    async def check():
        site = PlacerSite()
        async with site.run_placer("vm1", "a b", NO_EARLIER_LEASES) as first:
            await wait_until_granted(site, first, {"a", "b"})
            first.store.cut, first.lease_client.cut = True, {"b"}
            first.placer.lease_manager.may_grant_long_leases = lambda: False
            async with site.run_placer("vm2", "a b", LONG_LEASES) as second:
                second.lease_client.cut = {"a"}
                await wait_until(lambda: second.owners() == {"b"})
                await wait_until(lambda: not site.unheld_ranges({"a"}))
                await asyncio.sleep(LEASE_S)
        assert not site.lease_client.violations, site.lease_client.violations[:3]

    run(check())


# Rule: the same within a pass of renewals, in which the process may be suspended.
def test_a_placer_that_was_suspended_in_a_pass_does_not_go_on_with_it():
    async def check():
        site = PlacerSite()
        async with site.run_placer("vm1", "a", NO_EARLIER_LEASES) as first:
            await wait_until_granted(site, first, {"a"})
            split_range(first, "a", 5)
            grant, writer = first.lease_client.inner.grant, first.placer.record_writer
            ages_s = []

            async def suspend_after_grant(*call):
                outcome = await grant(*call)
                ages_s.append(virtual_time() - writer.confirmed_at)
                if len(ages_s) == 3:
                    advance_clock(CONFIRMATION_TIMEOUT_S)
                return outcome

            first.lease_client.inner.grant = suspend_after_grant
            await asyncio.sleep(2 * CONFIRMATION_TIMEOUT_S)
            assert len(ages_s) > 10
            assert max(ages_s) < CONFIRMATION_TIMEOUT_S

    run(check())


# Rule: a pass of renewals leaves out ranges that have moved since it began. The release
# waits for passes that began before the move, but not for one that began during it.
def test_a_pass_that_began_during_a_move_does_not_renew_the_moved_keys():
    async def check():
        site = PlacerSite()
        async with site.run_placer("vm1", "a b", NO_EARLIER_LEASES) as first:
            await wait_until_granted(site, first, {"a", "b"})
            last = split_range(first, "a", 7)
            await asyncio.sleep(2 * RENEWAL_PERIOD_S)
            holder = site.lease_client.holder("a")
            # A pass starts while requests on the released keys end, and takes longer.
            holder.processing_s, holder.answer_s = 1.0, 0.3
            move = RangeMove(last, "a", "b", "test")
            first.placer._start_move(SERVICE, move)
            await wait_until(lambda: site.holders_of(last.start) == {"b"})
            await asyncio.sleep(4 * LEASE_S)
        assert not site.lease_client.violations, site.lease_client.violations[:3]

    run(check())


# Rule: the same for keys that begin to move during a pass. The release would wait for
# the pass, but a renewal whose answer is lost would delay the move by a whole lease.
def test_a_pass_does_not_renew_keys_that_began_to_move_during_it():
    async def check():
        site = PlacerSite()
        async with site.run_placer("vm1", "a", NO_EARLIER_LEASES) as first:
            await wait_until_granted(site, first, {"a"})
            grant = first.lease_client.inner.grant
            moving = first.placer.moving[SERVICE]
            moving.append(KeyRange(100, 200))
            granted = []

            async def mark_after_grant(target, call, timeout_s):
                granted.append(call.keys)
                if len(granted) == 1:
                    moving.append(KeyRange(300, 400))
                return await grant(target, call, timeout_s)

            first.lease_client.inner.grant = mark_after_grant
            await wait_until(lambda: len(granted) > 3)
            assert granted[0] == KeyRange(0, 100)
            assert not any(keys.overlaps(KeyRange(300, 400)) for keys in granted)

    run(check())
