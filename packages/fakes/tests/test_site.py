"""Tests of gateway processes with the platform adapter, against stand-ins."""

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

# A key is served again within this time after the loss of a server or of the placer:
# a lease and its margin, detection, and a restart on a busy machine.
RECOVERY_TIMEOUT_S = 8.0
POLL_PERIOD_S = 0.02
GATEWAYS = ("vm-1", "vm-2", "vm-3")
# Longer than a placer acts without the store, so that only long leases help.
SILENT_STORE_S = 8.0
# No new request may reach a target this long after it was stored as draining.
DRAIN_S = 2.0
# A stored configuration is in force at all gateways after this time.
CONFIGURATION_DELAY_S = 2.0


def run_scenario(tmp_path, scenario) -> None:
    async def run():
        async with open_site(tmp_path) as site:
            await scenario(site)

    asyncio.run(run())


async def start(site: Site, gateways: str = "vm-1 vm-2") -> None:
    for name in ("files-a", "files-b"):
        await site.add_server(name, "files")
    await site.add_server("orders-a", "orders")
    for name in gateways.split():
        await site.gateways.start(name)
    for key in (0, 65_535):
        await site.wait_until_served(gateways.split()[0], key, RECOVERY_TIMEOUT_S)


def assert_sole_owners(site: Site, now: float) -> None:
    for key in range(0, 65_536, 997):
        owners = [s.name for s in site.servers.values() if s.holder.holds(key, now)]
        assert len(owners) <= 1, (key, owners)


def test_requests_reach_the_target_with_the_lease_on_their_key(tmp_path):
    async def scenario(site):
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

    run_scenario(tmp_path, scenario)


def test_bodies_are_forwarded_and_unknown_paths_and_large_bodies_refused(tmp_path):
    async def scenario(site):
        await start(site, "vm-1")
        response = await site.send("vm-1", "POST", "/orders/1", data=b"payload")
        assert response[:2] == (200, b"orders-a /orders/1 payload")
        assert (await site.send("vm-1", "GET", "/nothing/"))[0] == 404
        big = b"x" * 70_000
        assert (await site.send("vm-1", "POST", "/orders/1", data=big))[0] == 413

    run_scenario(tmp_path, scenario)


def test_a_non_idempotent_request_is_not_retried_after_a_lost_response(tmp_path):
    async def scenario(site):
        await start(site, "vm-1")
        server = site.servers["orders-a"]
        server.lose_answers = 1
        status, _, _, attempt = await site.send("vm-1", "POST", "/orders/1")
        assert status == 502
        assert server.runs[attempt] == 1

    run_scenario(tmp_path, scenario)


def test_an_idempotent_request_is_retried_after_a_lost_response(tmp_path):
    async def scenario(site):
        await start(site, "vm-1")
        for server in site.servers.values():
            server.lose_answers = server.service == "files"
        assert (await site.send("vm-1", "GET", "/files/x", 1))[0] == 200

    run_scenario(tmp_path, scenario)


def test_a_response_with_the_id_of_another_attempt_is_not_forwarded(tmp_path):
    async def scenario(site):
        await start(site, "vm-1")
        server = site.servers["orders-a"]
        server.foreign = 1
        assert (await site.send("vm-1", "POST", "/orders/1"))[0] == 502

    run_scenario(tmp_path, scenario)


def test_a_refused_request_did_not_run_and_has_a_retry_after_header(tmp_path):
    async def scenario(site):
        await start(site, "vm-1")
        server = site.servers["orders-a"]
        server.shed = 5
        status, _, headers, attempt = await site.send("vm-1", "POST", "/orders/1")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert server.runs[attempt] == 0

    run_scenario(tmp_path, scenario)


def test_a_draining_server_hands_over_its_keys(tmp_path):
    async def scenario(site):
        await start(site)
        entry = site.servers["files-a"].make_registration("draining")
        await site.api.put("servers", "files-a", entry)
        await asyncio.sleep(2.0)
        count = sum(site.servers["files-a"].runs.values())
        for key in range(0, 65_536, 3_000):
            assert (await site.send("vm-2", "GET", "/files/x", key))[0] == 200
        assert sum(site.servers["files-a"].runs.values()) == count

    run_scenario(tmp_path, scenario)


def test_a_lost_placer_is_replaced(tmp_path):
    async def scenario(site):
        await start(site)
        record = site.api.objects["placements", "current"]["spec"]
        placer = record["vm"]
        other = "vm-2" if placer == "vm-1" else "vm-1"
        await site.gateways.stop(placer, signal.SIGKILL)
        for _ in range(100):
            record = site.api.objects["placements", "current"]["spec"]
            if record["vm"] == other:
                break
            await asyncio.sleep(0.1)
        assert record["vm"] == other
        assert record["term"] == 2
        await asyncio.sleep(1.0)
        for key in (0, 30_000, 65_535):
            await site.wait_until_served(other, key, RECOVERY_TIMEOUT_S)
        assert_sole_owners(site, asyncio.get_running_loop().time())

    run_scenario(tmp_path, scenario)


def test_after_all_gateways_are_killed_they_recover_from_the_store_alone(tmp_path):
    async def scenario(site):
        await start(site)
        before = site.api.objects["placements", "current"]["spec"]["tables"]["files"]
        for name in ("vm-1", "vm-2"):
            await site.gateways.stop(name, signal.SIGKILL)
        for name in ("vm-1", "vm-2"):
            await site.gateways.start(name)
        for key in (0, 65_535):
            await site.wait_until_served("vm-1", key, RECOVERY_TIMEOUT_S)
        after = site.api.objects["placements", "current"]["spec"]["tables"]["files"]
        assert min(row[2] for row in after) > max(row[2] for row in before)

    run_scenario(tmp_path, scenario)


def test_a_configuration_is_in_force_at_all_gateways_in_time(tmp_path):
    async def scenario(site):
        await start(site)
        renamed = ["r3", FILES_ROUTE[1], "/renamed/", *FILES_ROUTE[3:]]
        routes = [renamed, ORDERS_ROUTE]
        await site.api.put("config", "main", make_configuration(7, routes))
        await asyncio.sleep(CONFIGURATION_DELAY_S)
        for gateway in ("vm-1", "vm-2"):
            assert (await site.send(gateway, "GET", "/renamed/x"))[0] == 200
            assert (await site.send(gateway, "GET", "/files/x"))[0] == 404

    run_scenario(tmp_path, scenario)


def test_an_invalid_configuration_leaves_the_last_one_in_force(tmp_path):
    async def scenario(site):
        await start(site, "vm-1")
        await site.api.put("config", "main", {"version": 9})
        await site.api.put("servers", "forged", {"service": "files", "slots": "3"})
        await asyncio.sleep(0.8)
        assert (await site.send("vm-1", "GET", "/files/x"))[0] == 200
        log = site.gateways.log("vm-1")
        assert "event=configuration_invalid" in log
        assert "event=target_invalid" in log

    run_scenario(tmp_path, scenario)


def test_objects_are_listed_again_after_the_history_was_dropped(tmp_path):
    async def scenario(site):
        await start(site, "vm-1")
        site.api.error_status = 503
        await asyncio.sleep(5.0)
        renamed = ["r3", FILES_ROUTE[1], "/renamed/", *FILES_ROUTE[3:]]
        await site.api.put("config", "main", make_configuration(8, [renamed]))
        site.api.drop_history()
        site.api.error_status = None
        await asyncio.sleep(CONFIGURATION_DELAY_S)
        assert (await site.send("vm-1", "GET", "/renamed/x"))[0] == 200

    run_scenario(tmp_path, scenario)


def test_without_a_configuration_callers_get_503_with_retry_after(tmp_path):
    async def scenario(site):
        await start(site, "vm-1")
        await site.gateways.stop("vm-1")
        site.api.error_status = 503
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(2.0):
                await site.gateways.start("vm-1")
        status, _, headers, _ = await site.send("vm-1", "GET", "/files/x")
        assert status == 503
        assert "Retry-After" in headers

    run_scenario(tmp_path, scenario)


def test_a_stop_cuts_no_request_and_ends_in_time(tmp_path):
    async def scenario(site):
        await start(site)
        for server in site.servers.values():
            server.processing_s = 0.5
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        sent = [
            asyncio.create_task(site.send("vm-1", "GET", "/files/x", key))
            for key in range(0, 65_536, 16_000)
        ]
        await asyncio.sleep(0.1)
        code = await site.gateways.stop("vm-1", signal.SIGTERM)
        assert code == 0
        assert loop.time() - started_at < GRACE_S
        assert [(await task)[0] for task in sent] == [200] * len(sent)
        assert "event=stopped cut_requests=0" in site.gateways.log("vm-1")

    run_scenario(tmp_path, scenario)


def test_a_settings_file_that_cannot_be_reloaded_leaves_the_old_in_force(tmp_path):
    async def scenario(site):
        await start(site, "vm-1")
        path = tmp_path / "vm-1.json"
        path.write_text("{")
        site.gateways.processes["vm-1"].send_signal(signal.SIGHUP)
        await asyncio.sleep(1.5)
        assert "event=reload_failed" in site.gateways.log("vm-1")
        assert (await site.send("vm-1", "GET", "/files/x"))[0] == 200

    run_scenario(tmp_path, scenario)


def test_a_gateway_cut_off_from_the_store_learns_of_the_next_placer(tmp_path):
    """Guards against a gateway that keeps the last placer's table of owners.

    Only this gateway can't reach the store, where it would find the next placer.
    """

    async def scenario(site):
        await start(site, "vm-1 vm-2 vm-3")
        placer = site.api.objects["placements", "current"]["spec"]["vm"]
        isolated, other = (name for name in ("vm-1", "vm-2", "vm-3") if name != placer)
        site.api.refused_ports.add(site.gateways.store_ports[isolated])
        await asyncio.sleep(0.5)
        await site.gateways.stop(placer, signal.SIGTERM)
        await asyncio.sleep(1.0)
        record = site.api.objects["placements", "current"]["spec"]
        assert record["vm"] == other
        await asyncio.sleep(3.0)
        assert f"event=placer_heard term={record['term']}" in site.gateways.log(
            isolated
        )

    run_scenario(tmp_path, scenario)


def test_a_gateway_that_reports_ready_has_the_table_of_owners(tmp_path):
    """Guards against refused first requests of a gateway that was ready too early.

    It reported that it was ready before it had joined the placer.
    """

    async def scenario(site):
        await start(site, "vm-1")
        for number in range(2, 6):
            name = f"vm-{number}"
            await site.gateways.start(name)
            for key in (0, 65_535):
                assert (await site.send(name, "GET", "/files/x", key))[0] == 200

    run_scenario(tmp_path, scenario)


def test_keep_alive_connections_get_responses_or_close_during_a_stop(tmp_path):
    """Guards against idle connections that stay open until the process ends.

    Requests that callers sent on them in the meantime were cut off.
    """

    async def scenario(site):
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
            tasks = [asyncio.create_task(use_connection()) for _ in range(3)]
            await asyncio.sleep(0.5)
            assert await site.gateways.stop("vm-1", signal.SIGTERM) == 0
            await asyncio.gather(*tasks)
        log = site.gateways.log("vm-1")
        assert "cut_requests=0" in log
        assert log.count("event=caller_left") == 0

    run_scenario(tmp_path, scenario)


def test_keys_are_served_while_the_store_does_not_respond(tmp_path):
    """Guards against a change of the placer when watches hang at all gateways.

    The placer must keep its term and grant long leases, so that keys stay served.
    Seen in Blue Mahoe's day trouble-3.
    """

    async def scenario(site):
        await start(site)
        term = site.api.objects["placements", "current"]["spec"]["term"]
        site.api.unresponsive = True
        started_at = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() < started_at + SILENT_STORE_S:
            for key in (0, 30_000, 65_535):
                status, *_ = await site.send("vm-1", "GET", "/files/x", key)
                assert status == 200
            await asyncio.sleep(0.2)
        site.api.unresponsive = False
        await asyncio.sleep(1.5)
        assert site.api.objects["placements", "current"]["spec"]["term"] == term

    run_scenario(tmp_path, scenario)


def test_keys_move_away_from_a_server_whose_address_is_reused(tmp_path):
    async def scenario(site):
        await start(site)
        await site.reuse_address("files-a", "orders-b", "orders")
        for key in (0, 30_000, 65_535):
            await site.wait_until_served("vm-1", key, RECOVERY_TIMEOUT_S)
        assert "files-a" not in {
            row[1]
            for row in site.api.objects["placements", "current"]["spec"]["tables"][
                "files"
            ]
        }

    run_scenario(tmp_path, scenario)


# Guards against requests to a target that drains while the placer is lost: nobody moved
# its keys in time, and gateways kept using the last table of owners.
def test_a_draining_target_gets_no_late_requests_while_the_placer_is_lost(tmp_path):
    async def scenario(site):
        await start(site, "vm-1 vm-2 vm-3")
        loop = asyncio.get_running_loop()
        placer = next(n for n in GATEWAYS if "event=term_taken" in site.gateways.log(n))
        others = [name for name in GATEWAYS if name != placer]
        leaving = site.servers["files-a"]
        keys = [lease.keys.start for lease in leaving.holder.held]
        site.gateways.processes[placer].send_signal(signal.SIGSTOP)
        started_at = loop.time()
        await site.api.put(
            "servers", leaving.name, leaving.make_registration("draining")
        )
        while loop.time() < started_at + 2 * DRAIN_S:
            for name in others:
                await site.send(name, "GET", "/files/x", keys[0])
            await asyncio.sleep(POLL_PERIOD_S)
        assert leaving.last_accepted_at > started_at
        assert leaving.last_accepted_at <= started_at + DRAIN_S

    run_scenario(tmp_path, scenario)


def test_keys_are_served_while_the_store_is_restored_from_a_copy(tmp_path):
    """The copy lacks a server, a move and the placer's last writes."""

    async def scenario(site):
        await start(site)
        copy = site.api.take_copy()
        await site.add_server("files-c", "files")
        await site.wait_until_served("vm-1", 30_000, RECOVERY_TIMEOUT_S)
        await asyncio.sleep(1.5)
        await site.api.restore(copy)
        refused = 0
        for _ in range(60):
            for gateway in ("vm-1", "vm-2"):
                status, *_ = await site.send(gateway, "GET", "/files/x", 30_000)
                refused += status != 200
            assert_sole_owners(site, asyncio.get_running_loop().time())
            await asyncio.sleep(POLL_PERIOD_S)
        assert refused <= 2
        server = site.servers["files-c"]
        await site.api.put("servers", "files-c", server.make_registration())
        assert "event=term_renumbered" in site.gateways.log("vm-1") + (
            site.gateways.log("vm-2")
        )

    run_scenario(tmp_path, scenario)


def test_a_server_that_announces_its_leaving_gets_no_requests_after_its_drain_time(
    tmp_path,
):
    """Its entry says that it is ready all the time."""

    async def scenario(site):
        await start(site)
        leaving = site.servers["files-a"]
        leaving.leaving = True
        loop = asyncio.get_running_loop()
        announced: dict[str, float] = {}
        ends_at = loop.time() + 4.0
        while loop.time() < ends_at:
            for gateway in ("vm-1", "vm-2"):
                for key in (0, 20_000, 40_000, 65_535):
                    sent_at = loop.time()
                    _, _, headers, _ = await site.send(gateway, "GET", "/files/x", key)
                    if "Server-Leaving" in headers:
                        first = announced.setdefault(gateway, loop.time())
                        assert sent_at <= first + DRAIN_S
            await asyncio.sleep(POLL_PERIOD_S)
        assert announced and not leaving.holder.holds(0, loop.time())
        for key in (0, 20_000, 40_000, 65_535):
            assert (await site.send("vm-1", "GET", "/files/x", key))[0] == 200

    run_scenario(tmp_path, scenario)


def test_a_server_that_asks_for_a_pause_gets_no_requests_during_it(tmp_path):
    async def scenario(site):
        await start(site, "vm-1")
        loop = asyncio.get_running_loop()
        server = site.servers["orders-a"]
        server.paused_until = paused_until = loop.time() + 1.5
        first = None
        while loop.time() < paused_until + 0.2:
            status, _, headers, _ = await site.send("vm-1", "POST", "/orders/1")
            if first is None:
                first = loop.time()
            if loop.time() < paused_until:
                assert status == 503 and float(headers["Retry-After"]) > 0
            await asyncio.sleep(POLL_PERIOD_S)
            if loop.time() < paused_until - 0.3:
                assert "peridot_targets_paused 1.0" in await site.read_metrics("vm-1")
        late = [at for at in server.arrived_at if first + 0.5 < at < paused_until]
        assert len(late) <= 2
        assert (await site.send("vm-1", "POST", "/orders/1"))[0] == 200

    run_scenario(tmp_path, scenario)
