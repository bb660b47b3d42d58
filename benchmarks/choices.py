"""Compare the choice of targets with the earlier one on two loads; print a table."""

from dataclasses import replace

from absl import app, flags

from peridot_fakes.choicemodel import (
    CONTENDED,
    UNEVEN,
    ChoiceModel,
    ChoiceScenario,
    EarlierPicker,
)
from peridot_gateway.picker import Picker

RULES = {"earlier": EarlierPicker, "by work": Picker}
# A fifth of the targets gets slower by this factor in a part of the runs.
SLOW_FACTOR = 4.5


def print_scenario(scenario: ChoiceScenario, seeds: range) -> None:
    """Print the outcome of each rule, each seed by itself."""
    routes = [f"r{i}" for i in range(len(scenario.routes))]
    zones = [f"z{i}" for i in range(scenario.zones)]
    print(
        f"\n{scenario.name}, {scenario.vms} VMs, {scenario.targets} targets, demand "
        f"{scenario.load:.2f} of the capacity, a fifth of the targets "
        f"{scenario.lasting_slow_factor:g} times slower from a third of the run on"
    )
    headings = "".join(f"{name:>8}" for name in ["all", *routes, *zones])
    print(f"{'seed, rule':16}{headings}{'wait s':>8}{'remote':>8}  (in time)")
    for seed in seeds:
        for name, rule in RULES.items():
            outcome = ChoiceModel(scenario, rule, seed).play()
            shares = "".join(
                f"{outcome.share(group):8.3f}" for group in ["all", *routes, *zones]
            )
            print(
                f"{seed:<4}{name:12}{shares}{outcome.longest_wait_s:8.2f}"
                f"{outcome.remote_share:8.3f}"
            )


def main(argv: list[str]) -> None:
    """Play both loads, undisturbed and with targets that get slow."""
    values = flags.FLAGS
    seeds = range(values.seed, values.seed + values.runs)
    for scenario in (CONTENDED, UNEVEN):
        for factor in (1.0, SLOW_FACTOR):
            changed = replace(
                scenario, lasting_slow_factor=factor, seconds=values.seconds
            )
            print_scenario(changed, seeds)


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of the first run.")
    flags.DEFINE_integer("runs", 2, "Number of runs of each rule.")
    flags.DEFINE_float("seconds", 40.0, "Length of a run.")
    app.run(main)
