"""Capacity shared between routes: from reports over the placer's shares to refusals."""

import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from peridot_fakes.holders import MemoryLeaseClient
from peridot_gateway.admission import Admission
from peridot_gateway.estimates import Estimates
from peridot_gateway.fleet import Fleet, FleetParts
from peridot_gateway.fleetshares import FleetShares
from peridot_gateway.owners import Owners
from peridot_gateway.sharing import CapacitySharing, serialize_shares
from peridot_gateway.states import SHARES_PERIOD_S, SentState, StateWriter
from peridot_objects.objects import MemoryObjectStore
from peridot_ownership.record import DaemonInstance
from peridot_placement.decisions import MemoryDecisionLog
from peridot_resources.configuration import Configuration
from peridot_routing.outcomes import Answered, NotRun, Reason
from peridot_wire import peridot_pb2 as pb

KEY = "files", "r1"


class Clock:
    """A clock that tests set."""

    now = 100.0

    def __call__(self) -> float:
        return self.now


class FakeTargets:
    """A source without targets."""

    kind = "targets"
    announced_leaving: dict[str, int] = {}

    def apply_pushed(self, *arguments) -> None:
        pass


@pytest.fixture
def make_sharing(make_route):
    def make(*priorities: int) -> CapacitySharing:
        routes = tuple(
            make_route(name=f"r{number}", priority=priority)
            for number, priority in enumerate(priorities)
        )
        configuration = Configuration(1, routes)
        return CapacitySharing(lambda: configuration, clock=Clock())

    return make


@pytest.fixture
def fleet_shares(make_route, make_target):
    routes = (
        make_route(name="r0", priority=0),
        *(make_route(name=n) for n in ("r1", "r2")),
    )
    configuration = Configuration(1, routes)
    return FleetShares(
        lambda: configuration, lambda service: [make_target("t")], lambda target: 0.1
    )


def make_report(*routes: pb.RouteReport) -> pb.FleetReport:
    return pb.FleetReport(vm="vm-1", routes=routes)


def report_overload(shares: FleetShares, duration_s: float = 3.0) -> float:
    """Report 20 and 40 requests a second to three slots of 10; return the time."""
    now = 0.0
    while now < duration_s:
        r0 = pb.RouteReport(service="files", route="r0", arrived=5)
        r1 = pb.RouteReport(service="files", route="r1", arrived=10, refused=2)
        shares.record(make_report(r0, r1), now)
        shares.compute(now)
        now += 0.25
    return now


def test_a_service_with_one_route_is_served_as_before(make_sharing, make_request):
    """Guards against refusals and reports where nothing is shared."""
    sharing = make_sharing(-1)
    sharing.apply({("files", "r0"): 0.0})
    request = make_request(name="r0")
    assert sharing.admit(request) is None
    assert sharing.find_room(request) is None
    sharing.record_outcome(request, NotRun(Reason.OVERLOADED))
    assert sharing.pop_reports() == []


def test_a_share_is_admitted_and_refusals_are_reported_once(make_sharing, make_request):
    sharing = make_sharing(0, -1)
    sharing.apply({KEY: 0.25})
    refusals = []
    for _ in range(100):
        request = make_request(name="r1")
        refusals.append(sharing.admit(request))
        sharing.record_outcome(request, refusals[-1])
    refused = [item for item in refusals if item is not None]
    assert 70 <= len(refused) <= 76
    assert {item.reason for item in refused} == {Reason.OVERLOADED}
    assert len({item.retry_after_ms for item in refused}) > 30
    (report,) = sharing.pop_reports()
    assert (report.arrived, report.refused) == (100, len(refused))
    assert sharing.pop_reports() == []


def test_shares_end_2_s_after_the_last_figures(make_sharing, make_request):
    sharing = make_sharing(0, -1)
    sharing.apply({KEY: 0.0})
    sharing.gates.clear()
    refused = [sharing.admit(make_request(name="r1")) for _ in range(2)]
    assert any(refused)
    sharing.clock.now += 2.0
    assert sharing.admit(make_request(name="r1")) is None
    assert sharing.find_room(make_request(name="r1")) is None
    assert not sharing.is_overloaded("files")


class CountingShares(dict):
    """Shares that count how often all of them are looked at."""

    passes = 0

    def __iter__(self):
        self.passes += 1
        return super().__iter__()

    def items(self):
        self.passes += 1
        return super().items()


def test_requests_do_not_look_at_all_shares(make_sharing, make_request):
    """Guards against a processor time per request that grows with the routes."""
    sharing = make_sharing(0, -1)
    shares = CountingShares({KEY: 0.5, ("files", "r0"): 1.0})
    sharing.apply(shares)
    passes = shares.passes
    for name in ("r0", "r1"):
        sharing.admit(make_request(name=name))
        assert sharing.find_room(make_request(name=name)) is not None
        assert sharing.is_overloaded("files")
    assert shares.passes == passes
    sharing.apply({KEY: 1.0, ("files", "r0"): 1.0})
    assert not sharing.is_overloaded("files")


def test_shares_beyond_all_are_bounded_and_unstated_ones_are_skipped(make_sharing):
    sharing = make_sharing(0, -1)
    log = sharing.log = MemoryDecisionLog()
    sharing.set_shares(
        [
            pb.RouteState(service="files", route="r1", admit_permille=4_000_000_000),
            pb.RouteState(service="files", route="r0", cost_ms=30),
        ]
    )
    assert sharing.shares == {KEY: 1.0}
    assert "share_invalid" in log.lines[0]


def test_a_less_urgent_route_leaves_room_in_a_queue(
    make_sharing, make_request, make_target
):
    """Guards against urgent requests behind a queue of less urgent ones.

    Slots of 0.1 s, and 6 requests ahead of a new one; the objective is 0.3 s.
    """
    sharing = make_sharing(0, -1)
    admission = Admission(Estimates(), sharing)
    estimate = admission.estimates.get("t")
    estimate.processing_s, estimate.in_flight = 0.1, 8
    urgent, other = make_request(name="r0"), make_request(name="r1")
    assert admission.check(other, make_target("t")) is None
    sharing.apply({KEY: 1.0, ("files", "r0"): 1.0})
    assert admission.check(urgent, make_target("t")) is None
    refusal = admission.check(other, make_target("t"))
    assert refusal is not None and refusal.detail.startswith("room")
    other.possible_runs["t"] = 0.0
    assert admission.check(other, make_target("t")) is None


def test_a_route_that_is_refused_too_often_may_fill_the_queue(
    make_sharing, make_request, make_target
):
    """Guards against a target's urgent requests that starve all others."""
    sharing = make_sharing(0, -1)
    sharing.apply({KEY: 1.0, ("files", "r0"): 1.0})
    for name in ["r0", "r1"] * 10:
        sharing.admit(make_request(name=name))
        if name == "r1":
            sharing.record_outcome(make_request(name=name), NotRun(Reason.OVERLOADED))
    assert sharing.find_room(make_request(name="r1")) is None
    assert sharing.find_room(make_request(name="r0")) is not None


def test_the_router_refuses_by_share_before_any_attempt(
    route_with, make_sharing, make_request
):
    router, sender = route_with([SimpleNamespace(outcome=Answered(200, (), b"", "p"))])
    sharing = router.parts.admission.sharing = make_sharing(0, -1)
    sharing.apply({KEY: 0.0})
    outcomes = [asyncio.run(router.handle(make_request(name="r1"))) for _ in range(4)]
    refused = [item for item in outcomes if isinstance(item, NotRun)]
    assert len(refused) >= 3 and len(sender.sent) == 4 - len(refused)
    (report,) = sharing.pop_reports()
    assert (report.arrived, report.refused) == (4, len(refused))


def test_the_placer_limits_the_less_urgent_route_of_an_overloaded_service(
    fleet_shares,
):
    now = report_overload(fleet_shares)
    shares = fleet_shares.compute(now)
    assert shares["files", "r0"] == 1.0 and 0.15 < shares[KEY] < 0.5
    assert any("shares_changed" in line for line in fleet_shares.log.lines)


def test_the_targets_of_a_service_are_summed_once_for_all_routes(fleet_shares):
    """Guards against work by routes times targets in each computation."""
    calls = []
    fleet_shares.processing_s = lambda target: calls.append(target) or 0.1
    report_overload(fleet_shares, 0.25)
    assert calls == ["t"]


def test_a_new_term_counts_anew(fleet_shares):
    """Guards against rates over the time in which another VM was the placer."""
    now = report_overload(fleet_shares) + 60.0
    r0 = pb.RouteReport(service="files", route="r0", arrived=1)
    fleet_shares.record(make_report(r0), now)
    assert fleet_shares.compute(now) == {}
    fleet_shares.record(make_report(r0), now + 1.1)
    # One route alone has no share: all of its requests are admitted.
    assert fleet_shares.compute(now + 1.1) == {}


def test_routes_without_requests_get_no_shares(fleet_shares):
    """Guards against messages that grow with the routes of a configuration."""
    probe = pb.RouteReport(service="files", route="r2", arrived=1)
    fleet_shares.record(make_report(probe), 0.0)
    now = report_overload(fleet_shares, 6.0)
    assert fleet_shares.compute(now).keys() == {KEY, ("files", "r0")}


def test_unknown_routes_and_huge_counts_are_dropped(fleet_shares):
    unknown = pb.RouteReport(service="files", route="x", arrived=9)
    huge = pb.RouteReport(service="files", route="r1", arrived=2**32 - 1)
    fleet_shares.record(make_report(unknown, huge), 1.0)
    assert fleet_shares.services == {}
    assert len(fleet_shares.log.lines) == 1


def test_members_get_changed_shares_at_once_and_others_periodically(
    fleet_shares, monkeypatch
):
    """Guards against messages that grow with each state, and shares that lapse."""
    clock = Clock()
    monkeypatch.setattr("peridot_gateway.states.monotonic", clock)
    now = report_overload(fleet_shares)
    load = SimpleNamespace(shares=fleet_shares, clock=lambda: now)
    writer, sent = StateWriter(None, None, load), SentState()
    sizes = []
    for _ in range(3):
        state = pb.FleetState()
        writer._add_shares(state, sent)
        sizes.append(len(state.routes))
        clock.now += SHARES_PERIOD_S / 2 + 0.01
    assert sizes == [2, 0, 2]
    receiver = CapacitySharing()
    receiver.set_shares(serialize_shares(fleet_shares.compute(now)))
    assert receiver.shares[KEY] == pytest.approx(fleet_shares.shares[KEY], abs=0.001)


def test_a_member_reports_counts_and_applies_the_shares_that_it_is_sent(
    make_sharing, make_request
):
    """Guards against fields that the link between VM and placer leaves out."""
    sharing = make_sharing(0, -1)
    load, estimates = (
        SimpleNamespace(targets=FakeTargets(), cold=None, evacuations=None),
        Estimates(),
    )
    parts = FleetParts(
        MemoryObjectStore(),
        MemoryLeaseClient(),
        load,
        Owners(),
        estimates,
        SimpleNamespace(pop_key_counts=dict),
        MemoryDecisionLog(),
        Random(1),
        10.0,
        1.0,
        lambda: True,
        sharing=sharing,
    )
    fleet = Fleet(DaemonInstance("vm-1", "i-1", "127.0.0.1:1"), "a", parts)
    state = pb.FleetState(leading=True, term=1, store_reachable=True)
    state.routes.extend(serialize_shares({KEY: 0.25}))
    fleet.follower.handle_state(state)
    assert sharing.shares == {KEY: 0.25} and sharing.is_current()
    sharing.admit(make_request(name="r1"))
    (report,) = fleet.build_report().routes
    assert (report.service, report.route, report.arrived) == (*KEY, 1)
