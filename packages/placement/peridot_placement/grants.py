"""Fenced grants at targets that check them, renewed by their fronts.

A grant ends at a reading of the target's own clock, so a message that arrives
late carries no more right than one that arrives in time.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import orjson
from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout

from peridot_placement.clock import boot_time, with_drift
from peridot_placement.slices import HashRange

GRANT_S = 0.4
GRANT_PERIOD_S = 0.1
GRANT_TIMEOUT_S = 0.2


@dataclass(frozen=True)
class GrantOrder:
    """Hold all that a target may serve until its clock shows a time (ms)."""

    service: str
    epoch: tuple[int, int]
    ranges: tuple[HashRange, ...]
    expires_clock_ms: int


@dataclass(frozen=True)
class GrantAccepted:
    """Hold the target's clock (ms) and the hashes that it still runs requests for
    outside the granted ranges."""

    clock_ms: int
    running_outside: tuple[int, ...] = ()


@dataclass(frozen=True)
class GrantStale:
    """Tell that the target has seen a newer epoch."""

    epoch: tuple[int, int]


@dataclass(frozen=True)
class GrantFailed:
    """Tell that the target refused connections or didn't answer in time."""

    refused: bool
    reason: str


GrantOutcome = GrantAccepted | GrantStale | GrantFailed


class TargetControl(ABC):
    """Reach the control endpoints of targets."""

    @abstractmethod
    async def grant(self, address: str, order: GrantOrder) -> GrantOutcome:
        """Replace what a target may serve."""

    @abstractmethod
    async def probe(self, address: str) -> GrantAccepted | GrantFailed:
        """Ask for a sign of life."""


class HttpTargetControl(TargetControl):
    """Call targets over HTTP."""

    def __init__(self, session: ClientSession) -> None:
        self.session = session

    async def grant(self, address: str, order: GrantOrder) -> GrantOutcome:
        return await self._call("PUT", address, "/-/grant", serialize_order(order))

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
            ) as answer:
                form = orjson.loads(await answer.read())
                if answer.status == 409:
                    return GrantStale(tuple(form["epoch"]))
                if answer.status != 200:
                    return GrantFailed(False, f"status {answer.status}")
                running = tuple(form.get("running_outside", ()))
                return GrantAccepted(form["clock_ms"], running)
        except ClientConnectorError as error:
            refused = isinstance(error.os_error, ConnectionRefusedError)
            return GrantFailed(refused, "connection refused")
        except (ClientError, TimeoutError, OSError, ValueError, KeyError) as error:
            return GrantFailed(False, type(error).__name__)


def serialize_order(order: GrantOrder) -> bytes:
    """Return the JSON form of a grant order."""
    return orjson.dumps(
        {
            "service": order.service,
            "epoch": order.epoch,
            "ranges": [(item.start, item.end - 1) for item in order.ranges],
            "expires_clock_ms": order.expires_clock_ms,
        }
    )


def parse_order(text: bytes) -> GrantOrder:
    """Return the grant order that a JSON form describes."""
    form = orjson.loads(text)
    return GrantOrder(
        form["service"],
        tuple(form["epoch"]),
        tuple(HashRange(start, last + 1) for start, last in form["ranges"]),
        form["expires_clock_ms"],
    )


@dataclass
class GrantState:
    """Track what one target may still believe that this VM granted it."""

    clock_ms: int | None = None
    clock_read_at: float = 0.0
    epoch: tuple[int, int] = (0, 0)
    ranges: tuple[HashRange, ...] = ()
    lapses_at: float = float("-inf")
    running_outside: tuple[int, ...] = ()
    heard_at: float = float("-inf")

    def expiry(self, permit_until: float) -> tuple[int, float]:
        """Return when the next grant ends, on the target's and on this clock."""
        if self.clock_ms is None:
            return 0, float("-inf")
        length = min(GRANT_S, permit_until - self.clock_read_at)
        if length <= 0:
            return 0, float("-inf")
        lapse = self.clock_read_at + with_drift(length)
        return self.clock_ms + int(length * 1000), lapse

    def note_sent(self, ranges: tuple[HashRange, ...], lapses_at: float) -> None:
        """Count a grant as given from the moment it's sent."""
        self.ranges = tuple(dict.fromkeys((*self.ranges, *ranges)))
        self.lapses_at = max(self.lapses_at, lapses_at)

    def note_accepted(self, order: GrantOrder, accepted: GrantAccepted) -> None:
        """Take in the target's answer, which replaces earlier grants."""
        now = boot_time()
        self.clock_ms = accepted.clock_ms
        self.clock_read_at = now
        self.heard_at = now
        self.epoch = order.epoch
        self.ranges = order.ranges
        self.running_outside = accepted.running_outside

    def leftover(self, current: tuple[HashRange, ...], now: float) -> list[HashRange]:
        """Return ranges that the target may still serve against the current table."""
        running = [
            HashRange(key_hash, key_hash + 1) for key_hash in self.running_outside
        ]
        if now >= self.lapses_at:
            return running
        granted = [
            item
            for item in self.ranges
            if not any(c.start <= item.start and item.end <= c.end for c in current)
        ]
        return granted + running
