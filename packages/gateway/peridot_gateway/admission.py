"""Admission of the gateway: refuse requests that a target can't finish in time."""

from dataclasses import dataclass, field

from peridot_gateway.estimates import Estimates, TargetEstimate
from peridot_gateway.requests import GatewayRequest
from peridot_gateway.sharing import CapacitySharing
from peridot_resources.configuration import TargetInstance
from peridot_routing.outcomes import NotRun, Reason

# A request is refused if its wait and this share of its processing time exceed the
# remaining time: processing times vary, and few admitted requests are late.
PROCESSING_SHARE = 0.7
# Shortest Retry-After of a refusal.
MIN_RETRY_AFTER_S = 0.1


def expected_wait_s(
    estimate: TargetEstimate, target: TargetInstance, now: float
) -> float:
    """Return how long a new request would wait for a slot of a target (s)."""
    return estimate.expected_wait_s(target.slots, now)


@dataclass
class Admission:
    """Compare a target's backlog to a request's remaining time and its route's room."""

    estimates: Estimates
    sharing: CapacitySharing = field(default_factory=CapacitySharing)

    def check(self, request: GatewayRequest, target: TargetInstance) -> NotRun | None:
        """Return a refusal if a target won't finish a request in time, else None."""
        now = self.estimates.clock()
        estimate = self.estimates.get(target.name)
        cost_s = self.estimates.cost_s(request.service.name, request.route)
        processing_s = estimate.expected_processing_s(cost_s, now)
        if estimate.is_full(target.slots, now):
            retry_ms = int(1000 * max(MIN_RETRY_AFTER_S, processing_s))
            return NotRun(Reason.OVERLOADED, retry_ms, "full")
        wait_s = expected_wait_s(estimate, target, now)
        missing_s = wait_s + PROCESSING_SHARE * processing_s - request.remaining_s()
        if wait_s <= 0:
            return None
        if missing_s <= 0:
            return self._check_room(request, target, wait_s, processing_s)
        retry_ms = int(1000 * max(MIN_RETRY_AFTER_S, missing_s))
        return NotRun(Reason.OVERLOADED, retry_ms, f"wait {wait_s:.3f}")

    def _check_room(
        self,
        request: GatewayRequest,
        target: TargetInstance,
        wait_s: float,
        processing_s: float,
    ) -> NotRun | None:
        """Return a refusal if a queue's rest is kept for more urgent requests."""
        estimate, now = self.estimates.get(target.name), self.estimates.clock()
        room = self.sharing.find_room(request)
        if room is None:
            return None
        overloaded = self.sharing.is_overloaded(request.service.name)
        excess_s = wait_s - room.max_wait_s(processing_s, overloaded)
        limit = room.max_in_flight(target.slots, estimate.concurrency_limit)
        if excess_s <= 0 and estimate.total_in_flight(now) < limit:
            return None
        return self.sharing.refuse_room(
            request, max(0.0, excess_s), processing_s, f"room {wait_s:.3f}"
        )
