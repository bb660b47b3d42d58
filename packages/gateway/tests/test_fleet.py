"""How a VM that lost its placer finds the next one, or becomes it."""

import asyncio
import random
from types import SimpleNamespace

from peridot_fakes.fleet import free_ports
from peridot_fakes.holders import MemoryHoldControl
from peridot_gateway.estimates import Estimates
from peridot_gateway.fleet import Fleet, FleetParts
from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.links import FleetServer, serve_fleet
from peridot_gateway.owners import Owners
from peridot_gateway.sources import ConfigurationSource
from peridot_gateway.targets import TargetSource
from peridot_objects.objects import MemoryObjectStore
from peridot_objects.outcomes import Missing
from peridot_ownership.record import RECORD_KIND, RECORD_NAME, Holder
from peridot_ownership.recorder import take_term
from peridot_placement.decisions import MemoryDecisionLog
from peridot_wire import peridot_pb2 as pb

# VMs of the largest deployment that was played.
VMS = 64
# A VM follows the next placer this long after it took the term: a call to the store
# and a connection (s).
FOUND_S = 0.5
POLL_S = 0.01


class Kinds:
    """Name the kinds of objects as a dialect does."""

    configuration_kind, configuration_name = "configuration", "main"
    target_kind = "targets"


def make_fleet(me: Holder, store: MemoryObjectStore) -> Fleet:
    log = MemoryDecisionLog()
    load = FleetLoad(
        ConfigurationSource(store, Kinds, log), TargetSource(store, Kinds, log)
    )
    parts = FleetParts(
        store=store,
        control=MemoryHoldControl(),
        load=load,
        owners=Owners(),
        estimates=Estimates(),
        router=SimpleNamespace(take_key_counts=dict),
        log=log,
        rng=random.Random(1),
        hold_max_s=10.0,
        leaving_serves_s=1.0,
        store_reachable=lambda: True,
    )
    return Fleet(me, "a", parts)


def make_holders() -> list[Holder]:
    """Return the processes of all VMs; nothing listens at their addresses yet."""
    return [
        Holder(f"vm-{number:02}", f"vm-{number:02}-1", f"127.0.0.1:{port}")
        for number, port in enumerate(free_ports(VMS))
    ]


def serve_peer(holder: Holder):
    """Serve a VM that hears no placer."""
    server = FleetServer(
        take_report=lambda report: None,
        describe=lambda vm, sent: pb.FleetState(leading=True, term=2),
        answer=lambda: pb.FleetAnswer(instance=holder.instance),
        wait_for_change=asyncio.sleep,
        member_left=lambda vm, instance: None,
    )
    return serve_fleet(server, holder.address)


async def wait_until_followed(fleet: Fleet, holder: Holder) -> None:
    while fleet.following.followed != holder:
        await asyncio.sleep(POLL_S)


# Guards against requests at leaving targets and refused keys after a placer was lost:
# VMs went on by its last table until their turn to take the term, 0.1 s a VM.
def test_the_next_placer_is_followed_at_once_whatever_the_rank():
    async def play():
        store, log = MemoryObjectStore(), MemoryDecisionLog()
        first, second, *_, last = holders = make_holders()
        await take_term(store, first, Missing(), log)
        fleet = make_fleet(last, store)
        fleet.following.peers.take(holders)
        async with serve_peer(second):
            running = asyncio.create_task(fleet.run())
            await wait_until_followed(fleet, first)
            await asyncio.sleep(0.5)
            found = await store.read(RECORD_KIND, RECORD_NAME)
            await take_term(store, second, found, log)
            async with asyncio.timeout(FOUND_S):
                await wait_until_followed(fleet, second)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)

    asyncio.run(play())
