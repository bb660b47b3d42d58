"""Settings of the gateway, as the adapter hands them over."""

from dataclasses import dataclass

from peridot_gateway.budget import BudgetTerms


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
