"""Members and peers: who counts, who is asked."""

from peridot_gateway import roster as roster_module
from peridot_gateway.roster import ASSUMED_VMS, Peers, Roster
from peridot_ownership.record import Holder
from peridot_wire import peridot_pb2 as pb


def make_holders(names: str) -> list[Holder]:
    return [Holder(name, f"{name}-1", "127.0.0.1:1") for name in names.split()]


def test_a_vm_that_has_just_started_takes_a_small_share(monkeypatch):
    """The first state may name two of many: their budgets would add up."""
    now = 100.0
    monkeypatch.setattr(roster_module, "monotonic", lambda: now)
    peers = Peers()
    assert peers.count() == ASSUMED_VMS
    peers.take(make_holders("a b"))
    assert peers.count() == ASSUMED_VMS
    now += roster_module.SETTLE_S
    assert peers.count() == 2


def test_the_largest_number_of_lately_counts(monkeypatch):
    now = 100.0
    monkeypatch.setattr(roster_module, "monotonic", lambda: now)
    peers = Peers()
    peers.take(make_holders("a b c d"))
    now += roster_module.SETTLE_S
    peers.take(make_holders("a"))
    assert peers.count() == 4
    now += roster_module.VMS_MEMORY_S + 1
    peers.take(make_holders("a"))
    assert peers.count() == 1


def test_sampled_vms_are_spread_over_the_names():
    names = [f"{zone}-{i}" for zone in "abcd" for i in range(16)]
    peers = Peers(make_holders(" ".join(names)))
    sampled = [name for name in names if peers.is_sampled(name, 6)]
    assert 6 <= len(sampled) <= 8
    assert {name[0] for name in sampled} == set("abcd")


def test_silent_members_do_not_count_as_fresh(monkeypatch):
    now = 100.0
    monkeypatch.setattr(roster_module, "monotonic", lambda: now)
    roster = Roster()
    roster.take(pb.FleetReport(vm="a", instance="a-1"))
    now += roster_module.MEMBER_FRESH_S + 0.1
    roster.take(pb.FleetReport(vm="b", instance="b-1"))
    assert roster.fresh_count() == 1


def test_an_old_link_does_not_remove_a_member_that_came_back():
    roster = Roster()
    roster.take(pb.FleetReport(vm="a", instance="a-1"))
    roster.take(pb.FleetReport(vm="a", instance="a-2"))
    version = roster.version
    assert not roster.remove("a", "a-1")
    assert roster.version == version
    assert roster.remove("a", "a-2")
