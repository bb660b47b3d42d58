"""Router: takes a request through the choice of a target, attempts and repeats."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

from peridot_gateway.admission import Admission
from peridot_gateway.budget import BudgetTerms, RepeatBudget
from peridot_gateway.estimates import Estimates
from peridot_gateway.owners import Owners
from peridot_gateway.picker import Picker
from peridot_gateway.requests import GatewayRequest
from peridot_gateway.sender import Attempt, Sender
from peridot_gateway.targets import TargetSource
from peridot_placement.decisions import DecisionLog
from peridot_resources.configuration import ServingTarget
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from peridot_routing.router import describe

# Keys that move are granted anew within the time of the work that runs on them; those
# without an owner for longer wait for a hold to run out, which takes seconds.
OWNER_WAIT_S = 0.6
# Share of the time left that a request may wait for an owner.
OWNER_WAIT_SHARE = 0.5
# An owner that refuses the key loses or gets it within this time.
MISDIRECTED_WAIT_S = 0.15
# Callers of keys without an owner come back after this.
NO_OWNER_RETRY_MS = 400
NO_TARGET_RETRY_MS = 500
# An answer that takes this many times its expected time, or its objective, isn't
# awaited longer if the request may be repeated.
SILENCE_FACTOR = 1.8
# No attempt begins with less time (s) left.
MIN_ATTEMPT_S = 0.02
SHED_PAUSE_S = 0.03

# The attempt did not arrive, so repeating it takes nothing from the budget.
NOT_ARRIVED = frozenset((Reason.CONNECTION_REFUSED, Reason.TARGET_LOST))


@dataclass
class RouterParts:
    """Hold what the router works with."""

    owners: Owners
    targets: TargetSource
    estimates: Estimates
    picker: Picker
    admission: Admission
    sender: Sender
    log: DecisionLog
    rng: random.Random


class GatewayRouter:
    """Answer requests, each once."""

    def __init__(
        self,
        parts: RouterParts,
        terms: BudgetTerms,
        vms: Callable[[], int],
        leaving_serves_s: float,
    ) -> None:
        self.parts = parts
        self.terms = terms
        self.vms = vms
        # For how long a target that leaves is sent new requests (s).
        self.leaving_serves_s = leaving_serves_s
        self.budgets: dict[str, RepeatBudget] = {}
        self.key_counts: dict[str, Counter[int]] = {}
        self.repeats = 0

    async def handle(self, request: GatewayRequest) -> Outcome:
        """Return the final outcome of a request."""
        budget = self._budget(request.service.name)
        budget.note_request()
        self._count_key(request)
        last: Outcome | None = None
        while True:
            if request.abandoned:
                return last or NotRun(Reason.CANCELLED)
            if request.left_s() < MIN_ATTEMPT_S:
                return self._give_up(request, last or NotRun(Reason.DEADLINE))
            target = await self._choose(request)
            if isinstance(target, NotRun):
                return self._give_up(request, last or target)
            refusal = self.parts.admission.refusal(request, target)
            if refusal is not None:
                return self._give_up(request, last or refusal)
            if request.arrivals and not budget.take():
                return self._give_up(request, last or NotRun(Reason.OVERLOADED))
            self.repeats += bool(request.arrivals)
            found = await self._attempt(request, target)
            last = found.outcome
            if not self._may_repeat(request, found):
                return self._give_up(request, last)
            await self._pause(request, target, last)

    def set_terms(self, terms: BudgetTerms) -> None:
        """Put another bound of repeats in force."""
        self.terms = terms
        for budget in self.budgets.values():
            budget.terms = terms

    def take_key_counts(self) -> dict[str, Counter[int]]:
        """Return the requests by key since the last call."""
        counts, self.key_counts = self.key_counts, {}
        return counts

    def _count_key(self, request: GatewayRequest) -> None:
        if request.service.divided_by_key and request.key is not None:
            counts = self.key_counts.setdefault(request.service.name, Counter())
            counts[request.key] += 1

    def _budget(self, service: str) -> RepeatBudget:
        found = self.budgets.get(service)
        if found is None:
            found = self.budgets[service] = RepeatBudget(self.terms, self.vms)
        return found

    async def _choose(self, request: GatewayRequest) -> ServingTarget | NotRun:
        if request.service.divided_by_key:
            return await self._choose_owner(request)
        if len(request.tried) >= request.route.max_targets:
            return NotRun(Reason.NO_TARGET, NO_TARGET_RETRY_MS, "all attempts used")
        targets = self.parts.targets.of_service(request.service.name)
        found = self.parts.picker.pick(targets, request.tried)
        return found or NotRun(Reason.NO_TARGET, NO_TARGET_RETRY_MS)

    async def _choose_owner(self, request: GatewayRequest) -> ServingTarget | NotRun:
        if request.key is None:
            return NotRun(Reason.MISSING_KEY)
        owners = self.parts.owners
        unowned_s = self._unowned_s(request.service.name, request.key)
        wait_s = min(OWNER_WAIT_S - unowned_s, OWNER_WAIT_SHARE * request.left_s())
        ends = asyncio.get_running_loop().time() + wait_s
        while True:
            changed = owners.changed.next
            target = self.parts.targets.targets.get(
                owners.find(request.service.name, request.key)
            )
            if target is not None and not self._is_given_up(target.name):
                return self._check_owner(request, target)
            left_s = ends - asyncio.get_running_loop().time()
            if left_s <= 0 or not owners.tables:
                return NotRun(Reason.SLICE_MOVING, NO_OWNER_RETRY_MS)
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _unowned_s(self, service: str, key: int) -> float:
        """Return for how long a key has had no owner that exists (s)."""
        owner = self.parts.owners.find(service, key)
        gone_s = self.parts.estimates.gone_s(owner) if owner else None
        left_s = self.parts.targets.leaving_s(owner) - self.leaving_serves_s
        return max(gone_s or 0.0, left_s, self.parts.owners.unowned_s(service, key))

    def _is_given_up(self, target: str) -> bool:
        """Tell whether an owner gets no new requests, whatever the placer knows."""
        if self.parts.estimates.gone_s(target) is not None:
            return True
        return self.parts.targets.leaving_s(target) > self.leaving_serves_s

    def _check_owner(
        self, request: GatewayRequest, target: ServingTarget
    ) -> ServingTarget | NotRun:
        limit_reached = len(request.tried) >= request.route.max_targets
        if limit_reached and target.name not in request.tried:
            return NotRun(Reason.NO_TARGET, NO_TARGET_RETRY_MS, "all attempts used")
        return target

    async def _attempt(self, request: GatewayRequest, target: ServingTarget) -> Outcome:
        limit_s = self._limit_s(request, target)
        found = await self.parts.sender.attempt(request, target, limit_s)
        outcome = found.outcome
        if not (isinstance(outcome, NotRun) and outcome.reason in NOT_ARRIVED):
            request.arrivals += 1
            request.tried.add(target.name)
        if isinstance(outcome, Unknown | Answered):
            request.may_have_run = True
        if isinstance(outcome, NotRun) and outcome.reason is Reason.NOT_OWNER:
            request.misdirected += 1
            answered_by = found.facts.answered_by if found.facts else None
            if answered_by not in (None, target.name):
                self.parts.estimates.note_gone(target.name)
        if not isinstance(outcome, Answered) or outcome.status >= 500:
            self._log_attempt(request, target, found)
        return found

    def _limit_s(self, request: GatewayRequest, target: ServingTarget) -> float:
        """Return how long an attempt may take; orders always get all that is left."""
        left_s = request.left_s()
        if not request.route.idempotent:
            return left_s
        estimate = self.parts.estimates.of(target.name)
        expected_s = estimate.expected_s(target.slots, monotonic())
        objective_s = request.route.latency_objective_s
        return min(left_s, max(expected_s, objective_s) * SILENCE_FACTOR)

    def _may_repeat(self, request: GatewayRequest, found: Attempt) -> bool:
        match found.outcome:
            case Answered(status=status):
                return status >= 500 and request.route.idempotent
            case NotRun(reason=Reason.SHED):
                return not (request.service.divided_by_key and found.queue_is_full)
            case NotRun(reason=reason):
                return reason is not Reason.DEADLINE
            case _ if request.service.divided_by_key and found.target_full:
                return False
            case _:
                return request.route.idempotent

    async def _pause(
        self, request: GatewayRequest, target: ServingTarget, outcome: Outcome
    ) -> None:
        """Wait until a repeat may go better."""
        if not request.service.divided_by_key or not isinstance(outcome, NotRun):
            return
        if outcome.reason is Reason.NOT_OWNER:
            # An owner whose hold has run out may get it back soon, or only when the
            # store is back.
            wait_s = MISDIRECTED_WAIT_S * 2 ** (request.misdirected - 1)
        elif outcome.reason in NOT_ARRIVED:
            wait_s = MISDIRECTED_WAIT_S
        else:
            wait_s = SHED_PAUSE_S
        await self.parts.owners.changed.wait(min(wait_s, max(0.0, request.left_s())))

    def _give_up(self, request: GatewayRequest, outcome: Outcome) -> Outcome:
        """Return the final outcome: "not run" only if no attempt may have run."""
        if isinstance(outcome, NotRun) and request.may_have_run:
            return Unknown(Reason.CONNECTION_LOST, f"then {outcome.reason}")
        return outcome

    def _log_attempt(
        self, request: GatewayRequest, target: ServingTarget, found: Attempt
    ) -> None:
        estimate = self.parts.estimates.of(target.name)
        self.parts.log.write(
            "attempt",
            request=request.request_id,
            service=request.service.name,
            key=request.key,
            target=target.name,
            term=f"{self.parts.owners.term}.{self.parts.owners.sequence}",
            targets_age=round(self.parts.targets.age_s, 2),
            in_flight=estimate.in_flight,
            left=round(request.left_s(), 3),
            outcome=describe(found.outcome),
            detail=getattr(found.outcome, "detail", ""),
        )
