"""Test data centres that are cut off from the platform or from each other."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import replace

import orjson
from aiohttp import web

from peridot_fakes.fleet import free_ports, open_fleet
from peridot_fakes.journals import find_two_owners
from peridot_fakes.load import Call, run_load
from peridot_fakes.relay import Relay
from peridot_fakes.trials import TrialService, write_manifests
from peridot_objects.vms import serialize_vms

CUT_S = 4.0
CATCH_UP_S = 6.0


def call(rng):
    key = f"key-{rng.randrange(100)}"
    return Call("GET", f"/desk/{key}", key)


async def revisions(fleet, data_centre):
    return [
        (await fleet.state(daemon))["configuration_revision"]
        for daemon in fleet.daemons.values()
        if daemon.data_centre == data_centre
    ]


async def change_policy(fleet, file):
    manifests = orjson.loads(file.read_bytes())
    manifests[0]["spec"]["queueLength"] = 321
    file.write_bytes(orjson.dumps(manifests))
    await fleet.apply(file)


async def session(fleet):
    service = TrialService("desk", 4, ("dc-a", "dc-b"))
    file = write_manifests(fleet.folder, [service])
    await fleet.start_platform()
    await fleet.start_targets([file])
    await fleet.apply(file)
    (port,) = free_ports(1)
    async with Relay(fleet.platform_port).listen(port) as relay:
        fleet.platform_urls["dc-b"] = f"http://127.0.0.1:{port}"
        await fleet.start_daemons({"dc-a": 2, "dc-b": 2})
        await fleet.wait_assigned("desk")
        urls = [daemon.url for daemon in fleet.daemons.values()]
        load = asyncio.create_task(
            run_load(
                fleet.session,
                lambda: urls,
                call,
                seconds=CUT_S + 2.0,
                connections=8,
                rate=100.0,
            )
        )
        await asyncio.sleep(1.0)
        relay.cut()
        await change_policy(fleet, file)
        await asyncio.sleep(CUT_S)
        (in_a, _), (in_b, _) = (
            await revisions(fleet, "dc-a"),
            await revisions(fleet, "dc-b"),
        )
        assert in_a > in_b
        tally = await load
        relay.heal()
        async with asyncio.timeout(CATCH_UP_S):
            while set(await revisions(fleet, "dc-b")) != {in_a}:
                await asyncio.sleep(0.1)
        return tally, await fleet.journals()


def test_data_centre_cut_off_from_the_platform_serves_on_and_catches_up():
    async def run():
        async with open_fleet() as fleet:
            return await session(fleet)

    tally, journals = asyncio.run(run())
    assert (tally.answered, tally.wrong) == (tally.sent, 0), tally.reasons
    assert find_two_owners(journals) == []


async def list_vms_through_relays(fleet, stack):
    """Give each data centre a VM list in which the others stand behind relays."""
    relays = []
    for data_centre in ("dc-a", "dc-b"):
        vms = []
        for daemon in fleet.daemons.values():
            vm = daemon.record()
            if daemon.data_centre != data_centre:
                (port,) = free_ports(1)
                relay = Relay(daemon.peer_port)
                relays.append(await stack.enter_async_context(relay.listen(port)))
                vm = replace(vm, peer_address=f"127.0.0.1:{port}")
            vms.append(vm)
        fleet.vm_list_urls[data_centre] = await serve_vms(stack, serialize_vms(vms))
    return relays


async def serve_vms(stack, body):
    async def answer(request):
        return web.Response(body=body)

    app = web.Application()
    app.router.add_get("/vms", answer)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    (port,) = free_ports(1)
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return f"http://127.0.0.1:{port}"


async def load_at(fleet, data_centre, seconds, rate=60.0):
    urls = [d.url for d in fleet.daemons.values() if d.data_centre == data_centre]
    return await run_load(
        fleet.session,
        lambda: urls,
        call,
        seconds=seconds,
        connections=30,
        rate=rate,
        track_keys=True,
    )


async def session_apart(fleet, stack):
    service = TrialService("desk", 4, ("dc-a", "dc-b"))
    file = write_manifests(fleet.folder, [service])
    await fleet.start_platform()
    await fleet.start_targets([file])
    await fleet.apply(file)
    for data_centre in ("dc-a", "dc-b"):
        for number in (1, 2):
            fleet.add_daemon(f"{data_centre}-{number}", data_centre)
    relays = await list_vms_through_relays(fleet, stack)
    for daemon in fleet.daemons.values():
        await fleet.start_daemon(daemon)
    await fleet.wait_ready()
    await fleet.wait_assigned("desk")
    before = await load_at(fleet, "dc-a", 2.0)
    for relay in relays:
        relay.cut()
    apart = await load_at(fleet, "dc-a", 5.0)
    for relay in relays:
        relay.heal()
    await asyncio.sleep(2.5)
    after = await load_at(fleet, "dc-a", 2.0)
    return before, apart, after, await fleet.journals()


def test_data_centres_cut_off_from_each_other_serve_their_own_keys():
    async def run():
        async with open_fleet() as fleet, AsyncExitStack() as stack:
            return await session_apart(fleet, stack)

    before, apart, after, journals = asyncio.run(run())
    assert before.answered == before.sent, before.reasons
    assert after.answered == after.sent, after.reasons
    own_share = apart.answered / apart.sent
    assert 0.3 < own_share < 0.7
    # What can't be sent is refused as not run, but for what was under way.
    assert apart.not_run > apart.unknown
    assert (apart.wrong, apart.failed) == (0, 0)
    assert find_two_owners(journals) == []
