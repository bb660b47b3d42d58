"""Admission of the gateway: refuse requests that a target can't finish in time."""

from dataclasses import dataclass

from peridot_gateway.estimates import Estimates
from peridot_gateway.requests import GatewayRequest
from peridot_resources.configuration import TargetInstance
from peridot_routing.outcomes import NotRun, Reason

# A request is refused if its wait and this share of its processing time exceed the
# remaining time: processing times vary, and few admitted requests are late.
PROCESSING_SHARE = 0.7
# Shortest Retry-After of a refusal.
MIN_RETRY_AFTER_S = 0.1


@dataclass
class Admission:
    """Compare a target's backlog to a request's remaining time."""

    estimates: Estimates

    def check(self, request: GatewayRequest, target: TargetInstance) -> NotRun | None:
        """Return a refusal if a target won't finish a request in time, else None."""
        now = self.estimates.clock()
        estimate = self.estimates.get(target.name)
        cost_s = self.estimates.cost_s(request.service.name, request.route)
        processing_s = estimate.expected_processing_s(cost_s, now)
        if estimate.is_full(target.slots, now):
            retry_ms = int(1000 * max(MIN_RETRY_AFTER_S, processing_s))
            return NotRun(Reason.OVERLOADED, retry_ms, "full")
        wait_s = estimate.expected_wait_s(target.slots, now)
        missing_s = wait_s + PROCESSING_SHARE * processing_s - request.remaining_s()
        if wait_s <= 0 or missing_s <= 0:
            return None
        retry_ms = int(1000 * max(MIN_RETRY_AFTER_S, missing_s))
        return NotRun(Reason.OVERLOADED, retry_ms, f"wait {wait_s:.3f}")
