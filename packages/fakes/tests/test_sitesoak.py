"""Short soaks of the gateway mode with fixed seeds; longer ones are run by hand."""

import asyncio

import pytest

from peridot_fakes.sitesoak import run_soak

# Seeds that have failed stay in the list. 17: a process ended 3.6 s after it had
# stopped, seen once, cause unknown (docs/incidents/soak-17.md).
SEEDS = (1, 17)
# With few kinds of faults: pauses, stops, hanging watches.
SEEDS_WITH_FEW_KINDS = (2, 6)
SECONDS = 8.0


@pytest.mark.parametrize(
    ("seed", "few"),
    [(seed, False) for seed in SEEDS] + [(seed, True) for seed in SEEDS_WITH_FEW_KINDS],
)
def test_random_faults_break_no_guarantee(seed, few, tmp_path):
    verdict = asyncio.run(run_soak(seed, SECONDS, tmp_path, few))
    assert verdict.answers[200] > 0
    assert not verdict.problems, verdict.details[:5]
