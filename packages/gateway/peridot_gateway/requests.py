"""Requests in the gateway, where each VM sends to targets itself."""

from dataclasses import dataclass, field
from time import monotonic

from peridot_gateway.uploads import Upload
from peridot_resources.configuration import Route, ServiceConfiguration
from peridot_routing.requests import HOP_BY_HOP_HEADERS


def end_to_end_headers(headers) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers, without hop-by-hop ones."""
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    )


@dataclass(eq=False)
class GatewayRequest:
    """A caller's request and the state of its attempts."""

    request_id: str
    route: Route
    service: ServiceConfiguration
    host: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | Upload
    # Key of a request to a service divided by key.
    key: int | None
    started_at: float
    # When the caller stops waiting or the route times out (s, monotonic).
    deadline: float
    # Names of targets that attempts were sent to.
    tried_targets: set[str] = field(default_factory=set)
    # Number of attempts that reached a target, or may have.
    delivery_count: int = 0
    # Number of attempts at a target that doesn't hold the key.
    misdirected_count: int = 0
    # Targets that may have run the request, and when it was first sent to each (s).
    possible_runs: dict[str, float] = field(default_factory=dict)
    # Those of them that refused the key later, so that their lease had ended.
    lost_leases: set[str] = field(default_factory=set)
    # Whether the caller has closed its connection.
    abandoned: bool = False

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run the request."""
        return bool(self.possible_runs)

    @property
    def upload(self) -> Upload | None:
        """Return the body if it is passed on while it arrives."""
        return self.body if isinstance(self.body, Upload) else None

    @property
    def may_repeat(self) -> bool:
        """Return whether the body is there for another attempt."""
        return self.upload is None or not self.upload.taken

    def remaining_s(self) -> float:
        """Return the time remaining until the deadline (s)."""
        return self.deadline - monotonic()

    def objective_left_s(self) -> float:
        """Return the time remaining for the latency objective (s)."""
        return self.started_at + self.route.latency_objective_s - monotonic()
