"""Decide which slices move, weighing imbalance against churn."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

# Loads below this share of the mean excess don't justify a move.
BASE_HYSTERESIS = 0.05
# Each unit of churn weight over imbalance weight widens the hysteresis.
CHURN_HYSTERESIS = 0.02


@dataclass(frozen=True)
class SliceState:
    """Describe a slice to the balancer."""

    index: int
    owner: str | None
    load: float


@dataclass(frozen=True)
class Move:
    """Move a slice to a target, with the reason."""

    index: int
    source: str | None
    destination: str
    reason: str


@dataclass(frozen=True)
class BalanceRequest:
    """Hold what the balancer weighs; capacities are slots, scaled while cold."""

    slices: Sequence[SliceState]
    capacities: Mapping[str, float]
    imbalance_weight: float = 1.0
    churn_weight: float = 1.0
    move_budget: int = 10


@dataclass
class _Loads:
    """Track the load of each target while moves are planned."""

    capacities: Mapping[str, float]
    load: dict[str, float] = field(default_factory=dict)

    def ratio(self, target: str) -> float:
        return self.load[target] / self.capacities[target]


def plan_moves(request: BalanceRequest) -> list[Move]:
    """Return the moves to make now: first homeless slices, then rebalancing."""
    if not request.capacities:
        return []
    loads = _Loads(request.capacities, dict.fromkeys(request.capacities, 0.0))
    owned: dict[str, list[SliceState]] = {name: [] for name in request.capacities}
    homeless = []
    for item in request.slices:
        if item.owner in owned:
            owned[item.owner].append(item)
            loads.load[item.owner] += item.load
        else:
            homeless.append(item)
    placed = _place_homeless(homeless, loads)
    return placed + _rebalance(request, loads, owned)


def hysteresis(imbalance_weight: float, churn_weight: float) -> float:
    """Return the excess over the mean, as a share, that is left alone."""
    if imbalance_weight <= 0:
        return float("inf")
    return BASE_HYSTERESIS + CHURN_HYSTERESIS * churn_weight / imbalance_weight


def _place_homeless(homeless: list[SliceState], loads: _Loads) -> list[Move]:
    moves = []
    heap = [(loads.ratio(name), name) for name in loads.capacities]
    heapify(heap)
    for item in sorted(homeless, key=lambda s: (-s.load, s.index)):
        _, name = heappop(heap)
        loads.load[name] += item.load
        heappush(heap, (loads.ratio(name), name))
        moves.append(Move(item.index, item.owner, name, "owner_unusable"))
    return moves


def _rebalance(
    request: BalanceRequest, loads: _Loads, owned: dict[str, list[SliceState]]
) -> list[Move]:
    margin = hysteresis(request.imbalance_weight, request.churn_weight)
    total_capacity = sum(loads.capacities.values())
    mean = sum(loads.load.values()) / total_capacity
    moves: list[Move] = []
    moved: set[int] = set()
    while len(moves) < request.move_budget and mean > 0:
        move = _best_move(loads, owned, mean, margin, moved)
        if move is None:
            return moves
        moves.append(move)
        moved.add(move.index)
    return moves


def _best_move(
    loads: _Loads,
    owned: dict[str, list[SliceState]],
    mean: float,
    margin: float,
    moved: set[int],
) -> Move | None:
    """Return the move off an overloaded target that evens the loads most."""
    coldest = min(loads.capacities, key=lambda name: (loads.ratio(name), name))
    by_heat = sorted(loads.capacities, key=loads.ratio, reverse=True)
    coldest_is_short = loads.ratio(coldest) < mean * (1 - margin)
    for source in by_heat:
        excess = loads.ratio(source) - mean
        if excess <= 0 or (excess <= mean * margin and not coldest_is_short):
            return None
        gap = _transfer_that_evens(loads, source, coldest)
        best = _closest_slice(owned[source], gap, moved)
        if best is None:
            continue
        owned[source].remove(best)
        loads.load[source] -= best.load
        loads.load[coldest] += best.load
        owned[coldest].append(best)
        return Move(best.index, source, coldest, "imbalance")
    return None


def _transfer_that_evens(loads: _Loads, source: str, destination: str) -> float:
    """Return the load to move so that both ratios become equal."""
    a, b = loads.capacities[source], loads.capacities[destination]
    return (loads.load[source] * b - loads.load[destination] * a) / (a + b)


def _closest_slice(
    slices: list[SliceState], gap: float, moved: set[int]
) -> SliceState | None:
    """Return the slice whose load is closest to the gap and helps if moved."""
    useful = [
        item for item in slices if item.index not in moved and 0 < item.load < 2 * gap
    ]
    return min(useful, key=lambda s: abs(s.load - gap), default=None)
