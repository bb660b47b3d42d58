"""Requests that arrive at a stopping VM."""

import asyncio
import random
from time import monotonic
from types import SimpleNamespace

import pytest

from peridot_gateway.ingress import Ingress
from peridot_gateway.uploads import SMALL_BODY_BYTES


class ClosingTransport:
    """A transport that was closed before its request was handled."""

    def is_closing(self) -> bool:
        return True


def test_a_request_on_a_closing_connection_is_not_routed():
    """Such a request ran at its target, and its response was lost."""
    source = SimpleNamespace()
    ingress = Ingress(None, source, None, None, None, random.Random(1))
    for transport in (None, ClosingTransport()):
        request = SimpleNamespace(
            transport=transport, arrival=SimpleNamespace(run=None)
        )
        response = asyncio.run(ingress.handle(request))
        assert response.status == 503


# Guards against requests that are passed on late in a stop and cut off at its end.
@pytest.mark.parametrize(
    ("body_s", "deadline_ms", "size", "runs"),
    [
        (0.0, 1200, 5, True),
        (0.6, 1200, 5, False),
        (0.6, 900, 5, True),
        (0.0, 1200, SMALL_BODY_BYTES + 1, False),
        (0.0, 900, SMALL_BODY_BYTES + 1, True),
    ],
    ids=["in time", "late", "late and short", "upload", "short upload"],
)
def test_a_late_request_is_refused_if_the_stop_may_cut_it_off(
    body_s, deadline_ms, size, runs, open_ingress
):
    async def scenario():
        async with open_ingress() as (ingress, router, reader, writer):
            ingress.begin_stop(monotonic() + 1.0)
            writer.write(
                b"POST /o/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\n"
                b"Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n" % (deadline_ms, size)
            )
            await asyncio.sleep(body_s)
            writer.write(b"x" * size)
            closing = asyncio.create_task(ingress.close())
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.split()[1] == (b"200" if runs else b"503")
            assert b"connection: close" in head.lower()
            assert router.ran == (["id"] if runs else [])
            await reader.read()
            await closing

    asyncio.run(scenario())
