"""Send an attempt to a target over HTTP and return its outcome."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import (
    AbstractAsyncContextManager,
    AsyncExitStack,
    asynccontextmanager,
)
from dataclasses import dataclass, replace
from time import monotonic

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientPayloadError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)
from multidict import CIMultiDict
from yarl import URL

from peridot_gateway.answers import ResponseReader
from peridot_gateway.dialect import Dialect, ResponseHeaders
from peridot_gateway.estimates import Estimates, TargetEstimate
from peridot_gateway.requests import GatewayRequest, end_to_end_headers
from peridot_gateway.sessions import TargetConnections
from peridot_gateway.sockets import ConnectionUse, use_connection
from peridot_gateway.streams import (
    READ_BUFFER_BYTES,
    ResponseStream,
    StreamBuffers,
    TargetBody,
)
from peridot_objects.connections import is_final_status
from peridot_placement.decisions import DecisionLog
from peridot_resources.configuration import ServiceConfiguration, TargetInstance
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason, Unknown

# Targets are at most a few milliseconds away; a lost SYN packet costs a second.
CONNECT_TIMEOUT_S = 0.35
# Limit of the idle time that no kept connection meets, so that a new one is opened.
NEW_CONNECTION_IDLE_S = -1.0
# Idle connections to a target that are kept: at most this number, and this share of
# what the target accepts from this VM.
MAX_IDLE_CONNECTIONS = 4
IDLE_CONNECTION_SHARE = 0.25
# For how long idle connections of a target aren't trusted after it has reset one.
DISTRUST_S = 10.0
# Leaves time to return a response that arrives just before the deadline.
DEADLINE_MARGIN_S = 0.015
# Retry-After for misdirected requests: a move of keys takes about this long.
MISDIRECTED_RETRY_MS = 400
# Statuses by which callers are told that a request has not run and never will.
PROMISE_STATUSES = frozenset((408, 421, 429, 503))
# Deducted from the remaining time that targets are told, for the transfer (s).
TRANSFER_ALLOWANCE_S = 0.005


@dataclass(frozen=True)
class AttemptResult:
    """The outcome of an attempt and the parsed headers of its response."""

    outcome: Outcome
    response_headers: ResponseHeaders | None = None
    # The target refused or reset the request at its concurrency limit.
    target_full: bool = False

    @property
    def stream(self) -> ResponseStream | None:
        """Return the response's body if it is a stream."""
        body = getattr(self.outcome, "body", None)
        return body if isinstance(body, ResponseStream) else None

    @property
    def is_queue_full(self) -> bool:
        """Return whether as many requests wait at the target as it has slots.

        True if the target reports no load.
        """
        reported_load = self.response_headers.load if self.response_headers else None
        return reported_load is None or reported_load.waiting >= reported_load.slots


@asynccontextmanager
async def attempt_timeout(
    estimate: TargetEstimate,
    total_s: float,
    timeout_s: float,
    may_give_up: Callable[[], bool],
) -> AsyncIterator[None]:
    """Raise TimeoutError after a total time (s), or one in which the target is silent.

    Responses to other requests extend the latter, and so does a request that must not
    be given up.
    """
    async with asyncio.timeout(total_s) as timeout:
        timer = SilenceTimer(timeout, estimate, timeout_s, may_give_up)
        timer.start(timeout_s)
        try:
            yield
        finally:
            timer.handle.cancel()


class SilenceTimer:
    """End an attempt once its target has been silent for a time (s).

    A function that starts itself again would be part of a reference cycle, in which
    requests and responses stay in memory until the garbage collector runs.
    """

    def __init__(
        self,
        timeout: asyncio.Timeout,
        estimate: TargetEstimate,
        timeout_s: float,
        may_give_up: Callable[[], bool],
    ) -> None:
        self.timeout = timeout
        self.estimate = estimate
        self.timeout_s = timeout_s
        self.may_give_up = may_give_up

    def start(self, delay_s: float) -> None:
        """Check after a delay (s)."""
        self.handle = asyncio.get_running_loop().call_later(delay_s, self.check)

    def check(self) -> None:
        """Expire the timeout, or check again later."""
        if self.timeout.expired():
            return
        silent_s = monotonic() - self.estimate.last_response_at
        if silent_s > self.timeout_s / 2 and self.may_give_up():
            self.timeout.reschedule(asyncio.get_running_loop().time())
        else:
            self.start(self.timeout_s / 2)


class Sender:
    """Send attempts to targets over pooled connections."""

    def __init__(
        self,
        dialect: Dialect,
        estimates: Estimates,
        log: DecisionLog,
        count_vms: Callable[[], int] = lambda: 1,
    ) -> None:
        self.dialect = dialect
        # Number of VMs that share a target's connections.
        self.count_vms = count_vms
        self.estimates = estimates
        self.log = log
        # Called with a target that announces in a response that it is leaving.
        self.handle_leaving: Callable[[TargetInstance], None] = lambda target: None
        self.connections: dict[str, TargetConnections] = {}
        self.response_reader = ResponseReader()
        self.stream_buffers = StreamBuffers()

    async def attempt(
        self,
        request: GatewayRequest,
        target: TargetInstance,
        silence_timeout_s: float,
        may_give_up: Callable[[], bool] = lambda: True,
    ) -> AttemptResult:
        """Send a request once and return the outcome.

        The attempt ends before the deadline if the target is silent for a time (s) and
        it may be given up.
        """
        connections = self._get_connections(target)
        began = monotonic()
        max_idle_s = connections.max_idle_s(request.route.idempotent, began)
        if target.name in request.tried_targets:
            # A late copy of the last response has the id of this attempt as well.
            max_idle_s = NEW_CONNECTION_IDLE_S
        use = ConnectionUse(max_idle_s)
        async with AsyncExitStack() as exchange:
            estimate = exchange.enter_context(
                self.estimates.track_attempt(
                    target.name, request.route, request.service.name
                )
            )
            ahead = estimate.total_in_flight(began)
            ahead_s = estimate.work_ahead_s(target.slots, began)
            session = await exchange.enter_async_context(connections.use_session())
            with use_connection(use):
                result = await self._send(
                    session,
                    request,
                    target,
                    lambda total_s: attempt_timeout(
                        estimate, total_s, silence_timeout_s, may_give_up
                    ),
                    silence_timeout_s,
                    exchange,
                )
            max_idle = self._max_idle_connections(request.service)
            session.connector.close_idle_beyond(max_idle)
            if not use.connected and isinstance(result.outcome, Unknown):
                # Out of time, or refused in an unusual way.
                detail = f"not connected: {result.outcome.reason}"
                result = AttemptResult(NotRun(Reason.TARGET_LOST, detail=detail))
            upload = request.upload
            if upload is not None and (fault := upload.find_fault(result.outcome)):
                return AttemptResult(fault)
            self._record_work(request, target, result, began, ahead_s)
            result = self._record_result(target, estimate, result, began, ahead)
            if (stream := result.stream) is not None:
                # The slot counts as in use until the stream has been received.
                stream.start(
                    exchange.pop_all(), lambda: estimate.record_failure(monotonic())
                )
        if result.outcome == Unknown(Reason.DEADLINE):
            await connections.retire_session()
        self._check_reuse(connections, target, use, result)
        return result

    def _record_result(
        self,
        target: TargetInstance,
        estimate: TargetEstimate,
        result: AttemptResult,
        began: float,
        ahead: int,
    ) -> AttemptResult:
        """Update a target's estimate; return the result, with whether it was full.

        The attempt began at a time (s), when a number of requests were ahead of it.
        """
        now = monotonic()
        headers = result.response_headers
        match result.outcome:
            case Answered(status=status) if status < 500:
                reported_load = headers.load if headers else None
                estimate.record_response(now - began, ahead, reported_load, now)
            case NotRun(reason=Reason.CONNECTION_REFUSED | Reason.TARGET_LOST):
                estimate.record_failure(now)
                self.estimates.avoid(target.name)
            case NotRun(reason=Reason.NOT_OWNER):
                pass
            case NotRun(reason=Reason.SHED) if estimate.pause_remaining_s(now):
                # It lacks room and says for how long, so it doesn't fail.
                pass
            case NotRun(reason=Reason.SHED) | Unknown(reason=Reason.CONNECTION_LOST):
                estimate.record_failure(now)
                full = estimate.record_refusal(target.slots, now)
                return replace(result, target_full=full)
            case _:
                estimate.record_failure(now)
        return result

    def _record_work(
        self,
        request: GatewayRequest,
        target: TargetInstance,
        result: AttemptResult,
        began: float,
        ahead_s: float,
    ) -> None:
        """Learn the cost of the route and the speed of the target from a result."""
        service, route = request.service.name, request.route
        duration_s = monotonic() - began
        match result.outcome:
            case Answered(status=status) if status < 500:
                load = result.response_headers.load if result.response_headers else None
                if not self.estimates.record_work(
                    target.name,
                    service,
                    route,
                    duration_s,
                    ahead_s,
                    load,
                    request.service.divided_by_key,
                ):
                    self.log.write(
                        "figure_dropped",
                        figure="slowdown",
                        target=target.name,
                        value=load.slowdown,
                    )
            case Unknown(reason=Reason.DEADLINE):
                self.estimates.record_silence(
                    target.name, service, route, duration_s, ahead_s
                )

    def _max_idle_connections(self, service: ServiceConfiguration) -> int:
        """Return how many idle connections to keep to each target of a service.

        Targets reset connections beyond a limit for all VMs, and the requests on them.
        """
        share = service.max_connections / max(1, self.count_vms())
        return max(1, min(MAX_IDLE_CONNECTIONS, int(share * IDLE_CONNECTION_SHARE)))

    def _check_reuse(
        self,
        connections: TargetConnections,
        target: TargetInstance,
        use: ConnectionUse,
        result: AttemptResult,
    ) -> None:
        """Distrust the idle connections of a target that has reset one."""
        outcome = result.outcome
        if use.idle_s is None or not isinstance(outcome, Unknown):
            return
        if outcome.reason is Reason.CONNECTION_LOST:
            connections.distrusted_until = monotonic() + DISTRUST_S
            self.log.write(
                "idle_connection_lost", target=target.name, idle_s=round(use.idle_s, 3)
            )

    async def drop(self, name: str) -> None:
        """Close the connections to a target that was removed."""
        connections = self.connections.pop(name, None)
        if connections is not None:
            await connections.close()

    async def close(self) -> None:
        """Close all connections."""
        await self.stream_buffers.close()
        await asyncio.gather(*(self.drop(name) for name in list(self.connections)))

    def _get_connections(self, target: TargetInstance) -> TargetConnections:
        connections = self.connections.get(target.name)
        if connections is None:
            connections = self.connections[target.name] = TargetConnections()
        return connections

    async def _send(
        self,
        session: ClientSession,
        request: GatewayRequest,
        target: TargetInstance,
        limit_time: Callable[[float], AbstractAsyncContextManager[None]],
        silence_timeout_s: float,
        exchange: AsyncExitStack,
    ) -> AttemptResult:
        """Send a request; the exchange releases the response."""
        remaining_s = request.remaining_s() - DEADLINE_MARGIN_S
        if remaining_s <= 0:
            return AttemptResult(NotRun(Reason.DEADLINE))
        headers = CIMultiDict(
            self.dialect.build_target_headers(
                request, target, remaining_s - TRANSFER_ALLOWANCE_S
            )
        )
        # The gateway has answered it.
        headers.popall("Expect", None)
        body = request.body or None
        if request.upload is not None:
            body = request.upload.pieces()
            if request.upload.length is not None:
                headers["Content-Length"] = str(request.upload.length)
        try:
            async with limit_time(remaining_s):
                response = await exchange.enter_async_context(
                    session.request(
                        request.method,
                        URL(f"http://{target.address}{request.path}", encoded=True),
                        headers=headers,
                        data=body,
                        timeout=ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
                        allow_redirects=False,
                        read_bufsize=READ_BUFFER_BYTES,
                    )
                )
                return await self._read_response(
                    response, request, target, silence_timeout_s
                )
        except ClientConnectorError as error:
            return AttemptResult(NotRun(Reason.CONNECTION_REFUSED, detail=str(error)))
        except ConnectionTimeoutError:
            return AttemptResult(
                NotRun(Reason.TARGET_LOST, detail="connection timed out")
            )
        except ClientPayloadError:
            return AttemptResult(Unknown(Reason.TORN_ANSWER))
        except TimeoutError:
            return AttemptResult(Unknown(Reason.DEADLINE))
        except (ClientError, OSError, ValueError) as error:
            return AttemptResult(Unknown(Reason.CONNECTION_LOST, type(error).__name__))

    async def _read_response(
        self,
        response: ClientResponse,
        request: GatewayRequest,
        target: TargetInstance,
        silence_timeout_s: float,
    ) -> AttemptResult:
        if not is_final_status(response.status):
            response.close()
            return AttemptResult(
                Unknown(Reason.TORN_ANSWER, f"status {response.status}")
            )
        response_headers = self.dialect.parse_response_headers(
            response.status, response.headers, request
        )
        if response_headers.for_other_request:
            response.close()
            return AttemptResult(
                Unknown(Reason.TORN_ANSWER, "response to another request")
            )
        self._apply_notices(response_headers, target)
        body = await self._read_body(
            TargetBody(response, request.method),
            # Others may be followed by another attempt.
            response.status < 500
            and response.status not in PROMISE_STATUSES
            and response_headers.signed
            and not (response_headers.misdirected or response_headers.not_run),
            request.deadline,
            silence_timeout_s,
        )
        if body is None:
            response.close()
            return AttemptResult(
                Unknown(Reason.TORN_ANSWER, "body truncated or too large")
            )
        if response_headers.misdirected:
            detail = (
                f"answered by {response_headers.answered_by or 'an unnamed target'}"
            )
            return AttemptResult(
                NotRun(Reason.NOT_OWNER, MISDIRECTED_RETRY_MS, detail), response_headers
            )
        if response_headers.not_run:
            wait_ms = int((response_headers.retry_after_s or 0.0) * 1000)
            return AttemptResult(
                NotRun(Reason.SHED, wait_ms, f"status {response.status}"),
                response_headers,
            )
        if not response_headers.signed:
            return AttemptResult(
                Unknown(Reason.TORN_ANSWER, "response not signed"), response_headers
            )
        if response.status in PROMISE_STATUSES:
            # The target doesn't say that the request has not run.
            return AttemptResult(
                Unknown(Reason.UNCONFIRMED_REFUSAL, f"status {response.status}"),
                response_headers,
            )
        headers = end_to_end_headers(response.headers)
        return AttemptResult(
            Answered(response.status, headers, body, target.name), response_headers
        )

    def _apply_notices(
        self, response_headers: ResponseHeaders, target: TargetInstance
    ) -> None:
        """Apply what a response says of its target, whatever its outcome is."""
        for name in response_headers.malformed:
            self.log.write("response_header_invalid", target=target.name, header=name)
        if response_headers.answered_by not in (None, target.name):
            return
        if response_headers.leaving:
            self.handle_leaving(target)
        if response_headers.pause_s:
            estimate = self.estimates.get(target.name)
            estimate.pause(response_headers.pause_s, monotonic())
            self.log.write(
                "target_paused",
                target=target.name,
                asked_s=response_headers.pause_s,
                paused_s=round(estimate.pause_remaining_s(monotonic()), 2),
            )

    async def _read_body(
        self,
        body: TargetBody,
        may_stream: bool,
        deadline: float,
        silence_timeout_s: float,
    ) -> bytes | ResponseStream | None:
        """Return the body, None if it is truncated or too large."""
        if may_stream and self.stream_buffers.may_stream(body):
            return await self.stream_buffers.read(body, deadline, silence_timeout_s)
        whole = await self.response_reader.read(body.response)
        return whole if body.has_proven_end() else None
