"""Watches of configuration and targets in the store, and owner tables."""

import asyncio

from peridot_gateway import followers as followers_module
from peridot_gateway.dialect import InvalidObject
from peridot_gateway.owners import Owners, OwnerTable
from peridot_gateway.sources import ConfigurationSource
from peridot_gateway.targets import TargetSource
from peridot_objects.objects import MemoryObjectStore
from peridot_placement.decisions import MemoryDecisionLog
from peridot_resources.configuration import Configuration, TargetInstance


class PlainDialect:
    """A dialect that parses versions and targets from short texts."""

    configuration_kind, configuration_name = "configuration", "main"
    target_kind = "targets"

    def parse_configuration(self, value):
        if not value.isdigit():
            raise InvalidObject("not a number")
        return Configuration(int(value))

    def parse_target(self, name, value):
        if value == b"?":
            raise InvalidObject("unreadable")
        leaving = value == b"leaving"
        return TargetInstance(name, "files", "127.0.0.1:1", "a", 3, leaving, 0.0)


def run_source(kind, write):
    async def scenario():
        store = MemoryObjectStore()
        log = MemoryDecisionLog()
        source = kind(store, PlainDialect(), log)
        task = asyncio.create_task(source.run())
        await write(store, source)
        await asyncio.sleep(0.05)
        task.cancel()
        return source, log

    return asyncio.run(scenario())


def test_a_configuration_never_reverts():
    async def write(store, source):
        for value in (b"5", b"4"):
            await store.write("configuration", "main", value, None)
            await asyncio.sleep(0.02)

    source, _ = run_source(ConfigurationSource, write)
    assert source.configuration.version == 5


def test_an_invalid_configuration_is_logged_and_ignored():
    async def write(store, source):
        for value in (b"5", b"x"):
            await store.write("configuration", "main", value, None)
            await asyncio.sleep(0.02)

    source, log = run_source(ConfigurationSource, write)
    assert source.configuration.version == 5
    assert any("event=configuration_invalid" in line for line in log.lines)


def test_a_target_that_became_invalid_is_not_used():
    async def write(store, source):
        await store.write("targets", "t", b"ready", None)
        await asyncio.sleep(0.02)
        await store.write("targets", "t", b"?", None)
        await asyncio.sleep(0.4)

    source, _ = run_source(TargetSource, write)
    assert source.of_service("files") == []


def test_targets_deleted_while_the_store_was_unavailable_are_removed():
    async def write(store, source):
        for name in ("t", "u"):
            await store.write("targets", name, b"ready", None)
        await asyncio.sleep(0.4)
        assert len(source.of_service("files")) == 2
        await store.set_outage(True)
        await store.set_outage(False)
        await store.delete("targets", "t", None)
        await asyncio.sleep(0.8)

    source, _ = run_source(TargetSource, write)
    assert [target.name for target in source.of_service("files")] == ["u"]


def test_older_owner_tables_are_ignored():
    owners = Owners()
    assert owners.update(2, 5, {"files": OwnerTable((0, 100), ("a", "b"))})
    assert not owners.update(1, 9, {})
    assert not owners.update(2, 5, {})
    assert owners.find("files", 99) == "a"
    assert owners.find("files", 100) == "b"
    assert owners.find("other", 1) == ""


def test_the_time_without_an_owner_continues_across_new_tables():
    now = 10.0
    owners = Owners(clock=lambda: now)
    owners.update(1, 1, {"files": OwnerTable((0, 100), ("a", ""))})
    now = 12.0
    owners.update(1, 2, {"files": OwnerTable((0, 100, 150), ("a", "", ""))})
    assert owners.unowned_s("files", 160) == 2.0
    assert owners.unowned_s("files", 50) == 0.0
    owners.update(1, 3, {"files": OwnerTable((0, 100), ("a", "b"))})
    owners.update(1, 4, {"files": OwnerTable((0, 100), ("a", ""))})
    assert owners.unowned_s("files", 160) == 0.0


class HangingWatchStore(MemoryObjectStore):
    """A store whose first watches never return, as on a dead connection."""

    def __init__(self) -> None:
        super().__init__()
        self.hanging_watches = 1
        self.limits: list[float] = []
        self.lists = 0

    async def list(self, kinds):
        self.lists += 1
        return await super().list(kinds)

    async def watch(self, kinds, since, timeout_s):
        self.limits.append(timeout_s)
        if self.hanging_watches > 0:
            self.hanging_watches -= 1
            await asyncio.Event().wait()
        return await super().watch(kinds, since, timeout_s)


def test_a_dead_watch_is_restarted_when_the_placer_confirms_a_newer_version(
    monkeypatch,
):
    """Watches are long while the placer confirms versions, to save calls."""
    monkeypatch.setattr(followers_module, "BEHIND_TIMEOUT_S", 0.05)
    monkeypatch.setattr(followers_module, "CONFIRMATION_CHECK_PERIOD_S", 0.02)

    async def scenario():
        store = HangingWatchStore()
        await store.write("configuration", "main", b"5", None)
        source = ConfigurationSource(store, PlainDialect(), MemoryDecisionLog())
        source.get_confirmed_version = lambda: store.revision
        task = asyncio.create_task(source.run())
        await asyncio.sleep(0.05)
        await store.write("configuration", "main", b"6", None)
        await asyncio.sleep(0.2)
        task.cancel()
        assert source.configuration.version == 6
        assert store.limits[0] == followers_module.CONFIRMED_WATCH_TIMEOUT_S
        # After the list the view is current, so the next watch is long again.
        assert store.lists == 2
        assert store.limits[1] == followers_module.CONFIRMED_WATCH_TIMEOUT_S

    asyncio.run(scenario())


# Guards against a configuration that is applied late: a short watch, started while no
# placer confirmed versions, ran to its timeout although the placer then knew a change.
def test_a_dead_short_watch_is_restarted_when_the_placer_confirms_a_newer_version(
    monkeypatch,
):
    monkeypatch.setattr(followers_module, "BEHIND_TIMEOUT_S", 0.05)
    monkeypatch.setattr(followers_module, "CONFIRMATION_CHECK_PERIOD_S", 0.02)

    async def scenario():
        store = HangingWatchStore()
        await store.write("configuration", "main", b"5", None)
        source = ConfigurationSource(store, PlainDialect(), MemoryDecisionLog())
        task = asyncio.create_task(source.run())
        await asyncio.sleep(0.05)
        await store.write("configuration", "main", b"6", None)
        source.get_confirmed_version = lambda: store.revision
        await asyncio.sleep(0.2)
        task.cancel()
        assert source.configuration.version == 6

    asyncio.run(scenario())


def test_a_long_watch_ends_when_no_placer_confirms_versions_any_more(monkeypatch):
    monkeypatch.setattr(followers_module, "WATCH_TIMEOUT_S", 0.1)
    monkeypatch.setattr(followers_module, "CONFIRMATION_CHECK_PERIOD_S", 0.02)

    async def scenario():
        store = HangingWatchStore()
        await store.write("configuration", "main", b"5", None)
        source = ConfigurationSource(store, PlainDialect(), MemoryDecisionLog())
        confirmed_version = [1]
        source.get_confirmed_version = lambda: confirmed_version[0]
        task = asyncio.create_task(source.run())
        await asyncio.sleep(0.15)
        assert len(store.limits) == 1
        confirmed_version[0] = None
        await asyncio.sleep(0.05)
        task.cancel()
        assert len(store.limits) == 2

    asyncio.run(scenario())


def test_a_later_target_at_the_same_address_replaces_the_earlier():
    source = TargetSource(MemoryObjectStore(), PlainDialect(), MemoryDecisionLog())

    def target(name: str, address: str, started_ms: int) -> TargetInstance:
        return TargetInstance(name, "files", address, "a", 3, False, 0.0, started_ms)

    old, new = target("p", "127.0.0.1:1", 5), target("q", "127.0.0.1:1", 9)
    source.targets = {"p": old, "q": new, "r": target("r", "127.0.0.1:2", 9)}
    assert source.is_address_reused(old)
    assert not source.is_address_reused(new)
    # The same after its entry was removed.
    del source.targets["p"]
    assert source.is_address_reused(old)


def test_an_unreachable_store_is_called_less_often_after_each_failure(monkeypatch):
    """Guards against thousands of refused calls when many VMs lose the store."""
    monkeypatch.setattr(followers_module, "RETRY_DELAY_S", 0.01)
    monkeypatch.setattr(followers_module, "MAX_RETRY_DELAY_S", 0.08)

    async def scenario():
        store = MemoryObjectStore()
        source = TargetSource(store, PlainDialect, MemoryDecisionLog())
        await store.set_outage(True)
        task = asyncio.create_task(source.run())
        await asyncio.sleep(0.8)
        assert 4 <= store.reads <= 14
        await store.set_outage(False)
        await asyncio.sleep(0.12)
        assert source.reachable and source.failures == 0
        task.cancel()

    asyncio.run(scenario())
