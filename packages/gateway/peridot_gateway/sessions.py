"""The HTTP sessions of a VM to each target, and how long idle connections are used."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import ClientSession, DummyCookieJar, TCPConnector

from peridot_gateway.answers import MAX_HEADER_LINE_BYTES, MAX_HEADERS
from peridot_gateway.sockets import ClosingResponse, open_connector
from peridot_routing.attempts import AIOHTTP_AUTO_HEADERS

# Idle connections are closed before the targets close them (after 10 s at the sites).
KEEPALIVE_TIMEOUT_S = 8.0
# Even targets that forget idle connections early keep them for this time. Requests
# that may run once use no others: after a reset it is unknown whether they ran.
SAFE_IDLE_S = 0.2


class TargetConnections:
    """The connections to one target."""

    def __init__(self) -> None:
        self.session = open_target_session()
        # Number of requests in flight by session; the present one is always included.
        self.in_flight: dict[ClientSession, int] = {self.session: 0}
        self.distrusted_until = float("-inf")

    @asynccontextmanager
    async def use_session(self) -> AsyncIterator[ClientSession]:
        """Yield the session for one request; close retired ones after their last."""
        session = self.session
        self.in_flight[session] += 1
        try:
            yield session
        finally:
            self.in_flight[session] -= 1
            if session is not self.session and not self.in_flight[session]:
                del self.in_flight[session]
                await session.close()

    async def retire_session(self) -> None:
        """Drop the idle connections, which may be dead; open requests go on."""
        retired, self.session = self.session, open_target_session()
        self.in_flight[self.session] = 0
        if not self.in_flight[retired]:
            del self.in_flight[retired]
            await retired.close()

    def max_idle_s(self, idempotent: bool, now: float) -> float:
        """Return for how long a connection for a request may have been idle (s)."""
        if idempotent and now >= self.distrusted_until:
            return KEEPALIVE_TIMEOUT_S
        return SAFE_IDLE_S

    async def close(self) -> None:
        """Close all connections."""
        for session in list(self.in_flight):
            await session.close()


def open_target_session() -> ClientSession:
    """Return a session whose connections are kept open."""
    return open_session(open_connector(keepalive_timeout=KEEPALIVE_TIMEOUT_S))


def open_session(connector: TCPConnector) -> ClientSession:
    """Return a session that adds no cookies or headers to requests."""
    session = ClientSession(
        connector=connector,
        response_class=ClosingResponse,
        cookie_jar=DummyCookieJar(),
        skip_auto_headers=AIOHTTP_AUTO_HEADERS,
        auto_decompress=False,
        max_line_size=MAX_HEADER_LINE_BYTES,
        max_field_size=MAX_HEADER_LINE_BYTES,
        max_headers=MAX_HEADERS,
    )
    # Otherwise aiohttp retries requests whose reused connection was reset, outside the
    # retry budget. It has no public option for this.
    session._retry_connection = False
    return session
