"""Members of a placer and peers of a member: counts and samples."""

from peridot_gateway import roster as roster_module
from peridot_gateway.roster import ASSUMED_VMS, Peers, Roster
from peridot_ownership.record import DaemonInstance
from peridot_wire import peridot_pb2 as pb


def make_instances(names: str) -> list[DaemonInstance]:
    return [DaemonInstance(name, f"{name}-1", "127.0.0.1:1") for name in names.split()]


def test_a_vm_that_has_just_started_assumes_many_vms(monkeypatch):
    """The first state may list two of many VMs, whose retry budgets would add up."""
    now = 100.0
    monkeypatch.setattr(roster_module, "monotonic", lambda: now)
    peers = Peers()
    assert peers.count() == ASSUMED_VMS
    peers.update(make_instances("a b"))
    assert peers.count() == ASSUMED_VMS
    now += roster_module.DISCOVERY_PERIOD_S
    assert peers.count() == 2


def test_the_peak_number_of_vms_counts_for_a_period(monkeypatch):
    now = 100.0
    monkeypatch.setattr(roster_module, "monotonic", lambda: now)
    peers = Peers()
    peers.update(make_instances("a b c d"))
    now += roster_module.DISCOVERY_PERIOD_S
    peers.update(make_instances("a"))
    assert peers.count() == 4
    now += roster_module.PEAK_COUNT_PERIOD_S + 1
    peers.update(make_instances("a"))
    assert peers.count() == 1


def test_sampled_vms_are_spread_over_the_names():
    names = [f"{prefix}-{i}" for prefix in "abcd" for i in range(16)]
    peers = Peers(make_instances(" ".join(names)))
    sampled = [name for name in names if peers.is_sampled(name, 6)]
    assert 6 <= len(sampled) <= 8
    assert {name[0] for name in sampled} == set("abcd")


def test_members_without_a_recent_report_are_not_fresh(monkeypatch):
    now = 100.0
    monkeypatch.setattr(roster_module, "monotonic", lambda: now)
    roster = Roster()
    roster.record_report(pb.FleetReport(vm="a", instance="a-1"))
    now += roster_module.MEMBER_FRESH_S + 0.1
    roster.record_report(pb.FleetReport(vm="b", instance="b-1"))
    assert roster.fresh_count() == 1


def test_an_old_link_does_not_remove_a_restarted_member():
    roster = Roster()
    roster.record_report(pb.FleetReport(vm="a", instance="a-1"))
    roster.record_report(pb.FleetReport(vm="a", instance="a-2"))
    version = roster.version
    assert not roster.remove("a", "a-1")
    assert roster.version == version
    assert roster.remove("a", "a-2")
