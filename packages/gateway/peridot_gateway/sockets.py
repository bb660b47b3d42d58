"""Sockets whose closing takes back what has not arrived."""

import socket
import struct

from aiohttp import AddrInfoType, TCPConnector

# Closing resets the connection: a request that a partition holds up must not arrive
# after its sender has given it up.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def open_socket(address: AddrInfoType) -> socket.socket:
    """Return a socket that resets its connection when it is closed."""
    family, kind, protocol, _, _ = address
    found = socket.socket(family, kind, protocol)
    found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    found.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return found


def open_connector(**options) -> TCPConnector:
    """Return a connector without limits whose sockets reset when they are closed."""
    return TCPConnector(limit=0, socket_factory=open_socket, **options)
