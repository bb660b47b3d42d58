"""HTTP client of peridotd for targets: one attempt and its outcome."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from math import inf

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientPayloadError,
    ClientRequest,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    DummyCookieJar,
    TCPConnector,
)
from yarl import URL

from peridot_objects.connections import QuietConnector, is_final_status
from peridot_resources.catalog import Target
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from peridot_routing.requests import RoutedRequest, end_to_end_headers

CONNECT_TIMEOUT_S = 0.25
# Headers that aiohttp would add to a request that lacks them.
AIOHTTP_AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
BODYLESS_STATUSES = frozenset((204, 304))
# Values of a target's Not-Run header.
NOT_RUN_REASONS = {
    "not-owner": Reason.NOT_OWNER,
    "shed": Reason.SHED,
    "leaving": Reason.TARGET_REFUSED,
    "deadline": Reason.DEADLINE,
}
MIN_RETRY_AFTER_MS = 50
# A refusal's body is only read so that its connection can be reused.
REFUSAL_BODY_TIMEOUT_S = 0.1

SendGuard = Callable[[], NotRun | None]
send_guard: ContextVar[SendGuard | None] = ContextVar("send_guard", default=None)


class SendRefused(Exception):
    """Raised before the first byte when this VM may no longer send the request."""

    def __init__(self, refusal: NotRun) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class GuardedRequest(ClientRequest):
    """A request that calls its send guard once connected, before the first byte."""

    async def send(self, conn) -> ClientResponse:
        guard = send_guard.get()
        refusal = guard() if guard is not None else None
        if refusal is not None:
            raise SendRefused(refusal)
        return await super().send(conn)


@dataclass(frozen=True)
class TargetSessions:
    """HTTP sessions with one target, pooled and unpooled.

    Non-idempotent requests use a new connection each: the target may close a pooled
    one just as the request is sent, which would leave the outcome unknown.
    """

    pooled: ClientSession
    unpooled: ClientSession

    async def attempt(
        self, target: Target, request: RoutedRequest, epoch: str, guard: SendGuard
    ) -> Outcome:
        """Send a request to a target once and return the outcome.

        The guard is called after connecting and may refuse to send. Targets of
        services divided by key get the epoch (term.sequence) of this VM's tables.
        """
        session = self.pooled if request.idempotent else self.unpooled
        timeout_s = request.attempt_timeout_s()
        if timeout_s <= 0:
            return NotRun(Reason.DEADLINE)
        token = send_guard.set(guard)
        try:
            async with session.request(
                request.method,
                URL(f"http://{target.address}{request.path}", encoded=True),
                headers=_build_headers(request, epoch, timeout_s),
                data=request.body or None,
                timeout=ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                return await _read_response(response, request, target)
        except SendRefused as error:
            return error.refusal
        except ClientConnectorError:
            return NotRun(Reason.CONNECTION_REFUSED)
        except ConnectionTimeoutError:
            return NotRun(Reason.TARGET_LOST, detail="connection timed out")
        except ClientPayloadError:
            return Unknown(Reason.TORN_ANSWER)
        except TimeoutError:
            return Unknown(Reason.DEADLINE)
        except (ClientError, OSError, ValueError) as error:
            return Unknown(Reason.CONNECTION_LOST, type(error).__name__)
        finally:
            send_guard.reset(token)


@asynccontextmanager
async def open_sessions(connections: int) -> AsyncIterator[TargetSessions]:
    """Open sessions with one target, which share out a number of connections.

    If it is only one, all requests share it, and none reuses it.
    """
    unpooled_limit = max(1, connections // 4)
    # Bodies have limits of their own, by route.
    unpooled = QuietConnector(inf, limit=unpooled_limit, force_close=True)
    if connections == 1:
        async with _open_session(unpooled) as session:
            yield TargetSessions(session, session)
        return
    pooled = QuietConnector(inf, limit=connections - unpooled_limit)
    async with _open_session(pooled) as first, _open_session(unpooled) as second:
        yield TargetSessions(first, second)


def _open_session(connector: TCPConnector) -> ClientSession:
    session = ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        request_class=GuardedRequest,
        skip_auto_headers=AIOHTTP_AUTO_HEADERS,
        auto_decompress=False,
    )
    # Otherwise aiohttp sends a request again if its connection breaks and its method is
    # idempotent by the standard, whatever the service declares and whoever owned the
    # key meanwhile. It has no public option for this.
    session._retry_connection = False
    return session


def _build_headers(
    request: RoutedRequest, epoch: str, timeout_s: float
) -> list[tuple[str, str]]:
    headers = list(request.headers)
    headers.append(("Request-Id", request.request_id))
    headers.append(("Deadline-Ms", str(int(timeout_s * 1000))))
    if request.service.divided_by_key:
        headers.append(("Key-Hash", f"{request.key_hash:016x}"))
        headers.append(("Grant-Epoch", epoch))
    return headers


async def _read_response(
    response: ClientResponse, request: RoutedRequest, target: Target
) -> Outcome:
    if not is_final_status(response.status):
        response.close()
        return Unknown(Reason.TORN_ANSWER, f"status {response.status}")
    not_run = response.headers.get("Not-Run")
    if not_run is not None:
        detail = await _drain_refusal(response, request, not_run)
        reason = NOT_RUN_REASONS.get(not_run, Reason.TARGET_REFUSED)
        return NotRun(reason, MIN_RETRY_AFTER_MS, detail)
    if not _has_body_framing(response, request.method):
        response.close()
        return Unknown(Reason.TORN_ANSWER, "neither Content-Length nor chunked")
    body = await _read_body(response, request.policy.max_answer_bytes)
    if body is None:
        response.close()
        return Unknown(Reason.ANSWER_TOO_LARGE)
    return Answered(
        response.status, end_to_end_headers(response.headers), body, target.name
    )


async def _drain_refusal(
    response: ClientResponse, request: RoutedRequest, not_run: str
) -> str:
    """Read a refusal's body to reuse its connection; return the outcome's detail.

    The header alone says that the request didn't run, so a body that doesn't arrive
    costs the connection only.
    """
    try:
        async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
            await _read_body(response, request.policy.max_answer_bytes)
    except (ClientError, TimeoutError, OSError) as error:
        response.close()
        return f"{not_run} (body: {type(error).__name__})"
    return not_run


async def _read_body(response: ClientResponse, limit_bytes: int) -> bytes | None:
    """Return the whole body, or None if it exceeds the limit."""
    if (response.content_length or 0) > limit_bytes:
        return None
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > limit_bytes:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def _has_body_framing(response: ClientResponse, method: str) -> bool:
    """Return whether a truncated body could be told from a complete one."""
    if method == "HEAD" or response.status in BODYLESS_STATUSES:
        return True
    if response.content_length is not None:
        return True
    return "chunked" in response.headers.get("Transfer-Encoding", "").lower()
