"""Measure imbalance and churn of the placement decisions, in virtual time."""

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
# So many keys that the hottest one has less than a target's mean load.
KEYS = 14_000_000
REQUESTS_A_SECOND = 20_000
MOVES_A_MINUTE = 240
CONVERGENCE_S = 120
HOT_KEYS = 42
IMBALANCE_BOUND = 1.15
CHURN_BOUND = 1.1
REPLACEMENT_BOUND_S = 120
WHOLE = (HashRange(0, HASH_SPACE),)


@dataclass
class VirtualSite:
    """Run meter, split and balance each virtual second, as the placer does."""

    rng: random.Random
    table: SliceTable
    meter: LoadMeter = field(default_factory=LoadMeter)
    aggregator: LoadAggregator = field(default_factory=LoadAggregator)
    now: float = 0.0
    allowance: float = 0.0
    moves: int = 0
    shift: int = 0

    def choose_hash(self) -> int:
        """Return the hash of a key, drawn by Zipf's law with exponent 1."""
        rank = int(KEYS ** self.rng.random())
        if rank <= HOT_KEYS:
            rank = -rank - self.shift
        return hash_key(f"key-{rank}")

    def run_second(self) -> float:
        """Serve a second's requests, decide, and return that second's imbalance."""
        self.now += 1.0
        served: dict[str, int] = dict.fromkeys(self.table.targets, 0)
        for _ in range(REQUESTS_A_SECOND):
            key_hash = self.choose_hash()
            index = self.table.find(key_hash)
            served[self.table.slice_at(index).owner] += 1
            self.meter.add(self.table.starts[index], key_hash)
        self.decide()
        return max(served.values()) / (sum(served.values()) / len(served))

    def decide(self) -> None:
        """Report loads, then split or move."""
        self.meter.decay(self.now)
        hot = {key: to_rate(count) for key, count in self.meter.keys.hottest()}
        self.aggregator.record("vm", "s", LoadReport(self.now, self.meter.rates(), hot))
        loads = self.aggregator.slice_loads("s", self.table, WHOLE, self.now)
        if self.now % SPLIT_PERIOD_S < REBALANCE_PERIOD_S:
            if split_hot_slices(self.table, loads, hot, TARGETS):
                return
        self.allowance = min(MOVES_A_MINUTE, self.allowance + MOVES_A_MINUTE / 60)
        budget = int(self.allowance)
        moves = plan(self.table, loads, self.table.targets, budget)
        for move in moves:
            self.table.set_owner(move.index, move.destination)
        self.allowance -= len(moves)
        self.moves += len(moves)


def plan(
    table: SliceTable, loads: dict[int, float], targets: list[str], budget: int
) -> list[Move]:
    """Return the moves for a table under loads."""
    slices = [
        SliceState(index, table.slice_at(index).owner, load)
        for index, load in loads.items()
    ]
    capacities = dict.fromkeys(targets, float(SLOTS))
    return plan_moves(BalanceRequest(slices, capacities, 5.0, 1.0, budget))


def build_table(targets: int) -> SliceTable:
    """Return a table divided evenly among targets."""
    table = divide_ranges(WHOLE, targets * SLICES_PER_TARGET)
    for index in range(len(table)):
        table.set_owner(index, f"t{index % targets}")
    return table


def measure_balance(results: Results, seed: int) -> None:
    """Measure convergence, replacement of hot keys, and churn."""
    site = VirtualSite(random.Random(seed), build_table(TARGETS))
    first, worst = run_until_even(site, CONVERGENCE_S)
    results.note("imbalance_time_to_converge", first, "s")
    results.at_most("imbalance_after_convergence", worst, "ratio", IMBALANCE_BOUND)
    results.note("imbalance_moves_to_converge", site.moves, "moves")
    site.shift = 1_000
    before = site.moves
    back, _ = run_until_even(site, CONVERGENCE_S)
    results.at_most(
        "imbalance_time_after_42_hot_keys_change", back, "s", REPLACEMENT_BOUND_S
    )
    results.note("imbalance_moves_after_change", site.moves - before, "moves")
    measure_churn(results)


def run_until_even(site: VirtualSite, seconds: int) -> tuple[float, float]:
    """Return when the imbalance came under its bound to stay, and the mean after."""
    ratios = [site.run_second() for _ in range(seconds)]
    even = [sum(ratios[i : i + 5]) / 5 <= IMBALANCE_BOUND for i in range(seconds - 4)]
    last_uneven = max((i for i, fits in enumerate(even) if not fits), default=-1)
    settled = ratios[min(last_uneven + 1, seconds - 5) :]
    return float(last_uneven + 1), sum(settled) / len(settled)


def measure_churn(results: Results) -> None:
    """Compare moved slices with the least that a loss or join needs."""
    table = build_table(TARGETS)
    loads = dict.fromkeys(range(len(table)), 1.0)
    lost = "t3"
    share = sum(item.owner == lost for item in table)
    left = [name for name in table.targets if name != lost]
    moved = len(plan(table, loads, left, MOVES_A_MINUTE))
    results.at_most("churn_on_loss", moved / share, "ratio", CHURN_BOUND)
    joined = [*table.targets, "new"]
    moved = len(plan(table, loads, joined, MOVES_A_MINUTE))
    least = len(table) / len(joined)
    results.at_most("churn_on_join", moved / least, "ratio", CHURN_BOUND)
