"""Stand-in for a target of the gateway mode, which the platform calls a server.

It enforces leases on keys and its number of slots, and signs its responses.
"""

import asyncio
import re
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from time import monotonic

import orjson
from aiohttp import web

from peridot_fakes.holders import LeaseHolder
from peridot_fakes.relay import Relay
from peridot_ownership.holds import Grant, Granted
from peridot_ownership.ranges import ALL_KEYS, KeyRange

NOT_RUN = {"X-Not-Executed": "1"}
# All servers of a site that are divided by key belong to one service.
KEYED_SERVICE = "files"
# A path ends with the size of its response (bytes); with an odd size it is chunked.
SIZED_PATH = re.compile(r"/media/[0-9]+/([0-9]+)")
PIECE_BYTES = 16 * 2**10
# A response that isn't read for this time (s) is cut off.
UNREAD_TIMEOUT_S = 2.0
LEASE_PATHS = ("/-/grant", "/-/release")


@dataclass
class RecordingHolder(LeaseHolder):
    """A lease holder that also records the periods of its leases, as journals do.

    Each renewal begins another period. Times are in seconds (monotonic).
    """

    periods: list[dict] = field(default_factory=list)
    # The periods that may not have ended yet.
    current: list[dict] = field(default_factory=list)

    def add_lease(self, grant: Grant, arrived: float) -> None:
        super().add_lease(grant, arrived)
        self._begin_period(grant.keys, arrived, arrived + grant.hold_s)

    def drop(self, keys: KeyRange) -> None:
        super().drop(keys)
        now = monotonic()
        previous, self.current = self.current, []
        for item in previous:
            held = KeyRange(item["start"], item["last"] + 1)
            if item["until"] <= now:
                continue
            if not held.overlaps(keys):
                self.current.append(item)
                continue
            for part in held.minus([keys]):
                self._begin_period(part, item["since"], item["until"])
            item["start"] = max(held.start, keys.start)
            item["last"] = min(held.end, keys.end) - 1
            item["until"] = now

    def _begin_period(self, keys: KeyRange, since: float, until: float) -> None:
        period = {
            "service": KEYED_SERVICE,
            "start": keys.start,
            "last": keys.end - 1,
            "since": since,
            "until": until,
        }
        self.periods.append(period)
        self.current.append(period)


@dataclass
class FakeServer:
    """A target over HTTP that runs requests only for keys that it has a lease on."""

    name: str
    service: str
    port: int
    divided_by_key: bool = True
    slots: int = 3
    max_waiting: int = 12
    processing_s: float = 0.02
    # Run the next so many requests, but close their connections without a response.
    lose_answers: int = 0
    # Refuse the next so many requests as if the server were full.
    shed: int = 0
    # Respond to the next so many requests with the id of another attempt.
    foreign: int = 0
    # Break off the next so many large responses midway.
    break_off: int = 0
    # How many times as long work takes at this moment, and whether responses say so.
    slowdown: float = 1.0
    reports_slowdown: bool = False
    zone: str = "zone-a"
    # The server is cold until this time (s, monotonic).
    cold_until: float = float("-inf")
    # Announce in all responses that the server is leaving.
    leaving: bool = False
    # Refuse requests until this time (s, monotonic) and ask callers to wait until then.
    paused_until: float = float("-inf")
    # Start of this incarnation: a number that grows with each restart.
    born: int = 1
    # Simulates the network in front of the server, if set.
    relay: Relay | None = None
    registered_port: int | None = None
    holder: RecordingHolder = field(default_factory=RecordingHolder)
    runs: Counter = field(default_factory=Counter)
    # Runs of requests with keys. They begin when the server has checked its lease, and
    # may wait for a slot then (s, monotonic).
    keyed_runs: list[dict] = field(default_factory=list)
    # When requests arrived (s, monotonic).
    arrived_at: list[float] = field(default_factory=list)
    # When the server last accepted a request (s, monotonic).
    last_accepted_at: float = float("-inf")
    running: int = 0
    waiting: int = 0

    def __post_init__(self) -> None:
        self.free_slots = asyncio.Semaphore(self.slots)

    def restart(self) -> None:
        """Lose all leases, as a new process under the same name."""
        self.holder.drop(ALL_KEYS)
        self.holder = RecordingHolder(periods=self.holder.periods)
        self.born += 1
        self.leaving = False

    def turn_cold(self, duration_s: float) -> None:
        """Be cold for a time (s), as the server's next registration says."""
        self.cold_until = monotonic() + duration_s

    def replace_identity(self, name: str, service: str) -> None:
        """Become a server of a service without keys at the same address."""
        self.name, self.service = name, service
        self.divided_by_key = False
        self.restart()

    def make_registration(self, state: str = "ready") -> dict:
        """Return the entry by which the server registers itself in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.registered_port or self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmupLeftS": max(0.0, round(self.cold_until - monotonic(), 3)),
            "seq": 1,
            "born": self.born,
        }

    def make_journal(self) -> dict:
        """Return the periods of the server's leases and its runs by key."""
        return {
            "name": self.name,
            "ownerships": self.holder.periods,
            "runs": self.keyed_runs,
        }

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Serve on the loopback interface while the context lasts."""
        server = web.Server(self._handle, access_log=None)
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        try:
            await web.TCPSite(runner, "127.0.0.1", self.port).start()
            yield
        finally:
            await runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self._respond(request)
        if self.leaving and not response.prepared:
            response.headers["Server-Leaving"] = "1"
        return response

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        if not self.divided_by_key and request.path in LEASE_PATHS:
            return web.Response(status=400)
        expected = request.headers.get("X-Expected-Instance")
        if expected not in (None, self.name):
            return web.Response(status=421, headers={"X-Instance-Id": self.name})
        if request.path == "/-/grant":
            return await self._grant(request)
        if request.path == "/-/release":
            return await self._release(request)
        return await self._run(request)

    async def _grant(self, request: web.BaseRequest) -> web.Response:
        data = orjson.loads(await request.read())
        keys = KeyRange(data["from"], data["to"] + 1)
        grant = Grant(keys, data["fence"], data["holdS"], data.get("handover"))
        accepted = isinstance(self.holder.accept_grant(grant, monotonic()), Granted)
        return web.Response(status=200 if accepted else 409)

    async def _release(self, request: web.BaseRequest) -> web.Response:
        data = orjson.loads(await request.read())
        self.holder.drop(KeyRange(data["from"], data["to"] + 1))
        while self.running:
            await asyncio.sleep(0.005)
        return web.Response(headers={"X-Handover": f"from-{self.name}"})

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        key = int(request.headers.get("X-Shard-Key", "0"))
        if self.divided_by_key and not self.holder.holds(key, monotonic()):
            return web.Response(status=421, headers=NOT_RUN)
        self.arrived_at.append(monotonic())
        if (paused_s := self.paused_until - monotonic()) > 0:
            headers = NOT_RUN | {"Retry-After": f"{paused_s:.3f}"}
            return web.Response(status=503, headers=headers)
        if self.shed or self.waiting >= self.max_waiting:
            self.shed = max(0, self.shed - 1)
            return web.Response(status=503, headers=NOT_RUN | self._load_headers())
        self.last_accepted_at = began = monotonic()
        self.waiting += 1
        async with self.free_slots:
            self.waiting -= 1
            self.running += 1
            try:
                await asyncio.sleep(self.processing_s * self.slowdown)
            finally:
                self.running -= 1
        attempt_id = request.headers.get("X-Attempt-Id", "")
        self.runs[attempt_id] += 1
        if self.divided_by_key:
            self.keyed_runs.append(
                {
                    "request_id": attempt_id,
                    "key_hash": key,
                    "began": began,
                    "ended": monotonic(),
                }
            )
        if self.lose_answers:
            self.lose_answers -= 1
            request.transport.abort()
        if self.foreign:
            self.foreign -= 1
            attempt_id = "another"
        headers = {"X-Attempt-Id": attempt_id, "X-Upstream-Signature": self.name}
        headers |= self._load_headers()
        body = b"%s %s %s" % (self.name.encode(), request.path.encode(), body)
        if match := SIZED_PATH.fullmatch(request.path):
            return await self._send_large(request, body, int(match[1]), headers)
        return web.Response(body=body, headers=headers)

    async def _send_large(
        self, request: web.BaseRequest, body: bytes, size: int, headers: dict[str, str]
    ) -> web.StreamResponse:
        """Send a body filled up to a size, or a part of it and an abort."""
        response = web.StreamResponse(headers=headers)
        if size % 2 == 0:
            response.content_length = size
        await response.prepare(request)
        body = body.ljust(size)
        broken = self.break_off > 0
        self.break_off = max(0, self.break_off - 1)
        for start in range(0, size // 2 if broken else size, PIECE_BYTES):
            try:
                async with asyncio.timeout(UNREAD_TIMEOUT_S):
                    await response.write(body[start : start + PIECE_BYTES])
            except (TimeoutError, ConnectionResetError):
                broken = True
                break
        if not broken:
            await response.write_eof()
        elif request.transport is not None:
            request.transport.abort()
        return response

    def _load_headers(self) -> dict[str, str]:
        load = f"{self.running},{self.waiting},{self.slots}"
        if self.reports_slowdown:
            load += f",{int(self.slowdown * 100)}"
        return {"X-Upstream-Load": load}
