"""Plans by work a second, compared with plans by requests a second in the same run."""

import random
from collections import Counter
from types import SimpleNamespace

import pytest

from peridot_gateway.estimates import Estimates
from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.fleetwork import add_work_report
from peridot_gateway.messages import serialize_keys
from peridot_ownership.planner import PlanInput, plan_moves
from peridot_ownership.ranges import KEY_SPACE, KeyRange, RangeTable
from peridot_resources.configuration import Route, TargetInstance
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
    print(day.moves, max(day.utilisations("work").values()))
    assert day.moves["work"] <= day.moves["requests"]


@pytest.mark.parametrize("seed", range(3))
def test_a_slow_target_loses_keys_within_seconds(seed):
    """The load: one of 16 targets turns 4.5 times slower."""
    day = KeyedDay(seed, rate=0.45 * TARGETS * SLOTS / 0.15)
    day.play(12.0)
    day.speeds["t05"] /= 4.5
    before = day.utilisations("work")["t05"]
    day.play(4.0)
    after = {rule: day.utilisations(rule)["t05"] for rule in RULES}
    print(before, after)
    assert after["work"] < 0.5 * before
    assert after["work"] <= 1.25 * after["requests"]


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
    print(busiest, day.moves)
    assert busiest["work"] < busiest["requests"]
