"""Measure how long a key is unavailable in peridotd mode after each fault."""

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
STORE_OUTAGE_S = 30.0
# Time for placement to become stable before the next trial.
STABILIZATION_S = 1.0
# Gaps up to this long occur without a fault: two probe periods plus one request.
PROBE_RESOLUTION_S = 0.05


@dataclass
class TrialDataCentre:
    """A running data centre, and the VMs to which a load balancer wouldn't send."""

    fleet: Fleet
    rng: random.Random
    stopped_vms: set[str]

    def urls(self) -> list[str]:
        """Return the URLs of the daemons that a load balancer would use."""
        return [
            daemon.url
            for daemon in self.fleet.daemons.values()
            if is_running(daemon.process) and daemon.vm not in self.stopped_vms
        ]

    async def explain(self, key: str) -> dict:
        """Return the explanation of a key by the first daemon in use."""
        for daemon in self.fleet.daemons.values():
            if is_running(daemon.process) and daemon.vm not in self.stopped_vms:
                url = f"{daemon.admin_url}/explain?service=desk&key={key}"
                async with self.fleet.session.get(url) as response:
                    return await response.json()
        raise LookupError("no daemon is running")

    async def choose_key(
        self, matches: Callable[[dict, str], bool] = lambda explained, placer: True
    ) -> tuple[str, dict]:
        """Return a random key that matches, with its explanation."""
        placer = await self.fleet.placer_of(DATA_CENTRE)
        for _ in range(KEYS):
            key = f"key-{self.rng.randrange(KEYS)}"
            explained = await self.explain(key)
            settled = explained["reason"] == "settled"
            if settled and matches(explained, placer.vm if placer else ""):
                return key, explained
        raise LookupError("none of the random keys matches")

    def prober(self, key: str) -> Prober:
        """Return a prober that sends requests for a key."""
        return Prober(self.fleet.session, self.urls, f"/desk/{key}", key)


async def start_data_centre(fleet: Fleet, seed: int, vms: int = VMS) -> TrialDataCentre:
    """Start a data centre with each target in its own process."""
    service = TrialService("desk", TARGETS, (DATA_CENTRE,))
    file = write_manifests(fleet.folder, [service])
    await fleet.start_platform()
    await fleet.set_platform_faults(vm_lag_s=0.2)
    await fleet.start_targets([file], apart=True)
    await fleet.apply(file)
    await fleet.start_daemons({DATA_CENTRE: vms})
    await fleet.wait_assigned("desk")
    await asyncio.sleep(STABILIZATION_S)
    return TrialDataCentre(fleet, random.Random(seed), set())


Trial = Callable[[TrialDataCentre], Awaitable[float]]


async def kill_target(data_centre: TrialDataCentre) -> float:
    """Kill the owner of a key; return how long the key is unavailable (s)."""
    key, explained = await data_centre.choose_key()
    target = data_centre.fleet.target(explained["owner"])
    async with data_centre.prober(key).run() as prober:
        await asyncio.sleep(0.3)
        target.process.kill()
        unavailable_s = await prober.wait_answer_after(monotonic(), RECOVERY_TIMEOUT_S)
    await target.process.wait()
    await data_centre.fleet.start_target(target)
    await wait_until_usable(data_centre, target)
    return unavailable_s


async def freeze_target(data_centre: TrialDataCentre) -> float:
    """Freeze the owner of a key; return how long the key is unavailable (s)."""
    key, explained = await data_centre.choose_key()
    target = data_centre.fleet.target(explained["owner"])
    async with data_centre.prober(key).run() as prober:
        await asyncio.sleep(0.3)
        target.process.send_signal(signal.SIGSTOP)
        unavailable_s = await prober.wait_answer_after(monotonic(), RECOVERY_TIMEOUT_S)
    target.process.send_signal(signal.SIGCONT)
    await wait_until_usable(data_centre, target)
    return unavailable_s


async def wait_until_usable(
    data_centre: TrialDataCentre, target: TargetProcess
) -> None:
    """Wait until no daemon lists a target as lost, and placement is stable."""
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        while True:
            states = [
                await data_centre.fleet.state(daemon)
                for daemon in data_centre.fleet.daemons.values()
                if is_running(daemon.process)
            ]
            if not any(set(target.names) & set(s["lost_targets"]) for s in states):
                break
            await asyncio.sleep(0.1)
    await asyncio.sleep(STABILIZATION_S)


async def kill_front(data_centre: TrialDataCentre) -> float:
    """Kill the front of a key's owner; return how long the key is unavailable (s).

    The front is the VM that all requests of a target pass through.
    """
    key, explained = await data_centre.choose_key(
        lambda e, placer: e["front"] != placer
    )
    return await kill_vm(
        data_centre, key, data_centre.fleet.daemons[explained["front"]]
    )


async def kill_placer(data_centre: TrialDataCentre) -> float:
    """Kill the placer; return the longest time that a key is unavailable (s)."""
    placer = await data_centre.fleet.placer_of(DATA_CENTRE)
    key, _ = await data_centre.choose_key(lambda e, vm: e["front"] != vm)
    return await kill_vm(data_centre, key, placer, measure_longest_gap=True)


async def kill_vm(
    data_centre: TrialDataCentre,
    key: str,
    daemon: DaemonProcess,
    measure_longest_gap: bool = False,
) -> float:
    """Kill a daemon while a key is probed, then restart it.

    Returns the time (s) until the key is served again, or the longest gap between
    responses if `measure_longest_gap`.
    """
    async with data_centre.prober(key).run() as prober:
        await asyncio.sleep(0.3)
        data_centre.stopped_vms.add(daemon.vm)
        daemon.process.kill()
        started_at = monotonic()
        unavailable_s = await prober.wait_answer_after(started_at, RECOVERY_TIMEOUT_S)
        if measure_longest_gap:
            await asyncio.sleep(2.0)
            unavailable_s = max(
                0.0, prober.longest_gap_s(started_at, monotonic()) - PROBE_RESOLUTION_S
            )
    await daemon.process.wait()
    await data_centre.fleet.start_daemon(daemon)
    await data_centre.fleet.wait_ready()
    data_centre.stopped_vms.discard(daemon.vm)
    await asyncio.sleep(STABILIZATION_S)
    return unavailable_s


async def pause_placer(data_centre: TrialDataCentre) -> float:
    """Pause the placer for 3 s; return the longest time a key is unavailable (s)."""
    placer = await data_centre.fleet.placer_of(DATA_CENTRE)
    key, _ = await data_centre.choose_key(lambda e, vm: e["front"] != vm)
    async with data_centre.prober(key).run() as prober:
        await asyncio.sleep(0.3)
        data_centre.stopped_vms.add(placer.vm)
        placer.process.send_signal(signal.SIGSTOP)
        started_at = monotonic()
        await asyncio.sleep(3.0)
        placer.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(1.0)
        unavailable_s = max(
            0.0, prober.longest_gap_s(started_at, monotonic()) - PROBE_RESOLUTION_S
        )
    data_centre.stopped_vms.discard(placer.vm)
    await asyncio.sleep(STABILIZATION_S)
    return unavailable_s


async def kill_target_and_placer(data_centre: TrialDataCentre) -> float:
    """Kill a key's owner and the placer; return how long the key is unavailable (s)."""
    placer = await data_centre.fleet.placer_of(DATA_CENTRE)
    key, explained = await data_centre.choose_key(lambda e, vm: e["front"] != vm)
    target = data_centre.fleet.target(explained["owner"])
    target.process.kill()
    unavailable_s = await kill_vm(data_centre, key, placer)
    await target.process.wait()
    await data_centre.fleet.start_target(target)
    await wait_until_usable(data_centre, target)
    return unavailable_s


async def measure_outage(data_centre: TrialDataCentre, results: Results) -> None:
    """Measure an outage of the store, and a target that is lost during it."""
    key, explained = await data_centre.choose_key()
    async with data_centre.prober(key).run() as prober:
        started_at = monotonic()
        await data_centre.fleet.set_platform_faults(outage=True)
        await asyncio.sleep(STORE_OUTAGE_S)
        unavailable_s = max(
            0.0, prober.longest_gap_s(started_at, monotonic()) - PROBE_RESOLUTION_S
        )
        results.at_most("unavailable_store_outage_30s", unavailable_s, "s", 0.0)
        target = data_centre.fleet.target(explained["owner"])
        target.process.kill()
        lost_at = monotonic()
        await asyncio.sleep(3.0)
        await data_centre.fleet.set_platform_faults(outage=False)
        ended_at = monotonic()
        lost_for_s = await prober.wait_answer_after(lost_at, RECOVERY_TIMEOUT_S)
    results.note("unavailable_target_lost_in_outage_of_3s", lost_for_s, "s")
    after_outage_s = max(0.0, lost_for_s - (ended_at - lost_at))
    results.at_most(
        "unavailable_after_outage_ends", after_outage_s, "s", UNAVAILABLE_BOUND_S
    )
    await data_centre.fleet.start_target(target)
    await wait_until_usable(data_centre, target)


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
    """Measure each fault, or those named in `faults`, in a number of trials."""
    async with open_fleet() as fleet:
        data_centre = await start_data_centre(fleet, seed)
        for name, (trial, bound) in TRIALS.items():
            if faults and name not in faults:
                continue
            times_s = []
            for _ in range(trials):
                times_s.append(await trial(data_centre))
            results.note(f"unavailable_{name}_median", statistics.median(times_s), "s")
            if bound is None:
                results.note(f"unavailable_{name}_worst", max(times_s), "s")
            else:
                results.at_most(f"unavailable_{name}_worst", max(times_s), "s", bound)
        if not faults or "store_outage" in faults:
            await measure_outage(data_centre, results)
