"""Compare peridotd's data path with a proxy without routing decisions, in one run."""

import asyncio
import statistics
import sys
from dataclasses import dataclass, field

import orjson
from absl import app, flags

from benchmarks.bare_proxy import run_load
from benchmarks.results import Results
from peridot_fakes.fleet import DaemonProcess, Fleet, free_ports, open_fleet
from peridot_fakes.trials import TrialService, write_manifests

SECONDS = 5.0
CONNECTIONS = 16
TURNS = 3
# Least rates, as shares of the bare proxy's rate.
ONE_HOP_BOUND = 0.6
TWO_HOP_BOUND = 0.4


@dataclass
class Series:
    """Rates (1/s) and latencies (ms) of one path, an item for each turn."""

    rates: list[float] = field(default_factory=list)
    p50: list[float] = field(default_factory=list)
    p99: list[float] = field(default_factory=list)
    failures: int = 0

    async def measure(self, port: int, seconds: float, connections: int) -> None:
        """Send load to a port and add the measured values."""
        rate, histogram, failures = await run_load(
            port, seconds, connections, path="/desk/"
        )
        self.rates.append(rate)
        self.p50.append(histogram.get_value_at_percentile(50) / 1000)
        self.p99.append(histogram.get_value_at_percentile(99) / 1000)
        self.failures += failures


async def measure_data_path(
    results: Results, seconds: float, connections: int, turns: int
) -> None:
    """Send load to each path in turn; report rates as shares of the bare proxy's."""
    async with open_fleet() as fleet:
        paths, processes = await start_paths(fleet)
        series = {name: Series() for name in paths}
        try:
            for _ in range(turns):
                for name, port in paths.items():
                    await series[name].measure(port, seconds, connections)
        finally:
            for process in processes:
                process.terminate()
                await process.wait()
    report_series(results, series)


async def start_paths(fleet: Fleet) -> tuple[dict[str, int], list]:
    """Start the bare proxy and two daemons.

    Returns each path's port, and the processes of `benchmarks.bare_proxy`. The path
    with one hop enters at the front, the VM that all requests of a target pass through.
    """
    service = TrialService("desk", 1, slots=64, checks_grants=True)
    file = write_manifests(fleet.folder, [service])
    fleet.service_ms = 0.0
    await fleet.start_platform()
    await fleet.apply(file)
    (bare_target, bare_proxy) = free_ports(2)
    processes = [
        await spawn("target", bare_target),
        await spawn("proxy", bare_proxy, bare_target),
    ]
    fleet.targets.clear()
    target_port = find_target_port(file)
    processes.append(await spawn("granting", target_port))
    await fleet.start_daemons({"dc-a": 2})
    await fleet.wait_assigned("desk")
    front, other = await find_front_and_other(fleet)
    return {
        "floor": bare_proxy,
        "one_hop": front.caller_port,
        "two_hops": other.caller_port,
    }, processes


async def spawn(*arguments: object) -> asyncio.subprocess.Process:
    """Start a role of `benchmarks.bare_proxy` as a process."""
    words = [str(argument) for argument in arguments]
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "benchmarks.bare_proxy", *words
    )


def find_target_port(file) -> int:
    """Return the port of the only target in a manifest file."""
    for manifest in orjson.loads(file.read_bytes()):
        if manifest["kind"] == "Target":
            return int(manifest["spec"]["address"].rsplit(":", 1)[1])
    raise LookupError("no target")


async def find_front_and_other(fleet: Fleet) -> tuple[DaemonProcess, DaemonProcess]:
    """Return the daemon that is the front of the target, and the other one."""
    one, two = fleet.daemons.values()
    url = f"{one.admin_url}/explain?service=desk&key=key-1"
    async with fleet.session.get(url) as response:
        front = (await response.json())["front"]
    return (one, two) if one.vm == front else (two, one)


def report_series(results: Results, series: dict[str, Series]) -> None:
    """Report each path's values and its share of the bare proxy's rate."""
    for name, found in series.items():
        results.note(f"data_path_{name}_rate", statistics.median(found.rates), "1/s")
        results.note(f"data_path_{name}_p50", statistics.median(found.p50), "ms")
        results.note(f"data_path_{name}_p99", statistics.median(found.p99), "ms")
    floor = statistics.median(series["floor"].rates)
    for name, bound in (("one_hop", ONE_HOP_BOUND), ("two_hops", TWO_HOP_BOUND)):
        found = series[name]
        share = statistics.median(found.rates) / floor if not found.failures else 0.0
        results.at_least(f"data_path_{name}", share, "of_floor", bound)


def define_flags() -> None:
    """Define the flags of this program."""
    flags.DEFINE_float("seconds", SECONDS, "Duration of a turn (s).")
    flags.DEFINE_integer("connections", CONNECTIONS, "Concurrent connections.")
    flags.DEFINE_integer("turns", TURNS, "Turns of each path.")


def main(argv: list[str]) -> None:
    """Run the comparison."""
    values = flags.FLAGS
    results = Results()
    asyncio.run(
        measure_data_path(results, values.seconds, values.connections, values.turns)
    )
    sys.exit(results.failed)


if __name__ == "__main__":
    define_flags()
    app.run(main)
