"""Test a data centre that is cut off from the platform and healed again."""

import asyncio

import orjson

from peridot_fakes.fleet import free_ports, open_fleet
from peridot_fakes.journals import find_two_owners
from peridot_fakes.load import Call, run_load
from peridot_fakes.relay import Relay
from peridot_fakes.trials import TrialService, write_manifests

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
