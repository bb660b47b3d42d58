"""A TCP proxy that can be cut off, to simulate network faults."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

CHUNK_BYTES = 65536


class Relay:
    """A proxy that forwards connections to a port unless it is cut."""

    def __init__(self, port: int) -> None:
        self.upstream_port = port
        self.connected = asyncio.Event()
        self.connected.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.stalled: set[asyncio.StreamWriter] = set()

    def cut(self) -> None:
        """Forward no more bytes; connections stay open, as in a network partition."""
        self.connected.clear()

    def stall_open_connections(self) -> None:
        """Forward nothing more on open connections, without a reset; new ones work."""
        self.stalled |= self.writers

    def heal(self) -> None:
        """Reset all open connections and forward new ones."""
        for writer in self.writers:
            writer.transport.abort()
        self.connected.set()

    @asynccontextmanager
    async def listen(self, port: int) -> AsyncIterator["Relay"]:
        """Accept connections on a loopback port while the context lasts."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        try:
            yield self
        finally:
            self.heal()
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                "127.0.0.1", self.upstream_port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, upstream_writer}
        self.writers |= pair
        try:
            await asyncio.gather(
                self._forward(reader, upstream_writer),
                self._forward(upstream_reader, writer),
            )
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers -= pair
            self.stalled -= pair
            writer.transport.abort()
            upstream_writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self.connected.wait()
            if writer in self.stalled:
                continue
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError
