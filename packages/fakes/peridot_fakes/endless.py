"""Stand-in for a faulty target that sends bytes without end."""

import asyncio

BLOCK = b"x" * 65_536
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# The start of a response, and the block that follows it endlessly.
ENDLESS = {
    "body without a length": (OK + b"\r\n", BLOCK),
    "chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "body that is said to be large": (
        OK + b"Content-Length: 1000000000\r\n\r\n",
        BLOCK,
    ),
    "body of a failure": (b"HTTP/1.1 503 Unavailable\r\n\r\n", BLOCK),
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "header lines": (OK, b"Name: value\r\n" * 100),
    "header line": (OK + b"Name: ", BLOCK),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "trailer lines": (CHUNKED + b"0\r\n", b"Name: value\r\n" * 100),
    "chunk extension": (CHUNKED + b"1;", BLOCK),
    "no HTTP": (b"", b"\0" * 65_536),
}


class EndlessTarget:
    """A target that sends a start and then a block endlessly on each connection."""

    def __init__(self, start: bytes, repeated_block: bytes = b"") -> None:
        self.start = start
        self.repeated_block = repeated_block
        self.sent = 0
        self.open_connections = 0

    async def serve(self, reader, writer) -> None:
        self.open_connections += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.start)
            while self.repeated_block:
                writer.write(self.repeated_block)
                self.sent += len(self.repeated_block)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open_connections -= 1
            writer.close()
