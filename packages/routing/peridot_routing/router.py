"""Router: takes a request through route choice, attempts and retries."""

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
from peridot_routing.admission import Admission
from peridot_routing.budgets import RetryBudget
from peridot_routing.costs import TargetCosts
from peridot_routing.fronts import Fronts
from peridot_routing.outages import OutageMeter
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from peridot_routing.requests import RoutedRequest, expired

# A link that failed is passed over for this long.
AVOID_LINK_S = 1.0
# A request waits at most this long for its slice to get an owner.
MAX_OWNER_WAIT_S = 1.5
OWNER_RETRY_S = 0.02
LOST_OWNER_RETRY_S = 0.25
RANKING_CACHE_LENGTH = 20_000
# A class that isn't admitted may come back after this long.
ADMISSION_RETRY_MS = 1_000

# The slice gets an owner, or this VM a permit, soon.
WAITING_REASONS = frozenset((Reason.SLICE_MOVING, Reason.NO_PERMIT, Reason.NOT_OWNER))
# Another target or front may do, or the slice gets another owner.
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
    """Name a daemon and its address for peers."""

    name: str
    address: str


class Topology(ABC):
    """Tell what is known of homes, assignments and VMs."""

    data_centre: str
    vm: str

    @abstractmethod
    def home_of(self, service: str) -> HomeTable | None:
        """Return the homes of a service."""

    @abstractmethod
    def remote_assignment(self, service: str, data_centre: str) -> Assignment | None:
        """Return the last known assignment in another data centre."""

    @abstractmethod
    def live_vms(self, data_centre: str) -> tuple[int, list[Vm]]:
        """Return the live VMs of a data centre and a version that changes with them."""

    @abstractmethod
    def lost_targets(self) -> set[str]:
        """Return the targets that this VM's fronts take for lost."""


class Forwarder(ABC):
    """Pass requests on to other daemons."""

    @abstractmethod
    async def forward(
        self, address: str, request: RoutedRequest, target: str
    ) -> Outcome:
        """Have another daemon dispatch a request; the target may be left open."""


@dataclass(frozen=True)
class Route:
    """Hold the target of an attempt and the VM that fronts it."""

    target: str
    vm: Vm
    local: bool


class Router:
    """Answer requests, each once."""

    def __init__(
        self,
        topology: Topology,
        tables: LocalTables,
        fronts: Fronts,
        forwarder: Forwarder,
        catalog: Callable[[], Catalog],
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self.topology = topology
        self.tables = tables
        self.fronts = fronts
        self.forwarder = forwarder
        self.catalog = catalog
        self.log = log
        self.rng = rng
        self.admissions: dict[str, Admission] = {}
        self.costs = TargetCosts()
        self.outages: dict[str, OutageMeter] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.avoided_links: dict[str, float] = {}
        self.rankings: dict[tuple[str, str, int], list[Vm]] = {}
        self.attempts = 0
        self.retries = 0
        self.corrected_routes = 0

    async def handle(self, request: RoutedRequest) -> Outcome:
        """Return the final outcome of a request."""
        admission = self.admissions.setdefault(request.service.name, Admission())
        if not admission.admits(request.priority):
            return NotRun(Reason.OVERLOADED, ADMISSION_RETRY_MS, "class not admitted")
        outcome = await self._attempt_until_final(request)
        refused = isinstance(outcome, NotRun)
        admission.note(refused and outcome.reason is Reason.OVERLOADED)
        return outcome

    async def _attempt_until_final(self, request: RoutedRequest) -> Outcome:
        budget = self._budget(request)
        budget.note_request()
        began = monotonic()
        last: Outcome | None = None
        while True:
            refusal = expired(request)
            if refusal is not None:
                return last or refusal
            last = await self._attempt_once(request)
            if isinstance(last, Answered):
                return last
            if not self._may_retry(request, last, budget, began):
                return last
            self.retries += 1
            await self._pause(request, last)

    async def serve_forwarded(self, request: RoutedRequest, target: str) -> Outcome:
        """Dispatch a request whose target another daemon may have chosen.

        That daemon may be behind, so this VM's tables decide who owns the key.
        """
        if request.service.divided_by_key:
            owner = self.tables.settled_owner(request.service.name, request.key_hash)
            if owner is None:
                return NotRun(Reason.SLICE_MOVING)
            self.corrected_routes += owner != target
            target = owner
        return await self.fronts.dispatch(request, target)

    def choose(self, request: RoutedRequest) -> Route | NotRun:
        """Return where the next attempt goes."""
        if request.service.divided_by_key:
            return self._choose_owner(request)
        return self._choose_any(request)

    async def _attempt_once(self, request: RoutedRequest) -> Outcome:
        route = self.choose(request)
        request.attempts += 1
        if isinstance(route, NotRun):
            self._log_attempt(request, None, route)
            return route
        self.attempts += 1
        with self.costs.attempt(route.target):
            outcome = await self._follow(route, request)
        if not isinstance(outcome, Answered):
            self._avoid(request, route, outcome)
        self._log_attempt(request, route, outcome)
        return outcome

    async def _follow(self, route: Route, request: RoutedRequest) -> Outcome:
        if route.local:
            return await self.serve_forwarded(request, route.target)
        return await self.forwarder.forward(route.vm.address, request, route.target)

    def _choose_owner(self, request: RoutedRequest) -> Route | NotRun:
        service = request.service.name
        homes = self.topology.home_of(service)
        if homes is None:
            return NotRun(Reason.NO_TARGET, 1000, "the service has no home yet")
        home = homes.find(request.key_hash)
        if home == self.topology.data_centre:
            owner = self.tables.settled_owner(service, request.key_hash)
            if owner is None:
                return NotRun(Reason.SLICE_MOVING, 200)
            return self._route(owner, home, request)
        assignment = self.topology.remote_assignment(service, home)
        owner = assignment.table.settled_owner(request.key_hash) if assignment else None
        return self._route(owner or "", home, request)

    def _choose_any(self, request: RoutedRequest) -> Route | NotRun:
        service = request.service.name
        local = self.catalog().targets_of(service, self.topology.data_centre)
        usable = self._usable(local, request)
        if not usable:
            usable = self._usable(self.catalog().targets_of(service), request)
        if not usable:
            return NotRun(Reason.NO_TARGET, 1000)
        two = self.rng.sample(usable, min(2, len(usable)))
        target = min(two, key=lambda item: self.costs.value(item.name, item.slots))
        return self._route(target.name, target.data_centre, request)

    def _usable(self, targets: list[Target], request: RoutedRequest) -> list[Target]:
        lost = self.topology.lost_targets()
        staying = [target for target in targets if not target.leaving]
        return [
            target
            for target in staying
            if target.name not in request.avoided and target.name not in lost
        ]

    def _route(
        self, target: str, data_centre: str, request: RoutedRequest
    ) -> Route | NotRun:
        """Return the front of a target, passing over links that failed lately."""
        subject = target or f"{request.service.name}/{request.key_hash >> 56}"
        ranking = self._ranking(subject, data_centre)
        now = monotonic()
        for vm in ranking:
            if self.avoided_links.get(vm.address, 0.0) <= now:
                return Route(target, vm, vm.name == self.topology.vm)
        if ranking:
            vm = ranking[0]
            return Route(target, vm, vm.name == self.topology.vm)
        return NotRun(Reason.NO_PERMIT, 500, "no VM is known to be live")

    def _ranking(self, subject: str, data_centre: str) -> list[Vm]:
        version, vms = self.topology.live_vms(data_centre)
        cached = self.rankings.get((subject, data_centre, version))
        if cached is not None:
            return cached
        by_name = {vm.name: vm for vm in vms}
        ranking = [by_name[name] for name in rank_by_rendezvous(by_name, subject)]
        if len(self.rankings) >= RANKING_CACHE_LENGTH:
            self.rankings.clear()
        self.rankings[subject, data_centre, version] = ranking
        return ranking

    def _avoid(self, request: RoutedRequest, route: Route, outcome: Outcome) -> None:
        if outcome.reason is Reason.FRONT_LOST:
            self.avoided_links[route.vm.address] = monotonic() + AVOID_LINK_S
        elif not request.service.divided_by_key:
            request.avoided.add(route.target)

    def _budget(self, request: RoutedRequest) -> RetryBudget:
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
        began: float,
    ) -> bool:
        waited_s = monotonic() - began
        if is_waiting(outcome) or self._waits_for_owner(request, outcome):
            return waited_s < MAX_OWNER_WAIT_S and request.remaining_s() > 0
        if not is_retryable(outcome, request):
            return False
        return request.remaining_s() > 0 and budget.take()

    def _waits_for_owner(self, request: RoutedRequest, outcome: Outcome) -> bool:
        """Tell whether a lost owner is about to be replaced."""
        return (
            request.service.divided_by_key
            and isinstance(outcome, NotRun)
            and outcome.reason in (Reason.CONNECTION_REFUSED, Reason.TARGET_LOST)
        )

    async def _pause(self, request: RoutedRequest, outcome: Outcome) -> None:
        """Wait until a retry may go better, at most until the deadline."""
        pause_s = 0.0
        if is_waiting(outcome):
            pause_s = OWNER_RETRY_S
        elif self._waits_for_owner(request, outcome):
            pause_s = LOST_OWNER_RETRY_S
        if not pause_s:
            await asyncio.sleep(0)
            return
        meter = self.outages.setdefault(request.service.name, OutageMeter())
        with meter.wait():
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
            outcome=describe(outcome),
        )


def is_waiting(outcome: Outcome) -> bool:
    """Tell whether the outcome should change by itself within moments."""
    return isinstance(outcome, NotRun) and outcome.reason in WAITING_REASONS


@singledispatch
def is_retryable(outcome: Outcome, request: RoutedRequest) -> bool:
    """Tell whether another attempt is allowed and may help."""
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
def describe(outcome: Outcome) -> str:
    """Return an outcome as one word for the log."""
    raise TypeError(type(outcome).__name__)


@describe.register
def _(outcome: Answered) -> str:
    return f"answered:{outcome.status}"


@describe.register
def _(outcome: NotRun) -> str:
    return f"not_run:{outcome.reason}"


@describe.register
def _(outcome: Unknown) -> str:
    return f"unknown:{outcome.reason}"
