"""Run the benchmarks and compare their results with bounds, one line a value."""

import asyncio
import sys

from absl import app, flags

from benchmarks.balance import measure_balance
from benchmarks.capacity import measure_capacity, measure_propagation
from benchmarks.data_path import (
    CONNECTIONS,
    SECONDS,
    TURNS,
    measure_data_path,
)
from benchmarks.policy import measure_policy
from benchmarks.recovery import measure_recovery
from benchmarks.results import Results
from peridot_fakes.soak import print_report, run_soak

flags.DEFINE_integer("trials", 20, "Trials of each fault in recovery.")
flags.DEFINE_integer("seed", 1, "Seed of random choices.")
flags.DEFINE_list("faults", [], "Faults to measure in recovery; all if empty.")
flags.DEFINE_list("only", [], "Benchmarks to run; all if empty.")

SOAK_SEEDS = (1, 2, 3)
SOAK_S = 60.0


async def measure_balance_async(results: Results, values: flags.FlagValues) -> None:
    """Measure imbalance and churn of placement in simulated time."""
    measure_balance(results, values.seed)


async def measure_soaks(results: Results, values: flags.FlagValues) -> None:
    """Run a soak with each seed and count the events that must never happen."""
    totals: dict[str, int] = {}
    requests = 0
    for seed in SOAK_SEEDS:
        report = await run_soak(seed, SOAK_S)
        print_report(seed, report)
        requests += report.tally.sent
        for name, count in report.problems().items():
            totals[name] = totals.get(name, 0) + count
    results.at_least("soak_requests", requests, "requests", 20_000)
    for name, count in totals.items():
        results.at_most(f"soak_{name}", count, "count", 0)


async def measure_configuration(results: Results, values: flags.FlagValues) -> None:
    """Measure how soon configuration changes are in force."""
    await measure_propagation(results, 12, 2.0)
    await measure_propagation(results, 96, 11.0)


PARTS = {
    "data_path": lambda results, values: measure_data_path(
        results, SECONDS, CONNECTIONS, TURNS
    ),
    "balance": measure_balance_async,
    "recovery": lambda results, values: measure_recovery(
        results, values.trials, values.seed, values.faults
    ),
    "policy": lambda results, values: measure_policy(results, values.seed),
    "soak": measure_soaks,
    "configuration": measure_configuration,
    "capacity": lambda results, values: measure_capacity(results),
}


async def run(values: flags.FlagValues) -> int:
    """Run the benchmarks in turn; return how many results fail their bounds."""
    results = Results()
    for name, measure in PARTS.items():
        if not values.only or name in values.only:
            await measure(results, values)
    return results.failed


def main(argv: list[str]) -> None:
    """Run the benchmarks and exit with the number of failed bounds."""
    sys.exit(asyncio.run(run(flags.FLAGS)))


if __name__ == "__main__":
    app.run(main)
