"""A shared in-memory store from which one user can be cut off."""

import asyncio
from collections.abc import Collection

from peridot_objects.objects import MemoryObjectStore, ObjectStore
from peridot_objects.outcomes import (
    ListOutcome,
    ReadOutcome,
    StoreUnavailable,
    WatchOutcome,
    WriteOutcome,
)

CUT_OFF = StoreUnavailable("cut off")


class CutStore(ObjectStore):
    """One user's way to a store; lists and watches always work."""

    def __init__(self, inner: MemoryObjectStore, delay_s: float = 0.0) -> None:
        self.inner = inner
        self.delay_s = delay_s
        self.cut = False

    async def list(self, kinds: Collection[str]) -> ListOutcome:
        return await self.inner.list(kinds)

    async def read(self, kind: str, name: str) -> ReadOutcome:
        await asyncio.sleep(self.delay_s)
        return CUT_OFF if self.cut else await self.inner.read(kind, name)

    async def write(
        self, kind: str, name: str, value: bytes, expected: int | None
    ) -> WriteOutcome:
        await asyncio.sleep(self.delay_s)
        if self.cut:
            return CUT_OFF
        return await self.inner.write(kind, name, value, expected)

    async def delete(self, kind: str, name: str, expected: int | None) -> WriteOutcome:
        return await self.inner.delete(kind, name, expected)

    async def watch(
        self, kinds: Collection[str], since: int, timeout_s: float
    ) -> WatchOutcome:
        return await self.inner.watch(kinds, since, timeout_s)
