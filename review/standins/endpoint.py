"""Stand-in for an endpoint: leases on keys, slots, and a record of its runs."""

import asyncio
import json
import time
from dataclasses import dataclass, field

from http11 import HttpServer, Message

NOT_RUN = {"X-Not-Executed": "1"}
KEYS = 65_536


@dataclass
class Lease:
    """A lease on keys, the last one included."""

    first: int
    last: int
    fence: int
    ends: float


@dataclass
class Endpoint:
    """An endpoint of a service, with the times of its runs (s, monotonic)."""

    name: str
    service: str
    sharded: bool
    log: object
    slots: int = 6
    queue: int = 24
    work_s: float = 0.05
    zone: str = "zone-a"
    state: str = "ready"
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    leases: list[Lease] = field(default_factory=list)
    # Highest fencing token seen, by first and last key of each accepted grant.
    seen: list[tuple[int, int, int]] = field(default_factory=list)
    # Attempt ids with begin and end of their runs.
    runs: list[tuple[str, float]] = field(default_factory=list)
    running: int = 0
    waiting: int = 0
    ended: bool = False

    def __post_init__(self) -> None:
        self.server = HttpServer(self._handle)
        self.free = asyncio.Semaphore(self.slots)

    async def start(self, port: int = 0) -> None:
        """Listen for callers."""
        await self.server.start(port)

    def end(self) -> None:
        """End: nothing listens, all connections are reset."""
        self.ended = True
        self.leases.clear()
        self.server.close()

    async def restart(self) -> None:
        """Start again under the same id at the same address, and know nothing."""
        self.born = int(time.time() * 1000)
        self.seen.clear()
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.ended = False
        port = self.server.port
        self.server = HttpServer(self._handle)
        await self.server.start(port)

    def entry(self) -> dict:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.server.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmupLeftS": 0,
            "seq": 1,
            "born": self.born,
        }

    def holds(self, key: int) -> bool:
        """Return whether an unexpired lease covers a key."""
        now = time.monotonic()
        return any(
            item.first <= key <= item.last and item.ends > now for item in self.leases
        )

    async def _handle(self, request: Message):
        expected = request.headers.get("x-expected-instance")
        if expected not in (None, self.name):
            return 421, NOT_RUN | {"X-Instance-Id": self.name}, b""
        if request.target == "/-/grant" and self.sharded:
            return self._grant(json.loads(request.body))
        if request.target == "/-/release" and self.sharded:
            return await self._release(json.loads(request.body))
        if request.target.startswith("/-/"):
            return 400, NOT_RUN, b""
        return await self._run(request)

    def _grant(self, data: dict):
        first, last, fence = data["from"], data["to"], data["fence"]
        if any(f > fence and a <= last and first <= b for a, b, f in self.seen):
            return 409, {}, b""
        self.seen.append((first, last, fence))
        self._drop(first, last)
        self.leases.append(Lease(first, last, fence, time.monotonic() + data["holdS"]))
        return 200, {}, b""

    def _drop(self, first: int, last: int) -> None:
        kept = []
        for item in self.leases:
            if item.last < first or last < item.first:
                kept.append(item)
                continue
            if item.first < first:
                kept.append(Lease(item.first, first - 1, item.fence, item.ends))
            if last < item.last:
                kept.append(Lease(last + 1, item.last, item.fence, item.ends))
        self.leases = kept

    async def _release(self, data: dict):
        self._drop(data["from"], data["to"])
        while self.running:
            await asyncio.sleep(0.005)
        return 200, {"X-Handover": f"{self.name}-{data['fence']}"}, b""

    async def _run(self, request: Message):
        attempt = request.headers.get("x-attempt-id", "")
        if self.sharded and not self.holds(int(request.headers["x-shard-key"])):
            return 421, NOT_RUN, b""
        if self.waiting >= self.queue:
            return 503, NOT_RUN | self._load(), b""
        deadline_s = int(request.headers.get("x-request-deadline-ms", "1000")) / 1000
        arrived = time.monotonic()
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            if time.monotonic() - arrived >= deadline_s:
                return 503, NOT_RUN | self._load(), b""
            self.running += 1
            self.runs.append((attempt, time.monotonic()))
            self.log(f"run {attempt} at {self.name}")
            await asyncio.sleep(self.work_s)
            self.running -= 1
        finally:
            self.free.release()
        headers = {"X-Attempt-Id": attempt, "X-Upstream-Signature": f"{self.name}.1"}
        return 200, headers | self._load(), f"{self.name} {request.target}".encode()

    def _load(self) -> dict[str, str]:
        return {"X-Upstream-Load": f"{self.running},{self.waiting},{self.slots}"}
