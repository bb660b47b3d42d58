"""Selection by expected finish, with preference for the own data centre."""

import pytest

from peridot_scheduling.selection import Candidate, expected_wait_s, select


def choose(local_s: float, remote_s: float, objective_left_s: float | None) -> str:
    candidates = [Candidate("near", True, local_s), Candidate("far", False, remote_s)]
    return select(candidates, objective_left_s).name


@pytest.mark.parametrize(
    "local_s, remote_s, objective_left_s, expected",
    (
        # In time by far, so that callers gain nothing by the traffic.
        (0.30, 0.20, 1.0, "near"),
        (0.49, 0.10, 1.0, "near"),
        (0.51, 0.20, 1.0, "far"),
        # The local target may miss the objective.
        (0.30, 0.20, 0.5, "far"),
        (0.24, 0.20, 0.3, "near"),
        # Without an objective the factor is that of the earlier choice.
        (0.25, 0.20, None, "near"),
        (0.27, 0.20, None, "far"),
    ),
)
def test_a_local_target_is_preferred(local_s, remote_s, objective_left_s, expected):
    assert choose(local_s, remote_s, objective_left_s) == expected


def test_without_local_targets_the_best_remote_one_is_chosen():
    far = [Candidate("p", False, 0.3), Candidate("q", False, 0.2)]
    assert select(far).name == "q"
    assert select([]) is None


def test_the_wait_is_by_work_and_not_by_requests():
    """Six requests with 0.6 s of work are waited for longer than eight with 0.1 s."""
    costly = expected_wait_s(6 * 0.6, 6, 3, 1.0)
    cheap = expected_wait_s(8 * 0.1, 8, 3, 1.0)
    assert costly == pytest.approx(0.8) and cheap == pytest.approx(0.2)
    assert expected_wait_s(0.4, 2, 3, 1.0) == 0.0
    assert expected_wait_s(1.0, 6, 0, 0.5) > 0
