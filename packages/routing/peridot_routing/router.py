"""Router of peridotd: chooses routes, makes attempts and retries them."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatch
from time import monotonic

from peridot_placement.assignments import Assignment
from peridot_placement.decisions import DecisionLog
from peridot_placement.hashing import rank_by_rendezvous
from peridot_placement.permits import LocalTables
from peridot_placement.slices import HomeTable
from peridot_resources.catalog import Catalog, Target
from peridot_routing.admission import PriorityAdmission
from peridot_routing.budgets import RetryBudget
from peridot_routing.costs import TargetCosts
from peridot_routing.fronts import TargetDispatcher
from peridot_routing.outages import OwnerWaitMeter
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from peridot_routing.requests import PossibleRun, RoutedRequest, check_deadline

# A VM whose link failed is avoided for this long.
AVOID_VM_S = 1.0
# Longest time that a request waits for its slice to get an owner.
MAX_OWNER_WAIT_S = 1.5
# Longest pauses before the owner is looked up again; a change of tables ends them.
OWNER_RETRY_S = 0.02
LOST_OWNER_RETRY_S = 0.25
RANKING_CACHE_ENTRIES = 20_000
# Callers may retry a request of a class that isn't admitted after this time.
ADMISSION_RETRY_MS = 1_000

# Reasons that end soon: the slice gets an owner, the front a permit or newer tables.
TRANSIENT_REASONS = frozenset((Reason.SLICE_MOVING, Reason.NO_PERMIT, Reason.NOT_OWNER))
# Reasons for which another target or front, or a new owner of the slice, may succeed.
RETRYABLE_REASONS = frozenset(
    (
        Reason.CONNECTION_REFUSED,
        Reason.FRONT_LOST,
        Reason.SHED,
        Reason.STOPPING,
        Reason.TARGET_LOST,
        Reason.TARGET_REFUSED,
    )
)


@dataclass(frozen=True)
class Vm:
    """A VM that runs peridotd, and the address of its peer listener."""

    name: str
    address: str


class Topology(ABC):
    """What this VM knows of homes, assignments, live VMs and lost targets."""

    data_centre: str
    vm: str

    @abstractmethod
    def home_table(self, service: str) -> HomeTable | None:
        """Return the home data centres of a service's hash ranges, None if unknown."""

    @abstractmethod
    def remote_assignment(self, service: str, data_centre: str) -> Assignment | None:
        """Return the last known assignment of another data centre, None if unknown."""

    @abstractmethod
    def live_vms(self, data_centre: str) -> tuple[int, list[Vm]]:
        """Return the live VMs of a data centre and a version that changes with them."""

    @abstractmethod
    def lost_targets(self) -> set[str]:
        """Return the targets that this VM fronts and considers lost."""


class Forwarder(ABC):
    """Forwards requests to other VMs."""

    @abstractmethod
    async def forward(
        self, address: str, request: RoutedRequest, target: str
    ) -> Outcome:
        """Have another VM dispatch a request; it finds the owner if target is empty."""


@dataclass(frozen=True)
class Route:
    """The target of an attempt and the VM that fronts it; the target may be empty."""

    target: str
    vm: Vm
    is_local: bool


class Router:
    """Routes each request to one final outcome."""

    def __init__(
        self,
        topology: Topology,
        tables: LocalTables,
        dispatcher: TargetDispatcher,
        forwarder: Forwarder,
        catalog: Callable[[], Catalog],
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self.topology = topology
        self.tables = tables
        self.dispatcher = dispatcher
        self.forwarder = forwarder
        self.catalog = catalog
        self.log = log
        self.rng = rng
        self.admissions: dict[str, PriorityAdmission] = {}
        self.costs = TargetCosts()
        self.owner_waits: dict[str, OwnerWaitMeter] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.avoided_addresses: dict[str, float] = {}
        self.rankings: dict[tuple[str, str, int], list[Vm]] = {}
        self.attempts = 0
        self.retries = 0
        self.corrected_routes = 0

    async def handle(self, request: RoutedRequest) -> Outcome:
        """Return the final outcome of a request, after retries if they are allowed."""
        admission = self.admissions.setdefault(
            request.service.name, PriorityAdmission()
        )
        if not admission.admits(request.priority):
            return NotRun(Reason.OVERLOADED, ADMISSION_RETRY_MS, "class not admitted")
        outcome = await self._retry_until_final(request)
        refused = isinstance(outcome, NotRun)
        admission.record(refused and outcome.reason is Reason.OVERLOADED)
        return outcome

    async def _retry_until_final(self, request: RoutedRequest) -> Outcome:
        budget = self._get_budget(request)
        budget.record_request()
        started_at = monotonic()
        last: Outcome | None = None
        # A retry that is refused doesn't undo an earlier attempt that may have run.
        possible: Unknown | None = None
        while True:
            refusal = check_deadline(request)
            if refusal is not None:
                return possible or last or refusal
            last = await self._attempt_once(request)
            if isinstance(last, Answered):
                return last
            if isinstance(last, Unknown):
                possible = last
            if not self._may_retry(request, last, budget, started_at):
                return possible or last
            self.retries += 1
            await self._wait_before_retry(request, last)

    async def dispatch_locally(self, request: RoutedRequest, target: str) -> Outcome:
        """Dispatch a request from this VM, the front of its target.

        The target may have been chosen by another VM with older tables, so this VM's
        tables decide which target owns the key.
        """
        if request.service.divided_by_key:
            owner = self.tables.settled_owner(request.service.name, request.key_hash)
            if owner is None:
                return NotRun(Reason.SLICE_MOVING)
            self.corrected_routes += owner != target
            target = owner
        return await self.dispatcher.dispatch(request, target)

    def choose(self, request: RoutedRequest) -> Route | NotRun:
        """Return the route of the next attempt, or a refusal if there is none."""
        if request.service.divided_by_key:
            return self._choose_owner(request)
        return self._choose_by_cost(request)

    async def _attempt_once(self, request: RoutedRequest) -> Outcome:
        route = self.choose(request)
        request.attempts += 1
        if isinstance(route, NotRun):
            self._log_attempt(request, None, route)
            return route
        self.attempts += 1
        epoch = self._assignment_epoch(request)
        with self.costs.measure_attempt(route.target):
            outcome = await self._send(route, request)
        if not isinstance(outcome, Answered):
            self._record_failure(request, route, outcome)
        if isinstance(outcome, Unknown) and request.service.divided_by_key:
            request.possible_runs.append(PossibleRun(outcome.target, epoch))
        self._log_attempt(request, route, outcome)
        return outcome

    async def _send(self, route: Route, request: RoutedRequest) -> Outcome:
        if route.is_local:
            return await self.dispatch_locally(request, route.target)
        return await self.forwarder.forward(route.vm.address, request, route.target)

    def _choose_owner(self, request: RoutedRequest) -> Route | NotRun:
        service = request.service.name
        homes = self.topology.home_table(service)
        if homes is None:
            return NotRun(Reason.NO_TARGET, 1000, "the service has no home yet")
        home = homes.find(request.key_hash)
        if home == self.topology.data_centre:
            owner = self.tables.settled_owner(service, request.key_hash)
            if owner is None:
                return NotRun(Reason.SLICE_MOVING, 200)
            return self._route_to(owner, home, request)
        assignment = self.topology.remote_assignment(service, home)
        owner = assignment.table.settled_owner(request.key_hash) if assignment else None
        # Without a known owner, a front in the home data centre chooses the target.
        return self._route_to(owner or "", home, request)

    def _assignment_epoch(self, request: RoutedRequest) -> tuple[int, int]:
        """Return the epoch of the assignment that an owner is chosen by."""
        service = request.service.name
        homes = self.topology.home_table(service)
        home = homes.find(request.key_hash) if homes else self.topology.data_centre
        if home == self.topology.data_centre:
            return self.tables.assignment_epoch(service)
        assignment = self.topology.remote_assignment(service, home)
        return assignment.epoch if assignment else (0, 0)

    def _choose_by_cost(self, request: RoutedRequest) -> Route | NotRun:
        """Choose the cheaper of two random targets, in this data centre if possible."""
        service = request.service.name
        local = self.catalog().targets_of(service, self.topology.data_centre)
        usable = self._filter_usable(local, request)
        if not usable:
            usable = self._filter_usable(self.catalog().targets_of(service), request)
        if not usable:
            return NotRun(Reason.NO_TARGET, 1000)
        candidates = self.rng.sample(usable, min(2, len(usable)))
        target = min(
            candidates, key=lambda item: self.costs.cost_of(item.name, item.slots)
        )
        return self._route_to(target.name, target.data_centre, request)

    def _filter_usable(
        self, targets: list[Target], request: RoutedRequest
    ) -> list[Target]:
        lost = self.topology.lost_targets()
        staying = [target for target in targets if not target.leaving]
        return [
            target
            for target in staying
            if target.name not in request.excluded_targets and target.name not in lost
        ]

    def _route_to(
        self, target: str, data_centre: str, request: RoutedRequest
    ) -> Route | NotRun:
        """Return the route through a target's front.

        VMs whose links failed lately are skipped. Without a target, the front is
        chosen by the service and the top 8 bits of the key hash.
        """
        subject = target or f"{request.service.name}/{request.key_hash >> 56}"
        ranking = self._rank_vms(subject, data_centre)
        now = monotonic()
        for vm in ranking:
            if self.avoided_addresses.get(vm.address, 0.0) <= now:
                return Route(target, vm, vm.name == self.topology.vm)
        if ranking:
            vm = ranking[0]
            return Route(target, vm, vm.name == self.topology.vm)
        return NotRun(Reason.NO_PERMIT, 500, "no VM is known to be live")

    def _rank_vms(self, subject: str, data_centre: str) -> list[Vm]:
        """Return the live VMs by rendezvous hashing for a subject, the front first."""
        version, vms = self.topology.live_vms(data_centre)
        cached = self.rankings.get((subject, data_centre, version))
        if cached is not None:
            return cached
        by_name = {vm.name: vm for vm in vms}
        ranking = [by_name[name] for name in rank_by_rendezvous(by_name, subject)]
        if len(self.rankings) >= RANKING_CACHE_ENTRIES:
            self.rankings.clear()
        self.rankings[subject, data_centre, version] = ranking
        return ranking

    def _record_failure(
        self, request: RoutedRequest, route: Route, outcome: Outcome
    ) -> None:
        """Avoid a VM whose link failed, or else the target within this request."""
        if outcome.reason is Reason.FRONT_LOST:
            self.avoided_addresses[route.vm.address] = monotonic() + AVOID_VM_S
        elif not request.service.divided_by_key:
            request.excluded_targets.add(route.target)

    def _get_budget(self, request: RoutedRequest) -> RetryBudget:
        name = request.service.name
        budget = self.budgets.get(name)
        if budget is None:
            budget = self.budgets[name] = RetryBudget(request.policy.retry_share)
        budget.share = request.policy.retry_share
        return budget

    def _may_retry(
        self,
        request: RoutedRequest,
        outcome: Outcome,
        budget: RetryBudget,
        started_at: float,
    ) -> bool:
        elapsed_s = monotonic() - started_at
        if is_transient(outcome) or self._awaits_new_owner(request, outcome):
            return elapsed_s < MAX_OWNER_WAIT_S and request.remaining_s() > 0
        if not is_retryable(outcome, request):
            return False
        return request.remaining_s() > 0 and budget.try_spend()

    def _awaits_new_owner(self, request: RoutedRequest, outcome: Outcome) -> bool:
        """Return whether the owner is lost, so that the placer will replace it."""
        return (
            request.service.divided_by_key
            and isinstance(outcome, NotRun)
            and outcome.reason in (Reason.CONNECTION_REFUSED, Reason.TARGET_LOST)
        )

    async def _wait_before_retry(
        self, request: RoutedRequest, outcome: Outcome
    ) -> None:
        """Wait until a retry may succeed, at most until the deadline."""
        pause_s = 0.0
        if is_transient(outcome):
            pause_s = OWNER_RETRY_S
        elif self._awaits_new_owner(request, outcome):
            pause_s = LOST_OWNER_RETRY_S
        if not pause_s:
            await asyncio.sleep(0)
            return
        meter = self.owner_waits.setdefault(request.service.name, OwnerWaitMeter())
        with meter.track_wait():
            await self.tables.changed.wait(
                max(0.0, min(pause_s, request.remaining_s()))
            )

    def _log_attempt(
        self, request: RoutedRequest, route: Route | None, outcome: Outcome
    ) -> None:
        self.log.write(
            "route",
            request=request.request_id,
            service=request.service.name,
            key=f"{request.key_hash:016x}",
            target=route.target if route and route.target else "-",
            front=route.vm.name if route else "-",
            epoch="{}.{}".format(*self.tables.epoch),
            attempt=request.attempts,
            outcome=format_outcome(outcome),
        )


def is_transient(outcome: Outcome) -> bool:
    """Return whether the reason of the outcome should end by itself soon."""
    return isinstance(outcome, NotRun) and outcome.reason in TRANSIENT_REASONS


@singledispatch
def is_retryable(outcome: Outcome, request: RoutedRequest) -> bool:
    """Return whether another attempt is safe and may succeed."""
    return False


@is_retryable.register
def _(outcome: NotRun, request: RoutedRequest) -> bool:
    if outcome.reason is Reason.OVERLOADED:
        return not request.service.divided_by_key
    return outcome.reason in RETRYABLE_REASONS


@is_retryable.register
def _(outcome: Unknown, request: RoutedRequest) -> bool:
    return request.idempotent and outcome.reason is not Reason.ANSWER_TOO_LARGE


@singledispatch
def format_outcome(outcome: Outcome) -> str:
    """Return an outcome as one word for logs: its kind and status or reason."""
    raise TypeError(type(outcome).__name__)


@format_outcome.register
def _(outcome: Answered) -> str:
    return f"answered:{outcome.status}"


@format_outcome.register
def _(outcome: NotRun) -> str:
    return f"not_run:{outcome.reason}"


@format_outcome.register
def _(outcome: Unknown) -> str:
    return f"unknown:{outcome.reason}"
