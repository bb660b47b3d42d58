"""Admin listener: metrics, health, readiness and what this VM knows."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import orjson
from aiohttp import web
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from peridot_daemon.metrics import Metrics
from peridot_daemon.settings import split_address


class Admin:
    """Serve operators' tools; never exposed to callers."""

    def __init__(
        self,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        describe: Callable[[], dict[str, object]],
        explain: Callable[[str, str], dict[str, object]],
    ) -> None:
        self.metrics = metrics
        self.is_ready = is_ready
        self.describe = describe
        self.explain = explain

    @asynccontextmanager
    async def serve(self, address: str) -> AsyncIterator[None]:
        """Listen while the context lasts."""
        app = web.Application()
        app.router.add_get("/metrics", self._metrics)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._readiness)
        app.router.add_get("/state", self._state)
        app.router.add_get("/explain", self._explain)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await runner.setup()
        try:
            await web.TCPSite(runner, *split_address(address)).start()
            yield
        finally:
            await runner.cleanup()

    async def _metrics(self, request: web.Request) -> web.Response:
        body = generate_latest(self.metrics.registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _readiness(self, request: web.Request) -> web.Response:
        if self.is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _state(self, request: web.Request) -> web.Response:
        return _json(self.describe())

    async def _explain(self, request: web.Request) -> web.Response:
        service = request.query.get("service", "")
        return _json(self.explain(service, request.query.get("key", "")))


def _json(value: dict[str, object]) -> web.Response:
    return web.Response(body=orjson.dumps(value), content_type="application/json")
