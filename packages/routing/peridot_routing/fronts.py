"""Fronts: hold the slots, queue and connections of targets."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace
from time import monotonic

from peridot_placement.loads import LoadMeter
from peridot_placement.permits import LocalTables
from peridot_resources.catalog import Catalog, RoutingPolicy, Target
from peridot_routing.attempts import TargetClient, open_client
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from peridot_routing.requests import RoutedRequest
from peridot_routing.slots import SlotQueue
from peridot_routing.tracker import Flight, FlightTracker

LATENCY_WEIGHT = 0.1
FIRST_LATENCY_S = 0.005
LATENCY_LIFE_S = 3.0
# An owner of keys that leaves still gets their requests for this long at most.
HAND_OVER_S = 2.0


@dataclass
class TargetFront:
    """Hold what this VM keeps for one target."""

    target: Target
    policy: RoutingPolicy
    queue: SlotQueue
    client: TargetClient
    # Closes the client.
    stack: AsyncExitStack
    latency_s: float = FIRST_LATENCY_S
    running: set[asyncio.Task] = field(default_factory=set)
    abandoned: set[asyncio.Task] = field(default_factory=set)
    leaving_since: float = float("-inf")
    answered_at: float = float("-inf")
    answers: int = 0

    def update(self, target: Target, policy: RoutingPolicy) -> None:
        """Take in a newer declaration."""
        if target.leaving and not self.target.leaving:
            self.leaving_since = monotonic()
        self.target = target
        self.policy = policy
        self.queue.slots = target.slots
        self.queue.queue_length = policy.queue_length
        self.queue.key_share = policy.key_share

    def refuses_new_work(self, owns_keys: bool) -> bool:
        """Tell whether the target leaves and has had time to hand its keys over."""
        if not self.target.leaving:
            return False
        return not owns_keys or monotonic() - self.leaving_since > HAND_OVER_S


class Fronts:
    """Dispatch requests to targets under permits, slots and queues."""

    def __init__(self, tables: LocalTables, catalog: Callable[[], Catalog]) -> None:
        self.tables = tables
        self.catalog = catalog
        self.tracker = FlightTracker()
        self.meters: dict[str, LoadMeter] = {}
        self.fronts: dict[str, TargetFront] = {}
        self.lost: set[str] = set()
        self.retiring: set[asyncio.Task] = set()

    @asynccontextmanager
    async def run(self) -> AsyncIterator["Fronts"]:
        """Hold the connections of all targets while the context lasts."""
        try:
            yield self
        finally:
            for task in self.retiring:
                task.cancel()
            await asyncio.gather(*self.retiring, return_exceptions=True)
            for front in self.fronts.values():
                await front.stack.aclose()

    async def dispatch(self, request: RoutedRequest, target_name: str) -> Outcome:
        """Send a request to a target once it has a slot."""
        front = await self._front(target_name, request.policy)
        if front is None:
            return NotRun(Reason.NO_TARGET, detail="no such target")
        if front.refuses_new_work(request.service.divided_by_key):
            return NotRun(Reason.TARGET_REFUSED, detail="the target is leaving")
        async with front.queue.slot(request) as refusal:
            if refusal is not None:
                return refusal
            return await self._send(front, request)

    def set_lost(self, target_name: str, lost: bool) -> None:
        """Send nothing more to a target, or send to it again."""
        if lost:
            self.lost.add(target_name)
        else:
            self.lost.discard(target_name)

    def abandon(self, target_name: str) -> None:
        """Break off all attempts at a target that is lost."""
        front = self.fronts.get(target_name)
        if front is not None:
            front.abandoned |= front.running
            for task in front.running:
                task.cancel()

    def latencies_s(self) -> dict[str, float]:
        """Return the service time of each target that was served lately."""
        now = monotonic()
        return {
            name: front.latency_s
            for name, front in self.fronts.items()
            if now - front.answered_at < LATENCY_LIFE_S
        }

    async def _front(self, name: str, policy: RoutingPolicy) -> TargetFront | None:
        """Return the front of a target as now declared."""
        target = self.catalog().targets.get(name)
        front = self.fronts.get(name)
        if target is None:
            if front is not None:
                self._retire(self.fronts.pop(name))
            return None
        if front is None:
            return await self._open(target, policy)
        if front.target.connections != target.connections:
            self._retire(self.fronts.pop(name))
            return await self._open(target, policy)
        if front.target != target or front.policy != policy:
            front.update(target, policy)
        return front

    async def _open(self, target: Target, policy: RoutingPolicy) -> TargetFront:
        stack = AsyncExitStack()
        client = await stack.enter_async_context(open_client(target.connections))
        queue = SlotQueue(target.slots, policy.queue_length, policy.key_share)
        front = TargetFront(target, policy, queue, client, stack)
        known = self.fronts.setdefault(target.name, front)
        if known is not front:
            await stack.aclose()
        return known

    def _retire(self, front: TargetFront) -> None:
        """Close a front's connections once nothing can run over them any more."""
        task = asyncio.create_task(_close_later(front))
        self.retiring.add(task)
        task.add_done_callback(self.retiring.discard)

    async def _send(self, front: TargetFront, request: RoutedRequest) -> Outcome:
        if front.target.name in self.lost:
            return NotRun(Reason.TARGET_LOST)
        if not request.service.divided_by_key:
            return await self._attempt(front, request, lambda: None)
        name = front.target.name

        def check_rights() -> NotRun | None:
            return self._check_rights(request, name)

        refusal = check_rights()
        if refusal is not None:
            return refusal
        self._meter(request)
        tracked = self.tracker.track(request.service.name, request.key_hash, name)
        with tracked as flight:
            outcome = await self._attempt(front, request, check_rights, flight)
        return outcome

    def _check_rights(self, request: RoutedRequest, target: str) -> NotRun | None:
        """Return a refusal unless this VM may send a key to a target now."""
        if not self.tables.permit.is_live():
            return NotRun(Reason.NO_PERMIT)
        owner = self.tables.settled_owner(request.service.name, request.key_hash)
        if owner is None:
            return NotRun(Reason.SLICE_MOVING)
        if owner != target:
            return NotRun(Reason.NOT_OWNER)
        return None

    async def _attempt(
        self,
        front: TargetFront,
        request: RoutedRequest,
        guard: Callable[[], NotRun | None],
        flight: Flight | None = None,
    ) -> Outcome:
        began = monotonic()
        ends = began + request.attempt_s()
        epoch = "{}.{}".format(*self.tables.epoch)
        task = asyncio.current_task()
        front.running.add(task)
        outcome: Outcome = Unknown(Reason.CANCELLED)
        try:
            outcome = await front.client.attempt(front.target, request, epoch, guard)
        except asyncio.CancelledError:
            if task not in front.abandoned or task.uncancel():
                raise
            outcome = Unknown(Reason.TARGET_LOST, "the target was given up")
        finally:
            front.running.discard(task)
            front.abandoned.discard(task)
            if flight is not None and isinstance(outcome, Unknown):
                self._linger(flight, front.target, ends)
        if isinstance(outcome, Answered):
            took_s = monotonic() - began
            front.latency_s += LATENCY_WEIGHT * (took_s - front.latency_s)
            front.answered_at = monotonic()
            front.answers += 1
        elif isinstance(outcome, NotRun):
            outcome = replace(outcome, detail=outcome.detail or front.target.name)
        return outcome

    def _linger(self, flight: Flight, target: Target, ends: float) -> None:
        """Count an attempt of unknown outcome until its deadline has passed.

        Targets that check grants report what they still run themselves.
        """
        if not target.checks_grants:
            flight.lingers_until = ends

    def _meter(self, request: RoutedRequest) -> None:
        assignment = self.tables.assignments[request.service.name]
        table = assignment.table
        meter = self.meters.setdefault(request.service.name, LoadMeter())
        meter.add(table.starts[table.find(request.key_hash)], request.key_hash)


async def _close_later(front: TargetFront) -> None:
    try:
        await asyncio.sleep(front.policy.deadline_ms / 1000)
    finally:
        await front.stack.aclose()
