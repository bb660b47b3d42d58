"""How old the view of the store's objects may get, through the adapter."""

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

# After a disruption of the store ends, views must be current in this time (s).
SETTLED_S = 3.0
# How long watches hear nothing before their history is dropped (s).
DEAF_S = 0.5
POLL_S = 0.02
# A configuration of 50 KB takes this long at most over a link of 20 KB a second (s).
LARGE_S = 6.0

Scene = Callable[[ObjectApi, PlatformObjectStore, asyncio.TaskGroup], Awaitable[None]]


def play(scene: Scene, before: Relay | None = None) -> None:
    """Play a scene with a store, perhaps behind a relay."""

    async def run():
        port, relay_port = free_ports(2)
        api = ObjectApi()
        relay = before or Relay(port)
        relay.port = port
        store = PlatformObjectStore(f"127.0.0.1:{relay_port}")
        async with api.serve(port), relay.listen(relay_port):
            try:
                async with asyncio.TaskGroup() as group:
                    await scene(api, store, group)
            finally:
                await store.close()

    asyncio.run(run())


def make_source(store: PlatformObjectStore) -> ConfigurationSource:
    return ConfigurationSource(store, PlatformDialect(), MemoryDecisionLog())


async def put(api: ObjectApi, version: int) -> None:
    form = make_configuration(version, [FILES_ROUTE, ORDERS_ROUTE])
    await api.put("config", "main", form)


async def change_unheard(api: ObjectApi) -> None:
    """Change the configuration while watches are deaf, then drop the history."""
    await asyncio.sleep(DEAF_S / 2)
    await put(api, 2)
    await asyncio.sleep(DEAF_S / 2)
    api.deaf_watches = False
    api.forget_history()


async def put_large(api: ObjectApi, version: int) -> None:
    """Store a configuration of some 50 KB."""
    routes = [
        [f"r{i}", *FILES_ROUTE[1:2], f"/{i}/", *FILES_ROUTE[3:]] for i in range(800)
    ]
    await api.put("config", "main", make_configuration(version, routes))


async def wait_for_version(source: ConfigurationSource, version: int) -> None:
    while source.configuration.version != version:
        await asyncio.sleep(POLL_S)


# Guards against a configuration in force late: a watch that heard nothing ran for
# longer than the store's disruption and the time to settle.
def test_a_configuration_is_in_force_in_time_after_watches_that_heard_nothing():
    async def scene(api, store, group):
        await put(api, 1)
        api.deaf_watches = True
        source = make_source(store)
        running = group.create_task(source.run())
        await change_unheard(api)
        async with asyncio.timeout(SETTLED_S):
            await wait_for_version(source, 2)
        running.cancel()

    play(scene)


# Guards against the same at VMs that rely on a placer whose own watch heard nothing.
def test_a_configuration_is_in_force_in_time_where_the_placer_heard_nothing_either():
    async def scene(api, store, group):
        await put(api, 1)
        api.deaf_watches = True
        placer, member = make_source(store), make_source(store)
        member.get_confirmed_version = lambda: placer.known_version or None
        running = [group.create_task(item.run()) for item in (placer, member)]
        await change_unheard(api)
        async with asyncio.timeout(SETTLED_S):
            await wait_for_version(member, 2)
        for task in running:
            task.cancel()

    play(scene)


# Guards against a configuration in force late: after one connection had gone silent,
# each of the others that were kept was tried in turn.
def test_one_silent_connection_is_enough_to_leave_all_that_were_open_before_it():
    relay = Relay(0)

    async def scene(api, store, group):
        await put(api, 1)
        source = make_source(store)
        running = group.create_task(source.run())
        await wait_for_version(source, 1)
        # As many as a placer uses at once.
        await asyncio.gather(*(store.read("config", "main") for _ in range(4)))
        relay.silence()
        await put(api, 2)
        async with asyncio.timeout(SETTLED_S):
            await wait_for_version(source, 2)
        running.cancel()

    play(scene, relay)


# Guards against a configuration that is never in force: a list or a watch was given up
# after a fixed time though its answer was arriving.
def test_a_large_configuration_arrives_over_a_slow_link():
    async def scene(api, store, group):
        await put(api, 1)
        source = make_source(store)
        running = group.create_task(source.run())
        await wait_for_version(source, 1)
        api.bytes_per_s = 20_000
        await put_large(api, 2)
        async with asyncio.timeout(LARGE_S):
            await wait_for_version(source, 2)
        other = make_source(store)
        listing = group.create_task(other.run())
        async with asyncio.timeout(LARGE_S):
            await wait_for_version(other, 2)
        for task in (running, listing):
            task.cancel()

    play(scene)
