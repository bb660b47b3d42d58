"""Measure imbalance and churn of slice placement (peridotd mode) in simulated time."""

import random
from dataclasses import dataclass, field

from benchmarks.results import Results
from peridot_placement.balancer import BalanceRequest, Move, SliceState, plan_moves
from peridot_placement.hashing import HASH_SPACE, hash_key
from peridot_placement.loads import LoadAggregator, LoadMeter, LoadReport, to_rate
from peridot_placement.mover import (
    REBALANCE_PERIOD_S,
    SLICES_PER_TARGET,
    SPLIT_PERIOD_S,
)
from peridot_placement.slices import HashRange, SliceTable, divide_ranges
from peridot_placement.splits import split_hot_slices

TARGETS = 17
SLOTS = 6
# Enough keys that the hottest one gets less than the mean load of a target.
KEYS = 14_000_000
REQUESTS_PER_S = 20_000
MOVES_PER_MINUTE = 240
# Simulated time after the start and after the hot keys change.
CONVERGENCE_S = 120
HOT_KEYS = 42
IMBALANCE_BOUND = 1.15
CHURN_BOUND = 1.1
REPLACEMENT_BOUND_S = 120
WHOLE_SPACE = (HashRange(0, HASH_SPACE),)


@dataclass
class PlacementSimulation:
    """Simulate the requests and placement of one service, second by second.

    Loads are measured, and slices split and moved, by the same functions as in the
    placer. `now` is in seconds.
    """

    rng: random.Random
    table: SliceTable
    meter: LoadMeter = field(default_factory=LoadMeter)
    aggregator: LoadAggregator = field(default_factory=LoadAggregator)
    now: float = 0.0
    move_budget: float = 0.0
    moves: int = 0
    hot_key_offset: int = 0

    def draw_key_hash(self) -> int:
        """Return the hash of a key drawn from a Zipf distribution with exponent 1."""
        rank = int(KEYS ** self.rng.random())
        # A different offset replaces all hot keys at once.
        if rank <= HOT_KEYS:
            rank = -rank - self.hot_key_offset
        return hash_key(f"key-{rank}")

    def simulate_second(self) -> float:
        """Serve a second's requests and update the placement; return the imbalance."""
        self.now += 1.0
        served: dict[str, int] = dict.fromkeys(self.table.targets, 0)
        for _ in range(REQUESTS_PER_S):
            key_hash = self.draw_key_hash()
            index = self.table.find(key_hash)
            served[self.table.slice_at(index).owner] += 1
            self.meter.add(self.table.starts[index], key_hash)
        self.update_placement()
        return max(served.values()) / (sum(served.values()) / len(served))

    def update_placement(self) -> None:
        """Record the measured loads, then split or move slices."""
        self.meter.decay(self.now)
        hot = {key: to_rate(count) for key, count in self.meter.keys.hottest()}
        self.aggregator.record("vm", "s", LoadReport(self.now, self.meter.rates(), hot))
        loads = self.aggregator.slice_loads("s", self.table, WHOLE_SPACE, self.now)
        if self.now % SPLIT_PERIOD_S < REBALANCE_PERIOD_S:
            if split_hot_slices(self.table, loads, hot, TARGETS):
                return
        self.move_budget = min(
            MOVES_PER_MINUTE, self.move_budget + MOVES_PER_MINUTE / 60
        )
        budget = int(self.move_budget)
        moves = plan_for_targets(self.table, loads, self.table.targets, budget)
        for move in moves:
            self.table.set_owner(move.index, move.destination)
        self.move_budget -= len(moves)
        self.moves += len(moves)


def plan_for_targets(
    table: SliceTable, loads: dict[int, float], targets: list[str], budget: int
) -> list[Move]:
    """Return the moves that the balancer plans to spread slices among targets."""
    slices = [
        SliceState(index, table.slice_at(index).owner, load)
        for index, load in loads.items()
    ]
    capacities = dict.fromkeys(targets, float(SLOTS))
    return plan_moves(BalanceRequest(slices, capacities, 5.0, 1.0, budget))


def build_table(targets: int) -> SliceTable:
    """Return a table whose slices are divided evenly among targets."""
    table = divide_ranges(WHOLE_SPACE, targets * SLICES_PER_TARGET)
    for index in range(len(table)):
        table.set_owner(index, f"t{index % targets}")
    return table


def measure_balance(results: Results, seed: int) -> None:
    """Measure convergence at the start and after a change of hot keys, and churn."""
    simulation = PlacementSimulation(random.Random(seed), build_table(TARGETS))
    converged_s, mean_imbalance = measure_convergence(simulation, CONVERGENCE_S)
    results.note("imbalance_time_to_converge", converged_s, "s")
    results.at_most(
        "imbalance_after_convergence", mean_imbalance, "ratio", IMBALANCE_BOUND
    )
    results.note("imbalance_moves_to_converge", simulation.moves, "moves")
    simulation.hot_key_offset = 1_000
    before = simulation.moves
    reconverged_s, _ = measure_convergence(simulation, CONVERGENCE_S)
    results.at_most(
        "imbalance_time_after_42_hot_keys_change",
        reconverged_s,
        "s",
        REPLACEMENT_BOUND_S,
    )
    results.note("imbalance_moves_after_change", simulation.moves - before, "moves")
    measure_churn(results)


def measure_convergence(
    simulation: PlacementSimulation, seconds: int
) -> tuple[float, float]:
    """Return when the imbalance stays within its bound (s), and the mean from then on.

    The imbalance counts as its mean over 5 s.
    """
    imbalances = [simulation.simulate_second() for _ in range(seconds)]
    within_bound = [
        sum(imbalances[i : i + 5]) / 5 <= IMBALANCE_BOUND for i in range(seconds - 4)
    ]
    last_exceeded = max(
        (i for i, within in enumerate(within_bound) if not within), default=-1
    )
    converged = imbalances[min(last_exceeded + 1, seconds - 5) :]
    return float(last_exceeded + 1), sum(converged) / len(converged)


def measure_churn(results: Results) -> None:
    """Compare planned moves with the fewest that a lost or joined target needs."""
    table = build_table(TARGETS)
    loads = dict.fromkeys(range(len(table)), 1.0)
    lost = "t3"
    owned_slices = sum(item.owner == lost for item in table)
    remaining = [name for name in table.targets if name != lost]
    planned_moves = len(plan_for_targets(table, loads, remaining, MOVES_PER_MINUTE))
    results.at_most("churn_on_loss", planned_moves / owned_slices, "ratio", CHURN_BOUND)
    joined = [*table.targets, "new"]
    planned_moves = len(plan_for_targets(table, loads, joined, MOVES_PER_MINUTE))
    fewest_moves = len(table) / len(joined)
    results.at_most("churn_on_join", planned_moves / fewest_moves, "ratio", CHURN_BOUND)
