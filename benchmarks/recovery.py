"""Measure how long a key is not served after each fault."""

import asyncio
import random
import signal
import statistics
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from time import monotonic

from benchmarks.results import Results
from peridot_fakes.fleet import (
    DaemonProcess,
    Fleet,
    TargetProcess,
    is_running,
    open_fleet,
)
from peridot_fakes.prober import Prober
from peridot_fakes.trials import TrialService, write_manifests

DATA_CENTRE = "dc-a"
VMS = 4
TARGETS = 5
KEYS = 400
RECOVERY_TIMEOUT_S = 15.0
UNAVAILABLE_BOUND_S = 1.0
OUTAGE_S = 30.0
SETTLE_S = 1.0
# Two probes apart, plus a request's own time.
SAMPLING_S = 0.05


@dataclass
class Site:
    """Hold one data centre under trial."""

    fleet: Fleet
    rng: random.Random
    stopped: set[str]

    def urls(self) -> list[str]:
        """Return the daemons that a balancer would still use."""
        return [
            daemon.url
            for daemon in self.fleet.daemons.values()
            if is_running(daemon.process) and daemon.vm not in self.stopped
        ]

    async def explain(self, key: str) -> dict:
        """Return what a daemon in use says of a key."""
        for daemon in self.fleet.daemons.values():
            if is_running(daemon.process) and daemon.vm not in self.stopped:
                url = f"{daemon.admin_url}/explain?service=desk&key={key}"
                async with self.fleet.session.get(url) as answer:
                    return await answer.json()
        raise LookupError("no daemon runs")

    async def choose_key(
        self, fits: Callable[[dict, str], bool] = lambda explained, placer: True
    ) -> tuple[str, dict]:
        """Return a key and its explanation, chosen at random among those that fit."""
        placer = await self.fleet.placer_of(DATA_CENTRE)
        for _ in range(KEYS):
            key = f"key-{self.rng.randrange(KEYS)}"
            explained = await self.explain(key)
            settled = explained["reason"] == "settled"
            if settled and fits(explained, placer.vm if placer else ""):
                return key, explained
        raise LookupError("no key fits")

    def prober(self, key: str) -> Prober:
        """Return a prober of a key."""
        return Prober(self.fleet.session, self.urls, f"/desk/{key}", key)


async def start_site(fleet: Fleet, seed: int, vms: int = VMS) -> Site:
    """Start a data centre with its targets in processes of their own."""
    service = TrialService("desk", TARGETS, (DATA_CENTRE,))
    file = write_manifests(fleet.folder, [service])
    await fleet.start_platform()
    await fleet.set_platform_faults(vm_lag_s=0.2)
    await fleet.start_targets([file], apart=True)
    await fleet.apply(file)
    await fleet.start_daemons({DATA_CENTRE: vms})
    await fleet.wait_assigned("desk")
    await asyncio.sleep(SETTLE_S)
    return Site(fleet, random.Random(seed), set())


Trial = Callable[[Site], Awaitable[float]]


async def kill_target(site: Site) -> float:
    """Kill the owner of a key; return the time until it is served again."""
    key, explained = await site.choose_key()
    target = site.fleet.target(explained["owner"])
    async with site.prober(key).run() as prober:
        await asyncio.sleep(0.3)
        target.process.kill()
        took = await prober.wait_answer_after(monotonic(), RECOVERY_TIMEOUT_S)
    await target.process.wait()
    await site.fleet.start_target(target)
    await wait_back(site, target)
    return took


async def freeze_target(site: Site) -> float:
    """Freeze the owner of a key; return the time until it is served again."""
    key, explained = await site.choose_key()
    target = site.fleet.target(explained["owner"])
    async with site.prober(key).run() as prober:
        await asyncio.sleep(0.3)
        target.process.send_signal(signal.SIGSTOP)
        took = await prober.wait_answer_after(monotonic(), RECOVERY_TIMEOUT_S)
    target.process.send_signal(signal.SIGCONT)
    await wait_back(site, target)
    return took


async def wait_back(site: Site, target: TargetProcess) -> None:
    """Wait until no daemon takes a target for lost."""
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        while True:
            states = [
                await site.fleet.state(daemon)
                for daemon in site.fleet.daemons.values()
                if is_running(daemon.process)
            ]
            if not any(set(target.names) & set(s["lost_targets"]) for s in states):
                break
            await asyncio.sleep(0.1)
    await asyncio.sleep(SETTLE_S)


async def kill_front(site: Site) -> float:
    """Kill the front of a key's owner; return the time until it is served again."""
    key, explained = await site.choose_key(lambda e, placer: e["front"] != placer)
    return await kill_vm(site, key, site.fleet.daemons[explained["front"]])


async def kill_placer(site: Site) -> float:
    """Kill the placer; return the longest time a key was not served."""
    placer = await site.fleet.placer_of(DATA_CENTRE)
    key, _ = await site.choose_key(lambda e, vm: e["front"] != vm)
    return await kill_vm(site, key, placer, whole_gap=True)


async def kill_vm(
    site: Site, key: str, daemon: DaemonProcess, whole_gap: bool = False
) -> float:
    """Kill a daemon under probes; start it anew afterwards."""
    async with site.prober(key).run() as prober:
        await asyncio.sleep(0.3)
        site.stopped.add(daemon.vm)
        daemon.process.kill()
        began = monotonic()
        took = await prober.wait_answer_after(began, RECOVERY_TIMEOUT_S)
        if whole_gap:
            await asyncio.sleep(2.0)
            took = max(0.0, prober.longest_gap_s(began, monotonic()) - SAMPLING_S)
    await daemon.process.wait()
    await site.fleet.start_daemon(daemon)
    await site.fleet.wait_ready()
    site.stopped.discard(daemon.vm)
    await asyncio.sleep(SETTLE_S)
    return took


async def pause_placer(site: Site) -> float:
    """Pause the placer for three seconds; return the longest time without answer."""
    placer = await site.fleet.placer_of(DATA_CENTRE)
    key, _ = await site.choose_key(lambda e, vm: e["front"] != vm)
    async with site.prober(key).run() as prober:
        await asyncio.sleep(0.3)
        site.stopped.add(placer.vm)
        placer.process.send_signal(signal.SIGSTOP)
        began = monotonic()
        await asyncio.sleep(3.0)
        placer.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(1.0)
        took = max(0.0, prober.longest_gap_s(began, monotonic()) - SAMPLING_S)
    site.stopped.discard(placer.vm)
    await asyncio.sleep(SETTLE_S)
    return took


async def kill_target_and_placer(site: Site) -> float:
    """Kill a key's owner and the placer at once; return the time until served."""
    placer = await site.fleet.placer_of(DATA_CENTRE)
    key, explained = await site.choose_key(lambda e, vm: e["front"] != vm)
    target = site.fleet.target(explained["owner"])
    target.process.kill()
    took = await kill_vm(site, key, placer)
    await target.process.wait()
    await site.fleet.start_target(target)
    await wait_back(site, target)
    return took


async def measure_outage(site: Site, results: Results) -> None:
    """Take the store away for a while; then lose a target in it as well."""
    key, explained = await site.choose_key()
    async with site.prober(key).run() as prober:
        began = monotonic()
        await site.fleet.set_platform_faults(outage=True)
        await asyncio.sleep(OUTAGE_S)
        gap = max(0.0, prober.longest_gap_s(began, monotonic()) - SAMPLING_S)
        results.at_most("unavailable_store_outage_30s", gap, "s", 0.0)
        target = site.fleet.target(explained["owner"])
        target.process.kill()
        lost_at = monotonic()
        await asyncio.sleep(3.0)
        await site.fleet.set_platform_faults(outage=False)
        ended_at = monotonic()
        took = await prober.wait_answer_after(lost_at, RECOVERY_TIMEOUT_S)
    results.note("unavailable_target_lost_in_outage_of_3s", took, "s")
    after = max(0.0, took - (ended_at - lost_at))
    results.at_most("unavailable_after_outage_ends", after, "s", UNAVAILABLE_BOUND_S)
    await site.fleet.start_target(target)
    await wait_back(site, target)


TRIALS: dict[str, tuple[Trial, float | None]] = {
    "target_killed": (kill_target, UNAVAILABLE_BOUND_S),
    "target_frozen": (freeze_target, UNAVAILABLE_BOUND_S),
    "front_killed": (kill_front, UNAVAILABLE_BOUND_S),
    "placer_killed": (kill_placer, 0.0),
    "placer_paused": (pause_placer, 0.0),
    "target_and_placer_killed": (kill_target_and_placer, None),
}


async def measure_recovery(
    results: Results, trials: int, seed: int, faults: list[str]
) -> None:
    """Measure each fault, or the named ones, some times."""
    async with open_fleet() as fleet:
        site = await start_site(fleet, seed)
        for name, (trial, bound) in TRIALS.items():
            if faults and name not in faults:
                continue
            times = []
            for _ in range(trials):
                times.append(await trial(site))
            results.note(f"unavailable_{name}_median", statistics.median(times), "s")
            if bound is None:
                results.note(f"unavailable_{name}_worst", max(times), "s")
            else:
                results.at_most(f"unavailable_{name}_worst", max(times), "s", bound)
        if not faults or "store_outage" in faults:
            await measure_outage(site, results)
