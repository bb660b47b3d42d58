"""Test the ejection of faltering targets."""

from peridot_placement.ejection import EJECTION_S, Ejector

NAMES = [f"t{number}" for number in range(8)]


def report(ejector, slow, now):
    for name in NAMES:
        ejector.take(name, 0.4 if name in slow else 0.04, now)


def test_slow_target_is_ejected_for_a_while():
    ejector = Ejector()
    report(ejector, ["t3"], 0.0)
    assert ejector.judge(NAMES, 0.0) == ["t3"]
    assert ejector.ejected(NAMES, EJECTION_S - 1) == {"t3"}
    assert ejector.ejected(NAMES, EJECTION_S + 1) == set()


def test_ejection_is_bounded_to_a_share():
    ejector = Ejector()
    report(ejector, ["t0", "t1", "t2"], 0.0)
    assert len(ejector.judge(NAMES, 0.0)) == 2
    assert ejector.judge(NAMES, 0.0) == []


def test_old_reports_and_small_differences_eject_nobody():
    ejector = Ejector()
    report(ejector, ["t3"], 0.0)
    assert ejector.judge(NAMES, 100.0) == []
    for name in NAMES:
        ejector.take(name, 0.015 if name == "t3" else 0.001, 200.0)
    assert ejector.judge(NAMES, 200.0) == []
