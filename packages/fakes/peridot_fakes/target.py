"""Stand-in for targets (peridotd mode): slots, grants, faults and a journal.

The journal lists the requests that ran and the periods in which each hash range was
owned; checks of the journals of all targets find two owners and repeated runs. The
fields of `Run`, `Ownership` and `Faults` are JSON keys of the stand-in's API.
"""

import asyncio
import random
from dataclasses import dataclass, field

import orjson
import uvloop
from absl import app, flags
from aiohttp import web

from peridot_placement.clock import boot_time
from peridot_placement.grants import GrantRequest, parse_grant_request
from peridot_placement.hashing import hash_key
from peridot_placement.slices import HashRange

flags.DEFINE_list("targets", [], "Targets to serve, each as NAME:PORT:SLOTS:GRANTS.")
flags.DEFINE_float("service_ms", 2.0, "Mean time to run a request.")

# How long after its start a target is slower by `Faults.cold_factor`.
WARM_UP_S = 2.0


@dataclass(frozen=True)
class Run:
    """A request that ran; times in seconds of the boot clock."""

    request_id: str
    tag: str
    method: str
    key: str
    key_hash: int
    began: float
    ended: float
    epoch: str


@dataclass(frozen=True)
class Ownership:
    """A period (s, boot clock) in which a target owned a hash range by its own clock.

    `last` is the last hash of the range.
    """

    service: str
    start: int
    last: int
    since: float
    until: float


@dataclass
class Faults:
    """Faults that tests can inject; shares are probabilities for each request.

    A torn response breaks off after half of its body.
    """

    slow_factor: float = 1.0
    shed_share: float = 0.0
    tear_share: float = 0.0
    close_share: float = 0.0
    lie_about_load: bool = False
    cold_factor: float = 1.0


@dataclass
class FakeTarget:
    """A target that runs requests only while it has a grant for their keys."""

    name: str
    slots: int
    checks_grants: bool
    service_ms: float
    current_grant: GrantRequest | None = None
    grant_since: float = 0.0
    running: dict[str, tuple[int, float]] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    refused_tags: list[str] = field(default_factory=list)
    ownerships: list[Ownership] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    started_at: float = field(default_factory=boot_time)
    most_running: int = 0

    def build_app(self) -> web.Application:
        """Return the application with all routes."""
        application = web.Application(client_max_size=64_000_000)
        application.router.add_put("/-/grant", self.grant)
        application.router.add_get("/-/health", self.health)
        application.router.add_get("/-/journal", self.journal)
        application.router.add_post("/-/faults", self.set_faults)
        application.router.add_route("*", "/{tail:.*}", self.run)
        return application

    async def grant(self, request: web.Request) -> web.Response:
        """Accept a grant unless one with a newer epoch was accepted before."""
        grant = parse_grant_request(await request.read())
        if self.current_grant is not None and grant.epoch < self.current_grant.epoch:
            return _json(409, {"epoch": self.current_grant.epoch})
        now = boot_time()
        self._record_ownership(now)
        self.current_grant = grant
        self.grant_since = now
        outside = [h for h, _ in self.running.values() if not self._owns(h)]
        return _json(200, {"clock_ms": _clock_ms(), "running_outside": outside})

    async def health(self, request: web.Request) -> web.Response:
        """Respond with the clock (ms) and the load, which may be false."""
        load = 0.1 if self.faults.lie_about_load else len(self.running) / self.slots
        return _json(200, {"clock_ms": _clock_ms(), "load": load})

    async def journal(self, request: web.Request) -> web.Response:
        """Respond with the requests that ran and the periods of ownership."""
        self._record_ownership(boot_time())
        self.grant_since = boot_time()
        return _json(
            200,
            {
                "name": self.name,
                "runs": self.runs,
                "refused_tags": self.refused_tags,
                "ownerships": self.ownerships,
                "most_running": self.most_running,
            },
        )

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replace the faults."""
        self.faults = Faults(**orjson.loads(await request.read()))
        return _json(200, {})

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Run a request and record it, or refuse it.

        The grant is checked again after the processing time. A request whose key it
        no longer covers is refused and doesn't count as run.
        """
        body = await request.read()
        key_hash = _key_hash(request)
        tag = request.headers.get("Tag", "")
        refusal = self._refusal_reason(key_hash)
        if refusal:
            return self._refuse(tag, refusal)
        request_id = request.headers.get("Request-Id", "")
        began = boot_time()
        self.running[request_id] = (key_hash or 0, began)
        self.most_running = max(self.most_running, len(self.running))
        try:
            await asyncio.sleep(self._service_time_s())
            if key_hash is not None and self.checks_grants and not self._owns(key_hash):
                return self._refuse(tag, "not-owner")
            self._record_run(request, key_hash, began)
        finally:
            self.running.pop(request_id, None)
        return await self._respond(request, tag, body)

    def _refusal_reason(self, key_hash: int | None) -> str:
        if key_hash is not None and self.checks_grants and not self._owns(key_hash):
            return "not-owner"
        if self.rng.random() < self.faults.shed_share:
            return "shed"
        if len(self.running) >= self.slots:
            return "shed"
        return ""

    def _refuse(self, tag: str, reason: str) -> web.Response:
        self.refused_tags.append(tag)
        status = 409 if reason == "not-owner" else 503
        return web.Response(status=status, headers={"Not-Run": reason})

    def _owns(self, key_hash: int) -> bool:
        """Return whether an unexpired grant covers a hash, by this target's clock."""
        if (
            self.current_grant is None
            or _clock_ms() >= self.current_grant.expires_clock_ms
        ):
            return False
        return any(r.start <= key_hash < r.end for r in self.current_grant.ranges)

    def _service_time_s(self) -> float:
        mean_s = self.service_ms / 1000 * self.faults.slow_factor
        if boot_time() - self.started_at < WARM_UP_S:
            mean_s *= self.faults.cold_factor
        return mean_s * self.rng.uniform(0.8, 1.2)

    def _record_run(
        self, request: web.Request, key_hash: int | None, began: float
    ) -> None:
        self.runs.append(
            Run(
                request.headers.get("Request-Id", ""),
                request.headers.get("Tag", ""),
                request.method,
                request.headers.get("Key", ""),
                key_hash or 0,
                began,
                boot_time(),
                request.headers.get("Grant-Epoch", ""),
            )
        )

    def _record_ownership(self, now: float) -> None:
        """Record the time (s) owned under the current grant up to now or its expiry."""
        if self.current_grant is None:
            return
        until = min(now, self.current_grant.expires_clock_ms / 1000)
        if until <= self.grant_since:
            return
        for item in self.current_grant.ranges:
            self._add_ownership(item, until)

    def _add_ownership(self, item: HashRange, until: float) -> None:
        """Record a period that ends at a time (s), or extend one that it adjoins."""
        service = self.current_grant.service
        for index in range(len(self.ownerships) - 1, -1, -1):
            earlier = self.ownerships[index]
            if earlier.until < self.grant_since - 1e-6:
                break
            if (earlier.service, earlier.start, earlier.last) == (
                service,
                item.start,
                item.end - 1,
            ):
                merged = Ownership(
                    service, item.start, item.end - 1, earlier.since, until
                )
                del self.ownerships[index]
                self.ownerships.append(merged)
                return
        self.ownerships.append(
            Ownership(service, item.start, item.end - 1, self.grant_since, until)
        )

    async def _respond(
        self, request: web.Request, tag: str, body: bytes
    ) -> web.StreamResponse:
        if self.rng.random() < self.faults.close_share:
            request.transport.abort()
        text = orjson.dumps(
            {
                "target": self.name,
                "key": request.headers.get("Key", ""),
                "tag": tag,
                "size": len(body),
                "padding": "x" * 400,
            }
        )
        if self.rng.random() < self.faults.tear_share:
            response = web.StreamResponse(headers={"Content-Length": str(len(text))})
            await response.prepare(request)
            await response.write(text[: len(text) // 2])
            request.transport.abort()
            return response
        return web.Response(body=text, content_type="application/json")


def _key_hash(request: web.Request) -> int | None:
    header = request.headers.get("Key-Hash")
    if header is not None:
        return int(header, 16)
    key = request.headers.get("Key")
    if key is not None and "Grant-Epoch" in request.headers:
        return hash_key(key)
    return None


def _clock_ms() -> int:
    return int(boot_time() * 1000)


def _json(status: int, data: dict) -> web.Response:
    body = orjson.dumps(data)
    return web.Response(status=status, body=body, content_type="application/json")


def parse_target(description: str, service_ms: float) -> tuple[int, FakeTarget]:
    """Return the port and the target of a flag value NAME:PORT:SLOTS:GRANTS."""
    name, port, slots, grants = description.split(":")
    return int(port), FakeTarget(name, int(slots), grants == "1", service_ms)


async def serve_all(descriptions: list[str], service_ms: float) -> None:
    """Serve all targets, each on its port, until cancelled."""
    runners = []
    for description in descriptions:
        port, target = parse_target(description, service_ms)
        runner = web.AppRunner(
            target.build_app(), access_log=None, shutdown_timeout=0.1
        )
        runners.append(runner)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


def main(argv: list[str]) -> None:
    """Serve the targets named by flags."""
    uvloop.run(serve_all(flags.FLAGS.targets, flags.FLAGS.service_ms))


if __name__ == "__main__":
    app.run(main)
