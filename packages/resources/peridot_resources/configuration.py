"""Configuration of services whose targets enforce holds: routes, services, limits."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Share:
    """Give a service a share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Say which requests go where, and how long and often they may be tried."""

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    latency_objective_s: float
    # The highest rank is the largest number.
    priority: int
    # Targets that one request of a caller may be sent to.
    max_targets: int
    shares: tuple[Share, ...]


@dataclass(frozen=True)
class ServiceSpec:
    """Describe a service and what its targets allow."""

    name: str
    divided_by_key: bool
    # Connections that a target accepts from all callers together.
    max_connections: int
    # How long keys that arrive without handover are slow at a target.
    warm_up_s: float


@dataclass(frozen=True)
class CallerLimits:
    """Bound what callers may send and how long they may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True)
class Configuration:
    """Hold one accepted version of the operators' configuration; 0 is none."""

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceSpec] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()


@dataclass(frozen=True)
class ServingTarget:
    """Describe one incarnation of a target as it announced itself."""

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    # How much longer it is slow after its start.
    warm_up_left_s: float
    # Distinguishes incarnations that share a name.
    started_ms: int = 0
