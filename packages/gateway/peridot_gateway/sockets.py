"""Connections that are reset on close and that bound the size of responses."""

import asyncio
import select
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from functools import partial
from time import monotonic

from aiohttp import AddrInfoType, ClientPayloadError, ClientResponse, TCPConnector
from aiohttp.client_proto import ResponseHandler

# Closing resets the connection (SO_LINGER with a timeout of 0): a request that is still
# in the socket buffer during a partition must not arrive after its sender gave it up.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


FIRST_FINAL_STATUS = 200
# Bytes of the head, interim responses included; targets' heads have some hundred bytes.
MAX_HEAD_BYTES = 256 * 2**10
# Bytes of a response with its head and framing: a little over the largest body.
MAX_RECEIVED_BYTES = 5 * 2**20


class BoundedResponseHandler(ResponseHandler):
    """Close a connection with bytes that belong to no request, or with too many.

    aiohttp limits header lines, but not interim responses or chunk extensions. It would
    take a response that arrived on an idle connection for that to the next request.
    """

    received_bytes = 0
    has_head = False
    is_idle = False

    def set_response_params(self, **params) -> None:
        """Reset the count for the next response."""
        self.received_bytes = 0
        self.has_head = False
        self.is_idle = False
        super().set_response_params(**params)

    def feed_data(self, item, size: int = 0) -> None:
        """Record whether a final head has arrived, not only an interim one."""
        message, _ = item
        self.has_head = message.code >= FIRST_FINAL_STATUS
        super().feed_data(item, size)

    def data_received(self, data: bytes) -> None:
        """Close an idle connection; otherwise count the bytes and limit them."""
        # aiohttp also calls this without data, when it resumes reading.
        if self.is_idle and data:
            self.close()
            return
        super().data_received(data)
        self.received_bytes += len(data)
        if self.received_bytes > (
            MAX_RECEIVED_BYTES if self.has_head else MAX_HEAD_BYTES
        ):
            self._abort_connection()

    def can_be_reused(self) -> bool:
        """Return whether the connection is open and nothing has arrived on it."""
        if not self.is_connected() or self.should_close:
            return False
        # The event loop may not have read yet what has arrived.
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return not poll.poll(0)

    def _abort_connection(self) -> None:
        error = ClientPayloadError("the response has too many bytes")
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            # ResponseHandler.abort would drop the error.
            self.transport.abort()


class ClosingResponse(ClientResponse):
    """A response that closes its connection even if it has been received whole.

    aiohttp returns the connection to the pool with the last byte, so that close() would
    leave open one whose response belongs to another request.
    """

    connection_protocol: BoundedResponseHandler | None = None

    async def start(self, connection):
        """Wait for the head; note the connection."""
        self.connection_protocol = connection.protocol
        return await super().start(connection)

    def close(self) -> None:
        """Close the connection unless another request has it already."""
        super().close()
        protocol = self.connection_protocol
        if protocol is not None and protocol.is_idle:
            protocol.close()


def open_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket that resets its connection when it is closed."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


@dataclass
class ConnectionUse:
    """How a request may use idle connections, and which one it got."""

    # Longest time (s) that a connection may have been idle.
    max_idle_s: float
    # For how long (s) the connection of the request had been idle; None if it is new.
    idle_s: float | None = None
    # Whether the request got a connection; no byte of it can be sent before.
    connected: bool = False


# How the request of the current task uses connections.
connection_use: ContextVar[ConnectionUse | None] = ContextVar("use", default=None)


@contextmanager
def use_connection(use: ConnectionUse) -> Iterator[None]:
    """Apply a use of connections to the requests of this task in the context."""
    token = connection_use.set(use)
    try:
        yield
    finally:
        connection_use.reset(token)


class IdleLimitConnector(TCPConnector):
    """A connector with a limit of the idle time for each request.

    Connections on which bytes arrived while they were idle are not used again.
    """

    async def _get(self, key, traces):
        # aiohttp has one limit for all requests of a connector, and takes the
        # connection first that has been idle for the longest time.
        use = connection_use.get()
        connections = self._conns.get(key)
        while connections and not connections[-1][0].can_be_reused():
            protocol, _ = connections.pop()
            protocol.close()
        if connections:
            idle_s = monotonic() - connections[-1][1]
            if use is not None:
                if idle_s > use.max_idle_s:
                    return None
                use.idle_s = idle_s
            connections.rotate(1)
        return await super()._get(key, traces)

    def _release(self, key, protocol, *, should_close=False):
        super()._release(key, protocol, should_close=should_close)
        protocol.is_idle = True

    async def connect(self, req, traces, timeout):
        """Return a connection, and note that the request has got one."""
        connection = await super().connect(req, traces, timeout)
        use = connection_use.get()
        if use is not None:
            use.connected = True
        return connection

    def close_idle_beyond(self, count: int) -> None:
        """Close the connections that have been idle the longest, but for a number."""
        for connections in self._conns.values():
            while len(connections) > count:
                protocol, _ = connections.popleft()
                protocol.close()


def open_connector(**options) -> IdleLimitConnector:
    """Return a connector without a connection limit, with reset on close."""
    connector = IdleLimitConnector(limit=0, socket_factory=open_socket, **options)
    # aiohttp has no public option to limit a response while it arrives.
    loop = asyncio.get_running_loop()
    connector._factory = partial(BoundedResponseHandler, loop=loop)
    return connector
