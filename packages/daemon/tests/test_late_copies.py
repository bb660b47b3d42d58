"""Pattern: a second copy of a response arrives late, on a connection that is kept.

It must not be taken for the response to the next call.
"""

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest

from peridot_fakes.fleet import free_ports
from peridot_objects.connections import open_session
from peridot_objects.http_objects import HttpObjectStore
from peridot_objects.outcomes import Written
from peridot_placement.grants import GrantRequest, HttpTargetClient

GRANT = GrantRequest("files", (1, 1), (), 1_000)


class NumberingServer:
    """A server that puts the number of the call into its JSON responses."""

    def __init__(self) -> None:
        self.calls = 0
        self.writer = None
        # Whether a late copy comes before each further response on a connection.
        self.copies = False

    async def serve(self, reader, writer) -> None:
        self.writer = writer
        is_first = True
        with suppress(ConnectionError):
            while await reader.read(65_536):
                if self.copies and not is_first:
                    self.send_response()
                self.calls += 1
                self.send_response()
                is_first = False
        writer.close()

    def send_response(self) -> None:
        """Send the response to the last call."""
        body = b'{"version":%d,"clock_ms":%d}' % (self.calls, self.calls)
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.writer.write(head + body)


@asynccontextmanager
async def serve_numbers(**options):
    (port,) = free_ports(1)
    server = NumberingServer()
    async with (
        await asyncio.start_server(server.serve, "127.0.0.1", port),
        open_session(**options) as session,
    ):
        yield server, session, f"127.0.0.1:{port}"


@pytest.mark.parametrize("is_read", [True, False])
def test_a_copy_of_a_response_is_not_taken_for_that_to_the_next_write(is_read):
    async def run():
        async with serve_numbers() as (server, session, address):
            store = HttpObjectStore(session, f"http://{address}")
            assert await store.write("kind", "a", b"{}", None) == Written(1)
            server.send_response()
            if is_read:
                await asyncio.sleep(0.05)
            assert await store.write("kind", "a", b"{}", None) == Written(2)

    asyncio.run(run())


# Guards against a write that counts as done though the store hasn't received it: the
# copy comes after the next call was sent.
def test_a_later_copy_of_a_response_is_not_taken_for_that_to_the_next_write():
    async def run():
        async with serve_numbers(force_close=True) as (server, session, address):
            server.copies = True
            store = HttpObjectStore(session, f"http://{address}")
            for number in (1, 2, 3):
                written = await store.write("kind", "a", b"{}", None)
                assert written == Written(number)

    asyncio.run(run())


@pytest.mark.parametrize("is_read", [True, False])
def test_a_copy_of_a_probe_is_not_taken_for_the_response_to_a_grant(is_read):
    async def run():
        async with serve_numbers() as (server, session, address):
            client = HttpTargetClient(session)
            assert (await client.probe(address)).clock_ms == 1
            server.send_response()
            if is_read:
                await asyncio.sleep(0.05)
            assert (await client.grant(address, GRANT)).clock_ms == 2

    asyncio.run(run())
