"""Test the ejection of slow targets."""

from peridot_placement.ejection import EJECTION_S, Ejector

NAMES = [f"t{number}" for number in range(8)]


def record_latencies(ejector, slow, now):
    for name in NAMES:
        ejector.record_latency(name, 0.4 if name in slow else 0.04, now)


def test_slow_target_is_ejected_for_a_while():
    ejector = Ejector()
    record_latencies(ejector, ["t3"], 0.0)
    assert ejector.eject_slow_targets(NAMES, 0.0) == ["t3"]
    assert ejector.ejected(NAMES, EJECTION_S - 1) == {"t3"}
    assert ejector.ejected(NAMES, EJECTION_S + 1) == set()


def test_only_a_share_of_the_targets_is_ejected():
    ejector = Ejector()
    record_latencies(ejector, ["t0", "t1", "t2"], 0.0)
    assert len(ejector.eject_slow_targets(NAMES, 0.0)) == 2
    assert ejector.eject_slow_targets(NAMES, 0.0) == []


def test_old_reports_and_small_differences_eject_nobody():
    ejector = Ejector()
    record_latencies(ejector, ["t3"], 0.0)
    assert ejector.eject_slow_targets(NAMES, 100.0) == []
    for name in NAMES:
        ejector.record_latency(name, 0.015 if name == "t3" else 0.001, 200.0)
    assert ejector.eject_slow_targets(NAMES, 200.0) == []
