"""A small HTTP/1.1 server and client for stand-ins, on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

MAX_LINE_BYTES = 65_536


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split()[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split()[0]

    @property
    def target(self) -> str:
        """Return the path and query of a request."""
        return self.start.split()[1]


async def read_message(
    reader: asyncio.StreamReader, has_body: bool = True
) -> Message | None:
    """Return the next message, or None if the connection ended before it."""
    start = await reader.readline()
    if not start.strip():
        return None
    message = Message(start.decode("latin-1").strip())
    while (line := await reader.readline()) not in (b"\r\n", b"\n"):
        if not line:
            raise ConnectionResetError("the head is incomplete")
        name, _, value = line.decode("latin-1").partition(":")
        message.headers[name.strip().lower()] = value.strip()
    if not has_body:
        return message
    if "chunked" in message.headers.get("transfer-encoding", ""):
        message.body = await _read_chunks(reader)
    else:
        size = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(size)
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    while (await reader.readline()).strip():
        pass
    return body


def format_message(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if "Content-Length" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class HttpServer:
    """Listen on a loopback port and hand each request to a handler.

    The handler returns status, headers and body; None closes the connection.
    """

    def __init__(self, handle) -> None:
        self.handle = handle
        self.port = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> int:
        """Listen and return the port."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=MAX_LINE_BYTES, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def close(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self.handle(request)
                if answer is None:
                    writer.transport.abort()
                    return
                status, headers, body = answer
                writer.write(format_message(f"HTTP/1.1 {status} -", headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def send_once(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 3.0,
) -> Message | None:
    """Send a request on a new connection; None if there was no whole response."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(format_message(f"{method} {path} HTTP/1.1", headers, body))
            return await read_message(reader, method != "HEAD")
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()
