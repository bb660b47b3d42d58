"""Pattern: a late copy of an earlier response stands for that to a lost write."""

import asyncio

from peridot_objects.objects import MemoryObjectStore
from peridot_objects.outcomes import Missing, Written
from peridot_ownership.record import (
    RECORD_KIND,
    RECORD_NAME,
    DaemonInstance,
    parse_record,
)
from peridot_ownership.recorder import acquire_term
from peridot_placement.decisions import MemoryDecisionLog

FIRST = DaemonInstance("vm1", "vm1-1", "127.0.0.1:1")
SECOND = DaemonInstance("vm2", "vm2-1", "127.0.0.1:2")


class CopyingStore(MemoryObjectStore):
    """A store that loses a number of writes, and answers them as one was before."""

    def __init__(self) -> None:
        super().__init__()
        self.copies = 0

    async def write(self, kind, name, value, expected):
        if self.copies:
            self.copies -= 1
            return Written(expected)
        return await super().write(kind, name, value, expected)


def run(scenario) -> None:
    async def check():
        store, log = CopyingStore(), MemoryDecisionLog()
        writer = await acquire_term(store, FIRST, Missing(), log)
        async with asyncio.timeout(5):
            await scenario(store, log, writer)

    asyncio.run(check())


# Guards against two placers: the second would act on a term that it doesn't have.
def test_a_term_is_not_acquired_by_a_copy_of_an_earlier_response():
    async def scenario(store, log, writer):
        found = await store.read(RECORD_KIND, RECORD_NAME)
        store.copies = 1
        assert await acquire_term(store, SECOND, found, log) is None
        assert await acquire_term(store, SECOND, found, log) is not None

    run(scenario)


# Guards against a placer that acts on a record that no successor will find.
def test_a_record_is_not_taken_as_written_by_a_copy_of_an_earlier_response():
    async def scenario(store, log, writer):
        task = asyncio.create_task(writer.run())
        store.copies = 1
        await writer.write()
        found = await store.read(RECORD_KIND, RECORD_NAME)
        assert parse_record(found.value).heartbeat == writer.record.heartbeat
        assert any(line.startswith("event=store_lost ") for line in log.lines)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    run(scenario)
