"""Configuration of the gateway: routes, services, targets and caller limits."""

from dataclasses import dataclass, field
from math import inf


@dataclass(frozen=True)
class WeightedService:
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Which requests go to which services, with their timeout and retry limit."""

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    latency_objective_s: float
    # A larger number is more urgent.
    priority: int
    # Maximum number of targets that one caller request may be sent to.
    max_targets: int
    traffic_split: tuple[WeightedService, ...]


@dataclass(frozen=True)
class ServiceConfiguration:
    """A service of the gateway and the limits of its targets."""

    name: str
    divided_by_key: bool
    # Maximum number of connections that a target accepts from all clients together.
    max_connections: int
    # Time for which requests of a key that moved without handover are slow.
    warm_up_s: float
    # For how long a target is cold after a start during traffic (s), and the rate of
    # requests that it bears meanwhile (1/s); infinite if the service sets no limit.
    cold_s: float = 0.0
    cold_rate: float = inf


@dataclass(frozen=True)
class CallerLimits:
    """Size limits (bytes) and timeouts (s) for requests of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True)
class Configuration:
    """One accepted version of the operators' configuration; version 0 is none yet."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceConfiguration] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True)
class TargetInstance:
    """One incarnation of a target of the gateway, as registered on the platform."""

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    # Remaining time for which it is slow after its start.
    warm_up_left_s: float
    # Start time, Unix milliseconds; tells incarnations of one name apart.
    started_ms: int = 0
