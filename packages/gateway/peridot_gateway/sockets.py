"""Connections that are reset on close, and limits of their idle time."""

import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from time import monotonic

from aiohttp import AddrInfoType, ClientResponse

from peridot_gateway.answers import MAX_STREAM_BYTES
from peridot_objects.connections import BoundedResponseHandler, QuietConnector

# Closing resets the connection (SO_LINGER with a timeout of 0): a request that is still
# in the socket buffer during a partition must not arrive after its sender gave it up.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Receive buffer of a connection, which the kernel doubles and otherwise enlarges to
# megabytes for a large response that isn't read. It begins with this size anyway.
RECEIVE_BUFFER_BYTES = 64 * 2**10

# Bytes of a response with its head and framing; bodies end before.
MAX_RECEIVED_BYTES = 2 * MAX_STREAM_BYTES


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
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
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


class IdleLimitConnector(QuietConnector):
    """A connector with a limit of the idle time for each request."""

    def may_reuse(self, released_at: float) -> bool:
        # aiohttp has one limit for all requests of a connector.
        use = connection_use.get()
        if use is None:
            return True
        idle_s = monotonic() - released_at
        if idle_s > use.max_idle_s:
            return False
        use.idle_s = idle_s
        return True

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


def open_connector(
    max_received_bytes: int = MAX_RECEIVED_BYTES, **options
) -> IdleLimitConnector:
    """Return a connector without a connection limit, with reset on close."""
    return IdleLimitConnector(
        max_received_bytes=max_received_bytes,
        limit=0,
        socket_factory=open_socket,
        **options,
    )
