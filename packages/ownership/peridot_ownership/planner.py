"""Plan which key ranges move to which targets."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from peridot_ownership.loads import LoadProfile
from peridot_ownership.ranges import KEY_SPACE, KeyRange, OwnedRange, RangeTable

# A target busier than the mean by this factor gives keys away ...
HOT_FACTOR = 1.2
# ... if it is busy for more than this share of its time; below, few wait.
HOT_UTILISATION = 0.5
# A key that takes more than this share of its owner's capacity gets it alone.
DOMINANT_SHARE = 0.5
# A dominant key moves to a target that is faster by this factor ...
FASTER_FACTOR = 1.3
# ... or this one, if it has its owner to itself: estimates of busy targets vary.
FASTER_FACTOR_ALONE = 2.5
# A range with this rate (1/s) is worth moving away from a dominant key.
MIN_OFFLOAD = 0.3
# Each key that moves has a price; this weighs all keys against a perfect fit.
WIDTH_WEIGHT = 2.0
# A piece that makes one more range to renew fits worse by this share.
FRAGMENT_WEIGHT = 0.2
# A target idler than this share of the mean gets keys whatever the others do.
IDLE_FACTOR = 0.3
# Ranges without an owner are handed out in parts of this share of a mean load.
PART_SHARE = 0.25
# A piece between these shares of the wanted transfer is worth a move.
MIN_PIECE = 0.25
MAX_PIECE = 1.3
MAX_MOVES = 6


@dataclass(frozen=True)
class RangeMove:
    """Move keys from an owner, or nobody, to a target, with the reason."""

    keys: KeyRange
    source: str | None
    destination: str
    reason: str


@dataclass(frozen=True)
class PlanInput:
    """Hold what a plan is made of; capacities are requests a second by target."""

    table: RangeTable
    profile: LoadProfile
    capacities: Mapping[str, float]
    # Keys that are under way already.
    moving: Collection[KeyRange] = ()


@dataclass(frozen=True)
class Balance:
    """Tell how busy the busiest and the idlest target are."""

    busiest: str
    busiest_utilisation: float
    idlest: str
    idlest_utilisation: float
    mean_utilisation: float


@dataclass
class _Loads:
    capacities: Mapping[str, float]
    rates: dict[str, float]

    def utilisation(self, target: str, extra: float = 0.0) -> float:
        return (self.rates[target] + extra) / self.capacities[target]

    def mean(self) -> float:
        return sum(self.rates.values()) / sum(self.capacities.values())

    def transfer(self, rate: float, source: str | None, destination: str) -> None:
        if source in self.rates:
            self.rates[source] -= rate
        self.rates[destination] += rate


def plan_moves(plan: PlanInput) -> list[RangeMove]:
    """Return the moves to make now: ranges without a usable owner come first."""
    if not plan.capacities:
        return []
    loads = _Loads(plan.capacities, dict.fromkeys(plan.capacities, 0.0))
    owned: dict[str, list[KeyRange]] = {name: [] for name in plan.capacities}
    homeless: list[OwnedRange] = []
    for item in plan.table.ranges:
        for keys in item.keys.minus(plan.moving):
            if item.owner in owned:
                owned[item.owner].append(keys)
                loads.rates[item.owner] += plan.profile.load(keys)
            else:
                homeless.append(OwnedRange(keys, item.owner, item.fence))
    moves = _place_homeless(plan, homeless, loads)
    if not moves:
        moves = _even_out(plan, loads, owned)
    return moves


def measure_balance(plan: PlanInput) -> Balance | None:
    """Return how evenly the load lies on the targets."""
    if not plan.capacities:
        return None
    loads = _Loads(plan.capacities, dict.fromkeys(plan.capacities, 0.0))
    for item in plan.table.ranges:
        if item.owner in loads.rates:
            loads.rates[item.owner] += plan.profile.load(item.keys)
    busiest = max(plan.capacities, key=loads.utilisation)
    idlest = min(plan.capacities, key=loads.utilisation)
    return Balance(
        busiest,
        loads.utilisation(busiest),
        idlest,
        loads.utilisation(idlest),
        loads.mean(),
    )


def _place_homeless(
    plan: PlanInput, homeless: list[OwnedRange], loads: _Loads
) -> list[RangeMove]:
    part_rate = plan.profile.total / len(plan.capacities) * PART_SHARE
    moves: list[RangeMove] = []
    for item in homeless:
        for keys in _cut_into_parts(plan.profile, item.keys, part_rate):
            rate = plan.profile.load(keys)
            target = min(
                plan.capacities, key=lambda name: loads.utilisation(name, rate)
            )
            loads.transfer(rate, None, target)
            moves.append(RangeMove(keys, item.owner, target, "owner_unusable"))
    return _join_neighbours(moves)


def _cut_into_parts(
    profile: LoadProfile, keys: KeyRange, part_rate: float
) -> list[KeyRange]:
    parts = []
    start = keys.start
    while start < keys.end:
        rest = KeyRange(start, keys.end)
        end = max(start + 1, profile.cut_after(rest, part_rate))
        if profile.load(KeyRange(end, keys.end)) < part_rate / 2:
            end = keys.end
        parts.append(KeyRange(start, end))
        start = end
    return parts


def _join_neighbours(moves: list[RangeMove]) -> list[RangeMove]:
    joined: list[RangeMove] = []
    for move in moves:
        last = joined[-1] if joined else None
        if (
            last is not None
            and last.keys.end == move.keys.start
            and (last.source, last.destination) == (move.source, move.destination)
        ):
            keys = KeyRange(last.keys.start, move.keys.end)
            joined[-1] = RangeMove(keys, move.source, move.destination, move.reason)
        else:
            joined.append(move)
    return joined


def _even_out(
    plan: PlanInput, loads: _Loads, owned: dict[str, list[KeyRange]]
) -> list[RangeMove]:
    moves = _speed_up_dominant(plan, loads, owned)
    for move in moves:
        _leave_out(owned, move)
    while len(moves) < MAX_MOVES:
        move = _best_move(plan, loads, owned)
        if move is None:
            break
        moves.append(move)
        loads.transfer(plan.profile.load(move.keys), move.source, move.destination)
        _leave_out(owned, move)
    return moves


def _leave_out(owned: dict[str, list[KeyRange]], move: RangeMove) -> None:
    """Leave keys that were moved once out of the rest of a plan."""
    owned[move.source] = [
        part for item in owned[move.source] for part in item.minus([move.keys])
    ]


def _best_move(
    plan: PlanInput, loads: _Loads, owned: dict[str, list[KeyRange]]
) -> RangeMove | None:
    coldest = min(loads.capacities, key=loads.utilisation)
    mean = loads.mean()
    idle = loads.utilisation(coldest) < mean * IDLE_FACTOR
    for source in sorted(loads.capacities, key=loads.utilisation, reverse=True):
        utilisation = loads.utilisation(source)
        if utilisation <= mean or source == coldest:
            return None
        if not idle and utilisation <= max(mean * HOT_FACTOR, HOT_UTILISATION):
            return None
        keys = _best_piece(plan, loads, owned, source, coldest)
        if keys is not None:
            return RangeMove(keys, source, coldest, "idle" if idle else "imbalance")
    return None


def _best_piece(
    plan: PlanInput,
    loads: _Loads,
    owned: dict[str, list[KeyRange]],
    source: str,
    destination: str,
) -> KeyRange | None:
    """Return the part of a source's keys whose move evens out two targets."""
    wanted = _rate_to_transfer(loads, source, destination)
    if wanted <= 0:
        return None
    dominant = _dominant_key(plan.profile, owned[source], loads.capacities[source])
    least = MIN_PIECE * wanted if dominant is None else MIN_OFFLOAD
    neighbours = {
        bound
        for item in plan.table.owned_by(destination)
        for bound in (item.keys.start, item.keys.end)
    }
    best: tuple[float, KeyRange] | None = None
    for keys in owned[source]:
        for piece in _pieces(plan.profile, keys, wanted, dominant):
            rate = plan.profile.load(piece)
            if not least <= rate <= MAX_PIECE * wanted:
                continue
            error = abs(rate - wanted) / wanted
            error += WIDTH_WEIGHT * (piece.end - piece.start) / KEY_SPACE
            if neighbours.isdisjoint((piece.start, piece.end)) and piece != keys:
                error += FRAGMENT_WEIGHT
            if best is None or error < best[0]:
                best = (error, piece)
    return best[1] if best else None


def _dominant_key(
    profile: LoadProfile, ranges: list[KeyRange], capacity: float
) -> int | None:
    """Return the key that alone fills most of a target, or None."""
    hottest = [profile.hottest(keys) for keys in ranges]
    key, rate = max(hottest, key=lambda item: item[1], default=(0, 0.0))
    return key if rate > DOMINANT_SHARE * capacity else None


def _pieces(
    profile: LoadProfile, keys: KeyRange, wanted: float, dominant: int | None
) -> list[KeyRange]:
    """Return the whole range, or a piece from each of its ends.

    A range with a dominant key is cut around that key first.
    """
    if dominant is not None and keys.start <= dominant < keys.end:
        sides = keys.minus([KeyRange(dominant, dominant + 1)])
        return [p for side in sides for p in _pieces(profile, side, wanted, None)]
    rate = profile.load(keys)
    pieces = [keys] if rate <= MAX_PIECE * wanted else []
    for share in (wanted, rate - wanted):
        if 0 < share < rate:
            cut = profile.cut_after(keys, share)
            for at in (cut, cut - 1):
                if keys.start < at < keys.end:
                    low, high = KeyRange(keys.start, at), KeyRange(at, keys.end)
                    pieces += [low, high]
    return pieces


def _speed_up_dominant(
    plan: PlanInput, loads: _Loads, owned: dict[str, list[KeyRange]]
) -> list[RangeMove]:
    """Move dominant keys to the fastest target that isn't taken by another."""
    found = {
        source: key
        for source, ranges in owned.items()
        if (key := _dominant_key(plan.profile, ranges, plan.capacities[source]))
        is not None
    }
    moves = []
    for source, key in found.items():
        free = [name for name in plan.capacities if name not in found]
        fastest = max(free, key=plan.capacities.__getitem__, default=source)
        keys = KeyRange(key, key + 1)
        alone = owned[source] == [keys]
        factor = FASTER_FACTOR_ALONE if alone else FASTER_FACTOR
        if plan.capacities[fastest] > factor * plan.capacities[source]:
            loads.transfer(plan.profile.load(keys), source, fastest)
            moves.append(RangeMove(keys, source, fastest, "dominant_key"))
    return moves


def _rate_to_transfer(loads: _Loads, source: str, destination: str) -> float:
    """Return the rate whose move makes both equally busy (1/s)."""
    a, b = loads.capacities[source], loads.capacities[destination]
    return (loads.rates[source] * b - loads.rates[destination] * a) / (a + b)
