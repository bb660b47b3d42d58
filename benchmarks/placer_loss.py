"""Measure how long keys are unserved after the placer is lost (gateway mode).

In virtual time, with in-memory targets. The election isn't simulated: the next placer
starts after the time that members need to notice the loss and to acquire the term.
"""

import asyncio
import random
import statistics
from contextlib import AsyncExitStack
from dataclasses import dataclass

from absl import app, flags

from peridot_fakes.placers import (
    HOLD_MAX_S,
    SERVICE,
    PlacerRun,
    PlacerSite,
    virtual_clocks,
)
from peridot_fakes.virtualtime import run_virtual, virtual_time
from peridot_ownership.errors import TermLost
from peridot_ownership.ranges import KEY_SPACE, KeyRange
from peridot_ownership.recorder import CONFIRMATION_TIMEOUT_S
from peridot_ownership.rights import (
    NO_EARLIER_LEASES,
    EarlierLeases,
    bound_earlier_leases,
)

TARGETS = "a b c d e f"
LOST_TARGET = "a"
# A placer that alone has lost the store resigns after this time.
RESIGN_DELAY_S = 1.0
POLL_PERIOD_S = 0.01
TIMEOUT_S = 60.0


@dataclass(frozen=True)
class Loss:
    """A way to lose the placer."""

    name: str
    # Shortest and longest time (s) from the loss, or from the resignation, until the
    # next placer acquires the term.
    delays_s: tuple[float, float]
    # Whether the next placer knows that the lost one granted no long leases.
    known: bool = True
    resigns: bool = False


LOSSES = (
    Loss("killed", (0.05, 0.3)),
    Loss("frozen", (0.9, 1.3)),
    Loss("cut off from the store, resigns", (0.05, 0.3), resigns=True),
    Loss("killed with all VMs", (1.0, 1.3), known=False),
)


@dataclass(frozen=True)
class Result:
    """Times (s) from the loss of the placer."""

    # Longest time that a key had no live holder.
    unserved_s: float
    # Until live targets held all keys by grants of the next placer.
    renewed_s: float


async def resign_placer(run: PlacerRun) -> EarlierLeases:
    """Return the leases of a placer that can't reach the store, once it resigns."""
    run.store.cut = True
    record_writer = run.placer.record_writer
    while not (
        record_writer.store_lost
        and virtual_time() - record_writer.store_lost_at > RESIGN_DELAY_S
    ):
        await asyncio.sleep(POLL_PERIOD_S)
    record_writer.end_term(TermLost("resigned"))
    return run.placer.lease_manager.export_leases()


def unrenewed_ranges(site: PlacerSite, run: PlacerRun, dead: set[str]) -> list:
    """Return the keys that no live target holds by a grant of this placer."""
    fences = {item.fence for item in run.placer.record.tables[SERVICE].ranges}
    held = [
        item.keys
        for name, holder in site.lease_client.holders.items()
        if name not in dead
        for item in holder.held
        if item.fence in fences and item.ends > virtual_time()
    ]
    return KeyRange(0, KEY_SPACE).minus(held)


async def watch_unserved(site: PlacerSite, dead: set[str], longest: list) -> None:
    """Keep the longest time (s) for which any keys have had no live holder."""
    since = None
    while True:
        if not site.unheld_ranges(dead):
            since = None
        elif since is None:
            since = virtual_time()
        else:
            longest[0] = max(longest[0], virtual_time() - since)
        await asyncio.sleep(POLL_PERIOD_S)


async def lose_placer(loss: Loss, lose_target: bool, seed: int) -> Result:
    """Lose the placer at a random time, and perhaps a target; return the times."""
    rng = random.Random(seed)
    site, dead, longest = PlacerSite(), set(), [0.0]
    async with AsyncExitStack() as second_stack:
        async with AsyncExitStack() as first_stack:
            first = await first_stack.enter_async_context(
                site.run_placer("vm1", TARGETS, NO_EARLIER_LEASES)
            )
            async with asyncio.timeout(TIMEOUT_S):
                while len(first.owners()) < 6 or site.unheld_ranges(dead):
                    await asyncio.sleep(POLL_PERIOD_S)
            await asyncio.sleep(rng.uniform(5.0, 8.0))
            lost_at = virtual_time()
            watch = asyncio.create_task(watch_unserved(site, dead, longest))
            second_stack.callback(watch.cancel)
            if lose_target:
                dead.add(LOST_TARGET)
                site.lease_client.holder(LOST_TARGET).reachable = False
            earlier = bound_earlier_leases(
                CONFIRMATION_TIMEOUT_S, not loss.known, HOLD_MAX_S
            )
            if loss.resigns:
                earlier = await resign_placer(first)
        await asyncio.sleep(rng.uniform(*loss.delays_s))
        second = await second_stack.enter_async_context(
            site.run_placer("vm2", TARGETS, earlier)
        )
        async with asyncio.timeout(TIMEOUT_S):
            while unrenewed_ranges(site, second, dead):
                await asyncio.sleep(POLL_PERIOD_S)
        renewed_s = virtual_time() - lost_at
        if site.lease_client.violations:
            raise RuntimeError(f"two holders: {site.lease_client.violations[0]}")
        return Result(longest[0], renewed_s)


def format_times(times_s: list[float]) -> str:
    """Return median and worst of times (s) as columns."""
    return f"{statistics.median(times_s):10.2f}{max(times_s):8.2f}"


def main(argv: list[str]) -> None:
    """Print the times for each way to lose the placer."""
    seeds = range(flags.FLAGS.seeds)
    print(f"{len(seeds)} seeds each; s from the loss of the placer, median and worst")
    print(f"{'':45}{'unserved':>18}{'all renewed':>18}")
    for lose_target in (False, True):
        for loss in LOSSES:
            with virtual_clocks():
                results = [
                    run_virtual(lose_placer(loss, lose_target, seed)) for seed in seeds
                ]
            name = loss.name + (", and a target" if lose_target else "")
            unserved = format_times([item.unserved_s for item in results])
            renewed = format_times([item.renewed_s for item in results])
            print(f"{name:45}{unserved}{renewed}", flush=True)


if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 100, "number of runs for each line")
    app.run(main)
