"""Requests of peridotd as they pass through the router."""

from dataclasses import dataclass, field
from time import monotonic

from peridot_resources.catalog import RoutingPolicy, Service
from peridot_routing.outcomes import NotRun, Reason

# Headers that apply to one connection and must not be forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# Headers that only the router sets; those of callers and targets are dropped.
ROUTER_HEADERS = frozenset(
    ("deadline-ms", "grant-epoch", "key-hash", "not-run", "request-id")
)


@dataclass(frozen=True)
class PossibleRun:
    """A target that may have run a request, any if empty.

    It owned the key at the epoch or later.
    """

    target: str
    epoch: tuple[int, int]


@dataclass
class RoutedRequest:
    """A request with its service, policy, key and deadline."""

    request_id: str
    service: Service
    policy: RoutingPolicy
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    key_hash: int
    idempotent: bool
    priority: int
    # In seconds of the monotonic clock.
    deadline: float
    attempts: int = 0
    excluded_targets: set[str] = field(default_factory=set)
    possible_runs: list[PossibleRun] = field(default_factory=list)

    def remaining_s(self) -> float:
        """Return the time until the deadline."""
        return self.deadline - monotonic()

    def attempt_timeout_s(self) -> float:
        """Return how long an attempt that starts now may take."""
        return min(self.remaining_s(), self.policy.attempt_timeout_ms / 1000)


def end_to_end_headers(headers) -> tuple[tuple[str, str], ...]:
    """Return the headers without hop-by-hop headers and those of the router."""
    return tuple(
        (name, value)
        for name, value in headers.items()
        if (lower := name.lower()) not in HOP_BY_HOP_HEADERS
        and lower not in ROUTER_HEADERS
    )


def check_deadline(request: RoutedRequest) -> NotRun | None:
    """Return a refusal if the deadline has passed."""
    if request.remaining_s() <= 0:
        return NotRun(Reason.DEADLINE)
    return None
