"""Choice among the targets of a service that isn't divided by key."""

import random
from collections import Counter
from time import monotonic

from peridot_gateway.estimates import Estimates
from peridot_gateway.picker import Picker


def pick_many(picker, targets, count=300, tried=()):
    return Counter(picker.pick(targets, tried).name for _ in range(count))


def make_picker(estimates):
    return Picker("a", estimates, random.Random(1))


def test_a_target_with_a_grey_failure_gets_few_requests(make_target):
    """Guards against a target that fails half of its requests but looks healthy."""
    estimates = Estimates()
    targets = [make_target(name) for name in "pqrstu"]
    for item in targets:
        estimates.get(item.name).measured = True
    failing_target = estimates.get("p")
    for number in range(30):
        if number % 2:
            failing_target.record_failure(monotonic())
        else:
            failing_target.record_response(0.2, 1, None, monotonic())
    assert pick_many(make_picker(estimates), targets)["p"] < 10


def test_a_slow_target_is_not_picked(make_target):
    estimates = Estimates()
    targets = [make_target(name) for name in "pqrs"]
    estimates.get("p").processing_s = 1.2
    for name in "qrs":
        estimates.get(name).processing_s = 0.2
    assert pick_many(make_picker(estimates), targets)["p"] == 0


def test_the_backlog_of_other_vms_counts(make_target):
    estimates = Estimates()
    targets = [make_target(name) for name in "pq"]
    busy = estimates.get("p")
    busy.others_in_flight, busy.others_updated_at = 9, monotonic()
    assert pick_many(make_picker(estimates), targets)["q"] == 300


def test_leaving_and_tried_targets_are_not_picked(make_target):
    estimates = Estimates()
    targets = [make_target("p", leaving=True), make_target("q"), make_target("r")]
    assert pick_many(make_picker(estimates), targets, tried=("q",)) == {"r": 300}
    assert make_picker(estimates).pick(targets, ("q", "r")) is None


def test_local_targets_are_preferred_to_equal_remote_ones(make_target):
    estimates = Estimates()
    targets = [make_target("near"), make_target("far", data_centre="b")]
    assert pick_many(make_picker(estimates), targets)["near"] == 300


def test_a_target_that_refused_is_avoided_while_there_are_others(make_target):
    estimates = Estimates()
    targets = [make_target("p"), make_target("q")]
    estimates.avoid("p")
    assert pick_many(make_picker(estimates), targets) == {"q": 300}
    estimates.avoid("q")
    assert sum(pick_many(make_picker(estimates), targets).values()) == 300


def test_idle_local_targets_are_found_among_many_remote_ones(make_target):
    """Guards against traffic between data centres under low load.

    Half of all requests left their data centre: four candidates of eleven often
    included no local target.
    """
    targets = [make_target(name) for name in "pq"]
    targets += [make_target(name, data_centre="b") for name in "rstuvwxyz"]
    counts = pick_many(make_picker(Estimates()), targets)
    assert counts["p"] + counts["q"] == 300


def test_a_local_backlog_sends_requests_to_remote_targets(make_target):
    """Guards against overload of a data centre with more callers than capacity."""
    estimates = Estimates()
    targets = [make_target("p"), make_target("q", data_centre="b")]
    busy = estimates.get("p")
    busy.others_in_flight, busy.others_updated_at = targets[0].slots + 1, monotonic()
    assert pick_many(make_picker(estimates), targets)["q"] == 300
