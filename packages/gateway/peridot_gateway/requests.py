"""Requests on their way through a VM that sends to targets itself."""

from dataclasses import dataclass, field
from time import monotonic

from peridot_resources.configuration import Route, ServiceSpec
from peridot_routing.requests import HOP_HEADERS


def end_to_end(headers) -> tuple[tuple[str, str], ...]:
    """Return the headers that don't concern one connection only."""
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_HEADERS
    )


@dataclass(eq=False)
class GatewayRequest:
    """Hold one request of a caller and what became of its attempts."""

    request_id: str
    route: Route
    service: ServiceSpec
    host: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    # Key of services that are divided by key.
    key: int | None
    began: float
    # When the caller stops waiting or the route's timeout ends (s, monotonic).
    deadline: float
    # Names of targets that it was sent to.
    tried: set[str] = field(default_factory=set)
    # Attempts that reached, or may have reached, a target.
    arrivals: int = 0
    # Attempts that met a target which doesn't hold the key.
    misdirected: int = 0
    # Whether an attempt may have run at a target.
    may_have_run: bool = False
    # Whether the caller has left.
    abandoned: bool = False

    def left_s(self) -> float:
        """Return the time left until the deadline."""
        return self.deadline - monotonic()
