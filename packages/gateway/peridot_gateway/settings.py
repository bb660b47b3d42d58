"""Settings of the gateway, as the platform adapter passes them in."""

from dataclasses import dataclass

from peridot_gateway.budget import RetryBudgetLimits

# Time for a target's notice to reach all VMs from the store through the placer, and for
# a request to reach the target after it was chosen.
NOTICE_DELAY_S = 1.0


@dataclass(frozen=True)
class GatewaySettings:
    """The settings of one gateway."""

    vm: str
    data_centre: str
    # Listeners: IP and port each.
    caller_listener: str
    ready_listener: str
    fleet_listener: str
    metrics_listener: str
    # From the signal to stop until the process is killed (s).
    stop_timeout_s: float
    # Longest lease that targets accept (s).
    hold_max_s: float
    repeats: RetryBudgetLimits
    # Views must be current again within this time after a disruption ends (s).
    settle_s: float
    # No new request may reach a target this long after its notice to leave (s).
    drain_s: float
    # Whether the whole system starts for the first time.
    first_start: bool = False
    # Processor capacity of the VM in cores.
    cores: float = 1.0
    # Memory limit of the process (MiB).
    memory_mb: float = 300.0
    # Limit of requests to a cold target in any second, from all VMs: the service's rate
    # times the factor, plus the slack. Without a factor there is no limit.
    cold_rate_factor: float | None = None
    cold_rate_slack: float = 0.0
    # No request may reach a target of an evacuated zone this long after the evacuation
    # was stored (s); None if zones are never evacuated.
    evacuate_s: float | None = None

    @property
    def target_recovery_s(self) -> float:
        """Return how soon the view of targets must be current after a disruption (s).

        A placer whose watch of the store is dead sends no notices until then.
        """
        return min(self.settle_s, self.drain_s)

    @property
    def leaving_grace_s(self) -> float:
        """Return for how long a leaving target is sent new requests (s)."""
        return max(0.0, self.drain_s - NOTICE_DELAY_S)
