"""Slots of one target and the queue before them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from time import monotonic

from peridot_routing.outcomes import NotRun, Reason
from peridot_routing.requests import RoutedRequest

# A waiting request rises by one priority each time this passes.
AGEING_S = 0.5
SERVICE_TIME_WEIGHT = 0.1
FIRST_SERVICE_TIME_S = 0.005
MIN_RETRY_AFTER_MS = 100


@dataclass(eq=False)
class Waiter:
    """Hold a request that waits for a slot."""

    request: RoutedRequest
    since: float
    turn: asyncio.Future

    def rank(self, now: float) -> float:
        """Return the priority with age counted in."""
        return self.request.priority + (now - self.since) / AGEING_S


@dataclass
class SlotQueue:
    """Hand out a target's slots by priority, age and fairness among keys."""

    slots: int
    queue_length: int
    key_share: float
    busy: int = 0
    waiters: list[Waiter] = field(default_factory=list)
    busy_by_key: dict[int, int] = field(default_factory=dict)
    service_time_s: float = FIRST_SERVICE_TIME_S

    @asynccontextmanager
    async def slot(self, request: RoutedRequest) -> AsyncIterator[NotRun | None]:
        """Hold a slot while the context lasts; give a refusal if there is none."""
        refusal = await self._acquire(request)
        if refusal is not None:
            yield refusal
            return
        began = monotonic()
        try:
            yield None
        finally:
            self._measure(monotonic() - began)
            self._release(request.key_hash)

    def expected_wait_s(self, priority: int) -> float:
        """Return how long a new request of a priority would wait."""
        if self.busy < self.slots:
            return 0.0
        ahead = sum(waiter.request.priority >= priority for waiter in self.waiters)
        return (ahead + 1) * self.service_time_s / self.slots

    async def _acquire(self, request: RoutedRequest) -> NotRun | None:
        if self.busy < self.slots and self._key_fits(request.key_hash):
            self._take(request.key_hash)
            return None
        wait_s = self.expected_wait_s(request.priority)
        if wait_s + self.service_time_s > request.remaining_s():
            return self._refusal(wait_s)
        if len(self.waiters) >= self.queue_length and not self._displace(request):
            return self._refusal(wait_s)
        return await self._wait(request)

    async def _wait(self, request: RoutedRequest) -> NotRun | None:
        turn = asyncio.get_running_loop().create_future()
        waiter = Waiter(request, monotonic(), turn)
        self.waiters.append(waiter)
        try:
            async with asyncio.timeout(max(0.0, request.remaining_s())):
                return await turn
        except (TimeoutError, asyncio.CancelledError) as error:
            granted = turn.done() and not turn.cancelled() and turn.result() is None
            if granted:
                self._release(request.key_hash)
            elif waiter in self.waiters:
                self.waiters.remove(waiter)
            if isinstance(error, asyncio.CancelledError):
                raise
            return NotRun(Reason.DEADLINE, MIN_RETRY_AFTER_MS)

    def _displace(self, request: RoutedRequest) -> bool:
        """Refuse the lowest waiter if the request ranks higher; tell if done."""
        now = monotonic()
        lowest = min(self.waiters, key=lambda waiter: waiter.rank(now), default=None)
        if lowest is None or lowest.rank(now) >= request.priority:
            return False
        self.waiters.remove(lowest)
        if not lowest.turn.done():
            lowest.turn.set_result(self._refusal(self.expected_wait_s(0)))
        return True

    def _refusal(self, wait_s: float) -> NotRun:
        return NotRun(Reason.OVERLOADED, max(MIN_RETRY_AFTER_MS, int(wait_s * 1000)))

    def _key_limit(self) -> int:
        return max(1, int(self.slots * self.key_share))

    def _key_fits(self, key_hash: int) -> bool:
        """Tell whether a key may take another slot.

        Beyond its share it may while no other key waits, all but the last slot.
        """
        if self.busy_by_key.get(key_hash, 0) < self._key_limit():
            return True
        others_wait = any(w.request.key_hash != key_hash for w in self.waiters)
        return not others_wait and self.busy + 1 < self.slots

    def _take(self, key_hash: int) -> None:
        self.busy += 1
        self.busy_by_key[key_hash] = self.busy_by_key.get(key_hash, 0) + 1

    def _release(self, key_hash: int) -> None:
        self.busy -= 1
        left = self.busy_by_key[key_hash] - 1
        if left:
            self.busy_by_key[key_hash] = left
        else:
            del self.busy_by_key[key_hash]
        self._admit()

    def _admit(self) -> None:
        while self.busy < self.slots:
            waiter = self._next_waiter()
            if waiter is None:
                return
            self.waiters.remove(waiter)
            if not waiter.turn.done():
                self._take(waiter.request.key_hash)
                waiter.turn.set_result(None)

    def _next_waiter(self) -> Waiter | None:
        now = monotonic()
        fitting = [w for w in self.waiters if self._key_fits(w.request.key_hash)]
        return max(fitting, key=lambda waiter: waiter.rank(now), default=None)

    def _measure(self, took_s: float) -> None:
        self.service_time_s += SERVICE_TIME_WEIGHT * (took_s - self.service_time_s)
