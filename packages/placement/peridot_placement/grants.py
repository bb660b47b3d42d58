"""Grants: leases of targets to serve hash ranges (peridotd mode).

The front of a target, the VM that all its requests pass through, renews the grant if
the target checks grants. The epoch of a grant is its fencing token. A grant expires at
a reading of the target's own clock, so a message that arrives late doesn't extend it.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import orjson
from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout

from peridot_placement.clock import add_drift_margin, boot_time
from peridot_placement.slices import HashRange

GRANT_S = 0.4
GRANT_PERIOD_S = 0.1
GRANT_TIMEOUT_S = 0.2


@dataclass(frozen=True)
class GrantRequest:
    """All that a target may serve until its clock shows `expires_clock_ms`."""

    service: str
    epoch: tuple[int, int]
    ranges: tuple[HashRange, ...]
    expires_clock_ms: int


@dataclass(frozen=True)
class GrantAccepted:
    """The target's clock (ms) and its running requests outside the granted ranges.

    The requests are given by the hashes of their keys.
    """

    clock_ms: int
    running_outside: tuple[int, ...] = ()


@dataclass(frozen=True)
class GrantStale:
    """The target has seen a newer epoch."""

    epoch: tuple[int, int]


@dataclass(frozen=True)
class GrantFailed:
    """The target refused the connection or didn't reply properly and in time."""

    refused: bool
    reason: str


GrantOutcome = GrantAccepted | GrantStale | GrantFailed


class TargetClient(ABC):
    """Calls to the control endpoints of targets."""

    @abstractmethod
    async def grant(self, address: str, request: GrantRequest) -> GrantOutcome:
        """Replace the grant of a target."""

    @abstractmethod
    async def probe(self, address: str) -> GrantAccepted | GrantFailed:
        """Ask a target for its clock, which also shows that it is alive."""


class HttpTargetClient(TargetClient):
    """Call the control endpoints of targets over HTTP."""

    def __init__(self, session: ClientSession) -> None:
        self.session = session

    async def grant(self, address: str, request: GrantRequest) -> GrantOutcome:
        return await self._call(
            "PUT", address, "/-/grant", serialize_grant_request(request)
        )

    async def probe(self, address: str) -> GrantAccepted | GrantFailed:
        return await self._call("GET", address, "/-/health", None)

    async def _call(
        self, method: str, address: str, path: str, body: bytes | None
    ) -> GrantOutcome:
        try:
            async with self.session.request(
                method,
                f"http://{address}{path}",
                data=body,
                timeout=ClientTimeout(total=GRANT_TIMEOUT_S),
            ) as response:
                fields = orjson.loads(await response.read())
                if response.status == 409:
                    return GrantStale(tuple(fields["epoch"]))
                if response.status != 200:
                    return GrantFailed(False, f"status {response.status}")
                running = tuple(fields.get("running_outside", ()))
                return GrantAccepted(fields["clock_ms"], running)
        except ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            return GrantFailed(refused, "connection refused")
        except (ClientError, TimeoutError, OSError, ValueError, KeyError) as error:
            return GrantFailed(False, type(error).__name__)


def serialize_grant_request(request: GrantRequest) -> bytes:
    """Return the JSON of a grant request."""
    return orjson.dumps(
        {
            "service": request.service,
            "epoch": request.epoch,
            "ranges": [(item.start, item.end - 1) for item in request.ranges],
            "expires_clock_ms": request.expires_clock_ms,
        }
    )


def parse_grant_request(text: bytes) -> GrantRequest:
    """Return the grant request in a JSON document."""
    fields = orjson.loads(text)
    return GrantRequest(
        fields["service"],
        tuple(fields["epoch"]),
        tuple(HashRange(start, last + 1) for start, last in fields["ranges"]),
        fields["expires_clock_ms"],
    )


@dataclass
class GrantState:
    """Track what one target may still serve by the grants of this VM."""

    clock_ms: int | None = None
    clock_read_at: float = 0.0
    epoch: tuple[int, int] = (0, 0)
    ranges: tuple[HashRange, ...] = ()
    expires_at: float = float("-inf")
    running_outside: tuple[int, ...] = ()
    last_response_at: float = float("-inf")

    def expiry(self, permit_until: float) -> tuple[int, float]:
        """Return when the next grant expires.

        The first time (ms) is on the target's clock. The second (s), on this VM's
        clock, is one by which the grant has certainly expired.
        """
        if self.clock_ms is None:
            return 0, float("-inf")
        length_s = min(GRANT_S, permit_until - self.clock_read_at)
        if length_s <= 0:
            return 0, float("-inf")
        expires_at = self.clock_read_at + add_drift_margin(length_s)
        return self.clock_ms + int(length_s * 1000), expires_at

    def record_sent(self, ranges: tuple[HashRange, ...], expires_at: float) -> None:
        """Record a grant as valid when it is sent, as its reply may be lost."""
        self.ranges = tuple(dict.fromkeys((*self.ranges, *ranges)))
        self.expires_at = max(self.expires_at, expires_at)

    def record_accepted(self, request: GrantRequest, accepted: GrantAccepted) -> None:
        """Record that the target accepted a grant, which replaces earlier ones."""
        now = boot_time()
        self.clock_ms = accepted.clock_ms
        self.clock_read_at = now
        self.last_response_at = now
        self.epoch = request.epoch
        self.ranges = request.ranges
        self.running_outside = accepted.running_outside

    def stale_ranges(
        self, current: tuple[HashRange, ...], now: float, longest_run_s: float
    ) -> list[HashRange]:
        """Return the ranges that the target may still serve contrary to the table.

        Requests that it reported as running have ended once their deadline has passed,
        `longest_run_s` after its last response.
        """
        running = []
        if now < self.last_response_at + add_drift_margin(longest_run_s):
            running = [HashRange(item, item + 1) for item in self.running_outside]
        if now >= self.expires_at:
            return running
        granted = [
            item
            for item in self.ranges
            if not any(c.start <= item.start and item.end <= c.end for c in current)
        ]
        return granted + running
