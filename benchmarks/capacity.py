"""Measure what control costs a node, and how that grows."""

import asyncio
import os
from dataclasses import dataclass
from pathlib import Path
from time import monotonic, perf_counter

import orjson

from benchmarks.results import Results
from peridot_fakes.fleet import DaemonProcess, Fleet, open_fleet
from peridot_fakes.trials import TrialService, write_manifests
from peridot_placement.assignments import Assignment, serialize_assignment
from peridot_placement.hashing import HASH_SPACE
from peridot_placement.slices import HashRange, divide_ranges

FLEET_SIZES = (3, 12, 48)
WINDOW_S = 10.0
SETTLE_S = 6.0
DATA_CENTRE = "dc-a"
VMS_A_DATA_CENTRE = 187
DATA_CENTRES = 15
CPU_BOUND_PERCENT = 4.4
MEMORY_BOUND_MB = 64.0
BYTES_BOUND_KB = 13.0
STORE_WRITES_BOUND = 300.0
STORE_READS_BOUND = 1000.0
# What HTTP/2, TCP and IP add to a message.
OVERHEAD_BYTES = 120
SLICE_COUNTS = (1_000, 10_000, 100_000, 1_000_000)
CHANGES = 50
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass
class Usage:
    """Hold what a process has used so far."""

    cpu_s: float
    resident_mb: float
    control_bytes: float
    control_messages: float


@dataclass
class Cost:
    """Hold the cost of control on one node, by the second."""

    cpu_percent: float
    resident_mb: float
    kilobytes: float
    messages: float


async def read_usage(fleet: Fleet, daemon: DaemonProcess) -> Usage:
    """Return a daemon's usage from the kernel and from its metrics."""
    pid = daemon.process.pid
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_A_SECOND
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    resident_mb = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
    async with fleet.session.get(f"{daemon.admin_url}/metrics") as answer:
        metrics = dict(
            line.rsplit(" ", 1)
            for line in (await answer.text()).splitlines()
            if not line.startswith("#")
        )
    return Usage(
        cpu_s,
        resident_mb,
        float(metrics["peridot_control_bytes"]),
        float(metrics["peridot_control_messages"]),
    )


async def measure_costs(fleet: Fleet) -> tuple[Cost, Cost, dict[str, float]]:
    """Return the placer's cost, the mean cost of the others, and store calls."""
    await asyncio.sleep(SETTLE_S)
    placer = await fleet.placer_of(DATA_CENTRE)
    daemons = list(fleet.daemons.values())
    before = {d.vm: await read_usage(fleet, d) for d in daemons}
    counts = await fleet.counts()
    began = monotonic()
    await asyncio.sleep(WINDOW_S)
    elapsed = monotonic() - began
    after = {d.vm: await read_usage(fleet, d) for d in daemons}
    counts_after = await fleet.counts()
    costs = {vm: _cost(before[vm], after[vm], elapsed) for vm in before}
    calls = {k: (counts_after[k] - counts[k]) / elapsed for k in ("reads", "writes")}
    own = costs.pop(placer.vm)
    others = list(costs.values())
    mean = Cost(
        *(
            sum(getattr(cost, name) for cost in others) / len(others)
            for name in ("cpu_percent", "resident_mb", "kilobytes", "messages")
        )
    )
    return own, mean, calls


def _cost(before: Usage, after: Usage, elapsed: float) -> Cost:
    messages = (after.control_messages - before.control_messages) / elapsed
    sent = (after.control_bytes - before.control_bytes) / elapsed
    return Cost(
        100 * (after.cpu_s - before.cpu_s) / elapsed,
        after.resident_mb,
        (sent + messages * OVERHEAD_BYTES) / 1000,
        messages,
    )


async def measure_capacity(results: Results) -> None:
    """Measure idle fleets of some sizes and extrapolate along the slope."""
    placers: dict[int, Cost] = {}
    others: dict[int, Cost] = {}
    calls: dict[int, dict[str, float]] = {}
    for vms in FLEET_SIZES:
        async with open_fleet() as fleet:
            file = write_manifests(
                fleet.folder, [TrialService("desk", 4, (DATA_CENTRE,))]
            )
            await fleet.start_platform()
            await fleet.start_targets([file])
            await fleet.apply(file)
            await fleet.start_daemons({DATA_CENTRE: vms})
            await fleet.wait_assigned("desk")
            placers[vms], others[vms], calls[vms] = await measure_costs(fleet)
        for role, cost in (("placer", placers[vms]), ("other", others[vms])):
            print(f"note control_{role}_at_{vms}_vms {cost}", flush=True)
        print(f"note store_calls_at_{vms}_vms {calls[vms]}", flush=True)
    report_costs(results, placers, others, calls)
    measure_slices(results)


def report_costs(
    results: Results,
    placers: dict[int, Cost],
    others: dict[int, Cost],
    calls: dict[int, dict[str, float]],
) -> None:
    """Report costs at 12 VMs, the slopes, and store calls."""
    twelve = others[12]
    results.at_most("control_cpu_at_12_vms", twelve.cpu_percent, "%", CPU_BOUND_PERCENT)
    results.at_most("memory_at_12_vms", twelve.resident_mb, "MB", MEMORY_BOUND_MB)
    results.at_most("control_bytes_at_12_vms", twelve.kilobytes, "KB/s", BYTES_BOUND_KB)
    for role, costs in (("placer", placers), ("other", others)):
        for name, unit, bound in (
            ("cpu_percent", "%", CPU_BOUND_PERCENT),
            ("resident_mb", "MB", MEMORY_BOUND_MB),
            ("kilobytes", "KB/s", BYTES_BOUND_KB),
        ):
            points = [(vms, getattr(cost, name)) for vms, cost in costs.items()]
            slope, at = extrapolate(points, VMS_A_DATA_CENTRE)
            results.note(f"{role}_{name}_slope_a_vm", slope, unit)
            results.at_most(f"{role}_{name}_at_187_vms", at, unit, bound)
    few, many = calls[FLEET_SIZES[0]], calls[FLEET_SIZES[-1]]
    for kind, bound in (("writes", STORE_WRITES_BOUND), ("reads", STORE_READS_BOUND)):
        growth = many[kind] - few[kind]
        results.at_most(f"store_{kind}_growth_3_to_48_vms", growth, "1/s", 1.0)
        total = many[kind] * DATA_CENTRES
        results.at_most(f"store_{kind}_at_15_data_centres", total, "1/s", bound)


def extrapolate(points: list[tuple[int, float]], x: int) -> tuple[float, float]:
    """Return the least-squares slope and the value on the line at x."""
    n = len(points)
    mean_x = sum(p for p, _ in points) / n
    mean_y = sum(q for _, q in points) / n
    spread = sum((p - mean_x) ** 2 for p, _ in points)
    slope = sum((p - mean_x) * (q - mean_y) for p, q in points) / spread
    return slope, mean_y + slope * (x - mean_x)


def measure_slices(results: Results) -> None:
    """Measure memory, stored size and look-up time by number of slices."""
    for count in SLICE_COUNTS:
        table = divide_ranges([HashRange(0, HASH_SPACE)], count)
        for index in range(len(table)):
            table.set_owner(index, f"t{index % 100}")
        size = sum(
            part.itemsize * len(part)
            for part in (table.starts, table.owners, table.next_owners)
        )
        stored = len(serialize_assignment(Assignment("s", "d", 1, 1, "w", table)))
        began = perf_counter()
        for number in range(10_000):
            table.settled_owner(number * 1_844_674_407_370_955)
        lookup_us = (perf_counter() - began) * 100
        results.note(f"slices_{count}_memory", size / 1e6, "MB")
        results.note(f"slices_{count}_stored", stored / 1e6, "MB")
        results.note(f"slices_{count}_lookup", lookup_us, "us")


async def measure_propagation(results: Results, vms: int, bound_s: float) -> None:
    """Measure how long accepted changes take until every VM applies them."""
    async with open_fleet() as fleet:
        service = TrialService("desk", 1, (DATA_CENTRE,))
        file = write_manifests(fleet.folder, [service])
        await fleet.start_platform()
        await fleet.start_targets([file])
        await fleet.apply(file)
        await fleet.start_daemons({DATA_CENTRE: vms})
        await fleet.wait_assigned("desk")
        changes = CHANGES if vms <= 12 else CHANGES // 5
        times = [await propagate(fleet, file, number) for number in range(changes)]
        worst = max(times)
        results.at_most(f"change_in_force_on_{vms}_vms_worst", worst, "s", bound_s)


async def propagate(fleet: Fleet, file: Path, number: int) -> float:
    """Change a policy; return the time until every daemon reports the revision."""
    manifests = orjson.loads(file.read_bytes())
    manifests[0]["spec"]["queueLength"] = 300 + number
    file.write_bytes(orjson.dumps(manifests))
    await fleet.apply(file)
    began = monotonic()
    wanted = await newest_policy(fleet)
    for daemon in fleet.daemons.values():
        while (await fleet.state(daemon))["configuration_revision"] < wanted:
            await asyncio.sleep(0.005)
    return monotonic() - began


async def newest_policy(fleet: Fleet) -> int:
    """Return the highest version among the stored policies."""
    listing = await fleet.store.list(("RoutingPolicy",))
    return max(item.version for item in listing.objects)
