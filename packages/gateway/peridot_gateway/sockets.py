"""Connections that take back what has not arrived, and end answers without end."""

import asyncio
import socket
import struct
from functools import partial

from aiohttp import AddrInfoType, ClientPayloadError, TCPConnector
from aiohttp.client_proto import ResponseHandler

# Closing resets the connection: a request that a partition holds up must not arrive
# after its sender has given it up.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


FIRST_FINAL_STATUS = 200
# An answer's final head with all interim ones; targets' heads have some hundred bytes.
MAX_HEAD_BYTES = 256 * 2**10
# All bytes of an answer, with its head and framing: a little over the largest body.
MAX_RECEIVED_BYTES = 5 * 2**20


class BoundedResponseHandler(ResponseHandler):
    """Close the connection when an answer has too many bytes, whatever they are.

    The library bounds header lines, but not interim answers or chunk extensions.
    """

    received = 0
    has_head = False

    def set_response_params(self, **params) -> None:
        """Begin to count anew: another answer is due."""
        self.received = 0
        self.has_head = False
        super().set_response_params(**params)

    def feed_data(self, item, size: int = 0) -> None:
        """Take in a head; interim ones are followed by another."""
        message, _ = item
        self.has_head = message.code >= FIRST_FINAL_STATUS
        super().feed_data(item, size)

    def data_received(self, data: bytes) -> None:
        """Take in bytes and end the connection if they are too many."""
        super().data_received(data)
        self.received += len(data)
        if self.received > (MAX_RECEIVED_BYTES if self.has_head else MAX_HEAD_BYTES):
            self._cut_off()

    def _cut_off(self) -> None:
        error = ClientPayloadError("the answer has too many bytes")
        if self._payload is not None:
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            # The handler's own `abort` would drop the error.
            self.transport.abort()


def open_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket that resets its connection when it is closed."""
    family, kind, protocol, _, _ = address
    found = socket.socket(family, kind, protocol)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return found


def open_connector(**options) -> TCPConnector:
    """Return a connector without limits whose sockets reset when they are closed."""
    connector = TCPConnector(limit=0, socket_factory=open_socket, **options)
    # There is no public way to bound an answer as it arrives.
    loop = asyncio.get_running_loop()
    connector._factory = partial(BoundedResponseHandler, loop=loop)
    return connector
