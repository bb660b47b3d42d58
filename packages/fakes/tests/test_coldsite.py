"""Gateway processes with cold servers and an evacuated zone."""

import asyncio
from time import monotonic

from peridot_fakes import site as site_module
from peridot_fakes.site import FILES_ROUTE, make_configuration, open_site

BOUNDS = ("warmupOvershoot=1.5", "warmupSlack=8", "evacuateS=5")
COLD_S, COLD_RATE = 4.0, 4.5
GATEWAYS = ("vm-1", "vm-2")


async def start(site) -> None:
    """Start two servers in two zones, and gateways with limits."""
    configuration = make_configuration(2, [FILES_ROUTE])
    configuration["services"]["columns"] = [
        *configuration["services"]["columns"],
        "warmupS",
        "warmupPerS",
    ]
    for row in configuration["services"]["rows"]:
        row += [COLD_S, COLD_RATE]
    for name in ("files-a", "files-b"):
        await site.add_server(name, "files")
    await site.api.put("config", "main", configuration)
    await put_entry(site, 0)
    for name in GATEWAYS:
        await site.gateways.start(name)
    for key in (0, 65_535):
        await site.wait_until_served("vm-1", key, 10.0)


async def put_entry(site, left_s: float) -> None:
    entry = site.servers["files-b"].make_registration()
    entry |= {"zone": "zone-b", "warmupLeftS": left_s}
    await site.api.put("servers", "files-b", entry)


async def send_for(site, duration_s: float) -> tuple[list[float], list[int]]:
    """Send requests for all keys; return the times of runs at files-b, and statuses."""
    times, statuses = [], []
    server = site.servers["files-b"]
    deadline = monotonic() + duration_s

    async def send(vm: str, key: int) -> None:
        runs = sum(server.runs.values())
        statuses.append((await site.send(vm, "GET", "/files/x", key))[0])
        ran = sum(server.runs.values()) - runs
        times.extend([monotonic()] * (ran > 0))

    tasks = []
    while monotonic() < deadline:
        key = len(tasks) * 9_973 % 65_536
        tasks.append(asyncio.create_task(send(GATEWAYS[len(tasks) % 2], key)))
        await asyncio.sleep(0.03)
    await asyncio.gather(*tasks)
    return times, statuses


def test_processes_limit_cold_servers_and_leave_an_evacuated_zone(
    tmp_path, monkeypatch
):
    """Guards against limits that hold in tests of single parts only."""
    monkeypatch.setattr(site_module, "BOUNDS", site_module.BOUNDS + BOUNDS)

    async def scenario(site):
        await start(site)
        await asyncio.sleep(4.0)
        runs = site.servers["files-b"].runs
        _, statuses = await send_for(site, 1.0)
        assert set(statuses) == {200} and sum(runs.values()) > 5

        await put_entry(site, COLD_S)
        await asyncio.sleep(1.0)
        before = sum(runs.values())
        _, statuses = await send_for(site, 2.0)
        sent = sum(runs.values()) - before
        print("cold", sent, len(statuses), statuses.count(200))
        assert sent <= 2 * (COLD_RATE + 2) + COLD_RATE

        await asyncio.sleep(COLD_S)
        await site.api.put("evacuations", "zone-b", {"reason": "test"})
        began = monotonic()
        await send_for(site, 4.0 - (monotonic() - began))
        before = sum(runs.values())
        _, statuses = await send_for(site, 2.0)
        assert sum(runs.values()) == before
        print("evacuated", len(statuses), statuses.count(200))
        assert statuses.count(200) > 0.95 * len(statuses)

        await site.api.remove("evacuations", "zone-b")
        await asyncio.sleep(1.0)
        before = sum(runs.values())
        await send_for(site, 2.0)
        sent = sum(runs.values()) - before
        print("returned", sent)
        assert sent <= 2 * (COLD_RATE + 2) + COLD_RATE
        for vm in GATEWAYS:
            log = site.gateways.log(vm)
            for event in ("target_cold", "evacuation_begun", "evacuation_ended"):
                assert f"event={event}" in log
            assert "part_failed" not in log

    async def run():
        async with open_site(tmp_path) as site:
            await scenario(site)

    asyncio.run(run())
