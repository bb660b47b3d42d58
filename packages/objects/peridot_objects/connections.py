"""HTTP connections that are closed when unexpected or too many bytes arrive."""

import asyncio
import select
from functools import partial

from aiohttp import (
    ClientPayloadError,
    ClientSession,
    DummyCookieJar,
    StreamReader,
    TCPConnector,
)
from aiohttp.client_proto import ResponseHandler

# Statuses of complete responses, the last one included.
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599
# Bytes of the head, interim responses included; usual heads have some hundred bytes.
MAX_HEAD_BYTES = 256 * 2**10
# Bytes of a response beside its body, and how many more for each byte of it: chunks may
# be small.
MAX_FRAMING_BYTES = 2**20
MAX_FRAMING_RATIO = 8
# Bytes of a response with its head and framing. Those of a store are lists of about
# 1 MB, single objects, and changes of some seconds.
MAX_RECEIVED_BYTES = 16 * 2**20


def is_final_status(status: int) -> bool:
    """Return whether a status can be that of a response.

    aiohttp takes any three digits, and 101 also without an upgrade.
    """
    return FIRST_FINAL_STATUS <= status <= LAST_STATUS


def has_arrived(transport: asyncio.Transport) -> bool:
    """Return whether bytes, or the end of the connection, wait in a socket."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poll.poll(0))


class QuietResponseHandler(ResponseHandler):
    """Close an idle connection on which bytes arrive: they belong to no request.

    aiohttp would take them for the response to the next request.
    """

    is_idle = False

    def set_response_params(self, **params) -> None:
        """Note that a request is about to be sent."""
        self.is_idle = False
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Close an idle connection; otherwise handle the bytes."""
        # aiohttp also calls this without data, when it resumes reading.
        if self.is_idle and data:
            self.close()
            return
        super().data_received(data)

    def can_be_reused(self) -> bool:
        """Return whether the connection is open and nothing has arrived on it."""
        if not self.is_connected() or self.should_close:
            return False
        # The event loop may not have read yet what has arrived.
        return not has_arrived(self.transport)


class BoundedResponseHandler(QuietResponseHandler):
    """Close the connection when a response has too many bytes of any kind.

    aiohttp limits header lines, but not interim responses or chunk extensions.
    """

    received_bytes = 0
    # The body of the final response, once its head has arrived.
    body: StreamReader | None = None

    def __init__(self, loop: asyncio.AbstractEventLoop, max_received_bytes: float):
        super().__init__(loop)
        self.max_received_bytes = max_received_bytes

    def set_response_params(self, **params) -> None:
        """Reset the count for the next response."""
        self.received_bytes = 0
        self.body = None
        super().set_response_params(**params)

    def feed_data(self, item, size: int = 0) -> None:
        """Note the body of the final response; interim ones have none."""
        message, body = item
        if message.code >= FIRST_FINAL_STATUS:
            self.body = body
        super().feed_data(item, size)

    def data_received(self, data: bytes) -> None:
        """Count received bytes and abort the connection if there are too many."""
        super().data_received(data)
        self.received_bytes += len(data)
        if self.received_bytes > self._max_bytes():
            self._abort_connection()

    def _max_bytes(self) -> float:
        """Return how many bytes the response may have had by now."""
        if self.body is None:
            return MAX_HEAD_BYTES
        framed_bytes = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self.body.total_bytes
        return min(self.max_received_bytes, framed_bytes)

    def _abort_connection(self) -> None:
        error = ClientPayloadError("the response has too many bytes")
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            # ResponseHandler.abort would drop the error.
            self.transport.abort()


class QuietConnector(TCPConnector):
    """A connector that uses the connection first that was used last.

    Connections on which bytes arrived while they were idle are not used again, and
    those with more bytes of a response than a limit are closed.
    """

    def __init__(
        self, max_received_bytes: float = MAX_RECEIVED_BYTES, **options
    ) -> None:
        super().__init__(**options)
        # aiohttp has no public option for the class of connections.
        loop = asyncio.get_running_loop()
        self._factory = partial(
            BoundedResponseHandler, loop=loop, max_received_bytes=max_received_bytes
        )

    async def _get(self, key, traces):
        connections = self._conns.get(key)
        while connections and not connections[-1][0].can_be_reused():
            protocol, _ = connections.pop()
            protocol.close()
        if connections:
            if not self.may_reuse(connections[-1][1]):
                return None
            # aiohttp takes the first.
            connections.rotate(1)
        return await super()._get(key, traces)

    def may_reuse(self, released_at: float) -> bool:
        """Return whether a connection may be used that is idle since a time (s)."""
        return True

    def _release(self, key, protocol, *, should_close=False):
        super()._release(key, protocol, should_close=should_close)
        protocol.is_idle = True


def open_session(**options) -> ClientSession:
    """Return a session for calls to other systems; its connector has some options."""
    connector = QuietConnector(limit=0, **options)
    return ClientSession(connector=connector, cookie_jar=DummyCookieJar())
