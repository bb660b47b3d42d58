"""Ingress: accepts callers' HTTP requests and returns one response to each."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import singledispatch
from time import monotonic

from aiohttp import web
from multidict import CIMultiDict

from peridot_daemon.metrics import Metrics
from peridot_daemon.settings import split_address
from peridot_gateway.bodies import BodyReader
from peridot_gateway.dialect import CallerHeaders, Dialect
from peridot_gateway.pipelining import CallerRequest, CallerServer
from peridot_gateway.requests import GatewayRequest, end_to_end_headers
from peridot_gateway.router import GatewayRouter
from peridot_gateway.routes import TrafficSplitter
from peridot_gateway.sources import ConfigurationSource
from peridot_gateway.streams import (
    PassedResponse,
    check_stream,
    close_result,
    discard_run,
)
from peridot_gateway.uploads import READ_BUFFER_BYTES, Upload, is_expecting
from peridot_placement.decisions import DecisionLog
from peridot_resources.configuration import Route, ServiceConfiguration
from peridot_routing.outcomes import (
    Answered,
    BodyStream,
    NotRun,
    Outcome,
    Reason,
    Unknown,
)
from peridot_routing.router import format_outcome

# Above the limits of any configuration; longer lines end the connection.
MAX_LINE_BYTES = 65_536
NOT_RUN_STATUSES = {
    Reason.BAD_REQUEST: 400,
    Reason.MISSING_KEY: 400,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.BODY_TOO_LARGE: 413,
}
UNAVAILABLE_STATUS = 503
BAD_GATEWAY_STATUS = 502
GATEWAY_TIMEOUT_STATUS = 504
NOT_READY_RETRY_MS = 500
CLOSE_POLL_S = 0.02
# Requests that start at the very end still get their response.
SHUTDOWN_TIMEOUT_S = 0.4
# While the gateway is being stopped, requests that arrive later (s), or past this share
# of the stop, must be certain to end before it does.
LATE_ARRIVAL_S = 3.0
LATE_ARRIVAL_SHARE = 0.5
# Idle connections are kept open for longer than callers reuse them.
IDLE_MARGIN_S = 5.0


class Ingress:
    """HTTP server for callers."""

    def __init__(
        self,
        dialect: Dialect,
        configuration_source: ConfigurationSource,
        router: GatewayRouter,
        metrics: Metrics,
        log: DecisionLog,
        rng: random.Random,
    ) -> None:
        self.dialect = dialect
        self.configuration_source = configuration_source
        self.router = router
        self.metrics = metrics
        self.log = log
        self.splitter = TrafficSplitter(rng)
        self.body_reader = BodyReader()
        self.open_requests = 0
        self.stopping = False
        # From when on requests count as late, and when the stop ends (s, monotonic).
        self.late_from = float("inf")
        self.stops_at = float("inf")
        self.non_idempotent_tasks: set[asyncio.Task] = set()

    @asynccontextmanager
    async def serve(self, address: str) -> AsyncIterator[None]:
        """Listen for callers while the context lasts."""
        self.server = CallerServer(
            self.handle,
            self._start_early,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            keepalive_timeout=self._keepalive_timeout_s(),
        )
        runner = web.ServerRunner(self.server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        host, port = split_address(address)
        self.site = web.TCPSite(runner, host, port, backlog=1024)
        try:
            await self.site.start()
            yield
        finally:
            await runner.cleanup()

    def begin_stop(self, stops_at: float) -> None:
        """Note that the gateway is being stopped, until a time (s, monotonic)."""
        now = monotonic()
        self.stopping = True
        self.stops_at = stops_at
        share_s = LATE_ARRIVAL_SHARE * (stops_at - now)
        self.late_from = now + min(LATE_ARRIVAL_S, share_s)

    async def close(self) -> None:
        """Accept no new connections; return when all have ended, or the stop ends.

        Idle connections are closed now, the others after their response.
        """
        await self.site.stop()
        while monotonic() < self.stops_at and (
            self.server.connections or self.non_idempotent_tasks
        ):
            for connection in self.server.connections:
                if connection.is_idle():
                    connection.force_close()
            await asyncio.sleep(CLOSE_POLL_S)

    def _keepalive_timeout_s(self) -> float:
        return (
            self.configuration_source.configuration.limits.idle_timeout_s
            + IDLE_MARGIN_S
        )

    async def handle(self, http_request: CallerRequest) -> web.StreamResponse:
        """Handle the request of a caller whose response is due."""
        transport = http_request.transport
        if transport is None or transport.is_closing():
            # The connection was closed while the request arrived: it must not run,
            # since no response can be sent.
            if http_request.arrival.run is not None:
                discard_run(http_request.arrival.run)
            return to_response(NotRun(Reason.STOPPING))
        arrival = http_request.arrival
        self.open_requests += 1
        caller_headers = self.dialect.parse_caller_headers(http_request.headers)
        route = self._match_route(http_request)
        try:
            http_request.protocol.start_waiting()
            if arrival.run is not None:
                outcome = await arrival.run
            elif isinstance(route, NotRun):
                outcome = route
            else:
                outcome = await self._route(
                    http_request, route, caller_headers, arrival.began
                )
            return await self._respond(http_request, route, caller_headers, outcome)
        except asyncio.CancelledError:
            if arrival.run is not None:
                discard_run(arrival.run)
            self.log.write("caller_left", request=caller_headers.request_id)
            raise
        finally:
            self.open_requests -= 1

    async def _respond(
        self,
        http_request: CallerRequest,
        route: Route | NotRun,
        caller_headers: CallerHeaders,
        outcome: Outcome,
    ) -> web.StreamResponse:
        """Return the response for an outcome; pass it on first if it is a stream."""
        outcome = check_stream(outcome)
        took_s = monotonic() - http_request.arrival.began
        self._record_outcome(route, caller_headers, outcome, took_s)
        response = to_response(outcome)
        if is_expecting(http_request):
            # The caller may send the body or leave it out: the next bytes are unclear.
            response.force_close()
        self._close_if_stopping(http_request, response)
        if isinstance(response, PassedResponse):
            try:
                await response.pass_on(http_request)
            finally:
                self.log.write(
                    "stream",
                    request=caller_headers.request_id,
                    target=outcome.target or "-",
                    bytes=response.stream.received_bytes,
                    aborted=response.aborted or "-",
                    took_ms=round((monotonic() - http_request.arrival.began) * 1000, 1),
                )
        return response

    def _close_if_stopping(
        self, http_request: CallerRequest, response: web.StreamResponse
    ) -> None:
        if not self.stopping:
            return
        http_request.protocol.end_reading()
        if not http_request.protocol.count_started():
            # Requests behind it that haven't been started count as not read.
            response.force_close()

    def _start_early(self, http_request: CallerRequest) -> asyncio.Task | None:
        """Start a request whose response isn't due yet, if it may run more than once.

        Others must not run before it is certain that their response can be sent.
        """
        route = self._match_route(http_request)
        if isinstance(route, NotRun) or not route.idempotent:
            return None
        caller_headers = self.dialect.parse_caller_headers(http_request.headers)
        began = http_request.arrival.began
        return asyncio.create_task(
            self._route(http_request, route, caller_headers, began)
        )

    def _record_outcome(
        self,
        route: Route | NotRun | None,
        caller_headers: CallerHeaders,
        outcome: Outcome,
        took_s: float,
    ) -> None:
        name = route.name if isinstance(route, Route) else "-"
        outcome_text = format_outcome(outcome)
        self.metrics.count_request(name, outcome_text.partition(":")[0], took_s)
        self.log.write(
            "request",
            request=caller_headers.request_id,
            route=name,
            version=self.configuration_source.configuration.version,
            outcome=outcome_text,
            target=getattr(outcome, "target", "") or "-",
            detail=getattr(outcome, "detail", "") or "-",
            took_ms=round(took_s * 1000, 1),
        )

    def _match_route(self, http_request: web.BaseRequest) -> Route | NotRun:
        if not self.configuration_source.configuration.version:
            return NotRun(Reason.NOT_READY, NOT_READY_RETRY_MS, "no configuration yet")
        path = http_request.raw_path.partition("?")[0]
        host = http_request.headers.get("Host", "")
        route = self.configuration_source.index.find(host, path)
        return route or NotRun(
            Reason.UNKNOWN_SERVICE, detail="no route matches host and path"
        )

    async def _route(
        self,
        http_request: web.BaseRequest,
        route: Route,
        caller_headers: CallerHeaders,
        began: float,
    ) -> Outcome:
        service_name = self.splitter.choose(route)
        service = self.configuration_source.configuration.services.get(service_name)
        if service is None:
            return NotRun(
                Reason.NO_TARGET,
                NOT_READY_RETRY_MS,
                "the route names an unknown service",
            )
        # Without a deadline of the caller, the route's timeout applies.
        deadline_s = caller_headers.deadline_s
        wait_s = route.timeout_s if deadline_s is None else deadline_s
        wait_s = min(wait_s, route.timeout_s)
        limit = self.configuration_source.configuration.limits.max_body_bytes
        async with self.body_reader.read(
            http_request, limit, began + wait_s, repeatable=route.idempotent
        ) as body:
            if isinstance(body, NotRun):
                return body
            if self._may_be_cut_off(body, began + wait_s):
                return NotRun(Reason.STOPPING, detail="too late to be finished")
            request = self._build_request(
                http_request, route, service, caller_headers, body, began, wait_s
            )
            return await self._run_request(request)

    def _may_be_cut_off(self, body: bytes | Upload, deadline: float) -> bool:
        """Return whether a request may still run when the stop ends.

        Those that arrive in time seldom do. Uploads may arrive until their deadline.
        """
        is_late = isinstance(body, Upload) or monotonic() > self.late_from
        return self.stopping and is_late and deadline > self.stops_at

    def _build_request(
        self,
        http_request: web.BaseRequest,
        route: Route,
        service: ServiceConfiguration,
        caller_headers: CallerHeaders,
        body: bytes | Upload,
        began: float,
        wait_s: float,
    ) -> GatewayRequest:
        return GatewayRequest(
            caller_headers.request_id,
            route,
            service,
            http_request.headers.get("Host", ""),
            http_request.method,
            http_request.raw_path,
            end_to_end_headers(http_request.headers),
            body,
            caller_headers.key,
            began,
            began + wait_s,
        )

    async def _run_request(self, request: GatewayRequest) -> Outcome:
        """Route a request; a non-idempotent one goes on if its caller disconnects."""
        if request.route.idempotent:
            return await self.router.handle(request)
        task = asyncio.create_task(self.router.handle(request))
        self.non_idempotent_tasks.add(task)
        task.add_done_callback(self.non_idempotent_tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            request.abandoned = True
            if request.upload is not None and not request.upload.complete:
                # The target can't get the rest of the body.
                task.cancel()
            task.add_done_callback(close_result)
            raise


@singledispatch
def to_response(outcome: Outcome) -> web.StreamResponse:
    """Return the HTTP response for an outcome."""
    raise TypeError(type(outcome).__name__)


@to_response.register
def _(outcome: Answered) -> web.StreamResponse:
    if isinstance(outcome.body, BodyStream):
        return PassedResponse(outcome)
    headers = CIMultiDict(outcome.headers)
    return web.Response(status=outcome.status, headers=headers, body=outcome.body)


@to_response.register
def _(outcome: NotRun) -> web.Response:
    status = NOT_RUN_STATUSES.get(outcome.reason, UNAVAILABLE_STATUS)
    headers = {"Outcome-Reason": outcome.reason}
    if status == UNAVAILABLE_STATUS:
        headers["Retry-After"] = f"{max(0.05, outcome.retry_after_ms / 1000):.3f}"
    return web.Response(status=status, headers=headers, text="not run\n")


@to_response.register
def _(outcome: Unknown) -> web.Response:
    timed_out = outcome.reason is Reason.DEADLINE
    status = GATEWAY_TIMEOUT_STATUS if timed_out else BAD_GATEWAY_STATUS
    headers = {"Outcome-Reason": outcome.reason}
    return web.Response(status=status, headers=headers, text="unknown whether it ran\n")
