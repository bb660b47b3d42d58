"""Probes of the store by members whose placer can't reach it."""

import asyncio

from peridot_gateway import probe as probe_module
from peridot_gateway.probe import StoreProbe
from peridot_objects.objects import MemoryObjectStore


class HangingReadStore(MemoryObjectStore):
    """A store that never answers a read."""

    async def read(self, kind, name):
        await asyncio.Event().wait()


def test_an_answer_of_the_store_counts_for_one_outage_only():
    async def scenario():
        probe = StoreProbe(MemoryObjectStore())
        probe.request()
        await asyncio.sleep(0.02)
        assert probe.has_store_answered()
        probe.reset()
        assert not probe.has_store_answered()
        probe.request()
        assert not probe.has_store_answered()

    asyncio.run(scenario())


def test_a_store_that_does_not_answer_is_unreachable(monkeypatch):
    monkeypatch.setattr(probe_module, "ANSWER_TIMEOUT_S", 0.02)

    async def scenario():
        probe = StoreProbe(HangingReadStore())
        probe.request()
        await asyncio.sleep(0.05)
        assert probe.task.done()
        assert not probe.has_store_answered()

    asyncio.run(scenario())


def test_the_rate_of_probes_is_limited():
    async def scenario():
        store = MemoryObjectStore()
        probe = StoreProbe(store)
        tasks = set()
        for _ in range(10):
            probe.request()
            tasks.add(probe.task)
            await asyncio.sleep(0.005)
        assert len(tasks) == 1

    asyncio.run(scenario())
