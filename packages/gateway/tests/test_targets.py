"""Targets pushed by the placer and read from the store."""

import asyncio
import time
from dataclasses import replace

from peridot_gateway import followers as followers_module, targets as targets_module
from peridot_gateway.messages import (
    parse_entry,
    parse_leaving_times,
    serialize_entry,
)
from peridot_gateway.targets import TargetSource
from peridot_objects.objects import MemoryObjectStore
from peridot_objects.outcomes import DeletedObject, StoredObject
from peridot_objects.versions import compose_version
from peridot_placement.decisions import MemoryDecisionLog
from peridot_resources.configuration import TargetInstance

KIND = "targets"


class PlainDialect:
    """A dialect that parses a target from any text."""

    target_kind = KIND

    def parse_target(self, name, value):
        leaving = value == b"leaving"
        return TargetInstance(name, "files", "127.0.0.1:1", "a", 3, leaving, 0.0)


def make_source(store=None) -> TargetSource:
    return TargetSource(
        store or MemoryObjectStore(), PlainDialect(), MemoryDecisionLog()
    )


def entry(name: str, version: int, value: bytes = b"x") -> StoredObject:
    return StoredObject(KIND, name, version, value)


def run_source_while(change) -> TargetSource:
    """Watch a store while it is changed; return the source."""

    async def scenario():
        store = MemoryObjectStore()
        source = make_source(store)
        source.batch_delay_s = 0.0
        await store.write(KIND, "p", b"x", None)
        task = asyncio.create_task(source.run())
        await asyncio.sleep(0.02)
        await change(store, source)
        await asyncio.sleep(0.02)
        task.cancel()
        return source

    return asyncio.run(scenario())


def test_a_member_reads_the_store_only_after_pushes_have_ended(monkeypatch):
    """Guards against watches by all VMs, most of the calls to the store at low load.

    During a scale-out, each entry changes every few seconds.
    """
    monkeypatch.setattr(followers_module, "CONFIRMATION_CHECK_PERIOD_S", 0.01)
    monkeypatch.setattr(targets_module, "BATCH_DELAY_S", 0.0)

    async def scenario():
        store = MemoryObjectStore()
        source = make_source(store)
        source.batch_delay_s = 0.0
        source.get_confirmed_version = lambda: 1
        await store.write(KIND, "p", b"x", None)
        source.apply_pushed([entry("p", 1)], True, 1)
        task = asyncio.create_task(source.run())
        await asyncio.sleep(0.05)
        reads = store.reads
        await store.write(KIND, "q", b"x", None)
        source.apply_pushed([entry("q", 2)], False, 2)
        await asyncio.sleep(0.05)
        assert store.reads == reads
        assert set(source.targets) == {"p", "q"}
        source.end_push()
        await store.write(KIND, "r", b"x", None)
        await asyncio.sleep(0.1)
        task.cancel()
        assert set(source.targets) == {"p", "q", "r"}

    asyncio.run(scenario())


def test_older_changes_from_the_store_do_not_undo_pushed_ones():
    source = make_source()
    source.apply_pushed([entry("p", 5)], True, 5)
    source.apply_pushed([DeletedObject(KIND, "p", 7), entry("q", 8)], False, 8)
    source.apply(entry("p", 5))
    source.replace_all((entry("p", 5),), 6)
    assert set(source.targets) == {"q"}
    source.apply(entry("p", 9))
    assert set(source.targets) == {"p", "q"}


def test_a_removal_may_carry_the_version_of_what_it_removes():
    source = make_source()
    source.apply(entry("p", 5))
    source.apply(DeletedObject(KIND, "p", 5))
    assert not source.targets


def test_pushed_changes_before_the_first_list_are_ignored():
    """They belong to a link that ended: the changes in between are unknown."""
    source = make_source()
    source.apply_pushed([entry("p", 5)], False, 5)
    assert not source.targets


def test_changes_are_kept_up_to_a_limit(monkeypatch):
    source = make_source()
    for version in range(1, targets_module.MAX_RECENT_CHANGES + 2):
        source.apply(entry("p", version))
    assert source.changes_since(0) is None
    assert source.changes_since(source.change_count) == []
    assert source.changes_since(source.change_count - 1) == [
        entry("p", targets_module.MAX_RECENT_CHANGES + 1)
    ]


# Guards against requests to leaving targets: delayed notices counted as new.
def test_a_notice_in_an_immediate_watch_response_may_be_as_old_as_the_view():
    async def change(store, source):
        await store.set_outage(True)
        source.current_at -= 1.3
        await store.set_outage(False)
        await store.write(KIND, "p", b"leaving", None)
        await asyncio.sleep(0.3)

    assert 1.3 < run_source_while(change).leaving_for_s("p") < 2.0


def test_a_notice_in_the_response_of_a_pending_watch_is_new():
    async def change(store, source):
        await asyncio.sleep(0.2)
        await store.write(KIND, "p", b"leaving", None)

    assert run_source_while(change).leaving_for_s("p") < 0.2


def test_a_target_first_seen_leaving_may_have_been_leaving_for_long():
    source = make_source()
    source.apply(entry("p", 5, b"leaving"))
    assert source.leaving_for_s("p") == float("inf")
    assert serialize_entry(entry("p", 5), source.leaving_for_s("p")).leaving_ms > 60_000


def test_pushed_entries_say_for_how_long_targets_have_been_leaving():
    source = make_source()
    source.apply_pushed([entry("p", 5, b"leaving")], True, 5, 0.3, {"p": 1.5})
    assert 1.5 <= source.leaving_for_s("p") < 1.6
    source.apply_pushed([], False, 6, 0.4)
    assert 1.5 <= source.leaving_for_s("p") < 1.6
    assert 0.2 < source.age_s < 0.4


def test_a_target_that_returned_or_was_removed_is_not_leaving():
    source = make_source()
    for last in (entry("p", 6), DeletedObject(KIND, "p", 6)):
        source.apply(entry("p", 5, b"leaving"))
        source.apply(last)
        assert source.leaving_for_s("p") == 0.0


class RestoredView:
    """A source that knew targets before a restore of the store, and its copy."""

    def __init__(self, monkeypatch, grace_s: float = 0.1) -> None:
        monkeypatch.setattr(targets_module, "RESTORE_GRACE_S", grace_s)
        self.source = make_source()

    def list(self, era: int, written_at: int, **values: bytes) -> None:
        version = compose_version(era, written_at)
        objects = tuple(entry(name, version, value) for name, value in values.items())
        self.source.replace_all(objects, version + 1)
        self.source.loaded = True

    def usable(self) -> set[str]:
        targets = self.source.targets.values()
        return {target.name for target in targets if not target.leaving}


def test_a_target_that_the_restored_copy_lacks_stays_until_it_is_written_again(
    monkeypatch,
):
    """Pattern: it registered in the seconds that the store has lost, and serves."""
    view = RestoredView(monkeypatch)
    view.list(0, 9, p=b"x", q=b"x")
    view.list(1, 5, p=b"x")
    assert view.usable() == {"p", "q"} and not view.source.needs_list()
    time.sleep(0.11)
    assert view.source.needs_list()
    view.list(1, 5, p=b"x")
    assert view.usable() == {"p"} and not view.source.needs_list()


def test_a_target_that_has_left_is_not_used_again_after_a_restore(monkeypatch):
    """Pattern: the copy is older than the notice to leave, or than the removal."""
    view = RestoredView(monkeypatch)
    view.list(0, 7, p=b"x", q=b"x", r=b"x")
    view.list(0, 9, p=b"x", q=b"leaving")
    view.list(1, 5, p=b"x", q=b"x", r=b"x")
    assert view.usable() == {"p"}
    assert view.source.leaving_for_s("q") > 0
    time.sleep(0.11)
    view.list(1, 5, p=b"x", q=b"x", r=b"x")
    # Its entry would be gone by now if the target were.
    assert view.usable() == {"p", "r"}


def test_members_keep_leaving_targets_when_the_placer_pushes_restored_entries(
    monkeypatch,
):
    monkeypatch.setattr(targets_module, "RESTORE_GRACE_S", 0.1)
    member = make_source()
    member.apply_pushed([entry("p", 3), entry("q", 4, b"leaving")], True, 4)
    restored = [
        entry(name, compose_version(1, number)) for name, number in (("p", 2), ("q", 1))
    ]
    member.apply_pushed(restored, False, compose_version(1, 2))
    assert not member.targets["p"].leaving
    assert member.targets["q"].leaving


def test_a_restored_store_is_listed_again_after_the_grace_time(monkeypatch):
    monkeypatch.setattr(targets_module, "RESTORE_GRACE_S", 0.05)
    monkeypatch.setattr(followers_module, "CONFIRMATION_CHECK_PERIOD_S", 0.01)

    async def change(store, source):
        copy = store.take_copy()
        await store.write(KIND, "q", b"x", None)
        await asyncio.sleep(0.02)
        await store.restore(copy)
        await asyncio.sleep(0.02)
        assert set(source.targets) == {"p", "q"}
        await asyncio.sleep(0.1)

    source = run_source_while(change)
    assert set(source.targets) == {"p"}


def test_a_leaving_that_a_target_announced_outlasts_its_entry_in_the_store():
    """Pattern: the store is away, or the target never reports that it drains."""
    source = make_source()
    source.apply_pushed([entry("p", 3), entry("q", 4)], True, 4)
    source.announce_leaving("p", 0)
    assert source.targets["p"].leaving
    assert [t.name for t in source.of_service("files") if not t.leaving] == ["q"]
    source.apply(entry("p", 5))
    assert source.targets["p"].leaving and source.leaving_for_s("p") > 0
    source.announce_leaving("q", 7)
    assert not source.targets["q"].leaving


def test_a_new_incarnation_ends_an_announced_leaving(monkeypatch):
    source = make_source()
    source.apply_pushed([entry("p", 3)], True, 3)
    source.announce_leaving("p", 0)
    parse = source.dialect.parse_target
    monkeypatch.setattr(
        source.dialect,
        "parse_target",
        lambda name, value: replace(parse(name, value), started_ms=9),
    )
    source.apply(entry("p", 4))
    assert not source.targets["p"].leaving and not source.announced_leaving


def test_members_learn_from_the_placer_that_a_target_announced_its_leaving():
    placer, member = make_source(), make_source()
    for source in (placer, member):
        source.apply_pushed([entry("p", 3)], True, 3)
    count = placer.change_count
    placer.announce_leaving("p", 0, 0.5)
    (change,) = placer.changes_since(count)
    message = serialize_entry(change, placer.leaving_for_s("p"))
    member.apply_pushed(
        [parse_entry(KIND, message)], False, 3, 0.0, parse_leaving_times([message])
    )
    assert member.targets["p"].leaving
    assert member.leaving_for_s("p") >= 0.5
