"""One attempt at one target over HTTP, and its outcome."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from contextvars import ContextVar
from dataclasses import dataclass

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

from peridot_resources.catalog import Target
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason, Unknown
from peridot_routing.requests import RoutedRequest, pass_headers

CONNECT_TIMEOUT_S = 0.25
AUTO_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
BODYLESS_STATUSES = frozenset((204, 304))
NOT_RUN_REASONS = {
    "not-owner": Reason.NOT_OWNER,
    "shed": Reason.SHED,
    "leaving": Reason.TARGET_REFUSED,
    "deadline": Reason.DEADLINE,
}
MIN_RETRY_AFTER_MS = 50

SendGuard = Callable[[], NotRun | None]
send_guard: ContextVar[SendGuard | None] = ContextVar("send_guard", default=None)


class SendRefused(Exception):
    """Report that the right to send ended before the first byte."""

    def __init__(self, refusal: NotRun) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class GuardedRequest(ClientRequest):
    """Check the right to send after the connection stands, before the first byte."""

    async def send(self, conn) -> ClientResponse:
        guard = send_guard.get()
        refusal = guard() if guard is not None else None
        if refusal is not None:
            raise SendRefused(refusal)
        return await super().send(conn)


@dataclass(frozen=True)
class TargetClient:
    """Hold the connections to one target.

    Requests that may not run twice go over fresh connections: a kept one may be
    closed by the target as the request goes out, which leaves the outcome unknown.
    """

    kept: ClientSession
    fresh: ClientSession

    async def attempt(
        self, target: Target, request: RoutedRequest, epoch: str, guard: SendGuard
    ) -> Outcome:
        """Send a request to a target once and return the outcome."""
        session = self.kept if request.idempotent else self.fresh
        limit_s = request.attempt_s()
        if limit_s <= 0:
            return NotRun(Reason.DEADLINE)
        token = send_guard.set(guard)
        try:
            async with session.request(
                request.method,
                URL(f"http://{target.address}{request.path}", encoded=True),
                headers=_attempt_headers(request, epoch, limit_s),
                data=request.body or None,
                timeout=ClientTimeout(total=limit_s, sock_connect=CONNECT_TIMEOUT_S),
                allow_redirects=False,
            ) as answer:
                return await _read_answer(answer, request, target)
        except SendRefused as error:
            return error.refusal
        except ClientConnectorError:
            return NotRun(Reason.CONNECTION_REFUSED)
        except ConnectionTimeoutError:
            return NotRun(Reason.TARGET_LOST, detail="no connection in time")
        except ClientPayloadError:
            return Unknown(Reason.TORN_ANSWER)
        except TimeoutError:
            return Unknown(Reason.DEADLINE)
        except (ClientError, OSError, ValueError) as error:
            return Unknown(Reason.CONNECTION_LOST, type(error).__name__)
        finally:
            send_guard.reset(token)


@asynccontextmanager
async def open_client(connections: int) -> AsyncIterator[TargetClient]:
    """Hold sessions to one target that stay within a number of connections."""
    fresh_limit = max(1, connections // 4)
    kept = TCPConnector(limit=max(1, connections - fresh_limit))
    fresh = TCPConnector(limit=fresh_limit, force_close=True)
    async with _session(kept) as first, _session(fresh) as second:
        yield TargetClient(first, second)


def _session(connector: TCPConnector) -> ClientSession:
    return ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        request_class=GuardedRequest,
        skip_auto_headers=AUTO_HEADERS,
        auto_decompress=False,
    )


def _attempt_headers(
    request: RoutedRequest, epoch: str, limit_s: float
) -> list[tuple[str, str]]:
    headers = list(request.headers)
    headers.append(("Request-Id", request.request_id))
    headers.append(("Deadline-Ms", str(int(limit_s * 1000))))
    if request.service.divided_by_key:
        headers.append(("Key-Hash", f"{request.key_hash:016x}"))
        headers.append(("Grant-Epoch", epoch))
    return headers


async def _read_answer(
    answer: ClientResponse, request: RoutedRequest, target: Target
) -> Outcome:
    refused = answer.headers.get("Not-Run")
    if refused is not None:
        await _read_body(answer, request.policy.max_answer_bytes)
        reason = NOT_RUN_REASONS.get(refused, Reason.TARGET_REFUSED)
        return NotRun(reason, MIN_RETRY_AFTER_MS, refused)
    if not _has_known_end(answer, request.method):
        answer.close()
        return Unknown(Reason.TORN_ANSWER, "the answer's end can't be told")
    body = await _read_body(answer, request.policy.max_answer_bytes)
    if body is None:
        answer.close()
        return Unknown(Reason.ANSWER_TOO_LARGE)
    return Answered(answer.status, pass_headers(answer.headers), body, target.name)


async def _read_body(answer: ClientResponse, limit: int) -> bytes | None:
    """Return the whole body, or None if it exceeds the limit."""
    if (answer.content_length or 0) > limit:
        return None
    parts = []
    size = 0
    async for part in answer.content.iter_any():
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
    return b"".join(parts)


def _has_known_end(answer: ClientResponse, method: str) -> bool:
    """Tell whether a torn answer would be noticed."""
    if method == "HEAD" or answer.status in BODYLESS_STATUSES:
        return True
    if answer.content_length is not None:
        return True
    return "chunked" in answer.headers.get("Transfer-Encoding", "").lower()
