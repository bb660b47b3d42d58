"""Concurrency slots of one target and the queue of requests that wait for them."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from time import monotonic

from peridot_routing.outcomes import NotRun, Reason
from peridot_routing.requests import RoutedRequest

# A waiting request gains one level of priority per this time.
AGEING_S = 0.5
# Weight of a new sample in the moving average.
SERVICE_TIME_WEIGHT = 0.1
INITIAL_SERVICE_TIME_S = 0.005
MIN_RETRY_AFTER_MS = 100


@dataclass(eq=False)
class Waiter:
    """A request that waits for a slot."""

    request: RoutedRequest
    enqueued_at: float
    # Resolves to None once a slot is granted, or to a refusal.
    decision: asyncio.Future

    def aged_priority(self, now: float) -> float:
        """Return the priority, raised by the time spent waiting."""
        return self.request.priority + (now - self.enqueued_at) / AGEING_S


@dataclass
class SlotQueue:
    """Grants a target's slots by priority, waiting time and fairness among keys."""

    slots: int
    queue_length: int
    key_share: float
    busy: int = 0
    waiters: list[Waiter] = field(default_factory=list)
    busy_by_key: dict[int, int] = field(default_factory=dict)
    service_time_s: float = INITIAL_SERVICE_TIME_S

    @asynccontextmanager
    async def slot(self, request: RoutedRequest) -> AsyncIterator[NotRun | None]:
        """Hold a slot while the context lasts, or yield a refusal."""
        refusal = await self._acquire(request)
        if refusal is not None:
            yield refusal
            return
        started_at = monotonic()
        try:
            yield None
        finally:
            self._record_service_time(monotonic() - started_at)
            self._release_slot(request.key_hash)

    def resize(self, slots: int, queue_length: int, key_share: float) -> None:
        """Apply changed limits; requests that need wait no longer get slots."""
        self.slots = slots
        self.queue_length = queue_length
        self.key_share = key_share
        self._grant_free_slots()

    def expected_wait_s(self, priority: int) -> float:
        """Return how long a new request of a priority is expected to wait."""
        if self.busy < self.slots:
            return 0.0
        ahead = sum(waiter.request.priority >= priority for waiter in self.waiters)
        return (ahead + 1) * self.service_time_s / self.slots

    async def _acquire(self, request: RoutedRequest) -> NotRun | None:
        if self.busy < self.slots and self._may_take_slot(request.key_hash):
            self._take_slot(request.key_hash)
            return None
        wait_s = self.expected_wait_s(request.priority)
        if wait_s + self.service_time_s > request.remaining_s():
            return self._refusal(wait_s)
        if len(self.waiters) >= self.queue_length and not self._evict_lower(request):
            return self._refusal(wait_s)
        return await self._wait(request)

    async def _wait(self, request: RoutedRequest) -> NotRun | None:
        decision = asyncio.get_running_loop().create_future()
        waiter = Waiter(request, monotonic(), decision)
        self.waiters.append(waiter)
        try:
            async with asyncio.timeout(max(0.0, request.remaining_s())):
                return await decision
        except (TimeoutError, asyncio.CancelledError) as error:
            # A slot may have been granted just as the wait ended.
            granted = (
                decision.done()
                and not decision.cancelled()
                and decision.result() is None
            )
            if granted:
                self._release_slot(request.key_hash)
            elif waiter in self.waiters:
                self.waiters.remove(waiter)
            if isinstance(error, asyncio.CancelledError):
                raise
            return NotRun(Reason.DEADLINE, MIN_RETRY_AFTER_MS)

    def _evict_lower(self, request: RoutedRequest) -> bool:
        """Refuse the lowest waiter if the request outranks it; return whether so."""
        now = monotonic()
        lowest = min(
            self.waiters, key=lambda waiter: waiter.aged_priority(now), default=None
        )
        if lowest is None or lowest.aged_priority(now) >= request.priority:
            return False
        self.waiters.remove(lowest)
        if not lowest.decision.done():
            lowest.decision.set_result(self._refusal(self.expected_wait_s(0)))
        return True

    def _refusal(self, wait_s: float) -> NotRun:
        return NotRun(Reason.OVERLOADED, max(MIN_RETRY_AFTER_MS, int(wait_s * 1000)))

    def _key_limit(self) -> int:
        return max(1, int(self.slots * self.key_share))

    def _may_take_slot(self, key_hash: int) -> bool:
        """Return whether a request of a key may take another slot.

        A key may exceed its share while no other key waits, but not take the last
        free slot.
        """
        if self.busy_by_key.get(key_hash, 0) < self._key_limit():
            return True
        others_wait = any(w.request.key_hash != key_hash for w in self.waiters)
        return not others_wait and self.busy + 1 < self.slots

    def _take_slot(self, key_hash: int) -> None:
        self.busy += 1
        self.busy_by_key[key_hash] = self.busy_by_key.get(key_hash, 0) + 1

    def _release_slot(self, key_hash: int) -> None:
        self.busy -= 1
        remaining = self.busy_by_key[key_hash] - 1
        if remaining:
            self.busy_by_key[key_hash] = remaining
        else:
            del self.busy_by_key[key_hash]
        self._grant_free_slots()

    def _grant_free_slots(self) -> None:
        while self.busy < self.slots:
            waiter = self._next_waiter()
            if waiter is None:
                return
            self.waiters.remove(waiter)
            if not waiter.decision.done():
                self._take_slot(waiter.request.key_hash)
                waiter.decision.set_result(None)

    def _next_waiter(self) -> Waiter | None:
        now = monotonic()
        eligible = [w for w in self.waiters if self._may_take_slot(w.request.key_hash)]
        return max(eligible, key=lambda waiter: waiter.aged_priority(now), default=None)

    def _record_service_time(self, duration_s: float) -> None:
        self.service_time_s += SERVICE_TIME_WEIGHT * (duration_s - self.service_time_s)
