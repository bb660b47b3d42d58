"""Planning of key range moves (gateway mode): balances load by target capacity."""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from peridot_ownership.loads import LoadProfile
from peridot_ownership.ranges import KEY_SPACE, KeyRange, OwnedRange, RangeTable

# A target gives keys away if its utilisation exceeds this times the mean, and
# HOT_UTILISATION.
HOT_FACTOR = 1.2
# Below this share of busy time few requests wait.
HOT_UTILISATION = 0.5
# A key that takes more than this share of its owner's capacity is dominant: the owner
# gives its other keys away.
DOMINANT_SHARE = 0.5
# A dominant key moves to a target that is faster by this factor.
FASTER_FACTOR = 1.3
# The factor if the owner has no other keys: capacity estimates of busy targets vary.
FASTER_FACTOR_ALONE = 2.5
# The least rate (1/s) of a range that is moved away from a dominant key.
MIN_OFFLOAD_RATE = 0.3
# Every key that moves has a cost: this times the range's share of all keys is added to
# a candidate range's relative deviation from the desired rate.
WIDTH_PENALTY = 2.0
# Added for a candidate that makes one more range to renew.
FRAGMENT_PENALTY = 0.2
# A target whose utilisation is below this share of the mean gets keys even if no other
# target is hot.
IDLE_FACTOR = 0.3
# Above this share of busy time many requests wait, so that chance isn't waited for.
SATURATED_UTILISATION = 0.8
# Rates are measured over about two seconds, in which a target sees ten to twenty
# requests. Smaller deviations than so many standard errors are mostly chance, and
# requests wait while their keys move. Hot targets make requests late, idle ones don't.
HOT_DEVIATIONS = 0.5
IDLE_DEVIATIONS = 3.0
# Unowned ranges are assigned in parts of this share of the mean load per target.
UNOWNED_PART_SHARE = 0.25
# A range is moved only if its rate is between these shares of the desired rate.
MIN_TRANSFER_SHARE = 0.25
MAX_TRANSFER_SHARE = 1.3
# Balancing moves per plan: this number, or one for so many targets if that is more.
# Otherwise a fleet of many targets would take longer to follow its hot keys.
MIN_MOVE_LIMIT = 6
TARGETS_PER_MOVE = 4


@dataclass(frozen=True)
class RangeMove:
    """A move of keys to a target, from their owner if they have one."""

    keys: KeyRange
    source: str | None
    destination: str
    reason: str


@dataclass(frozen=True)
class PlanInput:
    """The input of a plan; capacities are requests per second by target."""

    table: RangeTable
    profile: LoadProfile
    capacities: Mapping[str, float]
    # Keys that are moving already.
    moving: Collection[KeyRange] = ()
    # Keys that targets have just given away, by target; they don't return yet.
    given_away: Mapping[str, Collection[KeyRange]] = field(default_factory=dict)

    def would_return(self, keys: KeyRange, target: str) -> bool:
        """Return whether a target has just given some of the keys away."""
        return any(item.overlaps(keys) for item in self.given_away.get(target, ()))


@dataclass(frozen=True)
class Balance:
    """The utilisations of the busiest and the idlest target, and their mean."""

    busiest: str
    busiest_utilisation: float
    idlest: str
    idlest_utilisation: float
    mean_utilisation: float


@dataclass
class _TargetLoads:
    """The request rates of targets during planning, and their capacities (1/s)."""

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
    """Return the moves to start now.

    While ranges lack a usable owner, only these move.
    """
    if not plan.capacities:
        return []
    loads = _TargetLoads(plan.capacities, dict.fromkeys(plan.capacities, 0.0))
    owned: dict[str, list[KeyRange]] = {name: [] for name in plan.capacities}
    unowned: list[OwnedRange] = []
    for item in plan.table.ranges:
        for keys in item.keys.minus(plan.moving):
            if item.owner in owned:
                owned[item.owner].append(keys)
                loads.rates[item.owner] += plan.profile.load(keys)
            else:
                unowned.append(OwnedRange(keys, item.owner, item.fence))
    moves = _place_unowned(plan, unowned, loads)
    if not moves:
        moves = _balance_load(plan, loads, owned)
    return moves


def measure_balance(plan: PlanInput) -> Balance | None:
    """Return how evenly the load is spread, or None without usable targets."""
    if not plan.capacities:
        return None
    loads = _TargetLoads(plan.capacities, dict.fromkeys(plan.capacities, 0.0))
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


def _place_unowned(
    plan: PlanInput, unowned: list[OwnedRange], loads: _TargetLoads
) -> list[RangeMove]:
    part_rate = plan.profile.total / len(plan.capacities) * UNOWNED_PART_SHARE
    moves: list[RangeMove] = []
    for item in unowned:
        for keys in _split_by_load(plan.profile, item.keys, part_rate):
            rate = plan.profile.load(keys)
            target = min(
                plan.capacities,
                key=lambda name: (
                    plan.would_return(keys, name),
                    loads.utilisation(name, rate),
                ),
            )
            loads.transfer(rate, None, target)
            moves.append(RangeMove(keys, item.owner, target, "owner_unusable"))
    return _merge_adjacent(moves)


def _split_by_load(
    profile: LoadProfile, keys: KeyRange, part_rate: float
) -> list[KeyRange]:
    parts = []
    start = keys.start
    while start < keys.end:
        rest = KeyRange(start, keys.end)
        end = max(start + 1, profile.find_split(rest, part_rate))
        if profile.load(KeyRange(end, keys.end)) < part_rate / 2:
            end = keys.end
        parts.append(KeyRange(start, end))
        start = end
    return parts


def _merge_adjacent(moves: list[RangeMove]) -> list[RangeMove]:
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


def _balance_load(
    plan: PlanInput, loads: _TargetLoads, owned: dict[str, list[KeyRange]]
) -> list[RangeMove]:
    moves = _move_dominant_keys(plan, loads, owned)
    for move in moves:
        _exclude(owned, move)
    limit = max(MIN_MOVE_LIMIT, len(plan.capacities) // TARGETS_PER_MOVE)
    while len(moves) < limit:
        move = _best_move(plan, loads, owned)
        if move is None:
            break
        moves.append(move)
        loads.transfer(plan.profile.load(move.keys), move.source, move.destination)
        _exclude(owned, move)
    return moves


def _exclude(owned: dict[str, list[KeyRange]], move: RangeMove) -> None:
    """Exclude keys that a move takes from the rest of the plan."""
    owned[move.source] = [
        part for item in owned[move.source] for part in item.minus([move.keys])
    ]


def _best_move(
    plan: PlanInput, loads: _TargetLoads, owned: dict[str, list[KeyRange]]
) -> RangeMove | None:
    by_utilisation = sorted(loads.capacities, key=loads.utilisation)
    mean = loads.mean()
    for source in reversed(by_utilisation):
        utilisation = loads.utilisation(source)
        if utilisation <= mean:
            return None
        hot = _is_hot(plan.profile, loads, source, mean)
        for destination in _find_destinations(plan, owned[source], by_utilisation):
            idle = _is_idle(plan, loads, owned[destination], destination, mean)
            if not (hot or idle) or loads.utilisation(destination) >= mean:
                break
            keys = _best_range(plan, loads, owned, source, destination)
            if keys is not None:
                reason = "idle" if idle else "imbalance"
                return RangeMove(keys, source, destination, reason)
    return None


def _is_hot(
    profile: LoadProfile, loads: _TargetLoads, target: str, mean: float
) -> bool:
    """Return whether a target's load is too high by more than chance."""
    hot_utilisation = _hot_utilisation(mean)
    limit = hot_utilisation * loads.capacities[target]
    limit += HOT_DEVIATIONS * profile.standard_error(limit)
    utilisation = loads.utilisation(target)
    return loads.rates[target] > limit or (
        utilisation > max(hot_utilisation, SATURATED_UTILISATION)
    )


def _is_idle(
    plan: PlanInput,
    loads: _TargetLoads,
    ranges: list[KeyRange],
    target: str,
    mean: float,
) -> bool:
    """Return whether a target has far fewer requests than the mean, not by chance.

    One that has just joined owns few keys, so its load needs no measurement.
    """
    if loads.utilisation(target) >= mean * IDLE_FACTOR:
        return False
    width = sum(keys.end - keys.start for keys in ranges)
    if width < IDLE_FACTOR * KEY_SPACE / len(loads.capacities):
        return True
    mean_rate = mean * loads.capacities[target]
    missing = mean_rate - loads.rates[target]
    return missing > IDLE_DEVIATIONS * plan.profile.standard_error(mean_rate)


def _find_destinations(
    plan: PlanInput, ranges: list[KeyRange], by_utilisation: list[str]
) -> Iterator[str]:
    """Yield the idlest target, and the next ones as long as keys would return."""
    for target in by_utilisation:
        yield target
        if not any(plan.would_return(keys, target) for keys in ranges):
            return


def _best_range(
    plan: PlanInput,
    loads: _TargetLoads,
    owned: dict[str, list[KeyRange]],
    source: str,
    destination: str,
) -> KeyRange | None:
    """Return the range whose move best balances two targets, if any."""
    desired_rate = _desired_rate(loads, source, destination)
    if desired_rate <= 0:
        return None
    dominant = _dominant_key(plan.profile, owned[source], loads.capacities[source])
    min_rate = (
        MIN_TRANSFER_SHARE * desired_rate if dominant is None else MIN_OFFLOAD_RATE
    )
    neighbours = {
        bound
        for item in plan.table.owned_by(destination)
        for bound in (item.keys.start, item.keys.end)
    }
    best: tuple[float, KeyRange] | None = None
    given_away = plan.given_away.get(destination, ())
    available = [part for keys in owned[source] for part in keys.minus(given_away)]
    for keys in available:
        for candidate in _candidate_ranges(plan.profile, keys, desired_rate, dominant):
            rate = plan.profile.load(candidate)
            if not min_rate <= rate <= MAX_TRANSFER_SHARE * desired_rate:
                continue
            cost = abs(rate - desired_rate) / desired_rate
            cost += WIDTH_PENALTY * (candidate.end - candidate.start) / KEY_SPACE
            if (
                neighbours.isdisjoint((candidate.start, candidate.end))
                and candidate != keys
            ):
                cost += FRAGMENT_PENALTY
            if best is None or cost < best[0]:
                best = (cost, candidate)
    return best[1] if best else None


def _dominant_key(
    profile: LoadProfile, ranges: list[KeyRange], capacity: float
) -> int | None:
    """Return the key that alone uses most of a target's capacity, or None."""
    hottest = [profile.hottest(keys) for keys in ranges]
    key, rate = max(hottest, key=lambda item: item[1], default=(0, 0.0))
    return key if rate > DOMINANT_SHARE * capacity else None


def _candidate_ranges(
    profile: LoadProfile, keys: KeyRange, desired_rate: float, dominant: int | None
) -> list[KeyRange]:
    """Return a range and parts at its ends that have about the desired rate.

    The whole range is left out if its rate is too high. A range with a dominant key is
    split around that key first.
    """
    if dominant is not None and keys.start <= dominant < keys.end:
        sides = keys.minus([KeyRange(dominant, dominant + 1)])
        return [
            p
            for side in sides
            for p in _candidate_ranges(profile, side, desired_rate, None)
        ]
    rate = profile.load(keys)
    candidates = [keys] if rate <= MAX_TRANSFER_SHARE * desired_rate else []
    for low_rate in (desired_rate, rate - desired_rate):
        if 0 < low_rate < rate:
            split = profile.find_split(keys, low_rate)
            for bound in (split, split - 1):
                if keys.start < bound < keys.end:
                    low, high = KeyRange(keys.start, bound), KeyRange(bound, keys.end)
                    candidates += [low, high]
    return candidates


def _move_dominant_keys(
    plan: PlanInput, loads: _TargetLoads, owned: dict[str, list[KeyRange]]
) -> list[RangeMove]:
    """Move dominant keys to the fastest targets without one, the hottest key first."""
    dominant_keys = {
        source: key
        for source, ranges in owned.items()
        if (key := _dominant_key(plan.profile, ranges, plan.capacities[source]))
        is not None
    }
    moves = []
    free = set(plan.capacities) - dominant_keys.keys()
    rates = {
        source: plan.profile.load(KeyRange(key, key + 1))
        for source, key in dominant_keys.items()
    }
    for source in sorted(dominant_keys, key=rates.__getitem__, reverse=True):
        key = dominant_keys[source]
        keys = KeyRange(key, key + 1)
        others = [name for name in free if not plan.would_return(keys, name)]
        fastest = max(others, key=plan.capacities.__getitem__, default=source)
        alone = owned[source] == [keys]
        factor = FASTER_FACTOR_ALONE if alone else FASTER_FACTOR
        if plan.capacities[fastest] > factor * plan.capacities[source]:
            loads.transfer(rates[source], source, fastest)
            free.remove(fastest)
            moves.append(RangeMove(keys, source, fastest, "dominant_key"))
    return moves


def _desired_rate(loads: _TargetLoads, source: str, destination: str) -> float:
    """Return the rate (1/s) whose transfer equalises two targets' utilisations.

    It is at most what the destination can take without becoming hot itself, since a
    busy set of keys needs more than two targets and each further move costs time.
    """
    a, b = loads.capacities[source], loads.capacities[destination]
    equalising = (loads.rates[source] * b - loads.rates[destination] * a) / (a + b)
    room = _hot_utilisation(loads.mean()) * b - loads.rates[destination]
    return min(equalising, room)


def _hot_utilisation(mean: float) -> float:
    """Return the utilisation from which a target gives keys away."""
    return max(mean * HOT_FACTOR, HOT_UTILISATION)
