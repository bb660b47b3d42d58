"""Measure what the issues bound; one line for each value."""

import asyncio
import sys

from absl import app, flags

from benchmarks.recovery import measure_recovery
from benchmarks.results import Results

flags.DEFINE_integer("trials", 20, "Trials of each fault.")
flags.DEFINE_integer("seed", 1, "Seed of all choices.")
flags.DEFINE_list("only", [], "Names of the parts to measure; all if empty.")

PARTS = {
    "recovery": lambda results, values: measure_recovery(
        results, values.trials, values.seed
    ),
}


async def run(values: flags.FlagValues) -> int:
    """Measure each part in turn; return how many bounds failed."""
    results = Results()
    for name, measure in PARTS.items():
        if not values.only or name in values.only:
            await measure(results, values)
    return results.failed


def main(argv: list[str]) -> None:
    """Run the measurements."""
    sys.exit(asyncio.run(run(flags.FLAGS)))


if __name__ == "__main__":
    app.run(main)
