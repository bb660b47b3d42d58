"""Check the health of the targets that this VM fronts and renew their grants.

A grant is a target's lease to serve hash ranges.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_placement.grants import (
    GRANT_PERIOD_S,
    GrantAccepted,
    GrantFailed,
    GrantOutcome,
    GrantRequest,
    GrantStale,
    GrantState,
    TargetClient,
)
from peridot_placement.ledger import BusyRange
from peridot_placement.permits import LocalTables
from peridot_placement.signals import wait_for_event
from peridot_placement.slices import HashRange
from peridot_resources.catalog import Catalog, Target

# A target without a successful probe or renewal for this long is lost.
LOST_AFTER_S = 0.45
# So is one that refuses this many connections in a row.
REFUSALS_UNTIL_LOST = 2
# Period of checks of a target that failed the last one but isn't lost yet.
FAILURE_RETRY_S = 0.02
# A lost target is used again after this many successful checks in a row.
SUCCESSES_UNTIL_BACK = 5


@dataclass
class TargetHealth:
    """The latest results of a target's health checks."""

    last_success_at: float
    # Both in a row.
    refusals: int = 0
    successes: int = 0
    lost: bool = False


@dataclass
class TargetWatcher:
    """Checks the targets that this VM fronts, in one task each."""

    client: TargetClient
    tables: LocalTables
    catalog: Callable[[], Catalog]
    is_front: Callable[[Target], bool]
    live_version: Callable[[], int]
    set_lost: Callable[[str, bool], None]
    cancel_attempts: Callable[[str], None]
    expire_attempts: Callable[[str], None]
    on_change: Callable[[], None]
    log: DecisionLog
    health: dict[str, TargetHealth] = field(default_factory=dict)
    # By service and target: a grant outlives changes of the target's declaration.
    grants: dict[tuple[str, str], GrantState] = field(default_factory=dict)
    tasks: dict[str, asyncio.Task] = field(default_factory=dict)

    def lost_targets(self) -> set[str]:
        """Return the targets that this VM fronts and considers lost."""
        return {name for name, health in self.health.items() if health.lost}

    def busy_ranges(self) -> list[BusyRange]:
        """Return the ranges that targets may still serve but don't own any more."""
        now = boot_time()
        busy = []
        for (service, name), state in self.grants.items():
            current = self._owned_ranges(service, name)
            stale = state.stale_ranges(current, now, self._longest_run_s(service))
            busy += [BusyRange(service, item) for item in stale]
        return busy

    async def run(self, data_centre: str) -> None:
        """Check the targets of the data centre that this VM fronts, until cancelled."""
        async with asyncio.TaskGroup() as group:
            last_versions = (-1, -1)
            while True:
                versions = (self.catalog().revision, self.live_version())
                if versions != last_versions:
                    last_versions = versions
                    self._update_tasks(group, data_centre)
                await asyncio.sleep(GRANT_PERIOD_S / 2)

    def _update_tasks(self, group: asyncio.TaskGroup, data_centre: str) -> None:
        """Start and cancel tasks so that each fronted target has one."""
        fronted = {
            target.name
            for target in self.catalog().targets.values()
            if target.data_centre == data_centre and self.is_front(target)
        }
        for name in fronted:
            task = self.tasks.get(name)
            # A task ends by itself if its target was deleted, which may have been
            # declared again since.
            if task is None or task.done():
                self.tasks[name] = group.create_task(self._watch(name))
        for name in self.tasks.keys() - fronted:
            self.tasks.pop(name).cancel()
            self.health.pop(name, None)
            self.set_lost(name, False)

    async def _watch(self, name: str) -> None:
        health = self.health.setdefault(name, TargetHealth(boot_time()))
        while True:
            target = self.catalog().targets.get(name)
            if target is None:
                return
            changed = self.tables.changed.next
            outcome = await self._check(target)
            self._update_health(target, health, outcome)
            await wait_for_event(changed, self._pause_s(health, outcome))

    def _pause_s(self, health: TargetHealth, outcome: GrantOutcome) -> float:
        """Return seconds until the next check: few if the target may soon be lost."""
        if isinstance(outcome, GrantFailed) and not health.lost:
            return FAILURE_RETRY_S
        return GRANT_PERIOD_S

    async def _check(self, target: Target) -> GrantOutcome:
        """Renew a target's grant, or probe a target that gets none."""
        service = self.catalog().services.get(target.service)
        divided = service is not None and service.divided_by_key
        if divided and target.checks_grants and self.tables.permit.is_valid():
            return await self._renew(target)
        return await self.client.probe(target.address)

    async def _renew(self, target: Target) -> GrantOutcome:
        state = self.grants.setdefault((target.service, target.name), GrantState())
        if state.clock_ms is None:
            outcome = await self.client.probe(target.address)
            if isinstance(outcome, GrantAccepted):
                state.clock_ms = outcome.clock_ms
                state.clock_read_at = boot_time()
        ranges = self._owned_ranges(target.service, target.name)
        expires_clock_ms, expires_at = state.expiry(self.tables.permit.valid_until)
        request = GrantRequest(
            target.service, self.tables.epoch, ranges, expires_clock_ms
        )
        if expires_at > boot_time():
            state.record_sent(ranges, expires_at)
        outcome = await self.client.grant(target.address, request)
        match outcome:
            case GrantAccepted():
                before = (state.ranges, state.running_outside)
                state.record_accepted(request, outcome)
                if before != (state.ranges, state.running_outside):
                    self.on_change()
            case GrantStale(epoch):
                self.log.write("grant_stale", target=target.name, epoch=epoch)
            case GrantFailed() if outcome.refused:
                state.clock_ms = None
        return outcome

    def _update_health(
        self, target: Target, health: TargetHealth, outcome: GrantOutcome
    ) -> None:
        """Update a target's health and mark it as lost or back."""
        now = boot_time()
        if isinstance(outcome, GrantFailed):
            health.successes = 0
            health.refusals = health.refusals + 1 if outcome.refused else 0
            refused = health.refusals >= REFUSALS_UNTIL_LOST
            if not health.lost and (
                refused or now - health.last_success_at > LOST_AFTER_S
            ):
                self._mark_lost(target, health, outcome)
            return
        health.last_success_at = now
        health.refusals = 0
        health.successes += 1
        if health.lost and health.successes >= SUCCESSES_UNTIL_BACK:
            health.lost = False
            self.set_lost(target.name, False)
            self.log.write("target_back", target=target.name)
            self.on_change()

    def _mark_lost(
        self, target: Target, health: TargetHealth, outcome: GrantFailed
    ) -> None:
        health.lost = True
        self.set_lost(target.name, True)
        self.log.write("target_silent", target=target.name, reason=outcome.reason)
        if outcome.refused:
            self.expire_attempts(target.name)
            for (_, name), state in self.grants.items():
                if name == target.name:
                    state.running_outside = ()
        if outcome.refused or target.checks_grants:
            self.cancel_attempts(target.name)
        self.on_change()

    def _longest_run_s(self, service: str) -> float:
        """Return how long requests of a service run, infinity if that is unknown."""
        catalog = self.catalog()
        declared = catalog.services.get(service)
        if declared is None or declared.policy not in catalog.policies:
            return float("inf")
        return catalog.policy_of(declared).deadline_ms / 1000

    def _owned_ranges(self, service: str, target: str) -> tuple[HashRange, ...]:
        assignment = self.tables.assignments.get(service)
        return assignment.table.ranges_owned_by(target) if assignment else ()
