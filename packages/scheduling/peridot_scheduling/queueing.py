"""Local admission of a VM: shares, room in a target's queue, floors and Retry-After."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import exp, inf

# Part of the room in a queue that routes may fill, for each priority above theirs.
ROOM_PER_PRIORITY = 0.6
# Part of the room of equally urgent routes that those with longer objectives may fill.
LONGER_OBJECTIVE_ROOM = 0.85
# Part of the most urgent routes' objective that a queue takes under overload: the rest
# covers processing times that vary and figures of other VMs that are late.
OVERLOADED_ROOM = 0.7
# A route may always make this part of a processing time of a queue, so that slots don't
# idle between two requests.
MIN_ROOM_SHARE = 0.25
# Unused credits are kept up to this many requests.
MAX_CREDIT = 2.0
# Callers that have less than this share of the usual time left were refused before.
# Callers that come again at once have more, so they aren't preferred.
RETURNING_SHARE = 0.9
# Weight of a request in the averages of a route's gaps and usual time.
SAMPLE_WEIGHT = 0.05
LONGEST_WEIGHT = 0.01
MIN_RETRY_AFTER_S = 0.1
# On a route with few requests the next one may be admitted only in hours; demand won't
# be the same for so long.
MAX_RETRY_AFTER_S = 10.0
# Callers honour Retry-After up to a third of their remaining time.
HONOURED_SHARE = 1 / 3
# Served and arrived requests of this VM are counted over this time.
FLOOR_AVERAGING_S = 10.0
# Counts are rescaled when a request weighs more than e to this power.
MAX_WEIGHT_LOG = 20.0
# A route that is served this much less often than all of its service is starved.
STARVED_SHARE = 0.25
# A route isn't starved before this many requests were counted.
MIN_FLOOR_SAMPLES = 3.0


@dataclass(frozen=True)
class QueueRoom:
    """Which part of a target's queue a route may fill."""

    # Share of the queue, and shortest objectives (s) of the routes that are more urgent
    # and of those that are as urgent.
    fill: float = 1.0
    urgent_objective_s: float = inf
    equal_objective_s: float = inf
    # Whether the route has the shortest objective of those.
    is_shortest: bool = True

    def max_wait_s(self, processing_s: float, overloaded: bool) -> float:
        """Return the longest wait (s) in front of a new request of the route.

        A longer queue would make urgent requests behind it late. Under overload queues
        are always full, so longer ones serve no more requests, only later.
        """
        limit_s = inf
        if self.fill < 1.0:
            limit_s = self.fill * (self.urgent_objective_s - processing_s)
        if overloaded:
            # Of equally urgent routes, the one with the longest objective would fill
            # the queue otherwise.
            part = 1.0 if self.is_shortest else LONGER_OBJECTIVE_ROOM
            limit_s = min(
                limit_s,
                OVERLOADED_ROOM * part * (self.equal_objective_s - processing_s),
            )
        return max(MIN_ROOM_SHARE * processing_s, limit_s)

    def max_in_flight(self, slots: int, limit: float) -> float:
        """Return how many requests may be in flight before a new one of the route."""
        return limit if self.fill == 1.0 else slots + self.fill * (limit - slots)


def plan_rooms(
    priorities: Mapping[str, int], objectives_s: Mapping[str, float]
) -> dict[str, QueueRoom]:
    """Return the room of each route of a service by its priority."""
    rooms = {}
    for name, priority in priorities.items():
        urgent = [n for n, other in priorities.items() if other > priority]
        equal = [n for n, other in priorities.items() if other == priority]
        classes = len({priorities[n] for n in urgent})
        rooms[name] = QueueRoom(
            ROOM_PER_PRIORITY**classes,
            min((objectives_s[n] for n in urgent), default=inf),
            min(objectives_s[n] for n in equal),
            objectives_s[name] == min(objectives_s[n] for n in equal),
        )
    return rooms


@dataclass
class ShareGate:
    """Admit a share of one route's requests, callers that come back first."""

    # Requests that may be admitted; a random start keeps VMs from refusing together.
    credit: float
    # Time between two requests (s), and when the last one came.
    gap_s: float = 0.0
    last_at: float | None = None
    # Time that callers have left in their first attempt (s).
    longest_s: float = 0.0

    def admit(self, share: float, time_left_s: float, now: float) -> bool:
        """Return whether a request is admitted whose caller has a time left (s)."""
        returning = self._observe(time_left_s, now)
        if share >= 1.0:
            self.credit = max(self.credit, 0.0)
            return True
        self.credit = min(MAX_CREDIT, self.credit + share)
        # Callers that were told to come back go before new ones of the same share.
        if self.credit < (0.0 if returning else 1.0):
            return False
        self.credit -= 1.0
        return True

    def next_credit_s(self, share: float) -> float:
        """Return when the next request of the route will be admitted (s)."""
        return self.gap_s * max(0.0, 1.0 - self.credit) / max(share, 1e-3)

    def _observe(self, time_left_s: float, now: float) -> bool:
        """Update the averages; return whether the caller has probably come back."""
        if self.last_at is not None:
            self.gap_s += SAMPLE_WEIGHT * (now - self.last_at - self.gap_s)
        self.last_at = now
        if time_left_s >= self.longest_s:
            self.longest_s = time_left_s
        else:
            self.longest_s += LONGEST_WEIGHT * (time_left_s - self.longest_s)
        return time_left_s < RETURNING_SHARE * self.longest_s


def retry_delay_s(
    earliest_s: float, time_left_s: float, work_s: float, position: float
) -> float:
    """Return a Retry-After (s) after capacity is there, spread by a position (0 to 1).

    The spread ends where a caller still honours it and has time for the work.
    """
    honoured_s = HONOURED_SHARE * max(0.0, time_left_s - work_s)
    earliest_s = min(max(MIN_RETRY_AFTER_S, earliest_s), MAX_RETRY_AFTER_S)
    latest_s = max(1.5 * earliest_s, honoured_s)
    return earliest_s + position * (latest_s - earliest_s)


@dataclass
class FloorGuard:
    """Count a service's requests at this VM, to find routes that are refused too often.

    Targets that are full of urgent requests would otherwise serve no others.
    """

    # Counts by route in units of a request at the reference time; newer ones weigh
    # more. The sums are kept, so that a request needs no pass over all routes.
    arrived: dict[str, float] = field(default_factory=dict)
    refused: dict[str, float] = field(default_factory=dict)
    total_arrived: float = 0.0
    total_refused: float = 0.0
    reference_time: float = 0.0
    # Weight of a request at the last update.
    weight: float = 1.0

    def record_arrival(self, route: str, now: float) -> None:
        """Count a request."""
        self._update_weight(now)
        self.arrived[route] = self.arrived.get(route, 0.0) + self.weight
        self.total_arrived += self.weight

    def record_refusal(self, route: str, now: float) -> None:
        """Count a request that was refused."""
        self._update_weight(now)
        self.refused[route] = self.refused.get(route, 0.0) + self.weight
        self.total_refused += self.weight

    def is_starved(self, route: str) -> bool:
        """Return whether a route is served far less often than all of the service."""
        arrived = self.arrived.get(route, 0.0)
        if arrived < MIN_FLOOR_SAMPLES * self.weight:
            return False
        served = 1 - self.refused.get(route, 0.0) / arrived
        overall = 1 - self.total_refused / self.total_arrived
        return served < STARVED_SHARE * overall

    def _update_weight(self, now: float) -> None:
        age = max(0.0, now - self.reference_time) / FLOOR_AVERAGING_S
        self.weight = exp(min(age, MAX_WEIGHT_LOG + 1))
        if age > MAX_WEIGHT_LOG:
            self._rescale(now)

    def _rescale(self, now: float) -> None:
        """Take a new reference time, before counts lose precision."""
        for counts in (self.arrived, self.refused):
            for name in counts:
                counts[name] /= self.weight
        self.total_arrived = sum(self.arrived.values())
        self.total_refused = sum(self.refused.values())
        self.reference_time, self.weight = now, 1.0
