"""Test conditional writes whose replies are lost."""

import asyncio

import pytest

from peridot_objects.objects import MemoryObjectStore
from peridot_placement.writer import (
    WriteAbandoned,
    WriteDone,
    WriteSuperseded,
    write_with_retries,
)


def write(store, value, expected, attempts=3):
    remaining = iter(range(attempts))
    return write_with_retries(
        store,
        "Term",
        "dc",
        value,
        expected,
        lambda stored: stored == value,
        lambda: next(remaining, None) is not None,
    )


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_write_with_lost_replies_is_reported_as_done(lost):
    async def scenario():
        store = MemoryObjectStore()
        store.lose_answers = lost
        assert await write(store, b"1", 0) == WriteDone(1)
        assert store.revision == 1

    asyncio.run(scenario())


def test_write_after_another_writer_is_reported_as_superseded():
    async def scenario():
        store = MemoryObjectStore()
        await store.write("Term", "dc", b"2", 0)
        outcome = await write(store, b"1", 0)
        assert isinstance(outcome, WriteSuperseded)
        assert outcome.current.value == b"2"

    asyncio.run(scenario())


def test_write_in_an_outage_is_abandoned_as_not_applied():
    async def scenario():
        store = MemoryObjectStore()
        await store.set_outage(True)
        assert await write(store, b"1", 0) == WriteAbandoned(not_applied=True)

    asyncio.run(scenario())
