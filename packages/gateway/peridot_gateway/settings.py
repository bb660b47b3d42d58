"""Settings of the gateway, as the adapter hands them over."""

from dataclasses import dataclass

from peridot_gateway.budget import BudgetTerms

# A target's notice takes up to this long from the store through the placer to all VMs,
# and a request from the choice of its owner to the target (s).
NOTICE_ALLOWANCE_S = 1.0


@dataclass(frozen=True)
class GatewaySettings:
    """Hold what one gateway is told about itself and its surroundings."""

    vm: str
    data_centre: str
    # IP and port each.
    caller_listener: str
    ready_listener: str
    fleet_listener: str
    metrics_listener: str
    # From the signal to stop until the process is killed (s).
    stop_timeout_s: float
    # Longest hold that targets accept (s).
    hold_max_s: float
    repeats: BudgetTerms
    # Views must be current again this long after a disruption ends (s).
    settle_s: float
    # New requests must not reach a target this long after its notice to leave (s).
    drain_s: float

    @property
    def notice_s(self) -> float:
        """Return how soon views of targets must be current (s).

        A placer that has silently lost the store tells no notices until then.
        """
        return min(self.settle_s, self.drain_s)

    @property
    def leaving_serves_s(self) -> float:
        """Return for how long a target that leaves is sent new requests (s)."""
        return max(0.0, self.drain_s - NOTICE_ALLOWANCE_S)
