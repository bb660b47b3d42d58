"""Admission: refuse at once what a target can't finish in time."""

from dataclasses import dataclass
from time import monotonic

from peridot_gateway.estimates import Estimates
from peridot_gateway.requests import GatewayRequest
from peridot_resources.configuration import ServingTarget
from peridot_routing.outcomes import NotRun, Reason

# A request is refused if the wait and this share of its work exceed what is left:
# work times vary, and a request that is let in is seldom wasted.
WORK_SHARE = 0.7
# Shortest time (s) after which a refused caller is told to come back.
MIN_RETRY_AFTER_S = 0.1


@dataclass
class Admission:
    """Weigh a target's backlog against what is left of a request's time."""

    estimates: Estimates

    def refusal(self, request: GatewayRequest, target: ServingTarget) -> NotRun | None:
        """Return a refusal if a target won't finish a request in time."""
        now = monotonic()
        estimate = self.estimates.of(target.name)
        if estimate.is_full(now):
            retry_ms = int(1000 * max(MIN_RETRY_AFTER_S, estimate.work_s))
            return NotRun(Reason.OVERLOADED, retry_ms, "full")
        wait_s = estimate.expected_wait_s(target.slots, now)
        missing_s = wait_s + WORK_SHARE * estimate.work_s - request.left_s()
        if wait_s <= 0 or missing_s <= 0:
            return None
        retry_ms = int(1000 * max(MIN_RETRY_AFTER_S, missing_s))
        return NotRun(Reason.OVERLOADED, retry_ms, f"wait {wait_s:.3f}")
