"""Test the operators' actions, also on conflicts and failures of the store."""

import asyncio
import contextlib

import orjson
import pytest

from peridot_ctl import porcelain
from peridot_ctl.errors import Applied, Conflicted, Failed, OutcomeUnknown
from peridot_objects.objects import MemoryObjectStore
from peridot_objects.outcomes import (
    DeletedObject,
    RevisionTooOld,
    StoredObject,
    Written,
)
from peridot_resources.errors import InvalidManifests

POLICY = '{"kind": "RoutingPolicy", "name": "p", "spec": {"deadlineMs": %d}}'
SERVICE = (
    '{"kind": "Service", "name": "s", "spec": {"pathPrefix": "/s/",'
    '"key": {"header": "Key"}, "dividedByKey": true, "policy": "p"}}'
)


class ConcurrentWriteStore(MemoryObjectStore):
    """A store to which another operator writes just before the next write."""

    concurrent_value: bytes = b""

    async def write(self, kind, name, value, expected):
        if self.concurrent_value:
            concurrent_value, self.concurrent_value = self.concurrent_value, b""
            await super().write(kind, name, concurrent_value, None)
        return await super().write(kind, name, value, expected)


@pytest.fixture
def files(tmp_path):
    def write(**texts):
        paths = []
        for name, text in texts.items():
            path = tmp_path / f"{name}.jsonc"
            path.write_text(text)
            paths.append(path)
        return paths

    return write


def run(action):
    return asyncio.run(action)


def test_apply_creates_then_keeps_then_changes_a_resource(files):
    async def scenario():
        store = MemoryObjectStore()
        actions = []
        for deadline in (2000, 2000, 3000):
            (outcome,) = await porcelain.apply(store, files(p=POLICY % deadline))
            actions.append(outcome.action)
        return actions

    assert run(scenario()) == ["created", "unchanged", "changed"]


def test_apply_that_conflicts_reports_the_difference_and_writes_nothing(files):
    async def scenario():
        store = ConcurrentWriteStore()
        await porcelain.apply(store, files(p=POLICY % 2000))
        store.concurrent_value = b'{"spec": {"deadlineMs": 9000}}'
        (outcome,) = await porcelain.apply(store, files(p=POLICY % 3000))
        stored = await store.read("RoutingPolicy", "p")
        return outcome, orjson.loads(stored.value)

    outcome, stored = run(scenario())
    assert isinstance(outcome, Conflicted)
    assert "9000" in outcome.difference
    assert stored == {"spec": {"deadlineMs": 9000}}


def test_write_whose_response_was_lost_is_read_back(files):
    async def scenario():
        store = MemoryObjectStore()
        store.lose_answers = 1
        (outcome,) = await porcelain.apply(store, files(p=POLICY % 2000))
        return outcome, store.writes

    outcome, writes = run(scenario())
    assert isinstance(outcome, Applied)
    assert writes == 1


def test_outcome_is_unknown_if_the_store_fails_after_a_lost_response(
    files, monkeypatch
):
    monkeypatch.setattr(porcelain, "READ_BACK_PAUSE_S", 0.0)

    class UnavailableAfterWriteStore(MemoryObjectStore):
        async def write(self, kind, name, value, expected):
            self.lose_answers = 1
            outcome = await super().write(kind, name, value, expected)
            await self.set_outage(True)
            return outcome

    (outcome,) = run(
        porcelain.apply(UnavailableAfterWriteStore(), files(p=POLICY % 2000))
    )
    assert isinstance(outcome, OutcomeUnknown)


def test_nothing_is_stored_if_a_reference_dangles(files):
    async def scenario():
        store = MemoryObjectStore()
        with pytest.raises(InvalidManifests, match="no RoutingPolicy named p"):
            await porcelain.apply(store, files(s=SERVICE))
        return store.writes

    assert run(scenario()) == 0


def test_dry_run_writes_nothing(files):
    async def scenario():
        store = MemoryObjectStore()
        (outcome,) = await porcelain.apply(store, files(p=POLICY % 2000), dry_run=True)
        return outcome.action, store.writes

    assert run(scenario()) == ("would be created", 0)


def test_resource_in_use_is_not_deleted(files):
    async def scenario():
        store = MemoryObjectStore()
        await porcelain.apply(store, files(p=POLICY % 2000, s=SERVICE))
        first = await porcelain.delete(store, "RoutingPolicy", "p")
        await porcelain.delete(store, "Service", "s")
        return first, await porcelain.delete(store, "RoutingPolicy", "p")

    first, last = run(scenario())
    assert first == Failed("RoutingPolicy", "p", "still used by Service/s")
    assert last.action == "deleted"


def test_resource_status_shows_revision_in_force_and_target_state():
    targets = {"t": {"state": "lost", "owned_slices": 4, "moving_slices": 0}}
    status = {"revision_in_force": 5, "targets": targets}
    view = porcelain.StatusView(7, (porcelain.DataCentreView("dc", status),))
    assert view.describe(StoredObject("Target", "t", 5, b"{}")) == (
        "in force, lost, 4 slices"
    )
    assert view.describe(StoredObject("Service", "s", 6, b"{}")) == "accepted"
    nothing = porcelain.StatusView(7, ())
    assert nothing.describe(StoredObject("Service", "s", 6, b"{}")) == "unknown"


def test_wait_lists_the_vm_that_is_behind(files):
    async def scenario():
        store = MemoryObjectStore()
        await porcelain.apply(store, files(p=POLICY % 2000))
        status = {"vm_revisions": {"vm-1": 1, "vm-2": 0}}
        written = await store.write("Status", "dc-a", orjson.dumps(status), None)
        assert isinstance(written, Written)
        return await porcelain.wait_in_force(store, 0.3)

    assert run(scenario()) == ["dc-a/vm-2 at 0"]


class ForgetfulStore(MemoryObjectStore):
    """A store whose history is lost before the first watch, after deletions."""

    deletions = ()

    async def watch(self, kinds, since, timeout_s):
        deletions, self.deletions = self.deletions, ()
        for kind, name in deletions:
            await self.delete(kind, name, None)
        return RevisionTooOld() if deletions else await super().watch(kinds, since, 0.1)


# Guards against changes that lack a deletion: a watch may fail and list again.
def test_watch_shows_deletions_that_it_missed_once_it_lists_again(files, monkeypatch):
    monkeypatch.setattr(porcelain, "POLL_PERIOD_S", 0.0)

    async def scenario():
        store = ForgetfulStore()
        await porcelain.apply(store, files(p=POLICY % 2000, s=SERVICE))
        store.deletions = (("Service", "s"),)
        changes = []
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.5):
                async for change in porcelain.watch(
                    store, ["RoutingPolicy", "Service"]
                ):
                    changes.append(change)
        return [change for change in changes if isinstance(change, DeletedObject)]

    assert run(scenario()) == [DeletedObject("Service", "s", 3)]


# Guards against a configuration that counts as in force everywhere while nothing is
# known of a data centre: its placer hasn't started, or can't write.
def test_wait_names_a_data_centre_with_targets_but_no_status(files):
    async def scenario(*with_status):
        store = MemoryObjectStore()
        for name in ("dc-a", "dc-b"):
            spec = {"spec": {"dataCentre": name}}
            await store.write("Target", f"t-{name}", orjson.dumps(spec), 0)
        await store.write("Target", "invalid", b"{}", 0)
        for name in with_status:
            status = {"vm_revisions": {"vm-1": 3}, "revision_in_force": 3}
            value = orjson.dumps({**status, "targets": {}})
            await store.write("Status", name, value, 0)
        view = await porcelain.status(store)
        description = view.describe(StoredObject("Target", "t-dc-a", 1, b"{}"))
        return await porcelain.wait_in_force(store, 0.1), description

    assert run(scenario("dc-a", "dc-b")) == ([], "in force")
    assert run(scenario("dc-a")) == (["dc-b has written no status"], "accepted")
    assert run(scenario()) == (
        ["dc-a has written no status", "dc-b has written no status"],
        "unknown",
    )
