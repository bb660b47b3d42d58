"""HTTP server for operators of peridotd: metrics, health and routing state."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import orjson
from aiohttp import web
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from peridot_daemon.metrics import Metrics
from peridot_daemon.settings import split_address


class AdminServer:
    """HTTP server for operators' tools; not reachable by callers."""

    def __init__(
        self,
        metrics: Metrics,
        is_ready: Callable[[], bool],
        describe_state: Callable[[], dict[str, object]],
        explain: Callable[[str, str], dict[str, object]],
    ) -> None:
        self.metrics = metrics
        self.is_ready = is_ready
        self.describe_state = describe_state
        self.explain = explain

    @asynccontextmanager
    async def serve(self, address: str) -> AsyncIterator[None]:
        """Listen on an address while the context lasts."""
        app = web.Application()
        app.router.add_get("/metrics", self._serve_metrics)
        app.router.add_get("/healthz", self._serve_health)
        app.router.add_get("/readyz", self._serve_readiness)
        app.router.add_get("/state", self._serve_state)
        app.router.add_get("/explain", self._serve_explanation)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await runner.setup()
        try:
            await web.TCPSite(runner, *split_address(address)).start()
            yield
        finally:
            await runner.cleanup()

    async def _serve_metrics(self, request: web.Request) -> web.Response:
        body = generate_latest(self.metrics.registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def _serve_health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _serve_readiness(self, request: web.Request) -> web.Response:
        if self.is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def _serve_state(self, request: web.Request) -> web.Response:
        return _json_response(self.describe_state())

    async def _serve_explanation(self, request: web.Request) -> web.Response:
        service = request.query.get("service", "")
        return _json_response(self.explain(service, request.query.get("key", "")))


def _json_response(value: dict[str, object]) -> web.Response:
    return web.Response(body=orjson.dumps(value), content_type="application/json")
