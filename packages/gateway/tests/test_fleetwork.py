"""Plans by work a second, compared with plans by requests a second in the same run."""

import random
from collections import Counter
from math import inf, nan
from types import SimpleNamespace

import pytest

from peridot_gateway.coldtargets import ColdTargets
from peridot_gateway.estimates import Estimates
from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.fleetwork import (
    MAX_IN_FLIGHT_WORK_S,
    WorkState,
    add_work_report,
    apply_work_state,
)
from peridot_gateway.messages import serialize_keys
from peridot_ownership.planner import PlanInput, plan_moves
from peridot_ownership.ranges import KEY_SPACE, KeyRange, RangeTable
from peridot_placement.decisions import MemoryDecisionLog
from peridot_resources.configuration import Route, ServiceConfiguration, TargetInstance
from peridot_wire import peridot_pb2 as pb

SLOTS = 3
TARGETS = 16
STEP_S = 0.3
# The rule by requests a second, and the one by work a second.
RULES = ("requests", "work")


def make_route(name: str) -> Route:
    return Route(name, "", "/", True, 2.0, 0.6, 0, 2, ())


class KeyedDay:
    """Requests by key to owners, of which both rules learn by reports of one VM."""

    def __init__(self, seed: int, rate: float, work_s=(0.15,), hot=()) -> None:
        self.rng, self.now, self.rate = random.Random(seed), 0.0, rate
        self.work_s, self.hot = work_s, hot
        self.names = [f"t{i:02}" for i in range(TARGETS)]
        self.speeds = {name: self.rng.uniform(0.7, 1.5) for name in self.names}
        instances = {
            name: TargetInstance(name, "s", "-", "a", SLOTS, False, 0.0)
            for name in self.names
        }
        source = SimpleNamespace(targets=instances, by_service={})
        source.by_service["s"] = list(instances.values())
        self.load, self.table, self.moves = {}, {}, Counter()
        self.estimates = {}
        for rule in RULES:
            self.load[rule] = FleetLoad(
                SimpleNamespace(), source, clock=lambda: self.now
            )
            self.estimates[rule] = Estimates(clock=lambda: self.now)
            self.table[rule] = RangeTable()
            for i, name in enumerate(self.names):
                ends = [KEY_SPACE * n // TARGETS for n in (i, i + 1)]
                self.table[rule].assign(KeyRange(*ends), name, 0)

    def play(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            self._step()

    def _step(self) -> None:
        requests = []
        for _ in range(round(self.rng.gauss(1, 0.05) * self.rate * STEP_S)):
            # Keys of routes beyond the first are the hot ones.
            index = self.rng.randrange(len(self.work_s))
            key = self.rng.randrange(KEY_SPACE)
            if index and self.hot:
                key = self.rng.choice(self.hot)
            factor = 7 if self.rng.random() < 0.03 else self.rng.uniform(0.7, 1.3)
            requests.append((index, key, self.work_s[index] * factor))
        for rule in RULES:
            self._report(rule, requests)
            self._plan(rule)

    def _report(self, rule: str, requests) -> None:
        estimates, counts = self.estimates[rule], Counter()
        for index, key, work_s in requests:
            owner, route = self.table[rule].find(key).owner, make_route(f"r{index}")
            counts[key] += 1
            processing_s = work_s / self.speeds[owner]
            estimates.get(owner).record_response(processing_s, 0, None, self.now)
            if rule == "work":
                estimates.count_key("s", route, key)
                estimates.record_work(owner, "s", route, processing_s, 0.0)
        work = estimates.pop_key_work()
        report = pb.FleetReport(vm="v", keys=serialize_keys({"s": counts}, work))
        for name, item in estimates.targets.items():
            report.targets.add(
                target=name, busy_ms=item.busy_ms, busy_count=item.busy_count
            )
            item.busy_ms, item.busy_count = 0.0, 0
        add_work_report(report, estimates)
        self.load[rule].record_report(report)
        self.load[rule].share_work(estimates)

    def _plan(self, rule: str) -> None:
        load, table = self.load[rule], self.table[rule]
        capacities = {n: SLOTS / (load.processing_s(n) or 0.2) for n in self.names}
        plan = PlanInput(table, load.loads_of("s").profile(self.now), capacities)
        for move in plan_moves(plan):
            table.assign(move.keys, move.destination, 0)
            self.moves[rule] += 1

    def utilisations(self, rule: str) -> dict[str, float]:
        """Return the share of busy slots that the owners' keys take on average."""
        table, result = self.table[rule], dict.fromkeys(self.names, 0.0)
        each = self.rate / len(self.work_s)
        for item in table.ranges:
            share = (item.keys.end - item.keys.start) / KEY_SPACE
            work = each * share * self.work_s[0]
            if self.hot:
                count = sum(item.keys.start <= key < item.keys.end for key in self.hot)
                work += each * count / len(self.hot) * sum(self.work_s[1:])
            work *= 1.18 / SLOTS / self.speeds[item.owner]
            result[item.owner] += work
        return result


@pytest.mark.parametrize("seed", range(4))
def test_a_calm_day_of_one_route_has_no_more_moves(seed):
    """The load: one route, even keys, 16 targets at 0.55 of their capacity."""
    day = KeyedDay(seed, rate=0.55 * TARGETS * SLOTS / 0.15)
    day.play(10.0)
    day.moves.clear()
    day.play(30.0)
    assert day.moves["work"] <= day.moves["requests"]


@pytest.mark.parametrize("seed", range(3))
def test_a_slow_target_loses_keys_within_seconds(seed):
    """The load: one of 16 targets turns 4.5 times slower.

    The rule by requests follows as fast, by several times as many moves.
    """
    day = KeyedDay(seed, rate=0.45 * TARGETS * SLOTS / 0.15)
    day.play(12.0)
    day.moves.clear()
    day.speeds["t05"] /= 4.5
    before = {rule: day.utilisations(rule)["t05"] for rule in RULES}
    day.play(4.0)
    after = {rule: day.utilisations(rule)["t05"] for rule in RULES}
    day.play(3.0)
    later = {rule: day.utilisations(rule)["t05"] for rule in RULES}
    print(before, after, later, day.moves)
    assert after["work"] < 0.35 * before["work"]
    assert later["work"] < 1.25 * max(0.5, later["requests"])
    assert day.moves["work"] < day.moves["requests"]


@pytest.mark.parametrize("keys", (60, 200))
def test_hot_keys_with_much_work_are_spread_by_work(keys):
    """The load: half of the requests go to adjacent keys and need 6 times the work."""
    hot = range(20_000, 20_000 + keys)
    day = KeyedDay(1, 70.0, (0.09, 0.54), hot)
    day.play(15.0)
    busiest = Counter()
    for _ in range(20):
        day.play(1.0)
        for rule in RULES:
            busiest[rule] += max(day.utilisations(rule).values()) / 20
    assert busiest["work"] < busiest["requests"]
    assert day.moves["work"] < day.moves["requests"]


def make_load() -> FleetLoad:
    instance = TargetInstance("t", "s", "-", "a", SLOTS, False, 0.0)
    source = SimpleNamespace(targets={"t": instance}, by_service={"s": [instance]})
    load = FleetLoad(SimpleNamespace(), source, clock=lambda: 5.0)
    load.work.log = MemoryDecisionLog()
    return load


@pytest.mark.parametrize("value", (nan, inf, -5.0, 1e300))
def test_reports_that_cannot_be_true_are_dropped(value):
    """Guards against one VM's report that makes a target look idle or full for all."""
    load = make_load()
    for vm, work_ms in (("good", 300.0), ("bad", value)):
        report = pb.FleetReport(vm=vm)
        report.targets.add(target="t", in_flight=2, in_flight_work_ms=work_ms)
        report.routes.add(service="s", route="r", work_ms=work_ms, work_count=3)
        load.record_report(report)
    assert load.work.totals_s() == {"t": 0.3}
    assert list(load.work.learned_costs(5.0)) == [("s", "r", pytest.approx(0.1))]
    assert load.work.dropped == 2
    assert "event=figure_dropped figure=in_flight_work" in load.work.log.lines[0]


def test_a_speed_or_key_work_out_of_bounds_is_dropped():
    load = make_load()
    report = pb.FleetReport(vm="bad")
    report.targets.add(target="t", speed_permille=2**32 - 1, speed_count=2**32 - 1)
    report.keys.add(service="s", keys=[1], counts=[1], work_ms=[2**32 - 1])
    load.record_report(report)
    assert load.work.speeds.current("t", 5.0) is None
    assert load.work.dropped == 2
    # The key counts by its request.
    assert load.loads_of("s").profile(5.0).keys == [1]


@pytest.mark.parametrize("busy_ms", (nan, inf, -5.0, 0.0, 1e300))
def test_a_processing_time_that_cannot_be_true_is_dropped(busy_ms):
    """Guards against capacities of 0 or not a number, which end the placer's term."""
    load = make_load()
    for vm, value in (("good", 300.0), ("bad", busy_ms)):
        report = pb.FleetReport(vm=vm)
        report.targets.add(target="t", busy_ms=value, busy_count=3)
        load.record_report(report)
    assert load.processing_s("t") == pytest.approx(0.1)
    assert load.work.dropped == 1


def test_key_counts_of_different_lengths_are_dropped():
    """Guards against a report whose other figures are lost, as well as the link."""
    load = make_load()
    services = {"s": ServiceConfiguration("s", True, 100, 1.0, 8.0, 4.5)}
    source = SimpleNamespace(configuration=SimpleNamespace(services=services))
    load.cold = ColdTargets("v", source, load.targets, load.work.log)
    load.cold.set_limits(1.5, 8.0)
    load.cold.cold_services = {"s"}
    report = pb.FleetReport(vm="bad")
    report.keys.add(service="s", keys=[1, 2], counts=[1])
    report.targets.add(target="t", in_flight=3)
    load.record_report(report)
    assert load.in_flight["bad"] == {"t": 3}
    assert load.work.dropped == 1


def test_the_work_of_a_vm_that_left_is_dropped():
    """Guards against targets that look busy with requests of a VM that is gone."""
    load = make_load()
    for vm in ("v1", "v2"):
        report = pb.FleetReport(vm=vm)
        report.targets.add(target="t", in_flight=1, in_flight_work_ms=200.0)
        load.record_report(report)
    load.remove_vm("v1")
    assert load.work.totals_s() == {"t": 0.2}


def test_figures_of_targets_that_left_are_dropped():
    """Guards against a placer that grows while targets come and go."""
    load = make_load()
    report = pb.FleetReport(vm="v1")
    for name in ("t", "left"):
        report.targets.add(
            target=name, speed_permille=300, speed_count=9, busy_ms=90, busy_count=1
        )
    load.record_report(report)
    load.work.slow.add("left")
    load.share_work(Estimates(clock=lambda: 5.0))
    assert load.work.speeds.targets.keys() == {"t"}
    assert load.processing_times.keys() == {"t"} and load.work.slow == {"t"}


def test_the_work_of_many_vms_fits_the_message():
    """Guards against a sum that ends the links to all members."""
    load, work = make_load(), WorkState()
    for number in range(1_300):
        load.work.in_flight_s[f"v{number}"] = {"t": MAX_IN_FLIGHT_WORK_S}
    work.update(load.work, ["t"], 5.0)
    state = pb.FleetState()
    work.add_to(state)
    estimates = Estimates(clock=lambda: 5.0)
    estimates.set_in_flight({"t": 9}, {})
    apply_work_state(estimates, ["t"], state)
    assert estimates.get("t").others_work_s == MAX_IN_FLIGHT_WORK_S


def test_targets_of_evacuated_zones_are_no_capacity():
    """Guards against shares of routes for slots that get no requests."""
    load = make_load()
    load.targets.of_service = load.targets.by_service.get
    load.evacuations = SimpleNamespace(is_evacuated=lambda target: True)
    assert list(load.shares.targets_of("s")) == []
    load.evacuations = SimpleNamespace(is_evacuated=lambda target: False)
    assert len(load.shares.targets_of("s")) == 1


def test_work_of_other_vms_counts_until_the_figures_are_old():
    """Guards against a VM without a placer that believes old figures."""
    now = [10.0]
    estimates = Estimates(clock=lambda: now[0])
    state = pb.FleetState(in_flight_work_ms=[4_000], speeds_permille=[500])
    state.routes.add(service="s", route="r1", cost_ms=400)
    estimates.set_in_flight({"t": 8}, {"t": 2})
    assert apply_work_state(estimates, ["t"], state) == 0
    estimate = estimates.get("t")
    assert estimate.total_work_s(10.0) == pytest.approx(3.0)
    # Six of other VMs, 0.5 s each, beyond two free slots; at half the speed.
    assert estimate.expected_wait_s(SLOTS, 10.0) == pytest.approx(4 * 0.5 / 3 / 0.5)
    assert estimate.expected_processing_s(0.4, 10.0) == pytest.approx(0.8)
    now[0] = 12.5
    assert estimate.expected_wait_s(SLOTS, 12.5) == 0.0
    assert estimates.cost_s("s", make_route("r1")) == pytest.approx(0.4)


def test_without_work_figures_requests_count_alike():
    """Guards against waits of 0 beside VMs of a build that doesn't report work."""
    estimates = Estimates(clock=lambda: 10.0)
    estimates.set_in_flight({"t": 6}, {})
    apply_work_state(estimates, ["t"], pb.FleetState(in_flight_work_ms=[0]))
    estimate = estimates.get("t")
    estimate.processing_s = 0.3
    assert estimate.expected_wait_s(SLOTS, 10.0) == pytest.approx(4 * 0.3 / 3)
