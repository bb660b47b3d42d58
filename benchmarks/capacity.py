"""Measure the cost of peridotd's control plane on each VM, and its growth with VMs."""

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
# Time for a fleet to become idle before it is measured.
WARM_UP_S = 6.0
DATA_CENTRE = "dc-a"
# Size of the deployment for which costs are extrapolated.
VMS_PER_DATA_CENTRE = 187
DATA_CENTRES = 15
CPU_BOUND_PERCENT = 4.4
MEMORY_BOUND_MB = 64.0
TRAFFIC_BOUND_KB_PER_S = 13.0
STORE_WRITES_BOUND_PER_S = 300.0
STORE_READS_BOUND_PER_S = 1000.0
# Bytes that HTTP/2, TCP and IP add to a message.
MESSAGE_OVERHEAD_BYTES = 120
SLICE_COUNTS = (1_000, 10_000, 100_000, 1_000_000)
# Configuration changes measured on at most 12 VMs; larger fleets measure a fifth.
MAX_CHANGES = 50
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass
class Usage:
    """Resources that a process has used since its start."""

    cpu_s: float
    resident_mb: float
    control_bytes: float
    control_messages: float


@dataclass
class Cost:
    """Cost of the control plane on one VM; kilobytes and messages are per second."""

    cpu_percent: float
    resident_mb: float
    kilobytes: float
    messages: float


async def read_usage(fleet: Fleet, daemon: DaemonProcess) -> Usage:
    """Return a daemon's usage, read from /proc and from its metrics."""
    pid = daemon.process.pid
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    resident_mb = pages * os.sysconf("SC_PAGE_SIZE") / 1e6
    async with fleet.session.get(f"{daemon.admin_url}/metrics") as response:
        metrics = dict(
            line.rsplit(" ", 1)
            for line in (await response.text()).splitlines()
            if not line.startswith("#")
        )
    return Usage(
        cpu_s,
        resident_mb,
        float(metrics["peridot_control_bytes"]),
        float(metrics["peridot_control_messages"]),
    )


async def measure_costs(fleet: Fleet) -> tuple[Cost, Cost, dict[str, float]]:
    """Return the placer's cost, the mean of the other VMs, and store calls (1/s)."""
    await asyncio.sleep(WARM_UP_S)
    placer = await fleet.placer_of(DATA_CENTRE)
    daemons = list(fleet.daemons.values())
    before = {d.vm: await read_usage(fleet, d) for d in daemons}
    counts = await fleet.counts()
    started_at = monotonic()
    await asyncio.sleep(WINDOW_S)
    elapsed_s = monotonic() - started_at
    after = {d.vm: await read_usage(fleet, d) for d in daemons}
    counts_after = await fleet.counts()
    costs = {vm: _compute_cost(before[vm], after[vm], elapsed_s) for vm in before}
    calls = {k: (counts_after[k] - counts[k]) / elapsed_s for k in ("reads", "writes")}
    placer_cost = costs.pop(placer.vm)
    other_costs = list(costs.values())
    mean_cost = Cost(
        *(
            sum(getattr(cost, name) for cost in other_costs) / len(other_costs)
            for name in ("cpu_percent", "resident_mb", "kilobytes", "messages")
        )
    )
    return placer_cost, mean_cost, calls


def _compute_cost(before: Usage, after: Usage, elapsed_s: float) -> Cost:
    messages = (after.control_messages - before.control_messages) / elapsed_s
    sent = (after.control_bytes - before.control_bytes) / elapsed_s
    return Cost(
        100 * (after.cpu_s - before.cpu_s) / elapsed_s,
        after.resident_mb,
        (sent + messages * MESSAGE_OVERHEAD_BYTES) / 1000,
        messages,
    )


async def measure_capacity(results: Results) -> None:
    """Measure idle fleets of several sizes and extrapolate linearly."""
    placer_costs: dict[int, Cost] = {}
    other_costs: dict[int, Cost] = {}
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
            placer_costs[vms], other_costs[vms], calls[vms] = await measure_costs(fleet)
        for role, cost in (("placer", placer_costs[vms]), ("other", other_costs[vms])):
            print(f"note control_{role}_at_{vms}_vms {cost}", flush=True)
        print(f"note store_calls_at_{vms}_vms {calls[vms]}", flush=True)
    report_costs(results, placer_costs, other_costs, calls)
    measure_slices(results)


def report_costs(
    results: Results,
    placer_costs: dict[int, Cost],
    other_costs: dict[int, Cost],
    calls: dict[int, dict[str, float]],
) -> None:
    """Report the costs at 12 VMs, extrapolated costs, and the calls of the store."""
    cost_at_12_vms = other_costs[12]
    results.at_most(
        "control_cpu_at_12_vms", cost_at_12_vms.cpu_percent, "%", CPU_BOUND_PERCENT
    )
    results.at_most(
        "memory_at_12_vms", cost_at_12_vms.resident_mb, "MB", MEMORY_BOUND_MB
    )
    results.at_most(
        "control_bytes_at_12_vms",
        cost_at_12_vms.kilobytes,
        "KB/s",
        TRAFFIC_BOUND_KB_PER_S,
    )
    for role, costs in (("placer", placer_costs), ("other", other_costs)):
        for name, unit, bound in (
            ("cpu_percent", "%", CPU_BOUND_PERCENT),
            ("resident_mb", "MB", MEMORY_BOUND_MB),
            ("kilobytes", "KB/s", TRAFFIC_BOUND_KB_PER_S),
        ):
            points = [(vms, getattr(cost, name)) for vms, cost in costs.items()]
            slope, predicted = extrapolate(points, VMS_PER_DATA_CENTRE)
            results.note(f"{role}_{name}_slope_a_vm", slope, unit)
            results.at_most(f"{role}_{name}_at_187_vms", predicted, unit, bound)
    smallest, largest = calls[FLEET_SIZES[0]], calls[FLEET_SIZES[-1]]
    for kind, bound in (
        ("writes", STORE_WRITES_BOUND_PER_S),
        ("reads", STORE_READS_BOUND_PER_S),
    ):
        growth = largest[kind] - smallest[kind]
        results.at_most(f"store_{kind}_growth_3_to_48_vms", growth, "1/s", 1.0)
        total = largest[kind] * DATA_CENTRES
        results.at_most(f"store_{kind}_at_15_data_centres", total, "1/s", bound)


def extrapolate(points: list[tuple[int, float]], x: int) -> tuple[float, float]:
    """Fit a line by least squares; return its slope and its value at x."""
    n = len(points)
    mean_x = sum(p for p, _ in points) / n
    mean_y = sum(q for _, q in points) / n
    sum_of_squares = sum((p - mean_x) ** 2 for p, _ in points)
    slope = sum((p - mean_x) * (q - mean_y) for p, q in points) / sum_of_squares
    return slope, mean_y + slope * (x - mean_x)


def measure_slices(results: Results) -> None:
    """Measure memory, stored size and lookup time of tables by number of slices."""
    for count in SLICE_COUNTS:
        table = divide_ranges([HashRange(0, HASH_SPACE)], count)
        for index in range(len(table)):
            table.set_owner(index, f"t{index % 100}")
        size = sum(
            part.itemsize * len(part)
            for part in (table.starts, table.owners, table.next_owners)
        )
        stored = len(serialize_assignment(Assignment("s", "d", 1, 1, "w", table)))
        started_at = perf_counter()
        for number in range(10_000):
            # Spread evenly over the hash space: 2**64 / 10,000.
            table.settled_owner(number * 1_844_674_407_370_955)
        # Microseconds per lookup: seconds * 1e6 / 10,000.
        lookup_us = (perf_counter() - started_at) * 100
        results.note(f"slices_{count}_memory", size / 1e6, "MB")
        results.note(f"slices_{count}_stored", stored / 1e6, "MB")
        results.note(f"slices_{count}_lookup", lookup_us, "us")


async def measure_propagation(results: Results, vms: int, bound_s: float) -> None:
    """Measure the time from accepting a change until every VM has applied it."""
    async with open_fleet() as fleet:
        service = TrialService("desk", 1, (DATA_CENTRE,))
        file = write_manifests(fleet.folder, [service])
        await fleet.start_platform()
        await fleet.start_targets([file])
        await fleet.apply(file)
        await fleet.start_daemons({DATA_CENTRE: vms})
        await fleet.wait_assigned("desk")
        changes = MAX_CHANGES if vms <= 12 else MAX_CHANGES // 5
        times_s = [await time_change(fleet, file, number) for number in range(changes)]
        worst_s = max(times_s)
        results.at_most(f"change_in_force_on_{vms}_vms_worst", worst_s, "s", bound_s)


async def time_change(fleet: Fleet, file: Path, number: int) -> float:
    """Change a policy; return the time (s) until every daemon has its revision."""
    manifests = orjson.loads(file.read_bytes())
    manifests[0]["spec"]["queueLength"] = 300 + number
    file.write_bytes(orjson.dumps(manifests))
    await fleet.apply(file)
    started_at = monotonic()
    wanted_revision = await newest_policy_version(fleet)
    for daemon in fleet.daemons.values():
        while (await fleet.state(daemon))["configuration_revision"] < wanted_revision:
            await asyncio.sleep(0.005)
    return monotonic() - started_at


async def newest_policy_version(fleet: Fleet) -> int:
    """Return the highest version among the stored policies."""
    listing = await fleet.store.list(("RoutingPolicy",))
    return max(item.version for item in listing.objects)
