"""The balancer, which chooses the slices to move by weighing imbalance and churn."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

# An excess over the mean utilisation below this share of the mean causes no move.
BASE_HYSTERESIS = 0.05
# The hysteresis grows by this much times the churn weight over the imbalance weight.
CHURN_HYSTERESIS = 0.02


@dataclass(frozen=True)
class SliceState:
    """A slice as the balancer sees it, with its load."""

    index: int
    owner: str | None
    load: float


@dataclass(frozen=True)
class Move:
    """A move of a slice to a target, with the reason."""

    index: int
    source: str | None
    destination: str
    reason: str


@dataclass(frozen=True)
class BalanceRequest:
    """The balancer's input; capacities are slots, scaled down while targets ramp up."""

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

    def utilisation(self, target: str) -> float:
        return self.load[target] / self.capacities[target]


def plan_moves(request: BalanceRequest) -> list[Move]:
    """Return the moves to make now: of unowned slices, then for balance.

    Slices whose owner has no capacity here, because it is unusable, count as unowned.
    """
    if not request.capacities:
        return []
    loads = _Loads(request.capacities, dict.fromkeys(request.capacities, 0.0))
    owned: dict[str, list[SliceState]] = {name: [] for name in request.capacities}
    unowned = []
    for item in request.slices:
        if item.owner in owned:
            owned[item.owner].append(item)
            loads.load[item.owner] += item.load
        else:
            unowned.append(item)
    assignments = _assign_unowned(unowned, loads)
    return assignments + _rebalance(request, loads, owned)


def hysteresis(imbalance_weight: float, churn_weight: float) -> float:
    """Return the excess over the mean, as a share of it, that causes no move."""
    if imbalance_weight <= 0:
        return float("inf")
    return BASE_HYSTERESIS + CHURN_HYSTERESIS * churn_weight / imbalance_weight


def _assign_unowned(unowned: list[SliceState], loads: _Loads) -> list[Move]:
    moves = []
    heap = [(loads.utilisation(name), name) for name in loads.capacities]
    heapify(heap)
    for item in sorted(unowned, key=lambda s: (-s.load, s.index)):
        _, name = heappop(heap)
        loads.load[name] += item.load
        heappush(heap, (loads.utilisation(name), name))
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
        move = _apply_best_move(loads, owned, mean, margin, moved)
        if move is None:
            return moves
        moves.append(move)
        moved.add(move.index)
    return moves


def _apply_best_move(
    loads: _Loads,
    owned: dict[str, list[SliceState]],
    mean: float,
    margin: float,
    moved: set[int],
) -> Move | None:
    """Apply to the loads, and return, the next move off an overutilised target."""
    least_loaded = min(
        loads.capacities, key=lambda name: (loads.utilisation(name), name)
    )
    by_utilisation = sorted(loads.capacities, key=loads.utilisation, reverse=True)
    underloaded = loads.utilisation(least_loaded) < mean * (1 - margin)
    for source in by_utilisation:
        excess = loads.utilisation(source) - mean
        if excess <= 0 or (excess <= mean * margin and not underloaded):
            return None
        wanted_load = _equalizing_transfer(loads, source, least_loaded)
        best = _closest_slice(owned[source], wanted_load, moved)
        if best is None:
            continue
        owned[source].remove(best)
        loads.load[source] -= best.load
        loads.load[least_loaded] += best.load
        owned[least_loaded].append(best)
        return Move(best.index, source, least_loaded, "imbalance")
    return None


def _equalizing_transfer(loads: _Loads, source: str, destination: str) -> float:
    """Return the load to move so that both targets are equally utilised."""
    a, b = loads.capacities[source], loads.capacities[destination]
    return (loads.load[source] * b - loads.load[destination] * a) / (a + b)


def _closest_slice(
    slices: list[SliceState], wanted_load: float, moved: set[int]
) -> SliceState | None:
    """Return the slice closest to the wanted load whose move improves the balance."""
    candidates = [
        item
        for item in slices
        if item.index not in moved and 0 < item.load < 2 * wanted_load
    ]
    return min(candidates, key=lambda s: abs(s.load - wanted_load), default=None)
