"""Test conditional updates whose answers are lost."""

import asyncio

import pytest

from peridot_objects.objects import MemoryObjectStore
from peridot_placement.writer import (
    WriteAbandoned,
    WriteDone,
    WriteLost,
    write_durably,
)


def write(store, value, expected, tries=3):
    left = iter(range(tries))
    return write_durably(
        store,
        "Term",
        "dc",
        value,
        expected,
        lambda stored: stored == value,
        lambda: next(left, None) is not None,
    )


@pytest.mark.parametrize("lost", [0, 1, 2])
def test_write_with_lost_answers_is_found_done(lost):
    async def session():
        store = MemoryObjectStore()
        store.lose_answers = lost
        assert await write(store, b"1", 0) == WriteDone(1)
        assert store.revision == 1

    asyncio.run(session())


def test_write_that_another_overtook_is_reported_lost():
    async def session():
        store = MemoryObjectStore()
        await store.write("Term", "dc", b"2", 0)
        outcome = await write(store, b"1", 0)
        assert isinstance(outcome, WriteLost)
        assert outcome.current.value == b"2"

    asyncio.run(session())


def test_write_in_an_outage_is_abandoned_as_known():
    async def session():
        store = MemoryObjectStore()
        await store.set_outage(True)
        assert await write(store, b"1", 0) == WriteAbandoned(known=True)

    asyncio.run(session())
