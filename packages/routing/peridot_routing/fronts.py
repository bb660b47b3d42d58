"""Dispatch of peridotd: sends requests to the targets that this VM is the front of.

A front is the VM that all requests of a target pass through.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace
from time import monotonic

from peridot_placement.loads import LoadMeter
from peridot_placement.permits import LocalTables
from peridot_resources.catalog import Catalog, RoutingPolicy, Target
from peridot_routing.attempts import TargetSessions, open_sessions
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from peridot_routing.requests import RoutedRequest
from peridot_routing.slots import SlotQueue
from peridot_routing.tracker import InFlightAttempt, InFlightTracker

# Weight of a new sample in the moving average.
LATENCY_WEIGHT = 0.1
INITIAL_LATENCY_S = 0.005
# Latencies of targets that haven't answered for this long aren't reported.
LATENCY_MAX_AGE_S = 3.0
# A leaving target still gets requests for keys it owns for this long at most, until
# other targets own them.
HANDOVER_GRACE_S = 2.0


@dataclass
class TargetChannel:
    """Queue, connections, running attempts and latency of one target."""

    target: Target
    policy: RoutingPolicy
    queue: SlotQueue
    sessions: TargetSessions
    # Closes the sessions.
    stack: AsyncExitStack
    latency_s: float = INITIAL_LATENCY_S
    running: set[asyncio.Task] = field(default_factory=set)
    # Running tasks that were cancelled because the target is lost.
    abandoned: set[asyncio.Task] = field(default_factory=set)
    leaving_since: float = float("-inf")
    last_answered_at: float = float("-inf")
    answers: int = 0

    def update(self, target: Target, policy: RoutingPolicy) -> None:
        """Apply a changed target or policy."""
        if target.leaving and not self.target.leaving:
            self.leaving_since = monotonic()
        self.target = target
        self.policy = policy
        self.queue.resize(target.slots, policy.queue_length, policy.key_share)

    def refuses_requests(self, owns_keys: bool) -> bool:
        """Return whether a leaving target gets no more requests.

        One that owns keys still gets them while its keys move to other targets.
        """
        if not self.target.leaving:
            return False
        return not owns_keys or monotonic() - self.leaving_since > HANDOVER_GRACE_S


class TargetDispatcher:
    """Sends requests to targets within this VM's permit and the targets' slots."""

    def __init__(self, tables: LocalTables, catalog: Callable[[], Catalog]) -> None:
        self.tables = tables
        self.catalog = catalog
        self.in_flight = InFlightTracker()
        self.load_meters: dict[str, LoadMeter] = {}
        self.channels: dict[str, TargetChannel] = {}
        self.lost: set[str] = set()
        self.closing_tasks: set[asyncio.Task] = set()

    @asynccontextmanager
    async def run(self) -> AsyncIterator["TargetDispatcher"]:
        """Close the connections to all targets when the context ends."""
        try:
            yield self
        finally:
            for task in self.closing_tasks:
                task.cancel()
            await asyncio.gather(*self.closing_tasks, return_exceptions=True)
            for channel in self.channels.values():
                await channel.stack.aclose()

    async def dispatch(self, request: RoutedRequest, target_name: str) -> Outcome:
        """Wait for a slot of a target, send the request and return the outcome."""
        received_epoch = self.tables.assignment_epoch(request.service.name)
        channel = await self._get_channel(target_name, request.policy)
        if channel is None:
            return NotRun(Reason.NO_TARGET, detail="no such target")
        if channel.refuses_requests(request.service.divided_by_key):
            return NotRun(Reason.TARGET_REFUSED, detail="the target is leaving")
        async with channel.queue.slot(request) as refusal:
            if refusal is not None:
                return refusal
            return await self._send(channel, request, received_epoch)

    def set_lost(self, target_name: str, lost: bool) -> None:
        """Stop or resume sending to a target."""
        if lost:
            self.lost.add(target_name)
        else:
            self.lost.discard(target_name)

    def cancel_attempts(self, target_name: str) -> None:
        """Cancel all running attempts at a lost target; their outcome is unknown."""
        channel = self.channels.get(target_name)
        if channel is not None:
            channel.abandoned |= channel.running
            for task in channel.running:
                task.cancel()

    def recent_latencies_s(self) -> dict[str, float]:
        """Return the average latency of each target that answered lately."""
        now = monotonic()
        return {
            name: channel.latency_s
            for name, channel in self.channels.items()
            if now - channel.last_answered_at < LATENCY_MAX_AGE_S
        }

    async def _get_channel(
        self, name: str, policy: RoutingPolicy
    ) -> TargetChannel | None:
        """Return a channel that matches the current catalog, None without a target."""
        target = self.catalog().targets.get(name)
        channel = self.channels.get(name)
        if target is None:
            if channel is not None:
                self._start_closing(self.channels.pop(name))
            return None
        if channel is None:
            return await self._open_channel(target, policy)
        if channel.target.connections != target.connections:
            self._start_closing(self.channels.pop(name))
            return await self._open_channel(target, policy)
        if channel.target != target or channel.policy != policy:
            channel.update(target, policy)
        return channel

    async def _open_channel(
        self, target: Target, policy: RoutingPolicy
    ) -> TargetChannel:
        stack = AsyncExitStack()
        sessions = await stack.enter_async_context(open_sessions(target.connections))
        queue = SlotQueue(target.slots, policy.queue_length, policy.key_share)
        channel = TargetChannel(target, policy, queue, sessions, stack)
        current = self.channels.setdefault(target.name, channel)
        # Another request may have opened one meanwhile.
        if current is not channel:
            await stack.aclose()
        return current

    def _start_closing(self, channel: TargetChannel) -> None:
        """Close a channel's connections once no request can use them any more."""
        task = asyncio.create_task(_close_after_deadline(channel))
        self.closing_tasks.add(task)
        task.add_done_callback(self.closing_tasks.discard)

    async def _send(
        self,
        channel: TargetChannel,
        request: RoutedRequest,
        received_epoch: tuple[int, int],
    ) -> Outcome:
        if channel.target.name in self.lost:
            return NotRun(Reason.TARGET_LOST)
        if not request.service.divided_by_key:
            return await self._attempt(channel, request, lambda: None)
        name = channel.target.name

        def check_ownership() -> NotRun | None:
            return self._check_ownership(request, name, received_epoch)

        refusal = check_ownership()
        if refusal is not None:
            return refusal
        self._record_load(request)
        tracked = self.in_flight.track(request.service.name, request.key_hash, name)
        with tracked as attempt:
            outcome = await self._attempt(channel, request, check_ownership, attempt)
        return outcome

    def _check_ownership(
        self, request: RoutedRequest, target: str, received_epoch: tuple[int, int]
    ) -> NotRun | None:
        """Return a refusal unless the permit is valid and the target owns the key.

        It must have owned the key since the request was received, and since any run
        that the request may have had there: a repeated run in a later period of its
        ownership would span the work of the owners between.
        """
        if not self.tables.permit.is_valid():
            return NotRun(Reason.NO_PERMIT)
        owner = self.tables.settled_owner(request.service.name, request.key_hash)
        if owner is None:
            return NotRun(Reason.SLICE_MOVING)
        if owner != target:
            return NotRun(Reason.NOT_OWNER)
        since = self.tables.owned_since(request.service.name, request.key_hash)
        if received_epoch < since:
            return NotRun(Reason.NOT_OWNER, detail="its owner returned meanwhile")
        for run in request.possible_runs:
            if run.epoch < since and run.target in ("", target):
                return NotRun(Reason.OWNER_RETURNED)
        return None

    async def _attempt(
        self,
        channel: TargetChannel,
        request: RoutedRequest,
        guard: Callable[[], NotRun | None],
        in_flight: InFlightAttempt | None = None,
    ) -> Outcome:
        started_at = monotonic()
        deadline = started_at + request.attempt_timeout_s()
        epoch = "{}.{}".format(*self.tables.epoch)
        task = asyncio.current_task()
        channel.running.add(task)
        outcome: Outcome = Unknown(Reason.CANCELLED)
        try:
            outcome = await channel.sessions.attempt(
                channel.target, request, epoch, guard
            )
        except asyncio.CancelledError:
            if task not in channel.abandoned or task.uncancel():
                raise
            outcome = Unknown(Reason.TARGET_LOST, "the target was declared lost")
        finally:
            channel.running.discard(task)
            channel.abandoned.discard(task)
            if in_flight is not None and isinstance(outcome, Unknown):
                self._keep_in_flight(in_flight, channel.target, deadline)
        if isinstance(outcome, Answered):
            duration_s = monotonic() - started_at
            channel.latency_s += LATENCY_WEIGHT * (duration_s - channel.latency_s)
            channel.last_answered_at = monotonic()
            channel.answers += 1
        elif isinstance(outcome, NotRun):
            outcome = replace(outcome, detail=outcome.detail or channel.target.name)
        else:
            outcome = replace(outcome, target=channel.target.name)
        return outcome

    def _keep_in_flight(
        self, attempt: InFlightAttempt, target: Target, deadline: float
    ) -> None:
        """Count an attempt of unknown outcome as in flight until its deadline.

        The target may still run it. Targets that check grants report themselves what
        they still run.
        """
        if not target.checks_grants:
            attempt.expires_at = deadline

    def _record_load(self, request: RoutedRequest) -> None:
        assignment = self.tables.assignments[request.service.name]
        table = assignment.table
        meter = self.load_meters.setdefault(request.service.name, LoadMeter())
        meter.add(table.starts[table.find(request.key_hash)], request.key_hash)


async def _close_after_deadline(channel: TargetChannel) -> None:
    try:
        await asyncio.sleep(channel.policy.deadline_ms / 1000)
    finally:
        await channel.stack.aclose()
