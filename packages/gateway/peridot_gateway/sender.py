"""Send one attempt to a target over HTTP and tell its outcome."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
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
    DummyCookieJar,
    TCPConnector,
)
from multidict import CIMultiDict
from yarl import URL

from peridot_gateway.answers import MAX_HEADER_LINE_BYTES, MAX_HEADERS, Answers
from peridot_gateway.dialect import AnswerFacts, Dialect
from peridot_gateway.estimates import Estimates, TargetEstimate
from peridot_gateway.requests import GatewayRequest, end_to_end
from peridot_gateway.sockets import open_connector
from peridot_resources.configuration import ServingTarget
from peridot_routing.attempts import AUTO_HEADERS, BODYLESS_STATUSES
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason, Unknown

# Targets are at most a few milliseconds away; a lost first packet costs a second.
CONNECT_TIMEOUT_S = 0.35
# Kept connections are closed before the targets forget them (10 s on the sites).
KEPT_IDLE_S = 3.0
# An answer that is due exactly at the deadline still gets back to the caller.
DEADLINE_MARGIN_S = 0.015
# Owners and targets agree again within the time that a change of them takes.
MISDIRECTED_RETRY_MS = 400
# Targets are told a little less than what is left.
TRANSFER_S = 0.005


@dataclass(frozen=True)
class Attempt:
    """Hold the outcome of an attempt and what its answer's headers say."""

    outcome: Outcome
    facts: AnswerFacts | None = None
    # The target refused or reset with a long queue.
    target_full: bool = False

    @property
    def queue_is_full(self) -> bool:
        """Tell whether the target has as many requests waiting as it takes."""
        hint = self.facts.load if self.facts else None
        return hint is None or hint.waiting >= hint.slots


class TargetConnections:
    """Hold the connections to one target.

    Requests that may not run twice use fresh connections: a kept one may be closed
    as the request goes out, which leaves open whether it ran.
    """

    def __init__(self) -> None:
        self.kept = open_session(open_connector(keepalive_timeout=KEPT_IDLE_S))
        self.fresh = open_session(open_connector(force_close=True))
        self.retired: list[ClientSession] = []

    def renew(self) -> None:
        """Leave the kept connections, which may have gone silent, to their requests."""
        self.retired.append(self.kept)
        self.kept = open_session(open_connector(keepalive_timeout=KEPT_IDLE_S))

    async def close(self) -> None:
        """Close all connections."""
        for session in (self.kept, self.fresh, *self.retired):
            await session.close()


@asynccontextmanager
async def end_if_silent(
    estimate: TargetEstimate, limit_s: float
) -> AsyncIterator[None]:
    """Raise TimeoutError after a time, later if the target answers other requests."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:

        def check() -> None:
            nonlocal handle
            if monotonic() - estimate.answered_at > limit_s / 2:
                limit.reschedule(loop.time())
            else:
                handle = loop.call_later(limit_s / 2, check)

        handle = loop.call_later(limit_s, check)
        try:
            yield
        finally:
            handle.cancel()


def open_session(connector: TCPConnector) -> ClientSession:
    """Return a session that adds nothing of its own to requests."""
    session = ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        skip_auto_headers=AUTO_HEADERS,
        auto_decompress=False,
        max_line_size=MAX_HEADER_LINE_BYTES,
        max_field_size=MAX_HEADER_LINE_BYTES,
        max_headers=MAX_HEADERS,
    )
    # The library would repeat requests whose kept connection was reset, beside the
    # budget; it has no public switch.
    session._retry_connection = False
    return session


class Sender:
    """Send attempts to targets."""

    def __init__(self, dialect: Dialect, estimates: Estimates) -> None:
        self.dialect = dialect
        self.estimates = estimates
        self.connections: dict[str, TargetConnections] = {}
        self.answers = Answers()

    async def attempt(
        self, request: GatewayRequest, target: ServingTarget, limit_s: float
    ) -> Attempt:
        """Send a request once and return the outcome.

        A target that is silent for a limit (s) is given up before the deadline.
        """
        connections = self._connections(target)
        session = connections.kept if request.route.idempotent else connections.fresh
        began = monotonic()
        with self.estimates.attempt(target.name, request.route) as estimate:
            ahead = estimate.total_in_flight(began)
            found = await self._send(session, request, target, limit_s, estimate)
            now = monotonic()
            match found.outcome:
                case Answered(status=status):
                    hint = found.facts.load if found.facts else None
                    if status < 500:
                        estimate.note_answer(now - began, ahead, hint, now)
                    else:
                        estimate.note_failure(now)
                case NotRun(reason=Reason.CONNECTION_REFUSED | Reason.TARGET_LOST):
                    estimate.note_failure(now)
                    self.estimates.avoid(target.name)
                case NotRun(reason=Reason.NOT_OWNER):
                    pass
                case (
                    NotRun(reason=Reason.SHED) | Unknown(reason=Reason.CONNECTION_LOST)
                ):
                    estimate.note_failure(now)
                    full = estimate.note_refusal(target.slots, now)
                    found = replace(found, target_full=full)
                case _:
                    estimate.note_failure(now)
        if found.outcome == Unknown(Reason.DEADLINE):
            connections.renew()
        return found

    async def drop(self, name: str) -> None:
        """Close the connections to a target that is gone."""
        found = self.connections.pop(name, None)
        if found is not None:
            await found.close()

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(*(self.drop(name) for name in list(self.connections)))

    def _connections(self, target: ServingTarget) -> TargetConnections:
        found = self.connections.get(target.name)
        if found is None:
            found = self.connections[target.name] = TargetConnections()
        return found

    async def _send(
        self,
        session: ClientSession,
        request: GatewayRequest,
        target: ServingTarget,
        limit_s: float,
        estimate: TargetEstimate,
    ) -> Attempt:
        left_s = request.left_s() - DEADLINE_MARGIN_S
        if left_s <= 0:
            return Attempt(NotRun(Reason.DEADLINE))
        headers = self.dialect.target_headers(request, target, left_s - TRANSFER_S)
        try:
            async with (
                end_if_silent(estimate, limit_s),
                session.request(
                    request.method,
                    URL(f"http://{target.address}{request.path}", encoded=True),
                    headers=CIMultiDict(headers),
                    data=request.body or None,
                    timeout=ClientTimeout(total=left_s, sock_connect=CONNECT_TIMEOUT_S),
                    allow_redirects=False,
                ) as answer,
            ):
                return await self._read(answer, request, target)
        except ClientConnectorError as error:
            return Attempt(NotRun(Reason.CONNECTION_REFUSED, detail=str(error)))
        except ConnectionTimeoutError:
            return Attempt(NotRun(Reason.TARGET_LOST, detail="no connection in time"))
        except ClientPayloadError:
            return Attempt(Unknown(Reason.TORN_ANSWER))
        except TimeoutError:
            return Attempt(Unknown(Reason.DEADLINE))
        except (ClientError, OSError, ValueError) as error:
            return Attempt(Unknown(Reason.CONNECTION_LOST, type(error).__name__))

    async def _read(
        self, answer: ClientResponse, request: GatewayRequest, target: ServingTarget
    ) -> Attempt:
        facts = self.dialect.read_facts(answer.status, answer.headers, request)
        if facts.foreign:
            answer.close()
            return Attempt(Unknown(Reason.TORN_ANSWER, "another request's answer"))
        body = await self._read_whole(answer, request.method)
        if body is None:
            answer.close()
            return Attempt(Unknown(Reason.TORN_ANSWER, "broken off or too large"))
        if facts.misdirected:
            detail = f"answered by {facts.answered_by or 'an unnamed target'}"
            return Attempt(
                NotRun(Reason.NOT_OWNER, MISDIRECTED_RETRY_MS, detail), facts
            )
        if facts.not_run:
            wait_ms = int((facts.retry_after_s or 0.0) * 1000)
            return Attempt(
                NotRun(Reason.SHED, wait_ms, f"status {answer.status}"), facts
            )
        if not facts.signed:
            return Attempt(Unknown(Reason.TORN_ANSWER, "not signed"), facts)
        headers = end_to_end(answer.headers)
        return Attempt(Answered(answer.status, headers, body, target.name), facts)

    async def _read_whole(self, answer: ClientResponse, method: str) -> bytes | None:
        """Return the whole body; None if it was broken off or is too large."""
        framed = (
            method == "HEAD"
            or answer.status in BODYLESS_STATUSES
            or answer.content_length is not None
            or "chunked" in answer.headers.get("Transfer-Encoding", "").lower()
        )
        if framed or answer.connection is None:
            return await self.answers.read(answer) if framed else None
        # The end of such a body is the end of the connection, which may be a reset.
        closed = answer.connection.protocol.closed
        body = await self.answers.read(answer)
        if closed is None or not closed.done() or closed.exception() is not None:
            return None
        return body
