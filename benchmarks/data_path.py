"""Measure the data path against a proxy that decides nothing, in one run."""

import asyncio
import statistics
import sys
from dataclasses import dataclass, field

import orjson
from absl import app, flags

from benchmarks.bare_proxy import load
from peridot_fakes.fleet import DaemonProcess, Fleet, free_ports, open_fleet
from peridot_fakes.trials import TrialService, write_manifests

flags.DEFINE_float("seconds", 5.0, "Time for each turn.")
flags.DEFINE_integer("connections", 16, "Connections of the load.")
flags.DEFINE_integer("turns", 3, "Turns for each path, taken in turn.")

ONE_HOP_BOUND = 0.6
TWO_HOP_BOUND = 0.4


@dataclass
class Series:
    """Hold the rates (1/s) and latencies (ms) of one path."""

    rates: list[float] = field(default_factory=list)
    p50: list[float] = field(default_factory=list)
    p99: list[float] = field(default_factory=list)
    failures: int = 0


async def run(seconds: float, connections: int, turns: int) -> int:
    """Print each path's figures and whether the bounds hold."""
    async with open_fleet() as fleet:
        paths, processes = await start_paths(fleet)
        try:
            series = {name: Series() for name in paths}
            for _ in range(turns):
                for name, port in paths.items():
                    rate, histogram, failures = await load(
                        port, seconds, connections, path="/desk/"
                    )
                    found = series[name]
                    found.rates.append(rate)
                    found.p50.append(histogram.get_value_at_percentile(50) / 1000)
                    found.p99.append(histogram.get_value_at_percentile(99) / 1000)
                    found.failures += failures
            return report(series)
        finally:
            for process in processes:
                process.terminate()
                await process.wait()


async def start_paths(fleet: Fleet) -> tuple[dict[str, int], list]:
    """Start the bare proxy and two daemons; return each path's port."""
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
    front, other = await find_front(fleet)
    return {
        "floor": bare_proxy,
        "one_hop": front.caller_port,
        "two_hops": other.caller_port,
    }, processes


async def spawn(*arguments: object) -> asyncio.subprocess.Process:
    """Start a role of the baseline."""
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


async def find_front(fleet: Fleet) -> tuple[DaemonProcess, DaemonProcess]:
    """Return the daemon that fronts the target, and the other one."""
    one, two = fleet.daemons.values()
    url = f"{one.admin_url}/explain?service=desk&key=key-1"
    async with fleet.session.get(url) as answer:
        front = (await answer.json())["front"]
    return (one, two) if one.vm == front else (two, one)


def report(series: dict[str, Series]) -> int:
    """Print figures; return how many bounds failed."""
    for name, found in series.items():
        print(
            f"path={name} rate={statistics.median(found.rates):.0f}/s "
            f"p50={statistics.median(found.p50):.2f}ms "
            f"p99={statistics.median(found.p99):.2f}ms failures={found.failures}"
        )
    floor = statistics.median(series["floor"].rates)
    failed = 0
    for name, bound in (("one_hop", ONE_HOP_BOUND), ("two_hops", TWO_HOP_BOUND)):
        share = statistics.median(series[name].rates) / floor
        verdict = "PASS" if share >= bound and not series[name].failures else "FAIL"
        failed += verdict == "FAIL"
        print(f"measure data_path_{name} {share:.2f} of_floor {bound} {verdict}")
    return failed


def main(argv: list[str]) -> None:
    """Run the comparison."""
    values = flags.FLAGS
    sys.exit(asyncio.run(run(values.seconds, values.connections, values.turns)))


if __name__ == "__main__":
    app.run(main)
