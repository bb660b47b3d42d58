"""The whole path through the adapter, as processes, against the stand-ins."""

import asyncio
import signal

import pytest
from aiohttp import ClientError, ClientSession

from peridot_fakes.site import (
    FILES_ROUTE,
    GRACE_S,
    ORDERS_ROUTE,
    Site,
    make_configuration,
    open_site,
)

# A key is served again this long after the loss of a server or of the placer: a
# hold and its margin, detection, and a restart on a busy machine.
REGAINED_S = 8.0
POLL_S = 0.02
GATEWAYS = ("vm-1", "vm-2", "vm-3")
# Longer than a placer acts without its store, so that only long holds help.
SILENT_STORE_S = 8.0
# New requests must not reach a target this long after its notice to leave (s).
DRAIN_S = 2.0
# Accepted configurations are in force everywhere within this time.
CONFIG_S = 2.0


def play(tmp_path, scene) -> None:
    async def run():
        async with open_site(tmp_path) as site:
            await scene(site)

    asyncio.run(run())


async def start(site: Site, gateways: str = "vm-1 vm-2") -> None:
    for name in ("files-a", "files-b"):
        await site.add_server(name, "files")
    await site.add_server("orders-a", "orders")
    for name in gateways.split():
        await site.gateways.start(name)
    for key in (0, 65_535):
        await site.wait_until_served(gateways.split()[0], key, REGAINED_S)


def assert_sole_owners(site: Site, now: float) -> None:
    for key in range(0, 65_536, 997):
        owners = [s.name for s in site.servers.values() if s.holder.holds(key, now)]
        assert len(owners) <= 1, (key, owners)


def test_requests_reach_the_holder_of_their_key(tmp_path):
    async def scene(site):
        await start(site)
        for key in range(0, 65_536, 5_000):
            for gateway in ("vm-1", "vm-2"):
                status, body, headers, attempt = await site.send(
                    gateway, "GET", "/files/x?q=1", key
                )
                assert status == 200
                server = site.servers[headers["X-Upstream-Signature"]]
                assert server.runs[attempt] == 1
                assert server.holder.holds(key, asyncio.get_running_loop().time())
        assert_sole_owners(site, asyncio.get_running_loop().time())

    play(tmp_path, scene)


def test_bodies_and_unknown_paths(tmp_path):
    async def scene(site):
        await start(site, "vm-1")
        answer = await site.send("vm-1", "POST", "/orders/1", data=b"payload")
        assert answer[:2] == (200, b"orders-a /orders/1 payload")
        assert (await site.send("vm-1", "GET", "/nothing/"))[0] == 404
        big = b"x" * 70_000
        assert (await site.send("vm-1", "POST", "/orders/1", data=big))[0] == 413

    play(tmp_path, scene)


def test_an_order_whose_answer_is_lost_is_not_repeated(tmp_path):
    async def scene(site):
        await start(site, "vm-1")
        server = site.servers["orders-a"]
        server.lose_answers = 1
        status, _, _, attempt = await site.send("vm-1", "POST", "/orders/1")
        assert status == 502
        assert server.runs[attempt] == 1

    play(tmp_path, scene)


def test_an_idempotent_request_whose_answer_is_lost_is_repeated(tmp_path):
    async def scene(site):
        await start(site, "vm-1")
        for server in site.servers.values():
            server.lose_answers = server.service == "files"
        assert (await site.send("vm-1", "GET", "/files/x", 1))[0] == 200

    play(tmp_path, scene)


def test_another_request_s_answer_is_not_passed_on(tmp_path):
    async def scene(site):
        await start(site, "vm-1")
        server = site.servers["orders-a"]
        server.foreign = 1
        assert (await site.send("vm-1", "POST", "/orders/1"))[0] == 502

    play(tmp_path, scene)


def test_a_refused_order_was_not_run_and_names_a_time(tmp_path):
    async def scene(site):
        await start(site, "vm-1")
        server = site.servers["orders-a"]
        server.shed = 5
        status, _, headers, attempt = await site.send("vm-1", "POST", "/orders/1")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert server.runs[attempt] == 0

    play(tmp_path, scene)


def test_a_leaving_server_hands_its_keys_over(tmp_path):
    async def scene(site):
        await start(site)
        entry = site.servers["files-a"].entry("draining")
        await site.api.put("servers", "files-a", entry)
        await asyncio.sleep(2.0)
        count = sum(site.servers["files-a"].runs.values())
        for key in range(0, 65_536, 3_000):
            assert (await site.send("vm-2", "GET", "/files/x", key))[0] == 200
        assert sum(site.servers["files-a"].runs.values()) == count

    play(tmp_path, scene)


def test_a_lost_placer_is_replaced(tmp_path):
    async def scene(site):
        await start(site)
        record = site.api.objects["placements", "current"]["spec"]
        leader = record["vm"]
        other = "vm-2" if leader == "vm-1" else "vm-1"
        await site.gateways.end(leader, signal.SIGKILL)
        for _ in range(100):
            record = site.api.objects["placements", "current"]["spec"]
            if record["vm"] == other:
                break
            await asyncio.sleep(0.1)
        assert record["vm"] == other
        assert record["term"] == 2
        await asyncio.sleep(1.0)
        for key in (0, 30_000, 65_535):
            await site.wait_until_served(other, key, REGAINED_S)
        assert_sole_owners(site, asyncio.get_running_loop().time())

    play(tmp_path, scene)


def test_everything_killed_comes_back_from_the_store_alone(tmp_path):
    async def scene(site):
        await start(site)
        before = site.api.objects["placements", "current"]["spec"]["tables"]["files"]
        for name in ("vm-1", "vm-2"):
            await site.gateways.end(name, signal.SIGKILL)
        for name in ("vm-1", "vm-2"):
            await site.gateways.start(name)
        for key in (0, 65_535):
            await site.wait_until_served("vm-1", key, REGAINED_S)
        after = site.api.objects["placements", "current"]["spec"]["tables"]["files"]
        assert min(row[2] for row in after) > max(row[2] for row in before)

    play(tmp_path, scene)


def test_a_configuration_is_in_force_everywhere_in_time(tmp_path):
    async def scene(site):
        await start(site)
        renamed = ["r3", FILES_ROUTE[1], "/renamed/", *FILES_ROUTE[3:]]
        routes = [renamed, ORDERS_ROUTE]
        await site.api.put("config", "main", make_configuration(7, routes))
        await asyncio.sleep(CONFIG_S)
        for gateway in ("vm-1", "vm-2"):
            assert (await site.send(gateway, "GET", "/renamed/x"))[0] == 200
            assert (await site.send(gateway, "GET", "/files/x"))[0] == 404

    play(tmp_path, scene)


def test_an_unreadable_configuration_leaves_the_last_in_force(tmp_path):
    async def scene(site):
        await start(site, "vm-1")
        await site.api.put("config", "main", {"version": 9})
        await site.api.put("servers", "forged", {"service": "files", "slots": "3"})
        await asyncio.sleep(0.8)
        assert (await site.send("vm-1", "GET", "/files/x"))[0] == 200
        log = site.gateways.log("vm-1")
        assert "event=configuration_invalid" in log
        assert "event=target_invalid" in log

    play(tmp_path, scene)


def test_history_that_is_gone_is_read_again(tmp_path):
    async def scene(site):
        await start(site, "vm-1")
        site.api.refuse_status = 503
        await asyncio.sleep(5.0)
        renamed = ["r3", FILES_ROUTE[1], "/renamed/", *FILES_ROUTE[3:]]
        await site.api.put("config", "main", make_configuration(8, [renamed]))
        site.api.forget_history()
        site.api.refuse_status = None
        await asyncio.sleep(CONFIG_S)
        assert (await site.send("vm-1", "GET", "/renamed/x"))[0] == 200

    play(tmp_path, scene)


def test_without_a_configuration_callers_are_told_to_come_back(tmp_path):
    async def scene(site):
        await start(site, "vm-1")
        await site.gateways.end("vm-1")
        site.api.refuse_status = 503
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(2.0):
                await site.gateways.start("vm-1")
        status, _, headers, _ = await site.send("vm-1", "GET", "/files/x")
        assert status == 503
        assert "Retry-After" in headers

    play(tmp_path, scene)


def test_a_stop_cuts_no_request_and_ends_in_time(tmp_path):
    async def scene(site):
        await start(site)
        for server in site.servers.values():
            server.processing_s = 0.5
        loop = asyncio.get_running_loop()
        began = loop.time()
        sent = [
            asyncio.create_task(site.send("vm-1", "GET", "/files/x", key))
            for key in range(0, 65_536, 16_000)
        ]
        await asyncio.sleep(0.1)
        code = await site.gateways.end("vm-1", signal.SIGTERM)
        assert code == 0
        assert loop.time() - began < GRACE_S
        assert [(await task)[0] for task in sent] == [200] * len(sent)
        assert "event=stopped cut_requests=0" in site.gateways.log("vm-1")

    play(tmp_path, scene)


def test_a_changed_settings_file_is_read_with_and_without_a_signal(tmp_path):
    async def scene(site):
        await start(site, "vm-1")
        path = tmp_path / "vm-1.json"
        path.write_text("{")
        site.gateways.processes["vm-1"].send_signal(signal.SIGHUP)
        await asyncio.sleep(1.5)
        assert "event=reload_failed" in site.gateways.log("vm-1")
        assert (await site.send("vm-1", "GET", "/files/x"))[0] == 200

    play(tmp_path, scene)


def test_a_gateway_without_the_store_learns_of_the_next_placer(tmp_path):
    """Only its store was away: it went on with the owners of the last placer."""

    async def scene(site):
        await start(site, "vm-1 vm-2 vm-3")
        leader = site.api.objects["placements", "current"]["spec"]["vm"]
        cut, other = (name for name in ("vm-1", "vm-2", "vm-3") if name != leader)
        site.api.refused_ports.add(site.gateways.store_ports[cut])
        await asyncio.sleep(0.5)
        await site.gateways.end(leader, signal.SIGTERM)
        await asyncio.sleep(1.0)
        record = site.api.objects["placements", "current"]["spec"]
        assert record["vm"] == other
        await asyncio.sleep(3.0)
        assert f"event=placer_heard term={record['term']}" in site.gateways.log(cut)

    play(tmp_path, scene)


def test_a_gateway_that_says_ready_knows_the_owners(tmp_path):
    """Its first requests were refused: it was ready before it had joined."""

    async def scene(site):
        await start(site, "vm-1")
        for number in range(2, 6):
            name = f"vm-{number}"
            await site.gateways.start(name)
            for key in (0, 65_535):
                assert (await site.send(name, "GET", "/files/x", key))[0] == 200

    play(tmp_path, scene)


def test_kept_connections_get_answers_or_close_during_a_stop(tmp_path):
    """Idle ones stayed open until the end, and requests on them were cut."""

    async def scene(site):
        await start(site, "vm-1")
        for server in site.servers.values():
            server.processing_s = 0.2
        outcomes = []

        async def use_connection():
            while True:
                try:
                    outcomes.append((await site.send("vm-1", "GET", "/files/x"))[0])
                except (ClientError, OSError) as error:
                    outcomes.append(type(error).__name__)
                    return
                await asyncio.sleep(0.3)

        async with ClientSession() as site.session:
            users = [asyncio.create_task(use_connection()) for _ in range(3)]
            await asyncio.sleep(0.5)
            assert await site.gateways.end("vm-1", signal.SIGTERM) == 0
            await asyncio.gather(*users)
        log = site.gateways.log("vm-1")
        assert "cut_requests=0" in log
        assert log.count("event=caller_left") == 0

    play(tmp_path, scene)


def test_keys_are_served_while_the_store_is_silent_for_all(tmp_path):
    """Seen in Blue Mahoe's trouble-3: watches hung, so the placer seemed to be alone.

    The term stays where it is and holds become long; requests go on.
    """

    async def scene(site):
        await start(site)
        term = site.api.objects["placements", "current"]["spec"]["term"]
        site.api.silent = True
        began = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < began + SILENT_STORE_S:
            for key in (0, 30_000, 65_535):
                status, *_ = await site.send("vm-1", "GET", "/files/x", key)
                assert status == 200
            await asyncio.sleep(0.2)
        site.api.silent = False
        await asyncio.sleep(1.5)
        assert site.api.objects["placements", "current"]["spec"]["term"] == term

    play(tmp_path, scene)


def test_keys_of_a_server_whose_address_is_reused_move(tmp_path):
    async def scene(site):
        await start(site)
        await site.reuse_address("files-a", "orders-b", "orders")
        for key in (0, 30_000, 65_535):
            await site.wait_until_served("vm-1", key, REGAINED_S)
        assert "files-a" not in {
            row[1]
            for row in site.api.objects["placements", "current"]["spec"]["tables"][
                "files"
            ]
        }

    play(tmp_path, scene)


# Guards against requests at a target that left beside the loss of the placer: nobody
# moved its keys in time, and senders went by the last table of owners.
def test_a_leaving_target_gets_no_late_requests_though_the_placer_is_lost(tmp_path):
    async def scene(site):
        await start(site, "vm-1 vm-2 vm-3")
        loop = asyncio.get_running_loop()
        placer = next(n for n in GATEWAYS if "event=term_taken" in site.gateways.log(n))
        others = [name for name in GATEWAYS if name != placer]
        leaving = site.servers["files-a"]
        keys = [part.keys.start for part in leaving.holder.held]
        site.gateways.processes[placer].send_signal(signal.SIGSTOP)
        began = loop.time()
        await site.api.put("servers", leaving.name, leaving.entry("draining"))
        while loop.time() < began + 2 * DRAIN_S:
            for name in others:
                await site.send(name, "GET", "/files/x", keys[0])
            await asyncio.sleep(POLL_S)
        assert leaving.taken_at > began
        assert leaving.taken_at <= began + DRAIN_S

    play(tmp_path, scene)
