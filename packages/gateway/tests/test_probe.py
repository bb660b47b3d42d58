"""Probes of the store by members whose placer misses it."""

import asyncio

from peridot_gateway import probe as probe_module
from peridot_gateway.probe import StoreProbe
from peridot_objects.objects import MemoryObjectStore


class SilentStore(MemoryObjectStore):
    """Never answer a read."""

    async def read(self, kind, name):
        await asyncio.Event().wait()


def test_an_answer_counts_only_for_the_outage_it_came_in():
    async def play():
        probe = StoreProbe(MemoryObjectStore())
        probe.want()
        await asyncio.sleep(0.02)
        assert probe.has_answer()
        probe.end()
        assert not probe.has_answer()
        probe.want()
        assert not probe.has_answer()

    asyncio.run(play())


def test_a_silent_store_is_not_reached(monkeypatch):
    monkeypatch.setattr(probe_module, "ANSWER_TIMEOUT_S", 0.02)

    async def play():
        probe = StoreProbe(SilentStore())
        probe.want()
        await asyncio.sleep(0.05)
        assert probe.task.done()
        assert not probe.has_answer()

    asyncio.run(play())


def test_probes_are_rare():
    async def play():
        store = MemoryObjectStore()
        probe = StoreProbe(store)
        tasks = set()
        for _ in range(10):
            probe.want()
            tasks.add(probe.task)
            await asyncio.sleep(0.005)
        assert len(tasks) == 1

    asyncio.run(play())
