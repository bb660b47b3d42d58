"""HTTP server for callers of peridotd: routes requests and returns their outcomes."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import singledispatch
from math import ceil
from time import monotonic
from uuid import uuid4

from aiohttp import web
from multidict import CIMultiDict

from peridot_daemon.metrics import Metrics
from peridot_daemon.settings import Settings, split_address
from peridot_placement.hashing import hash_key
from peridot_resources.catalog import Catalog
from peridot_routing.matching import Match, Matcher, find_priority, is_idempotent
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from peridot_routing.requests import RoutedRequest, end_to_end_headers
from peridot_routing.router import Router, format_outcome

NOT_RUN_STATUSES = {
    Reason.UNKNOWN_SERVICE: 404,
    Reason.MISSING_KEY: 400,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.CALLER_LIMIT: 429,
}
UNAVAILABLE_STATUS = 503
RETRY_AFTER_STATUSES = (429, 503)


class CallerServer:
    """HTTP server for callers."""

    def __init__(
        self,
        settings: Settings,
        router: Router,
        catalog: Callable[[], Catalog],
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.router = router
        self.catalog = catalog
        self.metrics = metrics
        self.matcher = Matcher(catalog())
        self.open_requests = 0
        self.open_by_caller: Counter[str] = Counter()
        self.stopping = False

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[web.TCPSite]:
        """Listen for callers while the context lasts."""
        app = web.Application(client_max_size=self.settings.max_body_bytes)
        app.router.add_route("*", "/{tail:.*}", self.handle)
        runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=self.settings.stop_timeout_s,
        )
        await runner.setup()
        host, port = split_address(self.settings.caller_listener)
        site = web.TCPSite(runner, host, port)
        try:
            await site.start()
            yield site
        finally:
            await runner.cleanup()

    async def handle(self, http_request: web.Request) -> web.Response:
        """Route one request and return the response."""
        received_at = monotonic()
        caller = http_request.remote or "-"
        self.open_requests += 1
        self.open_by_caller[caller] += 1
        service = "-"
        try:
            matched = self._match(http_request, caller)
            if isinstance(matched, NotRun):
                outcome: Outcome = matched
            else:
                service = matched.service.name
                outcome = await self._route(http_request, matched, received_at)
        finally:
            self.open_requests -= 1
            self.open_by_caller[caller] -= 1
            if not self.open_by_caller[caller]:
                del self.open_by_caller[caller]
        label = format_outcome(outcome).partition(":")[0]
        self.metrics.count_request(service, label, monotonic() - received_at)
        response = build_response(outcome)
        if self.stopping:
            response.force_close()
        return response

    def _match(self, http_request: web.Request, caller: str) -> Match | NotRun:
        if self.open_by_caller[caller] > self.settings.max_caller_requests:
            return NotRun(Reason.CALLER_LIMIT, 1000)
        if self.matcher.catalog is not self.catalog():
            self.matcher = Matcher(self.catalog())
        return self.matcher.match(http_request.path, http_request.headers)

    async def _route(
        self, http_request: web.Request, matched: Match, received_at: float
    ) -> Outcome:
        limit = matched.policy.max_body_bytes
        if (http_request.content_length or 0) > limit:
            return NotRun(Reason.BODY_TOO_LARGE, detail=f"over {limit} bytes")
        try:
            body = await http_request.read() if http_request.can_read_body else b""
        except web.HTTPRequestEntityTooLarge:
            return NotRun(Reason.BODY_TOO_LARGE)
        if len(body) > limit:
            return NotRun(Reason.BODY_TOO_LARGE, detail=f"over {limit} bytes")
        request = build_request(http_request, matched, body, received_at)
        return await self._dispatch(request)

    async def _dispatch(self, request: RoutedRequest) -> Outcome:
        """Route a request; if not idempotent, complete it even if the caller leaves."""
        if request.idempotent:
            return await self.router.handle(request)
        return await asyncio.shield(
            asyncio.ensure_future(self._handle_in_background(request))
        )

    async def _handle_in_background(self, request: RoutedRequest) -> Outcome:
        self.open_requests += 1
        try:
            return await self.router.handle(request)
        finally:
            self.open_requests -= 1


def build_request(
    http_request: web.Request, matched: Match, body: bytes, received_at: float
) -> RoutedRequest:
    """Return the router's form of an HTTP request."""
    path = http_request.path
    return RoutedRequest(
        request_id=uuid4().hex,
        service=matched.service,
        policy=matched.policy,
        method=http_request.method,
        path=http_request.raw_path,
        headers=end_to_end_headers(http_request.headers),
        body=body,
        key=matched.key,
        key_hash=hash_key(matched.key),
        idempotent=is_idempotent(matched.service, http_request.method, path),
        priority=find_priority(matched.policy, path),
        deadline=received_at + matched.policy.deadline_ms / 1000,
    )


@singledispatch
def build_response(outcome: Outcome) -> web.Response:
    """Return the HTTP response for an outcome."""
    raise TypeError(type(outcome).__name__)


@build_response.register
def _(outcome: Answered) -> web.Response:
    headers = CIMultiDict(outcome.headers)
    headers["Request-Outcome"] = "answered"
    return web.Response(status=outcome.status, headers=headers, body=outcome.body)


@build_response.register
def _(outcome: NotRun) -> web.Response:
    status = NOT_RUN_STATUSES.get(outcome.reason, UNAVAILABLE_STATUS)
    headers = {"Request-Outcome": "not-run", "Outcome-Reason": outcome.reason}
    if status in RETRY_AFTER_STATUSES:
        headers["Retry-After"] = str(max(1, ceil(outcome.retry_after_ms / 1000)))
    text = f"not run: {outcome.reason} {outcome.detail}\n"
    return web.Response(status=status, headers=headers, text=text)


@build_response.register
def _(outcome: Unknown) -> web.Response:
    status = 504 if outcome.reason is Reason.DEADLINE else 502
    headers = {"Request-Outcome": "unknown", "Outcome-Reason": outcome.reason}
    text = f"unknown whether it ran: {outcome.reason}\n"
    return web.Response(status=status, headers=headers, text=text)
