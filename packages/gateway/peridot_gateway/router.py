"""Router of the gateway: chooses targets for a request, with attempts and retries."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

from peridot_gateway.admission import Admission
from peridot_gateway.budget import RetryBudget, RetryBudgetLimits
from peridot_gateway.coldtargets import ColdTargets
from peridot_gateway.estimates import PAUSE_RAMP_S, Estimates
from peridot_gateway.evacuations import Evacuations
from peridot_gateway.owners import Owners
from peridot_gateway.picker import Picker
from peridot_gateway.requests import GatewayRequest
from peridot_gateway.sender import AttemptResult, Sender
from peridot_gateway.targets import TargetSource
from peridot_placement.decisions import DecisionLog
from peridot_resources.configuration import TargetInstance
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from peridot_routing.router import format_outcome

# Moving keys are granted to their new owner when the requests that run on them are
# done. Keys that have no owner for longer than this, or than a route's objective, wait
# for a lease to expire, which takes seconds.
MAX_OWNER_WAIT_S = 0.6
# Share of the remaining time that a request may wait for an owner.
MAX_OWNER_WAIT_SHARE = 0.5
# An owner that refuses a key gets its lease or is replaced within this time.
MISDIRECTED_RETRY_DELAY_S = 0.15
# Retry-After for callers of keys without an owner.
NO_OWNER_RETRY_MS = 400
NO_TARGET_RETRY_MS = 500
# An attempt of an idempotent request ends if the target is silent for this many times
# the expected latency or the latency objective, whichever is longer.
SILENCE_TIMEOUT_FACTOR = 1.8
# Shortest remaining time (s) with which an attempt is started.
MIN_ATTEMPT_S = 0.02
SHED_RETRY_DELAY_S = 0.03
# Callers of keys whose owner is cold return spread over this time (ms): keys move to
# other owners within seconds.
COLD_OWNER_RETRY_MS = (300, 900)
# Time after which a request that waits for the allowance of a cold owner looks again.
COLD_OWNER_CHECK_S = 0.1

# The attempt didn't reach a target, so a retry takes nothing from the budget.
UNDELIVERED_REASONS = frozenset((Reason.CONNECTION_REFUSED, Reason.TARGET_LOST))


@dataclass
class RouterParts:
    """The objects that the router depends on."""

    owners: Owners
    targets: TargetSource
    estimates: Estimates
    picker: Picker
    admission: Admission
    sender: Sender
    log: DecisionLog
    rng: random.Random
    cold: ColdTargets | None = None
    evacuations: Evacuations | None = None


class GatewayRouter:
    """Route requests of callers to targets, with retries."""

    def __init__(
        self,
        parts: RouterParts,
        retry_limits: RetryBudgetLimits,
        count_vms: Callable[[], int],
        leaving_grace_s: float,
    ) -> None:
        self.parts = parts
        self.retry_limits = retry_limits
        self.count_vms = count_vms
        # For how long a leaving target is sent new requests (s).
        self.leaving_grace_s = leaving_grace_s
        self.budgets: dict[str, RetryBudget] = {}
        self.key_counts: dict[str, Counter[int]] = {}
        self.retries = 0
        # Whether the gateway is being stopped: it gives up no requests then.
        self.stopping = False

    async def handle(self, request: GatewayRequest) -> Outcome:
        """Return the final outcome of a request."""
        budget = self._get_budget(request.service.name)
        budget.record_request()
        self._count_key(request)
        refusal = self.parts.admission.sharing.admit(request)
        if refusal is not None:
            return self._finalize(request, refusal)
        last: Outcome | None = None
        while True:
            if request.abandoned:
                return last or NotRun(Reason.CANCELLED)
            if request.remaining_s() < MIN_ATTEMPT_S:
                return self._finalize(request, last or NotRun(Reason.DEADLINE))
            target = await self._choose_target(request)
            if isinstance(target, NotRun):
                return self._finalize(request, last or target)
            final = self._check_attempt(request, target, last, budget)
            if final is not None:
                if self.parts.cold is not None:
                    self.parts.cold.give_back(target)
                return self._finalize(request, final)
            self.retries += bool(request.delivery_count)
            result = await self._attempt(request, target)
            last = result.outcome
            if not self._may_retry(request, result):
                return self._finalize(request, last)
            await self._wait_before_retry(request, target, last)

    def _check_attempt(
        self,
        request: GatewayRequest,
        target: TargetInstance,
        last: Outcome | None,
        budget: RetryBudget,
    ) -> Outcome | None:
        """Return the final outcome of a request that may not be sent, else None."""
        refusal = self.parts.admission.check(request, target)
        if refusal is not None:
            return last or refusal
        if last is not None and self._has_changed_lease(request, target):
            return last
        if request.delivery_count and not budget.try_spend():
            return last or NotRun(Reason.OVERLOADED)
        return None

    def _has_changed_lease(
        self, request: GatewayRequest, target: TargetInstance
    ) -> bool:
        """Return whether a target may have run a request under an earlier lease.

        Such a request isn't sent there again: its two runs would look like one that
        goes on while another target owns the key.
        """
        sent_at = request.possible_runs.get(target.name)
        if sent_at is None or not request.service.divided_by_key:
            return False
        service = request.service.name
        if target.name not in request.lost_leases and (
            not self.parts.owners.has_moved_since(service, request.key, sent_at)
        ):
            return False
        self.parts.log.write(
            "retry_refused",
            request=request.request_id,
            service=service,
            key=request.key,
            target=target.name,
            term=f"{self.parts.owners.term}.{self.parts.owners.sequence}",
            reason="key_moved_since_attempt",
            sent_s_ago=round(self.parts.owners.clock() - sent_at, 3),
        )
        return True

    def set_retry_limits(self, retry_limits: RetryBudgetLimits) -> None:
        """Apply other limits of retries."""
        self.retry_limits = retry_limits
        for budget in self.budgets.values():
            budget.limits = retry_limits

    def pop_key_counts(self) -> dict[str, Counter[int]]:
        """Return the request counts by service and key since the last call."""
        counts, self.key_counts = self.key_counts, {}
        return counts

    def _count_key(self, request: GatewayRequest) -> None:
        if request.service.divided_by_key and request.key is not None:
            counts = self.key_counts.setdefault(request.service.name, Counter())
            counts[request.key] += 1
            self.parts.estimates.count_key(
                request.service.name, request.route, request.key
            )

    def _get_budget(self, service: str) -> RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = RetryBudget(
                self.retry_limits, self.count_vms
            )
        return budget

    async def _choose_target(self, request: GatewayRequest) -> TargetInstance | NotRun:
        if request.service.divided_by_key:
            return await self._choose_owner(request)
        if len(request.tried_targets) >= request.route.max_targets:
            return NotRun(Reason.NO_TARGET, NO_TARGET_RETRY_MS, "all targets tried")
        targets = self.parts.targets.of_service(request.service.name)
        target = self.parts.picker.pick(
            targets,
            request.tried_targets,
            self.parts.estimates.cost_s(request.service.name, request.route),
            request.objective_left_s(),
        )
        if target is not None:
            return target
        pause_s = self.parts.picker.shortest_pause_s(targets, request.tried_targets)
        if pause_s:
            return self._refuse_during_pause(pause_s)
        return NotRun(Reason.NO_TARGET, NO_TARGET_RETRY_MS)

    async def _choose_owner(self, request: GatewayRequest) -> TargetInstance | NotRun:
        if request.key is None:
            return NotRun(Reason.MISSING_KEY)
        owners = self.parts.owners
        unowned_s = self._unowned_s(request.service.name, request.key)
        max_wait_s = max(MAX_OWNER_WAIT_S, request.route.latency_objective_s)
        wait_s = min(
            max_wait_s - unowned_s, MAX_OWNER_WAIT_SHARE * request.remaining_s()
        )
        wait_deadline = asyncio.get_running_loop().time() + wait_s
        draw = self.parts.rng.random() if self.parts.cold is not None else 0.0
        has_asked = False
        while True:
            changed = owners.changed.next
            target = self.parts.targets.targets.get(
                owners.find(request.service.name, request.key)
            )
            if target is not None and not self._is_unusable_owner(target.name):
                pause_s = self.parts.estimates.pause_remaining_s(target.name)
                if not pause_s:
                    checked = self._check_owner(request, target)
                    if isinstance(checked, NotRun) or self._take_allowance(
                        target, draw
                    ):
                        return checked
                    left_s = wait_deadline - asyncio.get_running_loop().time()
                    if left_s <= 0:
                        return self._refuse_for_cold_owner()
                    if not has_asked:
                        has_asked = True
                        self.parts.cold.request_report()
                    await self.parts.cold.changed.wait(min(left_s, COLD_OWNER_CHECK_S))
                    continue
                if pause_s > wait_deadline - asyncio.get_running_loop().time():
                    return self._refuse_during_pause(pause_s)
                await asyncio.sleep(pause_s)
                continue
            remaining_s = wait_deadline - asyncio.get_running_loop().time()
            if remaining_s <= 0 or not owners.tables:
                return NotRun(Reason.SLICE_MOVING, NO_OWNER_RETRY_MS)
            try:
                async with asyncio.timeout(remaining_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _refuse_during_pause(self, pause_s: float) -> NotRun:
        """Refuse a request whose targets want none for a time (s).

        Callers are told to return one after the other as the targets take up work.
        """
        spread_s = self.parts.rng.uniform(0.0, PAUSE_RAMP_S)
        retry_ms = int(1000 * (pause_s + spread_s))
        return NotRun(Reason.OVERLOADED, retry_ms, f"paused for {pause_s:.2f}")

    def _take_allowance(self, target: TargetInstance, draw: float) -> bool:
        """Take a request's allowance of an owner; return whether it may be sent."""
        return self.parts.cold is None or self.parts.cold.take(target, draw)

    def _refuse_for_cold_owner(self) -> NotRun:
        self.parts.cold.refused += 1
        retry_ms = int(self.parts.rng.uniform(*COLD_OWNER_RETRY_MS))
        return NotRun(Reason.OVERLOADED, retry_ms, "owner is cold")

    def _evacuated_for_s(self, name: str) -> float:
        """Return for how long an owner has got no requests as its zone is evacuated."""
        target = self.parts.targets.targets.get(name)
        if target is None or self.parts.evacuations is None:
            return 0.0
        return max(0.0, self.parts.evacuations.overdue_s(target))

    def _unowned_s(self, service: str, key: int) -> float:
        """Return for how long a key has had no usable owner (s), 0 if it has one."""
        owner = self.parts.owners.find(service, key)
        gone_for_s = self.parts.estimates.gone_for_s(owner) if owner else None
        overdue_s = self.parts.targets.leaving_for_s(owner) - self.leaving_grace_s
        return max(
            gone_for_s or 0.0,
            overdue_s,
            self._evacuated_for_s(owner),
            self.parts.owners.unowned_s(service, key),
        )

    def _is_unusable_owner(self, target: str) -> bool:
        """Return whether an owner gets no new requests before it is replaced."""
        if self.parts.estimates.gone_for_s(target) is not None:
            return True
        if self._evacuated_for_s(target) > 0:
            return True
        return self.parts.targets.leaving_for_s(target) > self.leaving_grace_s

    def _check_owner(
        self, request: GatewayRequest, target: TargetInstance
    ) -> TargetInstance | NotRun:
        limit_reached = len(request.tried_targets) >= request.route.max_targets
        if limit_reached and target.name not in request.tried_targets:
            return NotRun(Reason.NO_TARGET, NO_TARGET_RETRY_MS, "all targets tried")
        return target

    async def _attempt(
        self, request: GatewayRequest, target: TargetInstance
    ) -> Outcome:
        silence_timeout_s = self._silence_timeout_s(request, target)
        sent_at = self.parts.owners.clock()
        result = await self.parts.sender.attempt(
            request,
            target,
            silence_timeout_s,
            lambda: self._may_give_up(request, target),
        )
        outcome = result.outcome
        if self.parts.cold is not None:
            self.parts.cold.record_outcome(target, outcome)
        if not (isinstance(outcome, NotRun) and outcome.reason in UNDELIVERED_REASONS):
            request.delivery_count += 1
            request.tried_targets.add(target.name)
        if isinstance(outcome, Unknown | Answered):
            request.possible_runs.setdefault(target.name, sent_at)
        if isinstance(outcome, NotRun) and outcome.reason is Reason.NOT_OWNER:
            request.misdirected_count += 1
            if target.name in request.possible_runs:
                request.lost_leases.add(target.name)
            answered_by = (
                result.response_headers.answered_by if result.response_headers else None
            )
            if answered_by not in (None, target.name):
                self.parts.estimates.mark_gone(target.name)
        if not isinstance(outcome, Answered) or outcome.status >= 500:
            self._log_attempt(request, target, result)
        return result

    def _may_give_up(self, request: GatewayRequest, target: TargetInstance) -> bool:
        """Return whether an attempt at a silent target may be given up for another.

        The target may be at work on it, so another attempt must be possible; while the
        gateway is being stopped, none is given up. An owner of keys is tried again: its
        response may have been lost.
        """
        if self.stopping or not self._get_budget(request.service.name).has_room():
            return False
        if request.service.divided_by_key:
            return True
        tried = request.tried_targets | {target.name}
        return len(tried) < request.route.max_targets

    def _silence_timeout_s(
        self, request: GatewayRequest, target: TargetInstance
    ) -> float:
        """Return for how long a target may be silent during an attempt (s).

        Non-idempotent requests get all the remaining time.
        """
        remaining_s = request.remaining_s()
        if not request.route.idempotent:
            return remaining_s
        estimate = self.parts.estimates.get(target.name)
        cost_s = self.parts.estimates.cost_s(request.service.name, request.route)
        expected_latency_s = estimate.expected_latency_s(
            target.slots, monotonic(), cost_s
        )
        objective_s = request.route.latency_objective_s
        return min(
            remaining_s, max(expected_latency_s, objective_s) * SILENCE_TIMEOUT_FACTOR
        )

    def _may_retry(self, request: GatewayRequest, result: AttemptResult) -> bool:
        if not request.may_repeat:
            return False
        match result.outcome:
            case Answered(status=status):
                return status >= 500 and request.route.idempotent
            case NotRun(reason=Reason.SHED):
                return not (request.service.divided_by_key and result.is_queue_full)
            case NotRun(reason=reason):
                return reason is not Reason.DEADLINE
            case _ if request.service.divided_by_key and result.target_full:
                return False
            case _:
                return request.route.idempotent

    async def _wait_before_retry(
        self, request: GatewayRequest, target: TargetInstance, outcome: Outcome
    ) -> None:
        """Wait until a retry is likely to succeed."""
        if not request.service.divided_by_key or not isinstance(outcome, NotRun):
            return
        if outcome.reason is Reason.NOT_OWNER:
            # An owner whose lease has expired may get it back soon, or only when the
            # store is available again.
            wait_s = MISDIRECTED_RETRY_DELAY_S * 2 ** (request.misdirected_count - 1)
        elif outcome.reason in UNDELIVERED_REASONS:
            wait_s = MISDIRECTED_RETRY_DELAY_S
        else:
            wait_s = SHED_RETRY_DELAY_S
        await self.parts.owners.changed.wait(
            min(wait_s, max(0.0, request.remaining_s()))
        )

    def _finalize(self, request: GatewayRequest, outcome: Outcome) -> Outcome:
        """Return the final outcome, not run only if no attempt may have run."""
        if isinstance(outcome, NotRun) and request.may_have_run:
            return Unknown(Reason.CONNECTION_LOST, f"last attempt: {outcome.reason}")
        self.parts.admission.sharing.record_outcome(request, outcome)
        return outcome

    def _log_attempt(
        self, request: GatewayRequest, target: TargetInstance, result: AttemptResult
    ) -> None:
        estimate = self.parts.estimates.get(target.name)
        self.parts.log.write(
            "attempt",
            request=request.request_id,
            service=request.service.name,
            key=request.key,
            target=target.name,
            term=f"{self.parts.owners.term}.{self.parts.owners.sequence}",
            targets_age=round(self.parts.targets.age_s, 2),
            in_flight=estimate.in_flight,
            left=round(request.remaining_s(), 3),
            outcome=format_outcome(result.outcome),
            detail=getattr(result.outcome, "detail", ""),
        )
