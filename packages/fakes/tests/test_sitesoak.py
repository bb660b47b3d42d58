"""A short seeded soak of the platform path; longer ones run by hand."""

import asyncio

import pytest

from peridot_fakes.sitesoak import run_soak

# Seeds that ever failed stay here, with their cause. 17: a process ended 3.6 s after it
# had stopped, seen once, cause open (docs/incidents/soak-17.md).
SEEDS = (1, 17)
# These play few kinds of faults: pauses, stops, deaf watches.
SEEDS_WITH_FEW_KINDS = (2, 6)
SECONDS = 8.0


@pytest.mark.parametrize(
    ("seed", "few"),
    [(seed, False) for seed in SEEDS] + [(seed, True) for seed in SEEDS_WITH_FEW_KINDS],
)
def test_random_faults_break_no_promise(seed, few, tmp_path):
    verdict = asyncio.run(run_soak(seed, SECONDS, tmp_path, few))
    assert verdict.answers[200] > 0
    assert not verdict.problems, verdict.notes[:5]
