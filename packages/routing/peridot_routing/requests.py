"""Requests as they pass through the router."""

from dataclasses import dataclass, field
from time import monotonic

from peridot_resources.catalog import RoutingPolicy, Service
from peridot_routing.outcomes import NotRun, Reason

# Headers of one connection, which must not pass to the next.
HOP_HEADERS = frozenset(
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
# Headers that only the router may set.
ROUTER_HEADERS = frozenset(
    ("deadline-ms", "grant-epoch", "key-hash", "not-run", "request-id")
)


@dataclass
class RoutedRequest:
    """Hold a request with all that routing needs to know of it."""

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
    deadline: float
    attempts: int = 0
    avoided: set[str] = field(default_factory=set)

    def remaining_s(self) -> float:
        """Return the time left until the deadline."""
        return self.deadline - monotonic()

    def attempt_s(self) -> float:
        """Return how long one attempt may take from now."""
        return min(self.remaining_s(), self.policy.attempt_timeout_ms / 1000)


def pass_headers(headers) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers, without those of the hop or the router."""
    return tuple(
        (name, value)
        for name, value in headers.items()
        if (lower := name.lower()) not in HOP_HEADERS and lower not in ROUTER_HEADERS
    )


def expired(request: RoutedRequest) -> NotRun | None:
    """Return a refusal if the deadline has passed."""
    if request.remaining_s() <= 0:
        return NotRun(Reason.DEADLINE)
    return None
