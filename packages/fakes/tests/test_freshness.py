"""Tests of how old a gateway's view of the stored objects may get."""

import asyncio
from collections.abc import Awaitable, Callable

from peridot_fakes.fleet import free_ports
from peridot_fakes.objectapi import ObjectApi
from peridot_fakes.relay import Relay
from peridot_fakes.site import FILES_ROUTE, ORDERS_ROUTE, make_configuration
from peridot_gateway.sources import ConfigurationSource
from peridot_placement.decisions import MemoryDecisionLog
from peridot_platform.dialect import PlatformDialect
from peridot_platform.store import PlatformObjectStore

# After a fault of the store has ended, views must be current within this time (s).
STABILITY_WINDOW_S = 3.0
# How long watches hang before the history is dropped (s).
STALL_S = 0.5
POLL_PERIOD_S = 0.02
# A configuration of 50 KB must arrive within this time over a link of 20 KB/s (s).
LARGE_TRANSFER_S = 6.0

Scenario = Callable[
    [ObjectApi, PlatformObjectStore, asyncio.TaskGroup], Awaitable[None]
]


def run_scenario(scenario: Scenario, own_relay: Relay | None = None) -> None:
    """Run a scenario with a store behind a relay, which the caller may pass in."""

    async def run():
        port, relay_port = free_ports(2)
        api = ObjectApi()
        relay = own_relay or Relay(port)
        relay.upstream_port = port
        store = PlatformObjectStore(f"127.0.0.1:{relay_port}")
        async with api.serve(port), relay.listen(relay_port):
            try:
                async with asyncio.TaskGroup() as group:
                    await scenario(api, store, group)
            finally:
                await store.close()

    asyncio.run(run())


def make_source(store: PlatformObjectStore) -> ConfigurationSource:
    return ConfigurationSource(store, PlatformDialect(), MemoryDecisionLog())


async def put(api: ObjectApi, version: int) -> None:
    configuration = make_configuration(version, [FILES_ROUTE, ORDERS_ROUTE])
    await api.put("config", "main", configuration)


async def change_while_watches_hang(api: ObjectApi) -> None:
    """Store configuration 2 while watches hang, then drop the history."""
    await asyncio.sleep(STALL_S / 2)
    await put(api, 2)
    await asyncio.sleep(STALL_S / 2)
    api.stalled_watches = False
    api.drop_history()


async def put_large(api: ObjectApi, version: int) -> None:
    """Store a configuration of about 50 KB."""
    routes = [
        [f"r{i}", *FILES_ROUTE[1:2], f"/{i}/", *FILES_ROUTE[3:]] for i in range(800)
    ]
    await api.put("config", "main", make_configuration(version, routes))


async def wait_for_version(source: ConfigurationSource, version: int) -> None:
    while source.configuration.version != version:
        await asyncio.sleep(POLL_PERIOD_S)


# Guards against a configuration in force late: a hanging watch lasted longer than the
# store's fault and the time allowed after it.
def test_a_configuration_is_in_force_in_time_after_watches_have_hung():
    async def scenario(api, store, group):
        await put(api, 1)
        api.stalled_watches = True
        source = make_source(store)
        running = group.create_task(source.run())
        await change_while_watches_hang(api)
        async with asyncio.timeout(STABILITY_WINDOW_S):
            await wait_for_version(source, 2)
        running.cancel()

    run_scenario(scenario)


# Guards against the same at VMs to which a placer, whose own watch hangs, confirms that
# they have the newest version.
def test_a_configuration_is_in_force_in_time_if_the_watch_of_the_placer_hung_too():
    async def scenario(api, store, group):
        await put(api, 1)
        api.stalled_watches = True
        placer, member = make_source(store), make_source(store)
        member.get_confirmed_version = lambda: placer.known_version or None
        running = [group.create_task(item.run()) for item in (placer, member)]
        await change_while_watches_hang(api)
        async with asyncio.timeout(STABILITY_WINDOW_S):
            await wait_for_version(member, 2)
        for task in running:
            task.cancel()

    run_scenario(scenario)


# Guards against a configuration in force late: after a call on one stalled connection,
# the other pooled connections were tried in turn, each until its timeout.
def test_after_a_stalled_connection_none_that_was_open_before_is_used():
    relay = Relay(0)

    async def scenario(api, store, group):
        await put(api, 1)
        source = make_source(store)
        running = group.create_task(source.run())
        await wait_for_version(source, 1)
        # As many connections as a placer uses at once.
        await asyncio.gather(*(store.read("config", "main") for _ in range(4)))
        relay.stall_open_connections()
        await put(api, 2)
        async with asyncio.timeout(STABILITY_WINDOW_S):
            await wait_for_version(source, 2)
        running.cancel()

    run_scenario(scenario, relay)


# Guards against a configuration that is never in force: a list or a watch was aborted
# after a fixed time although its response was arriving.
def test_a_large_configuration_arrives_over_a_slow_link():
    async def scenario(api, store, group):
        await put(api, 1)
        source = make_source(store)
        running = group.create_task(source.run())
        await wait_for_version(source, 1)
        api.bytes_per_s = 20_000
        await put_large(api, 2)
        async with asyncio.timeout(LARGE_TRANSFER_S):
            await wait_for_version(source, 2)
        other = make_source(store)
        listing = group.create_task(other.run())
        async with asyncio.timeout(LARGE_TRANSFER_S):
            await wait_for_version(other, 2)
        for task in (running, listing):
            task.cancel()

    run_scenario(scenario)
