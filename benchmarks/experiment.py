"""Compare policies on the model of targets: a table and a plot, in seconds."""

from absl import app, flags

from peridot_fakes.policymodel import POLICIES, Outcome, PolicyModel, Scenario

# Load as a share of what all targets can do.
LOADS = (0.4, 0.6, 0.8, 1.1)
ENDS = ("in time", "late", "refused", "shed", "expired")
BARS = " ▁▂▃▄▅▆▇█"


def capacity(scenario: Scenario) -> float:
    """Return the requests a second that all targets together can do."""
    return scenario.targets * scenario.slots / scenario.processing_s


def make_scenario(load: float, hot_keys: int) -> Scenario:
    """Return a scenario at a share of the targets' capacity."""
    rate = load * capacity(Scenario(rate=0.0))
    return Scenario(rate=rate, hot_keys=hot_keys)


def format_row(name: str, outcome: Outcome) -> str:
    """Return one line of the table."""
    shares = "".join(f"{outcome.share(end):9.3f}" for end in ENDS)
    return (
        f"{name:24}{shares}{outcome.mean_wait_s:9.3f}"
        f"{outcome.moves:7}{outcome.moved_share:8.2f}"
    )


def plot_row(name: str, outcome: Outcome) -> str:
    """Return a bar a second: the share of requests that were served in time."""
    bars = (
        BARS[round((len(BARS) - 1) * outcome.good[second] / total)]
        for second, total in sorted(outcome.total.items())
    )
    return f"{name:24}{''.join(bars)}"


def main(argv: list[str]) -> None:
    """Play all policies on all loads."""
    values = flags.FLAGS
    for load in LOADS:
        scenario = make_scenario(load, values.hot_keys)
        print(
            f"\nload {load:.1f}, {scenario.rate:.0f} requests/s, "
            f"{scenario.hot_share:.0%} on {scenario.hot_keys} keys that move every "
            f"{scenario.hot_period_s:.0f} s, seed {values.seed}"
        )
        heads = "".join(f"{end:>9}" for end in ENDS)
        print(f"{'policy':24}{heads}{'wait s':>9}{'moves':>7}{'keys':>8}")
        outcomes = {
            policy.name: PolicyModel(scenario, policy, values.seed).play()
            for policy in POLICIES
        }
        for name, outcome in outcomes.items():
            print(format_row(name, outcome))
        print("share served in time, by second")
        for name, outcome in outcomes.items():
            print(plot_row(name, outcome))


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of the load.")
    flags.DEFINE_integer("hot_keys", 200, "Number of hot keys, side by side.")
    app.run(main)
