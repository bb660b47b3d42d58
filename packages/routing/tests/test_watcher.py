"""Test which ranges targets may still serve after the tables give them to others."""

import asyncio
from dataclasses import replace

from test_router import POLICY, SERVICE, TARGETS, owned_by

from peridot_placement.clock import boot_time
from peridot_placement.decisions import MemoryDecisionLog
from peridot_placement.grants import GrantAccepted, GrantFailed, TargetClient
from peridot_placement.permits import LocalTables
from peridot_placement.slices import HashRange
from peridot_resources.catalog import Catalog
from peridot_routing.watcher import TargetHealth, TargetWatcher

TARGET = TARGETS["t1"]
ALL_HASHES = HashRange(0, 2**64)


class FixedClient(TargetClient):
    """A target that accepts all grants and reports one request outside of them."""

    def __init__(self, running_outside=()):
        self.running_outside = running_outside

    async def grant(self, address, request):
        return GrantAccepted(int(boot_time() * 1000), self.running_outside)

    async def probe(self, address):
        return GrantAccepted(int(boot_time() * 1000))


def watcher_after_a_grant(running_outside=()):
    """Return a watcher that has renewed the grant of t1, the owner of all hashes."""
    tables = LocalTables()
    tables.apply((1, 1), [owned_by("t1")])
    tables.permit.extend(1, boot_time(), 5.0)
    catalog = Catalog(1, {"s": SERVICE}, {"t1": TARGET}, {"p": POLICY})
    watcher = TargetWatcher(
        FixedClient(running_outside),
        tables,
        lambda: catalog,
        is_front=lambda target: True,
        live_version=lambda: 1,
        set_lost=lambda name, lost: None,
        cancel_attempts=lambda name: None,
        expire_attempts=lambda name: None,
        on_change=lambda: None,
        log=MemoryDecisionLog(),
    )
    asyncio.run(watcher._renew(TARGET))
    return watcher


def start_move(watcher):
    watcher.tables.apply((1, 2), [owned_by("t1", 2, "t2")])


def replace_targets(watcher, targets):
    catalog = replace(watcher.catalog(), targets=targets)
    watcher.catalog = lambda: catalog


def busy(watcher):
    return [(item.service, item.range) for item in watcher.busy_ranges()]


def test_granted_ranges_are_busy_while_they_move_until_the_grant_has_expired():
    watcher = watcher_after_a_grant()
    assert busy(watcher) == []
    start_move(watcher)
    assert busy(watcher) == [("s", ALL_HASHES)]
    (state,) = watcher.grants.values()
    state.expires_at = boot_time() - 0.01
    assert busy(watcher) == []


# Guards against two owners of a key: the grant of a target outlives its declaration.
def test_granted_ranges_of_a_deleted_target_are_busy_under_their_service():
    watcher = watcher_after_a_grant()
    start_move(watcher)
    replace_targets(watcher, {})
    assert busy(watcher) == [("s", ALL_HASHES)]


def test_granted_ranges_of_a_target_of_another_service_now_are_busy_under_the_first():
    watcher = watcher_after_a_grant()
    start_move(watcher)
    replace_targets(watcher, {"t1": replace(TARGET, service="other")})
    assert busy(watcher) == [("s", ALL_HASHES)]


# Guards against slices without an owner for ever: a target that isn't watched any more
# reports no end of its requests.
def test_requests_reported_by_a_deleted_target_are_busy_until_their_deadline():
    watcher = watcher_after_a_grant(running_outside=(7,))
    start_move(watcher)
    replace_targets(watcher, {})
    (state,) = watcher.grants.values()
    state.expires_at = boot_time() - 0.01
    assert busy(watcher) == [("s", HashRange(7, 8))]
    state.last_response_at = boot_time() - POLICY.deadline_ms / 1000 - 0.1
    assert busy(watcher) == []


# Guards against slices without an owner after a crash: the process that ran the
# requests is gone.
def test_requests_reported_by_a_target_that_refuses_connections_are_not_busy():
    watcher = watcher_after_a_grant(running_outside=(7,))
    start_move(watcher)
    health = TargetHealth(boot_time())
    refusal = GrantFailed(True, "connection refused")
    (state,) = watcher.grants.values()
    state.expires_at = boot_time() - 0.01
    watcher._update_health(TARGET, health, refusal)
    assert busy(watcher) == [("s", HashRange(7, 8))]
    watcher._update_health(TARGET, health, refusal)
    assert health.lost
    assert busy(watcher) == []


# Guards against a target without grants: its task may find it missing and end, although
# the catalog has it again when the tasks are next compared with the catalog.
def test_target_that_is_declared_again_at_once_is_watched():
    watcher = watcher_after_a_grant()
    probes = []

    class RecordingClient(FixedClient):
        async def grant(self, address, request):
            probes.append(address)
            return await super().grant(address, request)

    watcher.client = RecordingClient()

    async def session():
        async with asyncio.TaskGroup() as group:
            watcher._update_tasks(group, TARGET.data_centre)
            await asyncio.sleep(0.01)
            replace_targets(watcher, {})
            watcher.tables.changed.notify()
            await asyncio.wait(watcher.tasks.values(), timeout=1.0)
            assert watcher.tasks["t1"].done()
            replace_targets(watcher, {"t1": TARGET})
            probes.clear()
            watcher._update_tasks(group, TARGET.data_centre)
            for _ in range(50):
                await asyncio.sleep(0.01)
                if probes:
                    break
            for task in watcher.tasks.values():
                task.cancel()

    asyncio.run(session())
    assert set(probes) == {TARGET.address}
