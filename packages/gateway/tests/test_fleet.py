"""How a VM that lost its placer finds the successor."""

import asyncio
import random
from dataclasses import replace
from time import monotonic
from types import SimpleNamespace

from peridot_fakes.fleet import free_ports
from peridot_fakes.holders import MemoryLeaseClient
from peridot_gateway import fleet as fleet_module
from peridot_gateway.coldtargets import ColdTargets
from peridot_gateway.estimates import Estimates
from peridot_gateway.fleet import ASKED_VM_COUNT, START_JITTER_S, Fleet, FleetParts
from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.links import FleetServer, follow_placer, serve_fleet
from peridot_gateway.owners import Owners
from peridot_gateway.roster import Peers
from peridot_gateway.sources import ConfigurationSource
from peridot_gateway.targets import TargetSource
from peridot_objects.objects import MemoryObjectStore
from peridot_objects.outcomes import Missing
from peridot_ownership.record import RECORD_KIND, RECORD_NAME, DaemonInstance
from peridot_ownership.recorder import acquire_term
from peridot_placement.decisions import MemoryDecisionLog
from peridot_wire import peridot_pb2 as pb

# VMs of the largest deployment in the simulations.
VMS = 64
# Within this time (s) after it acquired the term, a successor must be followed: a call
# to the store and a connection.
FOLLOW_TIMEOUT_S = 0.5
POLL_S = 0.01


class KindsDialect:
    """A dialect with the kinds of objects only."""

    configuration_kind, configuration_name = "configuration", "main"
    target_kind = "targets"


def make_fleet(local_instance: DaemonInstance, store: MemoryObjectStore) -> Fleet:
    log = MemoryDecisionLog()
    load = FleetLoad(
        ConfigurationSource(store, KindsDialect, log),
        TargetSource(store, KindsDialect, log),
    )
    parts = FleetParts(
        store=store,
        lease_client=MemoryLeaseClient(),
        load=load,
        owners=Owners(),
        estimates=Estimates(),
        router=SimpleNamespace(pop_key_counts=dict),
        log=log,
        rng=random.Random(1),
        hold_max_s=10.0,
        leaving_grace_s=1.0,
        store_reachable=lambda: True,
    )
    return Fleet(local_instance, "a", parts)


def make_instances() -> list[DaemonInstance]:
    """Return the instances of all VMs; nothing listens at their addresses yet."""
    return [
        DaemonInstance(f"vm-{number:02}", f"vm-{number:02}-1", f"127.0.0.1:{port}")
        for number, port in enumerate(free_ports(VMS))
    ]


def serve_peer_without_placer(holder: DaemonInstance):
    """Serve the fleet link of a VM that follows no placer."""
    server = FleetServer(
        handle_report=lambda report: None,
        build_state=lambda vm, sent: pb.FleetState(leading=True, term=2),
        build_answer=lambda: pb.FleetAnswer(instance=holder.instance),
        wait_for_change=asyncio.sleep,
        remove_member=lambda vm, instance: None,
    )
    return serve_fleet(server, holder.address)


async def wait_until_followed(fleet: Fleet, holder: DaemonInstance) -> None:
    while fleet.follower.followed_placer != holder:
        await asyncio.sleep(POLL_S)


# Guards against requests to leaving targets and refused keys after a placer was lost:
# VMs used its last owner table until their turn in the election, 0.1 s per VM.
def test_a_successor_is_followed_at_once_at_any_election_rank():
    async def scenario():
        store, log = MemoryObjectStore(), MemoryDecisionLog()
        first, second, *_, last = instances = make_instances()
        await acquire_term(store, first, Missing(), log)
        fleet = make_fleet(last, store)
        fleet.follower.peers.update(instances)
        async with serve_peer_without_placer(second):
            running = asyncio.create_task(fleet.run())
            await wait_until_followed(fleet, first)
            await asyncio.sleep(0.5)
            found = await store.read(RECORD_KIND, RECORD_NAME)
            await acquire_term(store, second, found, log)
            async with asyncio.timeout(FOLLOW_TIMEOUT_S):
                await wait_until_followed(fleet, second)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    asyncio.run(scenario())


def test_a_vm_that_loses_the_placer_asks_few_others_before_its_turn(monkeypatch):
    """Guards against questions of all VMs to all others when the placer is lost."""
    asked: list[str] = []

    async def ask(address, instance):
        asked.append(address)
        return pb.FleetAnswer(instance=address)

    monkeypatch.setattr(fleet_module, "ask_member", ask)

    async def scenario():
        store, log = MemoryObjectStore(), MemoryDecisionLog()
        first, *_, last = instances = make_instances()
        await acquire_term(store, first, Missing(), log)
        fleet = make_fleet(last, store)
        fleet.follower.peers.update(instances)
        running = asyncio.create_task(fleet.run())
        await wait_until_followed(fleet, first)
        await asyncio.sleep(0.5)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert 0 < len(asked) <= ASKED_VM_COUNT

    asyncio.run(scenario())


def test_vms_with_more_cores_come_first_in_an_election():
    """Guards against a placer on a VM too small to renew all leases in time."""
    peers = Peers()
    peers.update(
        replace(item, cores=cores)
        for item, cores in zip(make_instances(), [0.43, 2.15, 0.86, 2.15], strict=False)
    )
    ranked = sorted(peers.instances, key=lambda peer: peers.election_rank(peer.vm))
    assert [peer.vm for peer in ranked] == ["vm-01", "vm-03", "vm-02", "vm-00"]


def test_small_vms_start_later(monkeypatch):
    store = MemoryObjectStore()
    delays = [
        make_fleet(DaemonInstance("vm", "vm-1", "127.0.0.1:1", cores), store)
        for cores in (0.43, 1.0, 2.15)
    ]
    small_s, middle_s, large_s = [fleet._start_delay_s() for fleet in delays]
    assert small_s > START_JITTER_S > max(middle_s, large_s)


def test_a_report_that_waits_for_a_state_is_answered_at_once():
    """Guards against waits of half a second for requests to cold owners."""

    async def scenario():
        demand, times, cold = [], [], ColdTargets("v", None, None, MemoryDecisionLog())

        cold.set_limits(1.5, 8.0)

        async def wait_for_change(timeout_s):
            await asyncio.sleep(timeout_s)

        server = FleetServer(
            lambda report: bool(demand),
            lambda vm, sent: pb.FleetState(leading=True),
            lambda: pb.FleetAnswer(),
            wait_for_change,
            lambda vm, instance: None,
        )
        (port,) = free_ports(1)
        address = f"127.0.0.1:{port}"
        async with serve_fleet(server, address):
            following = asyncio.create_task(
                follow_placer(
                    address,
                    lambda: pb.FleetReport(vm="v"),
                    lambda state: times.append(monotonic()),
                    cold.wait_for_report,
                )
            )
            await asyncio.sleep(0.6)
            calm = len(times)
            for _ in range(5):
                demand.append(1)
                cold.request_report()
                await asyncio.sleep(0.12)
            following.cancel()
        assert calm <= 4
        assert len(times) - calm >= 4

    asyncio.run(scenario())
