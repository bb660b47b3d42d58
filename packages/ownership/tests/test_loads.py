"""Load of keys over long times."""

from peridot_ownership.loads import HALF_LIFE_S, MAX_HALF_LIVES, KeyLoads


def test_counts_from_an_earlier_term_long_ago_are_dropped():
    """Guards against an overflow that ends each later term of a VM."""
    loads = KeyLoads()
    loads.add([(1, 5)], 0.0)
    now = 2 * MAX_HALF_LIVES * HALF_LIFE_S
    assert loads.profile(now).keys == []
    loads.add([(2, 5)], now)
    assert loads.profile(now).keys == [2]
