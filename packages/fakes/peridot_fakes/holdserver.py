"""Stand-in of a server on the operators' platform: holds, slots, signed answers."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from time import monotonic

import orjson
from aiohttp import web

from peridot_fakes.holders import Holder
from peridot_fakes.relay import Relay
from peridot_ownership.holds import Grant, Granted
from peridot_ownership.ranges import KeyRange

NOT_RUN = {"X-Not-Executed": "1"}
HOLD_PATHS = ("/-/grant", "/-/release")


@dataclass
class HoldServer:
    """Answer requests for the keys it holds, a few at a time."""

    name: str
    service: str
    port: int
    divided_by_key: bool = True
    slots: int = 3
    queue: int = 12
    processing_s: float = 0.02
    # Close the connection without an answer after running a request.
    lose_answers: int = 0
    # Refuse so many requests as if it were full.
    shed: int = 0
    # Answer so many requests with another request's id first.
    foreign: int = 0
    born: int = 1
    # Stands for the network before it, if it has one.
    relay: Relay | None = None
    announced_port: int | None = None
    holder: Holder = field(default_factory=Holder)
    runs: Counter = field(default_factory=Counter)
    # When it last took a request (s, monotonic).
    taken_at: float = float("-inf")
    running: int = 0
    waiting: int = 0

    def __post_init__(self) -> None:
        self.free = asyncio.Semaphore(self.slots)

    def restart(self) -> None:
        """Hold nothing, as after a start under the same name."""
        self.holder = Holder()
        self.born += 1

    def become(self, name: str, service: str) -> None:
        """Act as a server of a service without keys that has this address now."""
        self.name, self.service = name, service
        self.divided_by_key = False
        self.restart()

    def entry(self, state: str = "ready") -> dict:
        """Return what the server writes of itself into the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.announced_port or self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmupLeftS": 0,
            "seq": 1,
            "born": self.born,
        }

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Listen on loopback while the context lasts."""
        server = web.Server(self._handle, access_log=None)
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        try:
            await web.TCPSite(runner, "127.0.0.1", self.port).start()
            yield
        finally:
            await runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if not self.divided_by_key and request.path in HOLD_PATHS:
            return web.Response(status=400)
        expected = request.headers.get("X-Expected-Instance")
        if expected not in (None, self.name):
            return web.Response(status=421, headers={"X-Instance-Id": self.name})
        if request.path == "/-/grant":
            return await self._grant(request)
        if request.path == "/-/release":
            return await self._release(request)
        return await self._work(request)

    async def _grant(self, request: web.BaseRequest) -> web.Response:
        form = orjson.loads(await request.read())
        keys = KeyRange(form["from"], form["to"] + 1)
        grant = Grant(keys, form["fence"], form["holdS"], form.get("handover"))
        taken = isinstance(self.holder.take(grant, monotonic()), Granted)
        return web.Response(status=200 if taken else 409)

    async def _release(self, request: web.BaseRequest) -> web.Response:
        form = orjson.loads(await request.read())
        self.holder.drop(KeyRange(form["from"], form["to"] + 1))
        while self.running:
            await asyncio.sleep(0.005)
        return web.Response(headers={"X-Handover": f"from-{self.name}"})

    async def _work(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        key = int(request.headers.get("X-Shard-Key", "0"))
        if self.divided_by_key and not self.holder.holds(key, monotonic()):
            return web.Response(status=421, headers=NOT_RUN)
        if self.shed or self.waiting >= self.queue:
            self.shed = max(0, self.shed - 1)
            return web.Response(status=503, headers=NOT_RUN | self._load())
        self.taken_at = monotonic()
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            try:
                await asyncio.sleep(self.processing_s)
            finally:
                self.running -= 1
        attempt = request.headers.get("X-Attempt-Id", "")
        self.runs[attempt] += 1
        if self.lose_answers:
            self.lose_answers -= 1
            request.transport.abort()
        if self.foreign:
            self.foreign -= 1
            attempt = "another"
        return web.Response(
            body=b"%s %s %s" % (self.name.encode(), request.path.encode(), body),
            headers={"X-Attempt-Id": attempt, "X-Upstream-Signature": self.name}
            | self._load(),
        )

    def _load(self) -> dict[str, str]:
        return {"X-Upstream-Load": f"{self.running},{self.waiting},{self.slots}"}
