"""The term of this VM: when it is given up, and what members are told."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from peridot_fakes.holders import MemoryHoldControl
from peridot_gateway import leading as leading_module, states as states_module
from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.leading import Leading
from peridot_gateway.messages import serialize_tables
from peridot_gateway.owners import Owners
from peridot_gateway.roster import Peers
from peridot_gateway.sources import ConfigurationSource
from peridot_gateway.states import SentState
from peridot_gateway.targets import TargetSource
from peridot_objects.objects import MemoryObjectStore
from peridot_objects.outcomes import Missing
from peridot_ownership import recorder as recorder_module
from peridot_ownership.placer import Placer
from peridot_ownership.record import Holder
from peridot_ownership.recorder import take_term
from peridot_ownership.rights import NO_EARLIER_RIGHTS
from peridot_placement.decisions import MemoryDecisionLog
from peridot_wire import peridot_pb2 as pb

ME = Holder("vm-1", "vm-1-1", "127.0.0.1:1")


class Kinds:
    """Name the kinds of objects as a dialect does."""

    configuration_kind, configuration_name = "configuration", "main"
    target_kind = "targets"


@pytest.fixture(autouse=True)
def short_times(monkeypatch):
    monkeypatch.setattr(leading_module, "RESIGN_AFTER_S", 0.1)
    monkeypatch.setattr(leading_module, "LEAD_CHECK_S", 0.02)
    monkeypatch.setattr(recorder_module, "BEAT_S", 0.02)
    monkeypatch.setattr(recorder_module, "RETRY_PAUSE_S", 0.02)


@asynccontextmanager
async def lead():
    """Run a term in the background; yield its task, its leader and the store."""
    log, store = MemoryDecisionLog(), MemoryObjectStore()
    load = FleetLoad(
        ConfigurationSource(store, Kinds, log), TargetSource(store, Kinds, log)
    )
    leading = Leading(ME, load, Owners(), Peers(), log, lambda: None)
    recorder = await take_term(store, ME, Missing(), log)
    placer = Placer(
        recorder,
        MemoryHoldControl(),
        load,
        log,
        10.0,
        NO_EARLIER_RIGHTS,
        lambda: True,
        1.0,
    )
    task = asyncio.create_task(leading.lead(placer))
    await asyncio.sleep(0.05)
    try:
        yield task, leading, store
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def report(reaches: bool) -> pb.FleetReport:
    return pb.FleetReport(vm="vm-2", instance="vm-2-1", store_reachable=reaches)


def test_a_placer_that_alone_misses_the_store_resigns():
    async def play():
        async with lead() as (task, leading, store):
            await store.set_outage(True)
            leading.take_report(report(True))
            async with asyncio.timeout(1):
                await task
            state = leading.describe_state("vm-2", SentState())
            assert (state.resigned, state.term) == (True, 1)

    asyncio.run(play())


def test_a_placer_stays_while_nobody_reaches_the_store():
    """Seen in Blue Mahoe's trouble-3: it resigned, and none could take the term."""

    async def play():
        async with lead() as (task, leading, store):
            await store.set_outage(True)
            leading.take_report(report(False))
            await asyncio.sleep(0.3)
            assert not task.done()
            assert leading.describe_state("vm-2", SentState()).leading

    asyncio.run(play())


def test_a_placer_that_is_stopped_tells_what_it_gave():
    async def play():
        async with lead() as (task, leading, _):
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert leading.describe_state("vm-2", SentState()).resigned

    asyncio.run(play())


def test_members_are_told_only_what_is_new():
    """States with everything were a sixth of the bytes between data centres."""

    async def play():
        async with lead() as (_, leading, _):
            leading.take_report(report(True))
            sent = SentState()
            first = leading.describe_state("vm-2", sent)
            assert first.members_listed
            assert first.targets_listed
            second = leading.describe_state("vm-2", sent)
            assert not (second.members_listed or second.targets_listed)
            assert not second.tables
            leading.remove_member("vm-2", "vm-2-1")
            assert leading.describe_state("vm-3", sent).members_listed

    asyncio.run(play())


# Guards against a placer without processor time left in a large fleet: each change of
# the tables was serialised anew for each member.
def test_a_change_of_the_tables_is_serialised_once_for_all_members(monkeypatch):
    serialised = []

    def count(tables):
        serialised.append(tables)
        return serialize_tables(tables)

    monkeypatch.setattr(states_module, "serialize_tables", count)

    async def play():
        async with lead() as (_, leading, _):
            serialised.clear()
            leading.placer.sequence += 1
            states = [leading.describe_state(vm, SentState()) for vm in ("a", "b", "c")]
            assert len(serialised) == 1
            assert all(state.sequence == leading.placer.sequence for state in states)
            assert states[0].tables == states[2].tables

    asyncio.run(play())
