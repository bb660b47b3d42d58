"""Targets as told by the placer and as read from the store."""

import asyncio

from peridot_gateway import followers as followers_module, targets as targets_module
from peridot_gateway.messages import serialize_entry
from peridot_gateway.targets import TargetSource
from peridot_objects.objects import MemoryObjectStore
from peridot_objects.outcomes import DeletedObject, StoredObject
from peridot_placement.decisions import MemoryDecisionLog
from peridot_resources.configuration import ServingTarget

KIND = "targets"


class PlainDialect:
    """Read a target from any text."""

    target_kind = KIND

    def parse_target(self, name, value):
        leaving = value == b"leaving"
        return ServingTarget(name, "files", "127.0.0.1:1", "a", 3, leaving, 0.0)


def make_source(store=None) -> TargetSource:
    return TargetSource(
        store or MemoryObjectStore(), PlainDialect(), MemoryDecisionLog()
    )


def entry(name: str, version: int, value: bytes = b"x") -> StoredObject:
    return StoredObject(KIND, name, version, value)


def follow_while(change) -> TargetSource:
    """Follow a store while it is changed; return the source."""

    async def play():
        store = MemoryObjectStore()
        source = make_source(store)
        source.gather_s = 0.0
        await store.write(KIND, "p", b"x", None)
        task = asyncio.create_task(source.run())
        await asyncio.sleep(0.02)
        await change(store, source)
        await asyncio.sleep(0.02)
        task.cancel()
        return source

    return asyncio.run(play())


def test_a_fed_member_asks_the_store_for_nothing_and_goes_on_after_it(monkeypatch):
    """Answers the pattern of a scale-out: each entry changes every few seconds.

    Watches of all VMs were most of the calls to the store on calm days.
    """
    monkeypatch.setattr(followers_module, "VOUCH_CHECK_S", 0.01)
    monkeypatch.setattr(targets_module, "GATHER_S", 0.0)

    async def play():
        store = MemoryObjectStore()
        source = make_source(store)
        source.gather_s = 0.0
        source.vouched = lambda: 1
        await store.write(KIND, "p", b"x", None)
        source.feed([entry("p", 1)], True, 1)
        task = asyncio.create_task(source.run())
        await asyncio.sleep(0.05)
        reads = store.reads
        await store.write(KIND, "q", b"x", None)
        source.feed([entry("q", 2)], False, 2)
        await asyncio.sleep(0.05)
        assert store.reads == reads
        assert set(source.targets) == {"p", "q"}
        source.end_feed()
        await store.write(KIND, "r", b"x", None)
        await asyncio.sleep(0.1)
        task.cancel()
        assert set(source.targets) == {"p", "q", "r"}

    asyncio.run(play())


def test_what_was_read_earlier_does_not_undo_what_was_told():
    source = make_source()
    source.feed([entry("p", 5)], True, 5)
    source.feed([DeletedObject(KIND, "p", 7), entry("q", 8)], False, 8)
    source.take(entry("p", 5))
    source.replace_all((entry("p", 5),), 6)
    assert set(source.targets) == {"q"}
    source.take(entry("p", 9))
    assert set(source.targets) == {"p", "q"}


def test_a_removal_may_carry_the_version_of_what_it_removes():
    source = make_source()
    source.take(entry("p", 5))
    source.take(DeletedObject(KIND, "p", 5))
    assert not source.targets


def test_changes_before_the_first_list_are_not_taken():
    """They are of a link that ended: what came between is not known."""
    source = make_source()
    source.feed([entry("p", 5)], False, 5)
    assert not source.targets


def test_members_that_missed_too_much_are_told_all(monkeypatch):
    source = make_source()
    for version in range(1, targets_module.KEPT_CHANGES + 2):
        source.take(entry("p", version))
    assert source.changes_since(0) is None
    assert source.changes_since(source.change_count) == []
    assert source.changes_since(source.change_count - 1) == [
        entry("p", targets_module.KEPT_CHANGES + 1)
    ]


# Guards against requests at leaving targets: news that had waited counted as new.
def test_a_notice_that_a_watch_brings_at_once_may_be_as_old_as_the_view():
    async def change(store, source):
        await store.set_outage(True)
        source.heard_at -= 1.3
        await store.set_outage(False)
        await store.write(KIND, "p", b"leaving", None)
        await asyncio.sleep(0.3)

    assert 1.3 < follow_while(change).leaving_s("p") < 2.0


def test_a_notice_that_a_waiting_watch_brings_is_new():
    async def change(store, source):
        await asyncio.sleep(0.2)
        await store.write(KIND, "p", b"leaving", None)

    assert follow_while(change).leaving_s("p") < 0.2


def test_a_target_that_leaves_at_first_sight_may_have_done_so_for_long():
    source = make_source()
    source.take(entry("p", 5, b"leaving"))
    assert source.leaving_s("p") == float("inf")
    assert serialize_entry(entry("p", 5), source.leaving_s("p")).leaving_ms > 60_000


def test_members_are_told_how_long_targets_have_been_leaving():
    source = make_source()
    source.feed([entry("p", 5, b"leaving")], True, 5, 0.3, {"p": 1.5})
    assert 1.5 <= source.leaving_s("p") < 1.6
    source.feed([], False, 6, 0.4)
    assert 1.5 <= source.leaving_s("p") < 1.6
    assert 0.2 < source.age_s < 0.4


def test_a_target_that_is_back_or_gone_does_not_leave():
    source = make_source()
    for last in (entry("p", 6), DeletedObject(KIND, "p", 6)):
        source.take(entry("p", 5, b"leaving"))
        source.take(last)
        assert source.leaving_s("p") == 0.0
