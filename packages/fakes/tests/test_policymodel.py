"""The policies against plainer ones, on the model of targets."""

from peridot_fakes.policymodel import POLICIES, PolicyModel, Scenario

EVEN, _, BY_LOAD, BY_LOAD_REFUSING, BY_OBJECTIVE = POLICIES


def play(policy, rate: float, seed: int = 3, **changes):
    scenario = Scenario(rate=rate, seconds=30.0, **changes)
    return PolicyModel(scenario, policy, seed).play()


def test_a_run_repeats_itself_and_loses_no_request():
    first, second = (play(BY_LOAD_REFUSING, 150.0) for _ in range(2))
    assert first == second
    assert first.counts.total() == first.total.total()


def test_placement_by_load_serves_a_moving_hot_set():
    """Answers the pattern of 200 busy neighbours that go elsewhere every 6 s."""
    by_load, even = play(BY_LOAD, 150.0), play(EVEN, 150.0)
    assert by_load.share("in time") > even.share("in time") + 0.1


def test_early_refusals_serve_more_beyond_the_capacity():
    """Answers the pattern of one key with several times what its owner can do."""
    changes = {"hot_keys": 1, "hot_period_s": 100.0}
    refusing = play(BY_LOAD_REFUSING, 150.0, **changes)
    patient = play(BY_LOAD, 150.0, **changes)
    served = refusing.counts["in time"] + refusing.counts["late"]
    assert served >= patient.counts["in time"] + patient.counts["late"]
    assert refusing.share("expired") < patient.share("expired")


def test_the_objective_as_the_limit_serves_faster_in_a_lasting_overload():
    """Answers the pattern of targets that all have a little more than they can do.

    The product refuses by the deadline; this shows what that leaves.
    """
    by_deadline, by_objective = (
        play(policy, 290.0) for policy in (BY_LOAD_REFUSING, BY_OBJECTIVE)
    )
    assert by_objective.share("in time") > 2 * by_deadline.share("in time")
