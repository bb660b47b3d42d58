"""Parsed resources of peridotd: data classes, cheaper than pydantic models."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from peridot_resources.errors import InvalidObject

INVALID_FIELD_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
)


class Kind(StrEnum):
    """The kinds of stored objects."""

    SERVICE = "Service"
    TARGET = "Target"
    ROUTING_POLICY = "RoutingPolicy"
    ASSIGNMENT = "Assignment"
    HOME = "Home"
    TERM = "Term"
    STATUS = "Status"


CONFIGURATION_KINDS = frozenset((Kind.SERVICE, Kind.TARGET, Kind.ROUTING_POLICY))


@dataclass(frozen=True)
class RoutingPolicy:
    """Deadlines (ms), limits and placement weights of the services that name it."""

    name: str
    deadline_ms: int
    attempt_timeout_ms: int
    priority: int
    classes: tuple[tuple[str, int], ...]
    retry_share: float
    queue_length: int
    key_share: float
    max_body_bytes: int
    max_answer_bytes: int
    moves_per_minute: int
    unavailable_time_weight: float
    imbalance_weight: float
    churn_weight: float


@dataclass(frozen=True)
class Service:
    """A service: how its requests are matched, keyed and retried."""

    name: str
    path_prefix: str
    key_header: str | None
    key_template: str | None
    divided_by_key: bool
    idempotent_methods: frozenset[str]
    idempotent_paths: tuple[str, ...]
    policy: str


@dataclass(frozen=True)
class Target:
    """A target: its address, data centre and capacity."""

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    connections: int
    checks_grants: bool
    leaving: bool


@dataclass(frozen=True)
class Catalog:
    """Services, targets and policies at one revision; revision 0 is not loaded yet."""

    revision: int = 0
    services: Mapping[str, Service] = field(default_factory=dict)
    targets: Mapping[str, Target] = field(default_factory=dict)
    policies: Mapping[str, RoutingPolicy] = field(default_factory=dict)

    def targets_of(self, service: str, data_centre: str | None = None) -> list[Target]:
        """Return a service's targets in one data centre or all, ordered by name."""
        return [
            target
            for _, target in sorted(self.targets.items())
            if target.service == service
            and (data_centre is None or target.data_centre == data_centre)
        ]

    def policy_of(self, service: Service) -> RoutingPolicy:
        """Return the policy that a service refers to."""
        return self.policies[service.policy]


def parse_service(name: str, spec: Mapping) -> Service:
    """Build a service from its stored spec; raise InvalidObject on errors."""
    try:
        return Service(
            name=name,
            path_prefix=str(spec["pathPrefix"]),
            key_header=spec["key"].get("header"),
            key_template=spec["key"].get("pathTemplate"),
            divided_by_key=bool(spec["dividedByKey"]),
            idempotent_methods=frozenset(spec["idempotentMethods"]),
            idempotent_paths=tuple(spec["idempotentPaths"]),
            policy=str(spec["policy"]),
        )
    except INVALID_FIELD_ERRORS as error:
        raise InvalidObject(f"Service/{name}: {error!r}") from error


def parse_target(name: str, spec: Mapping) -> Target:
    """Build a target from its stored spec; raise InvalidObject on errors."""
    try:
        return Target(
            name=name,
            service=str(spec["service"]),
            address=str(spec["address"]),
            data_centre=str(spec["dataCentre"]),
            slots=int(spec["slots"]),
            connections=int(spec["connections"]),
            checks_grants=bool(spec["checksGrants"]),
            leaving=bool(spec["leaving"]),
        )
    except INVALID_FIELD_ERRORS as error:
        raise InvalidObject(f"Target/{name}: {error!r}") from error


def parse_policy(name: str, spec: Mapping) -> RoutingPolicy:
    """Build a routing policy from its stored spec; raise InvalidObject on errors."""
    try:
        return RoutingPolicy(
            name=name,
            deadline_ms=int(spec["deadlineMs"]),
            attempt_timeout_ms=int(spec["attemptTimeoutMs"]),
            priority=int(spec["priority"]),
            classes=tuple(
                (str(item["pathPrefix"]), int(item["priority"]))
                for item in spec["classes"]
            ),
            retry_share=float(spec["retryShare"]),
            queue_length=int(spec["queueLength"]),
            key_share=float(spec["keyShare"]),
            max_body_bytes=int(spec["maxBodyBytes"]),
            max_answer_bytes=int(spec["maxAnswerBytes"]),
            moves_per_minute=int(spec["movesPerMinute"]),
            unavailable_time_weight=float(spec["weights"]["unavailableTime"]),
            imbalance_weight=float(spec["weights"]["imbalance"]),
            churn_weight=float(spec["weights"]["churn"]),
        )
    except INVALID_FIELD_ERRORS as error:
        raise InvalidObject(f"RoutingPolicy/{name}: {error!r}") from error
