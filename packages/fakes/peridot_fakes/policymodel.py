"""Simulation of targets under a moving set of hot keys, to compare policies quickly.

It models the gateway mode. Placement and the estimate of the wait, by which admission
decides, are the product's own functions. The targets, their queues and the callers are
simulated in virtual time, reproducibly by seed.
"""

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from peridot_gateway.admission import PROCESSING_SHARE
from peridot_gateway.estimates import TargetEstimate
from peridot_ownership.loads import KeyLoads
from peridot_ownership.placer import PLAN_PERIOD_S
from peridot_ownership.planner import PlanInput, RangeMove, plan_moves
from peridot_ownership.ranges import ALL_KEYS, KEY_SPACE, KeyRange, RangeTable

# Time (s) for a move besides the wait for the requests that run on its keys, and the
# period at which requests for moving keys look for their owner.
MOVE_DURATION_S = 0.05
# Number of keys that aren't hot; each is requested equally often.
COLD_KEYS = 14_000
# Processing times are uniformly distributed around the mean, up to this share of it.
PROCESSING_SPREAD = 0.5


class RefusalRule(Enum):
    """The limit by which a request is refused at once if it likely won't meet it."""

    NEVER = "never"
    DEADLINE = "deadline"
    # The product doesn't have this rule yet.
    OBJECTIVE = "objective"


@dataclass(frozen=True)
class Policy:
    """A combination of placement and admission rules."""

    name: str
    moves_by_load: bool
    refusal_rule: RefusalRule


POLICIES = (
    Policy("even ranges", False, RefusalRule.NEVER),
    Policy("even, refuse by deadline", False, RefusalRule.DEADLINE),
    Policy("by load", True, RefusalRule.NEVER),
    Policy("by load, by deadline", True, RefusalRule.DEADLINE),
    Policy("by load, by objective", True, RefusalRule.OBJECTIVE),
)


@dataclass(frozen=True)
class Scenario:
    """The load and the targets of one run; times in seconds."""

    rate: float
    seconds: float = 60.0
    targets: int = 14
    slots: int = 3
    queue: int = 24
    processing_s: float = 0.16
    objective_s: float = 0.5
    deadline_s: float = 1.2
    hot_keys: int = 200
    hot_share: float = 0.35
    # After this time other keys become hot.
    hot_period_s: float = 6.0
    # Longest time that a request waits for the owner of a key that moves.
    owner_wait_s: float = 0.6


@dataclass
class Outcome:
    """The outcomes of all requests of a run, and the moves of keys."""

    counts: Counter = field(default_factory=Counter)
    waited_s: float = 0.0
    moves: int = 0
    moved_share: float = 0.0
    # Requests served within the objective, and all requests, by second of arrival.
    good: Counter = field(default_factory=Counter)
    total: Counter = field(default_factory=Counter)

    def share(self, kind: str) -> float:
        """Return the share of requests that had an outcome."""
        return self.counts[kind] / max(1, self.counts.total())

    @property
    def mean_wait_s(self) -> float:
        """Return the mean time (s) that served requests waited for a slot."""
        served = self.counts["in time"] + self.counts["late"]
        return self.waited_s / max(1, served)


@dataclass
class ModelTarget:
    """A simulated target: its requests and the senders' estimate of its load.

    A waiting request has its key and two times (s): arrival at the router, at the
    target.
    """

    estimate: TargetEstimate = field(default_factory=TargetEstimate)
    waiting: deque[tuple[int, float, float]] = field(default_factory=deque)
    running: int = 0
    # Number of requests by key that run or wait.
    open_keys: Counter[int] = field(default_factory=Counter)
    # Moves away from this target that wait for the requests on their keys.
    leaving_moves: list[RangeMove] = field(default_factory=list)

    def has_open(self, keys: KeyRange) -> bool:
        """Return whether requests for keys run or wait."""
        return any(keys.start <= key < keys.end for key in self.open_keys)


class PolicyModel:
    """Simulate one policy in one scenario."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.rng = random.Random(seed)
        names = [f"t{i:02}" for i in range(scenario.targets)]
        self.targets = {name: ModelTarget() for name in names}
        for target in self.targets.values():
            target.estimate.processing_s = scenario.processing_s
        self.table = RangeTable()
        width = KEY_SPACE / scenario.targets
        for i, name in enumerate(names):
            keys = KeyRange(int(i * width), int((i + 1) * width))
            self.table.assign(keys, name, 0)
        self.table.assign(KeyRange(int(width * (len(names) - 1)), KEY_SPACE), name, 0)
        self.loads = KeyLoads()
        self.moving: list[KeyRange] = []
        self.hot_start = 0
        self.outcome = Outcome()
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.event_number = 0

    def play(self) -> Outcome:
        """Run the simulation to its end and return the outcome."""
        self._schedule(0.0, self._arrive)
        self._schedule(0.0, self._move_hot_set)
        if self.policy.moves_by_load:
            self._schedule(PLAN_PERIOD_S, self._plan)
        while self.events:
            now, _, action = heapq.heappop(self.events)
            action(now)
        return self.outcome

    def _schedule(self, at: float, action: Callable[[float], None]) -> None:
        self.event_number += 1
        heapq.heappush(self.events, (at, self.event_number, action))

    def _schedule_before_end(self, at: float, action: Callable[[float], None]) -> None:
        if at < self.scenario.seconds:
            self._schedule(at, action)

    def _move_hot_set(self, now: float) -> None:
        self.hot_start = self.rng.randrange(KEY_SPACE - self.scenario.hot_keys)
        self._schedule_before_end(now + self.scenario.hot_period_s, self._move_hot_set)

    def _arrive(self, now: float) -> None:
        key = self._draw_key()
        self.loads.add([(key, 1)], now)
        self.outcome.total[int(now)] += 1
        self._send(key, now, now)
        self._schedule_before_end(
            now + self.rng.expovariate(self.scenario.rate), self._arrive
        )

    def _draw_key(self) -> int:
        if self.rng.random() < self.scenario.hot_share:
            return self.hot_start + self.rng.randrange(self.scenario.hot_keys)
        return self.rng.randrange(COLD_KEYS) * KEY_SPACE // COLD_KEYS

    def _send(self, key: int, arrived: float, now: float) -> None:
        if any(keys.start <= key < keys.end for keys in self.moving):
            if now - arrived >= self.scenario.owner_wait_s:
                self.outcome.counts["moving"] += 1
                return
            self._schedule(
                now + MOVE_DURATION_S, lambda later: self._send(key, arrived, later)
            )
            return
        target = self.targets[self.table.find(key).owner]
        scenario = self.scenario
        target.estimate.in_flight = target.running + len(target.waiting)
        wait_s = target.estimate.expected_wait_s(scenario.slots, now)
        needed_s = wait_s + PROCESSING_SHARE * target.estimate.processing_s
        if wait_s > 0 and needed_s > self._max_total_s() - (now - arrived):
            self.outcome.counts["refused"] += 1
        elif len(target.waiting) >= scenario.queue:
            self.outcome.counts["shed"] += 1
        else:
            target.waiting.append((key, arrived, now))
            target.open_keys[key] += 1
            self._start_next(target, now)

    def _max_total_s(self) -> float:
        match self.policy.refusal_rule:
            case RefusalRule.NEVER:
                return float("inf")
            case RefusalRule.DEADLINE:
                return self.scenario.deadline_s
            case RefusalRule.OBJECTIVE:
                return self.scenario.objective_s

    def _start_next(self, target: ModelTarget, now: float) -> None:
        while target.waiting and target.running < self.scenario.slots:
            key, arrived, sent = target.waiting.popleft()
            if now - arrived >= self.scenario.deadline_s:
                self.outcome.counts["expired"] += 1
                self._close_request(target, key, now)
                continue
            target.running += 1
            spread = self.rng.uniform(1 - PROCESSING_SPREAD, 1 + PROCESSING_SPREAD)
            ends_at = now + self.scenario.processing_s * spread
            self.outcome.waited_s += now - sent
            self._schedule(
                ends_at,
                lambda later, k=key, a=arrived: self._finish(target, k, a, later),
            )

    def _close_request(self, target: ModelTarget, key: int, now: float) -> None:
        """Forget a request; end the moves that waited for it."""
        target.open_keys[key] -= 1
        if target.open_keys[key]:
            return
        del target.open_keys[key]
        for move in list(target.leaving_moves):
            if not target.has_open(move.keys):
                target.leaving_moves.remove(move)
                self._schedule(
                    now + MOVE_DURATION_S, lambda _, m=move: self._end_move(m)
                )

    def _finish(
        self, target: ModelTarget, key: int, arrived: float, now: float
    ) -> None:
        target.running -= 1
        self._close_request(target, key, now)
        took_s = now - arrived
        if took_s <= self.scenario.objective_s:
            self.outcome.counts["in time"] += 1
            self.outcome.good[int(arrived)] += 1
        elif took_s <= self.scenario.deadline_s:
            self.outcome.counts["late"] += 1
        else:
            self.outcome.counts["expired"] += 1
        self._start_next(target, now)

    def _plan(self, now: float) -> None:
        capacity = self.scenario.slots / self.scenario.processing_s
        capacities = dict.fromkeys(self.targets, capacity)
        profile = self.loads.profile(now)
        plan = PlanInput(self.table, profile, capacities, tuple(self.moving))
        for move in plan_moves(plan):
            self.moving.append(move.keys)
            self.outcome.moves += 1
            width = move.keys.end - move.keys.start
            self.outcome.moved_share += width / (ALL_KEYS.end - ALL_KEYS.start)
            source = self.targets.get(move.source)
            if source is not None and source.has_open(move.keys):
                source.leaving_moves.append(move)
            else:
                self._schedule(
                    now + MOVE_DURATION_S, lambda _, m=move: self._end_move(m)
                )
        self._schedule_before_end(now + PLAN_PERIOD_S, self._plan)

    def _end_move(self, move: RangeMove) -> None:
        self.table.assign(move.keys, move.destination, 0)
        self.moving.remove(move.keys)
