"""Placers with in-memory targets in virtual time, each of which can be cut off."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from unittest.mock import patch

from peridot_fakes.cutstore import CutStore
from peridot_fakes.holders import MemoryLeaseClient
from peridot_fakes.virtualtime import virtual_time
from peridot_objects.objects import MemoryObjectStore
from peridot_ownership import granter, placer as placer_module, recorder
from peridot_ownership.holds import (
    Grant,
    GrantOutcome,
    ReleaseOutcome,
    TargetLeaseClient,
    Unreached,
)
from peridot_ownership.loads import KeyLoads
from peridot_ownership.placer import Placer
from peridot_ownership.ranges import KEY_SPACE, KeyRange
from peridot_ownership.record import RECORD_KIND, RECORD_NAME, DaemonInstance
from peridot_ownership.recorder import acquire_term
from peridot_ownership.rights import EarlierLeases
from peridot_ownership.view import FleetView
from peridot_placement.decisions import MemoryDecisionLog
from peridot_resources.configuration import TargetInstance

SERVICE = "status"
HOLD_MAX_S = 10.0
# Leaving targets serve for up to this long while a move is postponed (s).
LEAVING_GRACE_S = 1.0


@contextmanager
def virtual_clocks() -> Iterator[None]:
    """Have placers read virtual time."""
    with (
        patch.object(placer_module, "boot_time", virtual_time),
        patch.object(granter, "boot_time", virtual_time),
        patch.object(recorder, "boot_time", virtual_time),
    ):
        yield


class FixedView(FleetView):
    """A view of targets that change only on demand, under a load that doesn't."""

    def __init__(self, names: str) -> None:
        self.loads = KeyLoads()
        self.show(names)

    def show(self, names: str) -> None:
        """Show these targets and no others."""
        self.targets = [
            TargetInstance(name, SERVICE, "127.0.0.1:1", "a", 3, False, 0.0, 1)
            for name in names.split()
        ]

    def divided_services(self) -> list[str]:
        return [SERVICE]

    def targets_of(self, service: str) -> list[TargetInstance]:
        return self.targets

    def is_address_reused(self, target: TargetInstance) -> bool:
        return False

    def leaving_for_s(self, target: str) -> float:
        return 0.0

    def loads_of(self, service: str) -> KeyLoads:
        return self.loads

    def processing_s(self, target: str) -> float | None:
        return 0.1


class CutLeaseClient(TargetLeaseClient):
    """One placer's way to shared targets, to some of which it can be cut off."""

    def __init__(self, inner: MemoryLeaseClient) -> None:
        self.inner = inner
        self.cut: set[str] = set()

    async def grant(
        self, target: TargetInstance, grant: Grant, timeout_s: float
    ) -> GrantOutcome:
        if target.name in self.cut:
            await asyncio.sleep(timeout_s)
            return Unreached("cut off")
        return await self.inner.grant(target, grant, timeout_s)

    async def release(
        self, target: TargetInstance, keys: KeyRange, fence: int, timeout_s: float
    ) -> ReleaseOutcome:
        if target.name in self.cut:
            await asyncio.sleep(timeout_s)
            return Unreached("cut off")
        return await self.inner.release(target, keys, fence, timeout_s)


class PlacerRun:
    """One placer, with its own way to the store and to the targets and its own view."""

    def __init__(
        self,
        placer: Placer,
        store: CutStore,
        lease_client: CutLeaseClient,
        view: FixedView,
    ) -> None:
        self.placer = placer
        self.store = store
        self.lease_client = lease_client
        self.view = view

    def owners(self) -> set[str | None]:
        """Return the owners of all keys, as far as this placer knows."""
        table = self.placer.record.tables.get(SERVICE)
        return {item.owner for item in table.ranges} if table is not None else set()

    def has_ended(self) -> bool:
        """Return whether its term has ended."""
        return self.placer.record_writer.ended.done()


class PlacerSite:
    """The store and targets that several placers share."""

    def __init__(self) -> None:
        self.store = MemoryObjectStore()
        self.lease_client = MemoryLeaseClient(virtual_time)
        self.log = MemoryDecisionLog()

    @asynccontextmanager
    async def run_placer(
        self,
        vm: str,
        names: str,
        earlier_leases: EarlierLeases,
        may_grant_long_leases: Callable[[], bool] = lambda: True,
    ) -> AsyncIterator[PlacerRun]:
        """Acquire the next term for a VM that knows some targets, and run it."""
        store = CutStore(self.store)
        lease_client, view = CutLeaseClient(self.lease_client), FixedView(names)
        found = await store.read(RECORD_KIND, RECORD_NAME)
        holder = DaemonInstance(vm, f"{vm}-1", "127.0.0.1:1")
        record_writer = await acquire_term(store, holder, found, self.log)
        if record_writer is None:
            raise RuntimeError("another placer acquired the term")
        placer = Placer(
            record_writer,
            lease_client,
            view,
            self.log,
            HOLD_MAX_S,
            earlier_leases,
            may_grant_long_leases,
            LEAVING_GRACE_S,
        )
        writer = asyncio.create_task(record_writer.run())
        try:
            async with placer.run():
                yield PlacerRun(placer, store, lease_client, view)
        finally:
            writer.cancel()

    def holders_of(self, key: int) -> set[str]:
        """Return the targets with an unexpired lease on a key."""
        now = virtual_time()
        holders = self.lease_client.holders.items()
        return {name for name, holder in holders if holder.holds(key, now)}

    def unheld_ranges(self, dead: set[str]) -> list[KeyRange]:
        """Return the keys on which no target, but for dead ones, has a lease."""
        now = virtual_time()
        held = [
            item.keys
            for name, holder in self.lease_client.holders.items()
            if name not in dead
            for item in holder.held
            if item.ends > now
        ]
        return KeyRange(0, KEY_SPACE).minus(held)
