"""Pattern: few requests a VM on a route whose traffic is split by weight.

Independent draws leave a part far off its share in a short run of requests.
"""

import random
from types import SimpleNamespace

from hypothesis import given, strategies as st

from peridot_gateway.routes import TrafficSplitter
from peridot_resources.configuration import WeightedService

# Allowed deviation of a part's share in a run of 200 requests.
MAX_DEVIATION = 0.1
VMS = 61
RUN = 200

weights = st.lists(st.integers(0, 100), min_size=2, max_size=4).filter(any)


def make_parts(values) -> tuple[WeightedService, ...]:
    return tuple(WeightedService(f"s{i}", float(w)) for i, w in enumerate(values))


def make_split_route(parts) -> SimpleNamespace:
    return SimpleNamespace(name="r1", traffic_split=parts)


@given(weights, st.integers(0, 10_000), st.integers(1, 300))
def test_a_part_deviates_by_few_requests_in_any_run(values, seed, count):
    parts = make_parts(values)
    splitter = TrafficSplitter(random.Random(seed))
    route = make_split_route(parts)
    chosen = [splitter.choose(route) for _ in range(count)]
    for part in parts:
        expected = count * part.weight / sum(values)
        assert abs(chosen.count(part.service) - expected) <= len(parts)
        assert part.weight or part.service not in chosen


@given(weights, st.integers(0, 10_000))
def test_the_parts_get_their_shares_over_many_vms(values, seed):
    """Each VM sees about three requests of the run."""
    rng = random.Random(seed)
    parts = make_parts(values)
    route = make_split_route(parts)
    splitters = [TrafficSplitter(random.Random(rng.random())) for _ in range(VMS)]
    chosen = [rng.choice(splitters).choose(route) for _ in range(RUN)]
    for part in parts:
        share = part.weight / sum(values)
        assert abs(chosen.count(part.service) / RUN - share) <= MAX_DEVIATION


def test_new_weights_take_effect_with_the_next_request(make_route):
    splitter = TrafficSplitter(random.Random(1))
    before = make_route(traffic_split=make_parts([50, 50]))
    after = make_route(traffic_split=make_parts([0, 100]))
    for _ in range(7):
        splitter.choose(before)
    assert {splitter.choose(after) for _ in range(50)} == {"s1"}
    assert len(splitter.credits) == 1
