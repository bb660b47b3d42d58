"""Relay of TCP connections that can be cut, to stand for a network's faults."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

CHUNK_BYTES = 65536


class Relay:
    """Pass connections on to a port while the network is whole."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.whole = asyncio.Event()
        self.whole.set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()

    def cut(self) -> None:
        """Let no more bytes through; connections stay open, as in a partition."""
        self.whole.clear()

    def silence(self) -> None:
        """Let connections that are open pass nothing more; new ones work."""
        self.silent |= self.writers

    def heal(self) -> None:
        """Break the connections of the partition and let new ones through."""
        for writer in self.writers:
            writer.transport.abort()
        self.whole.set()

    @asynccontextmanager
    async def listen(self, port: int) -> AsyncIterator["Relay"]:
        """Listen on a loopback port while the context lasts."""
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
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        try:
            await asyncio.gather(
                self._pass(reader, far_writer), self._pass(far_reader, writer)
            )
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers -= pair
            self.silent -= pair
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self.whole.wait()
            if writer in self.silent:
                continue
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError
