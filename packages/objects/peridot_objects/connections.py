"""HTTP connections that are not used again once unexpected bytes arrived on them."""

import asyncio
import select
from functools import partial

from aiohttp import ClientSession, DummyCookieJar, TCPConnector
from aiohttp.client_proto import ResponseHandler

# Statuses of complete responses, the last one included.
FIRST_FINAL_STATUS = 200
LAST_STATUS = 599


def is_final_status(status: int) -> bool:
    """Return whether a status can be that of a response.

    aiohttp takes any three digits, and 101 also without an upgrade.
    """
    return FIRST_FINAL_STATUS <= status <= LAST_STATUS


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
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)


class QuietConnector(TCPConnector):
    """A connector that uses the connection first that was used last.

    Connections on which bytes arrived while they were idle are not used again.
    """

    handler_class = QuietResponseHandler

    def __init__(self, **options) -> None:
        super().__init__(**options)
        # aiohttp has no public option for the class of connections.
        loop = asyncio.get_running_loop()
        self._factory = partial(self.handler_class, loop=loop)

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
