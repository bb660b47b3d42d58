"""The limit of cold targets over many VMs, each with its own view and clock phase."""

import heapq
import random
from collections import Counter
from dataclasses import replace
from itertools import count
from types import SimpleNamespace

import pytest

from peridot_gateway import coldtargets as coldtargets_module
from peridot_gateway.coldtargets import TERM_DELAY_S, ColdTargets
from peridot_ownership.ranges import RangeTable
from peridot_placement.decisions import MemoryDecisionLog
from peridot_resources.configuration import ServiceConfiguration, TargetInstance
from peridot_routing.outcomes import Answered, NotRun, Reason, Unknown
from peridot_scheduling import cold_starts as cold_starts_module
from peridot_scheduling.cold_starts import MAX_COLD_S, Allowance, find_limits
from peridot_wire import peridot_pb2 as pb

RATE, FACTOR, SLACK, COLD_S = 4.5, 1.5, 8.0, 8.0
LIMIT = RATE * FACTOR + SLACK
STATE_PERIOD_S = 0.25
# For how long the router lets a request wait for a cold owner (s).
WAIT_S = 0.6
TARGET = TargetInstance("t", "files", "127.0.0.1:1", "z1", 6, False, 0.0, 1)
KEY = 7


class Fleet:
    """VMs with their own views, linked to placers by messages that take time."""

    def __init__(self, vms: int, divided: bool, demand: float, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.demand = demand
        self.divided = divided
        service = ServiceConfiguration("files", divided, 100, 1.0, COLD_S, RATE)
        self.configuration = SimpleNamespace(
            configuration=SimpleNamespace(services={"files": service})
        )
        self.log = MemoryDecisionLog()
        self.vms = {f"v{i}": self.make_vm(f"v{i}") for i in range(vms)}
        self.zones = {vm: f"z{i % 4}" for i, vm in enumerate(self.vms)}
        # Which VM each VM follows as its placer; None if it has lost it.
        self.placers: dict[str, str | None] = dict.fromkeys(self.vms, "v0")
        self.terms = {"v0": 1}
        self.counts: dict[str, Counter] = {vm: Counter() for vm in self.vms}
        table = RangeTable()
        table.assign(table.ranges[0].keys, "t", 1)
        self.tables = {"files": table}
        self.events: list[tuple] = []
        self.order = count()
        self.sent_at: list[float] = []
        self.arrived = 0
        self.limited, self.evacuated = True, False
        self.waits: list[float] = []
        for vm in self.vms:
            self.after(self.rng.uniform(0, STATE_PERIOD_S), self.exchange, vm)
        self.after(0.0, self.arrive)

    def make_vm(self, vm: str) -> ColdTargets:
        targets = SimpleNamespace(targets={"t": TARGET})
        cold = ColdTargets(vm, self.configuration, targets, self.log, lambda: self.now)
        cold.set_limits(FACTOR, SLACK)
        cold.get_known_vms = lambda: list(self.vms)
        return cold

    def after(self, delay_s: float, call, *arguments) -> None:
        event = self.now + delay_s, next(self.order), call, arguments
        heapq.heappush(self.events, event)

    def run(self, duration_s: float) -> None:
        end = self.now + duration_s
        while self.events and self.events[0][0] < end:
            self.now, _, call, arguments = heapq.heappop(self.events)
            call(*arguments)
        self.now = end

    def turn_cold(self, left_s: float = COLD_S) -> None:
        """Tell all VMs within 0.3 s that the target is cold."""
        entry = replace(TARGET, warm_up_left_s=left_s)
        for vm in self.vms.values():
            self.after(
                self.rng.uniform(0, 0.3), vm.targets.targets.update, {"t": entry}
            )

    def exchange(self, vm: str) -> None:
        """Report to the placer and receive its state."""
        self.after(STATE_PERIOD_S, self.exchange, vm)
        self.vms[vm].update()
        self.report(vm)

    def report(self, vm: str) -> None:
        self.vms[vm].report_requested = False
        placer = self.placers[vm]
        if placer is None:
            return
        counts, self.counts[vm] = self.counts[vm], Counter()
        keys = [pb.KeyCounts(service="files", keys=counts, counts=counts.values())]
        report = pb.FleetReport(vm=vm, data_centre=self.zones[vm], keys=keys)
        report.targets.extend(self.vms[vm].build_reports())
        self.after(self.rng.uniform(0.001, 0.05), self.answer, placer, vm, report)

    def answer(self, placer: str, vm: str, report: pb.FleetReport) -> None:
        at = self.vms[placer]
        at.record_report(report)
        shares = at.build_shares(vm, self.terms[placer], self.tables)
        delay_s = self.rng.uniform(0.001, 0.05)
        self.after(delay_s, lambda: self.vms[vm].apply_state(shares))

    def arrive(self) -> None:
        self.after(self.rng.expovariate(self.demand), self.arrive)
        self.arrived += 1
        self.request(self.rng.choice(list(self.vms)), retries=1)

    def request(self, vm: str, retries: int) -> None:
        if self.evacuated:
            return
        self.counts[vm][KEY] += self.divided
        wait_s = WAIT_S if self.divided else 0.0
        self.attempt(vm, self.now + wait_s, self.rng.random(), retries)

    def attempt(self, vm: str, deadline: float, draw: float, retries: int) -> None:
        if not self.limited or self.vms[vm].take(
            self.vms[vm].targets.targets["t"], draw
        ):
            self.sent_at.append(self.now)
            self.waits.append(self.now - deadline + WAIT_S * self.divided)
        elif self.now < deadline:
            if self.now == deadline - WAIT_S and not self.vms[vm].report_requested:
                self.vms[vm].request_report()
                self.after(0.05, self.report, vm)
            self.after(0.02, self.attempt, vm, deadline, draw, retries)
        elif retries:
            delay_s = self.rng.uniform(0.3, 0.9)
            self.after(delay_s, self.request, self.rng.choice(list(self.vms)), 0)

    def peak(self, since: float, until: float) -> int:
        """Return the most requests in a second that begins after a time."""
        times = [at for at in self.sent_at if since <= at < until]
        return max((sum(a <= b < a + 1 for b in times) for a in times), default=0)

    def rate(self, since: float, until: float) -> float:
        return sum(since <= at < until for at in self.sent_at) / (until - since)


def run_cold(fleet: Fleet, change=lambda fleet: None) -> tuple[int, float]:
    """Turn the target cold, change the fleet; return the peak and the mean rate."""
    fleet.run(TERM_DELAY_S + 1.0)
    fleet.turn_cold()
    fleet.run(0.3)
    began = fleet.now
    fleet.run(2.0)
    change(fleet)
    fleet.run(COLD_S - 2.4)
    return fleet.peak(began, fleet.now), fleet.rate(began + 1.5, fleet.now)


@pytest.mark.parametrize("vms", [10, 71, 300])
@pytest.mark.parametrize(("divided", "demand"), [(True, 15.0), (False, 60.0)])
def test_all_vms_together_keep_the_limit_and_use_it(vms, divided, demand):
    """Guards against a limit that each VM keeps alone, and against one that starves.

    Before, all requests were sent: 15 a second from 71 VMs crashed a cold owner.
    """
    replaced = Fleet(vms, divided, demand)
    replaced.limited = False
    assert run_cold(replaced)[0] > LIMIT
    peak, rate = run_cold(Fleet(vms, divided, demand))
    print(vms, divided, peak, round(rate, 2))
    assert peak <= LIMIT
    # Of a service that isn't divided by key, the two senders send their own requests.
    usable = RATE if divided else min(RATE, 2 * demand / vms)
    assert rate >= 0.6 * usable


@pytest.mark.parametrize("divided", [True, False])
@pytest.mark.parametrize("seed", range(4))
def test_the_first_second_is_limited_too(divided, seed):
    """Guards against the requests of the last second before the VMs know of it."""
    fleet = Fleet(71, divided, 11.0, seed)
    fleet.run(TERM_DELAY_S + 1.0)
    fleet.turn_cold()
    learnt = fleet.now + 0.3
    fleet.run(3.0)
    before = fleet.rate(learnt - 0.3, learnt) * 0.3
    assert fleet.peak(learnt - 0.3, fleet.now) <= max(LIMIT, before)
    assert fleet.peak(learnt, fleet.now) <= LIMIT / 2


def lose_placer(fleet: Fleet) -> None:
    fleet.placers = dict.fromkeys(fleet.placers)


def follow_two_placers(fleet: Fleet) -> None:
    """Cut off the zone of v0, which leads on; the others follow v1."""
    fleet.terms["v1"] = 2
    for vm, zone in fleet.zones.items():
        if zone != "z0":
            fleet.placers[vm] = "v1"
    fleet.vms["v1"].leading_since, fleet.vms["v1"].term = 0.0, 2


def restart_and_add(fleet: Fleet) -> None:
    for vm in list(fleet.vms)[1::2]:
        fleet.vms[vm] = fleet.make_vm(vm)
        entry = replace(TARGET, warm_up_left_s=COLD_S)
        fleet.vms[vm].targets.targets["t"] = entry
    for i in range(20):
        vm = f"new{i}"
        fleet.vms[vm] = fleet.make_vm(vm)
        fleet.vms[vm].targets.targets["t"] = replace(TARGET, warm_up_left_s=COLD_S)
        fleet.zones[vm], fleet.placers[vm] = "z1", "v0"
        fleet.counts[vm] = Counter()
        fleet.after(0.1, fleet.exchange, vm)


def diverge(fleet: Fleet) -> None:
    """Let each half of the VMs, without a placer, know other VMs than the other."""
    lose_placer(fleet)
    names = list(fleet.vms)
    for i, vm in enumerate(fleet.vms.values()):
        vm.get_known_vms = lambda half=i % 2: names[half::2]


@pytest.mark.parametrize("divided", [True, False])
@pytest.mark.parametrize(
    "change", [lose_placer, follow_two_placers, restart_and_add, diverge]
)
def test_the_limit_holds_during_a_failure(divided, change):
    """Guards against allowances of diverging views that add up to more."""
    for seed in range(3):
        peak, rate = run_cold(Fleet(71, divided, 60.0, seed), change)
        print(change.__name__, divided, peak, round(rate, 2))
        assert 1 <= peak <= LIMIT


def test_requests_return_as_a_ramp():
    """Guards against all VMs sending all requests at once when the time has ended."""
    fleet = Fleet(71, True, 30.0)
    fleet.run(TERM_DELAY_S + 1.0)
    fleet.turn_cold(3.0)
    ended = fleet.now + 3.0
    fleet.run(7.0)
    rates = [fleet.rate(ended + s, ended + s + 0.5) for s in (0.0, 0.5, 1.0, 2.5)]
    print(rates)
    # Less than half of the normal rate at first, and all of it in the end.
    assert rates[0] < 15 and rates[0] < rates[2]
    assert rates[3] > 25


def test_a_target_that_several_zones_lost_counts_as_cold_for_all():
    """Guards against a target that was restarted unseen, and against one VM's fault."""
    fleet = Fleet(8, True, 5.0)
    fleet.run(TERM_DELAY_S)
    refused = NotRun(Reason.CONNECTION_REFUSED)
    for reporters in (["v1"], ["v1", "v2"]):
        for _ in range(3):
            for vm in reporters:
                fleet.vms[vm].record_outcome(TARGET, refused)
            fleet.run(0.4)
        fleet.run(0.7)
        is_cold = [vm.left_s(TARGET) > 0 for vm in fleet.vms.values()]
        assert all(is_cold) if len(reporters) > 1 else not any(is_cold)


@pytest.mark.parametrize("reason", [Reason.DEADLINE, Reason.CONNECTION_LOST])
def test_a_target_that_stays_silent_has_not_returned(reason):
    """Guards against a time that ends before the target responds for the first time."""
    fleet = Fleet(8, True, 5.0)
    vm = fleet.vms["v1"]
    for _ in range(3):
        vm.record_outcome(TARGET, NotRun(Reason.CONNECTION_REFUSED))
        fleet.now += 0.4
    vm.record_outcome(TARGET, Unknown(reason))
    fleet.now += 0.5
    (report,) = vm.build_reports()
    assert report.cold_left_ms > 1000 * COLD_S
    vm.record_outcome(TARGET, Answered(200, (), b"", "t"))
    fleet.now += 1.0
    (report,) = vm.build_reports()
    assert report.cold_left_ms < 1000 * COLD_S


def test_nothing_is_kept_of_targets_and_vms_that_left():
    """Guards against a placer that grows while targets and VMs come and go."""
    fleet = Fleet(8, True, 30.0)
    fleet.run(TERM_DELAY_S + 1.0)
    fleet.turn_cold()
    fleet.run(1.0)
    fleet.vms["v1"].record_outcome(TARGET, NotRun(Reason.CONNECTION_REFUSED))
    placer = fleet.vms["v0"]
    placer.reporters["t"], placer.fallback_checks["t"] = (
        {"v1": fleet.now},
        (fleet.now, True),
    )
    placer.allowances["t"] = Allowance()
    assert placer.allotment.demand and placer.members and placer.entries
    for vm in fleet.vms:
        placer.remove_vm(vm)
    placer.targets.targets.clear()
    placer.update()
    assert not placer.allotment.demand and not placer.members
    assert not placer.entries and not placer.times.targets
    assert not placer.allowances and not placer.fallback_checks and not placer.reporters


def test_a_zone_that_returns_is_cold():
    """Guards against full load on targets that turned cold during an evacuation."""
    fleet = Fleet(8, True, 5.0)
    for vm in fleet.vms.values():
        vm.record_zone_return("z1")
        assert vm.left_s(TARGET) == COLD_S
        vm.record_zone_return("z2")
    assert sum("event=target_cold" in line for line in fleet.log.lines) == 8


@pytest.mark.parametrize("divided", [True, False])
def test_a_whole_zone_that_returns_keeps_the_limit_of_each_target(divided):
    """Guards against all VMs sending to a zone as soon as they learn of its return."""
    fleet = Fleet(71, divided, 60.0)
    fleet.run(TERM_DELAY_S + 1.0)
    fleet.evacuated = True
    fleet.run(1.5)
    began = fleet.now
    for vm in fleet.vms.values():
        fleet.after(fleet.rng.uniform(0, 0.5), vm.record_zone_return, "z1")
    fleet.run(0.5)
    fleet.evacuated = False
    fleet.run(COLD_S - 1.0)
    assert 1 <= fleet.peak(began, fleet.now) <= LIMIT


def test_senders_of_many_targets_are_chosen_over_time(monkeypatch):
    """Guards against a placer that stands still when a large zone returns."""
    fleet = Fleet(8, False, 5.0)
    fleet.run(TERM_DELAY_S + 1.0)
    placer, calls = fleet.vms["v0"], []
    choose = cold_starts_module.choose_senders
    monkeypatch.setattr(
        cold_starts_module, "choose_senders", lambda *a: calls.append(a) or choose(*a)
    )
    for i in range(120):
        target = replace(TARGET, name=f"t{i}", warm_up_left_s=COLD_S)
        placer.targets.targets[target.name] = target
    placer.update()
    for passes in range(1, 5):
        placer._refresh(fleet.now)
        assert len(calls) == min(120, passes * 50)
    senders = [shares.senders for shares in placer.allotment.targets.values()]
    assert [len(names) for names in senders] == [2] * 120


def test_the_limits_of_a_service_are_computed_once(monkeypatch):
    """Guards against a processor time per request that grows with the targets."""
    calls = []
    monkeypatch.setattr(
        coldtargets_module, "find_limits", lambda *a: calls.append(a) or find_limits(*a)
    )
    vm = Fleet(1, False, 5.0).vms["v0"]
    for _ in range(9):
        assert vm.may_send(TARGET, 0.5)
    # Nothing is kept of a target that was never cold.
    assert len(calls) == 1 and not vm.times.targets
    services = {"files": ServiceConfiguration("files", False, 100, 1.0, COLD_S, 9.0)}
    vm.configuration.configuration = SimpleNamespace(services=services)
    assert vm.find_limits("files").rate == 9.0 and len(calls) == 2
    vm.set_limits(2.0, 0.0)
    assert vm.find_limits("files").limit == 18.0
    assert vm.find_limits("unknown") is None


def test_a_huge_cold_time_fits_the_messages():
    """Guards against an error of a configuration that ends the links of all VMs."""
    fleet = Fleet(8, True, 5.0)
    service = ServiceConfiguration("files", True, 100, 1.0, 1e12, RATE)
    fleet.configuration.configuration = SimpleNamespace(services={"files": service})
    placer = fleet.vms["v0"]
    placer.record_zone_return("z1")
    assert any("event=cold_time_bounded" in line for line in fleet.log.lines)
    placer.reported.add("t")
    (share,) = placer.build_shares("v1", 1, fleet.tables)
    for _ in range(2):
        placer.record_outcome(TARGET, NotRun(Reason.CONNECTION_REFUSED))
        fleet.now += 0.5
    (report,) = placer.build_reports()
    assert 0 < share.left_ms <= 1 + 1000 * MAX_COLD_S
    assert 0 < report.cold_left_ms <= 1 + 1000 * MAX_COLD_S


def test_nothing_is_limited_without_the_settings():
    """Guards against limits where a deployment asks for none."""
    fleet = Fleet(2, True, 5.0)
    fleet.turn_cold()
    fleet.run(1.0)
    assert not fleet.vms["v0"].may_send(fleet.vms["v0"].targets.targets["t"], 0.5)
    fleet.vms["v0"].set_limits(None, 0.0)
    assert fleet.vms["v0"].may_send(fleet.vms["v0"].targets.targets["t"], 0.5)
