"""Random faults around the placer's own code in virtual time: one holder a key.

Placers come and go, also two at once; targets fall silent, answer late, restart and
leave; the store goes away for one placer or for all and loses answers.
"""

import asyncio
import random
from contextlib import AsyncExitStack, contextmanager
from dataclasses import replace
from unittest.mock import patch

from hypothesis import example, given, settings, strategies as st

from peridot_fakes.holders import MemoryHoldControl
from peridot_fakes.virtualtime import run_virtual, virtual_time
from peridot_objects.objects import MemoryObjectStore, ObjectStore
from peridot_objects.outcomes import StoreUnavailable
from peridot_ownership import (
    granter as granter_module,
    placer as placer_module,
    recorder as recorder_module,
)
from peridot_ownership.holds import Grant, HoldControl, Unreached
from peridot_ownership.loads import KeyLoads
from peridot_ownership.placer import Placer
from peridot_ownership.ranges import KEY_SPACE, KeyRange
from peridot_ownership.record import RECORD_KIND, RECORD_NAME, Holder
from peridot_ownership.recorder import take_term
from peridot_ownership.rights import (
    NO_EARLIER_RIGHTS,
    EarlierRights,
    bound_earlier_rights,
)
from peridot_ownership.view import FleetView
from peridot_placement.decisions import MemoryDecisionLog
from peridot_resources.configuration import ServingTarget

SERVICE = "status"
TARGETS = "a b c d".split()
HOLD_MAX_S = 10.0
# Targets that leave serve for so long at most while a move has to wait (s).
LEAVING_SERVES_S = 1.0
STEPS = 25
# Members are lost to an older placer so long (s) after a newer term was taken.
FOLLOWED_S = 1.5
# Covers the longest wait for rights of earlier terms.
SETTLE_S = 40.0


def earlier_rights(recorder) -> EarlierRights:
    if recorder.record.term == 1:
        return NO_EARLIER_RIGHTS
    return bound_earlier_rights(recorder_module.CONFIRMED_S, True, HOLD_MAX_S)


class ReachableStore(ObjectStore):
    """Reach a shared store unless this placer is cut off from it."""

    def __init__(self, inner: MemoryObjectStore) -> None:
        self.inner = inner
        self.cut = False

    async def list(self, kinds):
        return await self.inner.list(kinds)

    async def read(self, kind, name):
        await asyncio.sleep(0.004)
        if self.cut:
            return StoreUnavailable("cut off")
        return await self.inner.read(kind, name)

    async def write(self, kind, name, value, expected):
        await asyncio.sleep(0.004)
        if self.cut:
            return StoreUnavailable("cut off")
        return await self.inner.write(kind, name, value, expected)

    async def delete(self, kind, name, expected):
        return await self.inner.delete(kind, name, expected)

    async def watch(self, kinds, since, timeout_s):
        return await self.inner.watch(kinds, since, timeout_s)


class ReachableControl(HoldControl):
    """Reach shared targets unless this placer is cut off from some of them."""

    def __init__(self, inner: MemoryHoldControl) -> None:
        self.inner = inner
        self.cut: set[str] = set()

    async def grant(self, target, grant: Grant, timeout_s):
        if target.name in self.cut:
            await asyncio.sleep(timeout_s)
            return Unreached("cut off")
        return await self.inner.grant(target, grant, timeout_s)

    async def release(self, target, keys: KeyRange, fence, timeout_s):
        if target.name in self.cut:
            await asyncio.sleep(timeout_s)
            return Unreached("cut off")
        return await self.inner.release(target, keys, fence, timeout_s)


class MovingView(FleetView):
    """Show targets whose load moves about."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.loads = KeyLoads()
        self.reused: set[str] = set()
        self.targets = {
            name: ServingTarget(name, SERVICE, "127.0.0.1:1", "a", 3, False, 0.0, 1)
            for name in TARGETS
        }

    def divided_services(self) -> list[str]:
        return [SERVICE]

    def targets_of(self, service: str) -> list[ServingTarget]:
        return list(self.targets.values())

    def is_address_reused(self, target: ServingTarget) -> bool:
        return target.name in self.reused

    def leaving_s(self, target: str) -> float:
        return 0.0

    def loads_of(self, service: str) -> KeyLoads:
        return self.loads

    def work_s(self, target: str) -> float | None:
        return 0.1

    def stir(self) -> None:
        hot = self.rng.randrange(KEY_SPACE - 50)
        counts = [(hot + i, self.rng.randrange(1, 9)) for i in range(50)]
        self.loads.add(counts, virtual_time())


class Run:
    """Hold one run's world and its placers."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = MemoryObjectStore()
        self.control = MemoryHoldControl(virtual_time)
        self.view = MovingView(self.rng)
        self.log = MemoryDecisionLog()
        self.placers: list[
            tuple[Placer, ReachableStore, ReachableControl, AsyncExitStack]
        ] = []
        self.number = 0

    async def play(self) -> None:
        await self.lead()
        for _ in range(STEPS):
            await self.rng.choice(
                (
                    self.lead,
                    self.lead,
                    self.end_placer,
                    self.cut_store,
                    self.cut_targets,
                    self.disturb_target,
                    self.disturb_target,
                    self.restart_target,
                    self.garble,
                    self.reuse_address,
                    self.leave_or_return,
                    self.lose_answers,
                    self.heal,
                )
            )()
            self.view.stir()
            await asyncio.sleep(self.rng.uniform(0.0, 2.0))
            self.control.check()
        await self.heal()
        await self.lead()
        await asyncio.sleep(SETTLE_S)
        self.check_all_owned()
        for *_, stack in self.placers:
            await stack.aclose()

    def check_all_owned(self) -> None:
        now = virtual_time()
        for key in range(0, KEY_SPACE, 1_021):
            holders = [
                name for name, h in self.control.holders.items() if h.holds(key, now)
            ]
            assert len(holders) == 1, (key, holders)

    async def lead(self) -> None:
        self.number += 1
        store, control = ReachableStore(self.store), ReachableControl(self.control)
        found = await store.read(RECORD_KIND, RECORD_NAME)
        holder = Holder("vm", f"vm-{self.number}", "127.0.0.1:1")
        recorder = await take_term(store, holder, found, self.log)
        if recorder is None:
            return
        placer = Placer(
            recorder,
            control,
            self.view,
            self.log,
            HOLD_MAX_S,
            earlier_rights(recorder),
            self.make_member_check(self.number),
            LEAVING_SERVES_S,
        )
        stack = AsyncExitStack()
        writing = asyncio.create_task(recorder.run())
        stack.callback(writing.cancel)
        await stack.enter_async_context(placer.run())
        self.placers.append((placer, store, control, stack))

    def make_member_check(self, number: int):
        """Return what tells a placer whether most members still report to it.

        They follow the newest term soon after it was taken, or miss an older placer.
        """
        self.taken_at = virtual_time()
        return lambda: (
            number == self.number or virtual_time() < self.taken_at + FOLLOWED_S
        )

    async def end_placer(self) -> None:
        if self.placers:
            at = self.rng.randrange(len(self.placers))
            await self.placers.pop(at)[3].aclose()

    async def cut_store(self) -> None:
        for _, store, _, _ in self.placers:
            store.cut = self.rng.random() < 0.5

    async def cut_targets(self) -> None:
        for _, _, control, _ in self.placers:
            control.cut = {name for name in TARGETS if self.rng.random() < 0.3}

    async def disturb_target(self) -> None:
        holder = self.control.holder(self.rng.choice(TARGETS))
        holder.reachable = self.rng.random() < 0.6
        holder.late_s = self.rng.choice((None, 0.3, 3.0, 8.0))
        holder.work_s = self.rng.choice((0.0, 0.2, 1.0))
        holder.answer_s = self.rng.choice((0.0, 0.05, 0.3))

    async def restart_target(self) -> None:
        name = self.rng.choice(TARGETS)
        self.control.holder(name).held.clear()
        before = self.view.targets[name]
        self.view.targets[name] = replace(before, started_ms=before.started_ms + 1)

    async def garble(self) -> None:
        """Have a target's answers garbled, or whole again."""
        holder = self.control.holder(self.rng.choice(TARGETS))
        holder.denies = holder.gone or self.rng.random() < 0.6

    async def reuse_address(self) -> None:
        """End one target for good; its address goes to another service."""
        holder = self.control.holder(TARGETS[-1])
        self.view.reused.add(TARGETS[-1])
        holder.denies = holder.gone = True
        holder.held.clear()

    async def leave_or_return(self) -> None:
        name = self.rng.choice(TARGETS)
        before = self.view.targets[name]
        self.view.targets[name] = replace(before, leaving=not before.leaving)

    async def lose_answers(self) -> None:
        self.store.lose_answers = self.rng.randrange(4)

    async def heal(self) -> None:
        self.store.lose_answers = 0
        for _, store, control, _ in self.placers:
            store.cut, control.cut = False, set()
        for name in TARGETS:
            holder = self.control.holder(name)
            holder.reachable, holder.late_s = True, None
            holder.work_s = holder.answer_s = 0.0
            holder.denies = holder.gone
            self.view.targets[name] = replace(self.view.targets[name], leaving=False)


@contextmanager
def virtual_clocks():
    with (
        patch.object(placer_module, "boot_time", virtual_time),
        patch.object(granter_module, "boot_time", virtual_time),
        patch.object(recorder_module, "boot_time", virtual_time),
    ):
        yield


def play(seed: int) -> Run:
    run = Run(seed)
    with virtual_clocks():
        run_virtual(run.play())
    return run


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 1_000_000))
# Seeds that failed once: a range moved twice at once (0), late grants of an earlier
# term (4), holds replaced while a grant was under way (6, 22), a long hold given by
# a placer that a newer fence had outranked (30).
@example(0)
@example(4)
@example(6)
@example(22)
@example(30)
def test_no_key_has_two_holders_and_all_get_one_again(seed):
    run = play(seed)
    assert not run.control.violations, run.control.violations[:3]
