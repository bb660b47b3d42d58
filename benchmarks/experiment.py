"""Compare policies of the gateway mode in a simulation; print a table and a plot."""

from absl import app, flags

from peridot_fakes.policymodel import POLICIES, Outcome, PolicyModel, Scenario

# Requests per second as shares of the targets' total capacity.
LOADS = (0.4, 0.6, 0.8, 1.1)
RESULT_KINDS = ("in time", "late", "refused", "moving", "shed", "expired")
BARS = " ▁▂▃▄▅▆▇█"


def total_capacity(scenario: Scenario) -> float:
    """Return the requests per second that all targets together can process."""
    return scenario.targets * scenario.slots / scenario.processing_s


def make_scenario(load: float, hot_keys: int) -> Scenario:
    """Return a scenario with a load given as a share of the targets' capacity."""
    rate = load * total_capacity(Scenario(rate=0.0))
    return Scenario(rate=rate, hot_keys=hot_keys)


def format_row(name: str, outcome: Outcome) -> str:
    """Return one line of the table."""
    shares = "".join(f"{outcome.share(kind):9.3f}" for kind in RESULT_KINDS)
    return (
        f"{name:24}{shares}{outcome.mean_wait_s:9.3f}"
        f"{outcome.moves:7}{outcome.moved_share:8.2f}"
    )


def plot_row(name: str, outcome: Outcome) -> str:
    """Return a bar for each second: the share of requests served in time."""
    bars = (
        BARS[round((len(BARS) - 1) * outcome.good[second] / total)]
        for second, total in sorted(outcome.total.items())
    )
    return f"{name:24}{''.join(bars)}"


def main(argv: list[str]) -> None:
    """Simulate each policy at each load."""
    values = flags.FLAGS
    for load in LOADS:
        scenario = make_scenario(load, values.hot_keys)
        print(
            f"\nload {load:.1f}, {scenario.rate:.0f} requests/s, "
            f"{scenario.hot_share:.0%} on {scenario.hot_keys} keys that move every "
            f"{scenario.hot_period_s:.0f} s, seed {values.seed}"
        )
        headings = "".join(f"{kind:>9}" for kind in RESULT_KINDS)
        print(f"{'policy':24}{headings}{'wait s':>9}{'moves':>7}{'keys':>8}")
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
    flags.DEFINE_integer("seed", 1, "Seed of the requests.")
    flags.DEFINE_integer("hot_keys", 200, "Number of adjacent hot keys.")
    app.run(main)
