"""Shares of a service's capacity: which part of each route's requests is admitted.

The urgent routes are served first, each route keeps a floor, and a burst of one route
gets only what the usual demand of the others leaves.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp, isfinite

# No route may be served less than a quarter as often as all requests; the rest covers
# refusals at single targets.
FLOOR_SHARE = 0.35
# Demand up to this multiple of the usual one is no burst: it varies by 15 % in seconds.
USUAL_HEADROOM = 1.3
# Rates follow arrivals within about this time.
RATE_AVERAGING_S = 1.0
# Usual rates are averages of this time. Under overload they grow more slowly, since
# arrivals contain callers that were refused and come again.
USUAL_AVERAGING_S = 15.0
OVERLOADED_USUAL_AVERAGING_S = 120.0
# At first, usual rates are the average since the start.
INITIAL_USUAL_S = 5.0
# Shares fall quickly, before queues are full, and rise more slowly, so that they don't
# oscillate with the arrivals that they cause.
FALLING_SHARE_S = 0.3
RISING_SHARE_S = 1.0
# Shares are computed at most this often, and first when arrivals were counted for a
# time: members of a new placer report to it one after the other.
UPDATE_PERIOD_S = 0.2
INITIAL_COUNT_S = 1.0
# Part of the nominal capacity that can be used: it is corrected by the refusals of
# single targets (a few show that all are busy), within bounds.
INITIAL_USABLE_SHARE = 1.05
MIN_USABLE_SHARE = 0.9
MAX_USABLE_SHARE = 1.25
EXPECTED_REFUSAL_RATIO = 0.05
USABLE_GROWTH_PER_S = 0.04
MAX_USABLE_DECLINE_PER_S = 0.1
# Bisections of a level: exact to a thousandth of a permille.
LEVEL_STEPS = 20
# What is left below this part of a group's limits is the error of bisections before.
LEVEL_PRECISION = 2 * 0.5**LEVEL_STEPS
# Routes with less than this part of a service's requests compete for nothing: a
# configuration may have thousands of routes, most of them without requests.
MIN_ACTIVE_SHARE = 0.02
# Shares from here on are rounded to all.
FULL_SHARE = 0.995


@dataclass(frozen=True)
class RoutePlan:
    """What the configuration and measurements say of a route at one service."""

    # A larger number is more urgent.
    priority: int
    # Expected work of a request (s of a slot).
    work_s: float


@dataclass(frozen=True)
class RouteDemand:
    """Arrivals of a route now and usually (1/s)."""

    plan: RoutePlan
    rate: float
    usual_rate: float


def compute_shares(
    demands: Mapping[str, RouteDemand], capacity: float
) -> dict[str, float]:
    """Return the share of each route's requests that a capacity (slots) can serve."""
    needed = {name: item.rate * item.plan.work_s for name, item in demands.items()}
    total = sum(needed.values())
    if total <= capacity:
        return dict.fromkeys(demands, 1.0)
    overall = capacity / total
    shares = dict.fromkeys(demands, overall)
    # The floor depends on how many requests are served, which depends on the floor.
    for _ in range(2):
        floor = min(FLOOR_SHARE * overall, capacity / total)
        shares = _allocate(demands, needed, capacity, floor)
        arrived = sum(item.rate for item in demands.values())
        served = sum(shares[name] * item.rate for name, item in demands.items())
        overall = served / arrived
    return shares


def _allocate(
    demands: Mapping[str, RouteDemand],
    needed: Mapping[str, float],
    capacity: float,
    floor: float,
) -> dict[str, float]:
    """Grant floors, then usual demand by priority, then bursts by priority.

    Equally urgent routes get their average demand before any of them gets more.
    """
    granted = {name: floor * work for name, work in needed.items()}
    usual, headroom = (
        {
            name: min(needed[name], factor * item.usual_rate * item.plan.work_s)
            for name, item in demands.items()
        }
        for factor in (1.0, USUAL_HEADROOM)
    )
    left = capacity - sum(granted.values())
    priorities = sorted({d.plan.priority for d in demands.values()}, reverse=True)
    steps = [(p, limits) for p in priorities for limits in (usual, headroom)]
    for priority, limits in steps + [(p, needed) for p in priorities]:
        group = [n for n, d in demands.items() if d.plan.priority == priority]
        raised = _raise_level(group, granted, limits, left)
        left -= sum(raised[name] - granted[name] for name in group)
        granted |= raised
    shares = {
        name: min(1.0, granted[name] / work) if work > 0 else 1.0
        for name, work in needed.items()
    }
    return _order_shares(shares, demands, needed)


def _raise_level(
    group: list[str],
    granted: Mapping[str, float],
    limits: Mapping[str, float],
    left: float,
) -> dict[str, float]:
    """Return grants raised to the same part of each limit, by what is left in total.

    Grants that are above that part stay: the floor of a burst is no addition to its
    usual demand.
    """

    def raise_to(part: float) -> dict[str, float]:
        return {name: max(granted[name], part * limits[name]) for name in group}

    if left <= LEVEL_PRECISION * sum(limits[name] for name in group):
        return {name: granted[name] for name in group}
    available = left + sum(granted[name] for name in group)
    low, high = 0.0, 1.0
    if sum(raise_to(high).values()) <= available:
        return raise_to(high)
    for _ in range(LEVEL_STEPS):
        middle = (low + high) / 2
        if sum(raise_to(middle).values()) <= available:
            low = middle
        else:
            high = middle
    return raise_to(low)


def _order_shares(
    shares: Mapping[str, float],
    demands: Mapping[str, RouteDemand],
    needed: Mapping[str, float],
) -> dict[str, float]:
    """Return shares of which none exceeds that of a more urgent route.

    A burst of an urgent route takes room of less urgent ones until their shares are
    equal (pool adjacent violators).
    """
    names = sorted(shares, key=lambda n: (-demands[n].plan.priority, -shares[n]))
    pools: list[tuple[list[str], float, float]] = []
    for name in names:
        pool = [name], shares[name] * needed[name], needed[name]
        while pools and pools[-1][1] * pool[2] < pool[1] * pools[-1][2]:
            names_before, granted, work = pools.pop()
            pool = [*names_before, *pool[0]], granted + pool[1], work + pool[2]
        pools.append(pool)
    return {
        name: granted / work if work > 0 else 1.0
        for group, granted, work in pools
        for name in group
    }


@dataclass
class RouteLevel:
    """Counts, rates (1/s) and the admitted share of one route."""

    arrived: int = 0
    refused: int = 0
    rate: float = 0.0
    usual_rate: float = 0.0
    share: float = 1.0


@dataclass
class ServiceLevels:
    """The admitted shares of one service's routes, from reported counts."""

    routes: dict[str, RouteLevel] = field(default_factory=dict)
    # When arrivals were first counted, and last turned into rates (s).
    counted_from: float | None = None
    updated_at: float = 0.0
    overloaded: bool = False
    usable_share: float = INITIAL_USABLE_SHARE
    # Share of requests that targets or VMs refused although their route's share
    # admitted them.
    refusal_ratio: float = 0.0
    # Offered work and usable capacity at the last update (slots).
    demand: float = 0.0
    capacity: float = 0.0

    def record(self, route: str, arrived: int, refused: int, now: float) -> None:
        """Count requests of a route that arrived, and those of them refused."""
        if self.counted_from is None:
            self.counted_from = self.updated_at = now
        level = self.routes.get(route)
        if level is None:
            level = self.routes[route] = RouteLevel()
        level.arrived += arrived
        level.refused += min(refused, arrived)

    def update(
        self, plans: Mapping[str, RoutePlan], slots: float, now: float
    ) -> dict[str, float] | None:
        """Return the share by route, None while too little is known.

        Routes without a plan are forgotten. Slots are those of all targets, in units
        of usual speed.
        """
        if self.counted_from is None or not (isfinite(slots) and slots > 0):
            return None
        initial = self.updated_at == self.counted_from
        elapsed_s = now - self.updated_at
        if elapsed_s >= (INITIAL_COUNT_S if initial else UPDATE_PERIOD_S):
            self.routes = {name: self.routes.get(name, RouteLevel()) for name in plans}
            self._correct_usable_share(plans, elapsed_s)
            self._update_rates(elapsed_s, now, initial)
            self._update_shares(plans, slots, elapsed_s, initial)
            self.updated_at, initial = now, False
        if initial:
            return None
        return {name: level.share for name, level in self.routes.items()}

    def active_routes(self) -> list[str]:
        """Return the routes that make up a noticeable part of the requests."""
        total = sum(level.usual_rate for level in self.routes.values())
        return [
            name
            for name, level in self.routes.items()
            if level.usual_rate > 0 and level.usual_rate >= MIN_ACTIVE_SHARE * total
        ]

    def _correct_usable_share(
        self, plans: Mapping[str, RoutePlan], elapsed_s: float
    ) -> None:
        """Use less capacity while targets refuse urgent requests that shares admit.

        Targets refuse less urgent ones first, also while slots become free. Routes
        that are admitted in part say nothing: their refusals lag behind their shares.
        """
        highest = max((plan.priority for plan in plans.values()), default=0)
        levels = [
            self.routes[name]
            for name, plan in plans.items()
            if plan.priority == highest and self.routes[name].share >= FULL_SHARE
        ]
        arrived = sum(level.arrived for level in levels)
        refused = sum(level.refused for level in levels)
        ratio = refused / arrived if arrived else 0.0
        weight = _weight(elapsed_s, RATE_AVERAGING_S)
        self.refusal_ratio += weight * (ratio - self.refusal_ratio)
        if not self.overloaded or not arrived:
            missing = INITIAL_USABLE_SHARE - self.usable_share
            self.usable_share += missing * _weight(elapsed_s, USUAL_AVERAGING_S)
            return
        excess = self.refusal_ratio / EXPECTED_REFUSAL_RATIO - 1
        change = max(-MAX_USABLE_DECLINE_PER_S, -USABLE_GROWTH_PER_S * excess)
        self.usable_share = min(
            MAX_USABLE_SHARE,
            max(MIN_USABLE_SHARE, self.usable_share + change * elapsed_s),
        )

    def _update_rates(self, elapsed_s: float, now: float, initial: bool) -> None:
        age_s = now - (self.counted_from or now)
        for level in self.routes.values():
            sample = level.arrived / elapsed_s
            level.arrived = level.refused = 0
            weight = 1.0 if initial else _weight(elapsed_s, RATE_AVERAGING_S)
            level.rate += weight * (sample - level.rate)
            grows = level.rate > level.usual_rate
            averaging_s = (
                OVERLOADED_USUAL_AVERAGING_S
                if grows and self.overloaded
                else USUAL_AVERAGING_S
            )
            if age_s < INITIAL_USUAL_S:
                averaging_s = age_s
            weight = _weight(elapsed_s, averaging_s)
            weight = 1.0 if initial else weight
            level.usual_rate += weight * (level.rate - level.usual_rate)

    def _update_shares(
        self,
        plans: Mapping[str, RoutePlan],
        slots: float,
        elapsed_s: float,
        initial: bool,
    ) -> None:
        demands = {
            name: RouteDemand(
                plan, self.routes[name].rate, self.routes[name].usual_rate
            )
            for name, plan in plans.items()
        }
        self.capacity = slots * self.usable_share
        self.demand = sum(d.rate * d.plan.work_s for d in demands.values())
        self.overloaded = self.demand > self.capacity
        for name, share in compute_shares(demands, self.capacity).items():
            level = self.routes[name]
            averaging_s = FALLING_SHARE_S if share < level.share else RISING_SHARE_S
            weight = 1.0 if initial else _weight(elapsed_s, averaging_s)
            level.share += weight * (share - level.share)
            if share >= 1.0 and level.share >= FULL_SHARE:
                level.share = 1.0


def _weight(elapsed_s: float, averaging_s: float) -> float:
    """Return the weight of a sample in a moving average over a time (s)."""
    return 1 - exp(-elapsed_s / max(averaging_s, 1e-3))
