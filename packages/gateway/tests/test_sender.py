"""Attempts at targets in trouble, over TCP."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from peridot_fakes.fleet import free_ports
from peridot_gateway.answers import HELD_BYTES, MAX_ANSWER_BYTES
from peridot_gateway.dialect import AnswerFacts
from peridot_gateway.estimates import Estimates
from peridot_gateway.sender import Sender
from peridot_routing.outcomes import Answered, Reason, Unknown

# An answer without end is cut off well before the request's deadline (s).
LEFT_S = 10.0
CUT_S = 3.0
BLOCK = b"x" * 65_536
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# What a target sends once, and then again and again.
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


class PlainDialect:
    """Add nothing to requests and vouch for each answer."""

    def target_headers(self, request, target, left_s):
        return [("Host", request.host)]

    def read_facts(self, status, headers, request):
        not_run = status == 503
        return AnswerFacts(not_run, False, None, False, True, None, None)


class RawTarget:
    """Answer each connection with a start and then blocks without end."""

    def __init__(self, start: bytes, block: bytes = b"") -> None:
        self.start = start
        self.block = block
        self.sent = 0
        self.open = 0

    async def serve(self, reader, writer) -> None:
        self.open += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.start)
            while self.block:
                writer.write(self.block)
                self.sent += len(self.block)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open -= 1
            writer.close()


@asynccontextmanager
async def serving(raw: RawTarget, make_target) -> AsyncIterator:
    (port,) = free_ports(1)
    server = await asyncio.start_server(raw.serve, "127.0.0.1", port)
    sender = Sender(PlainDialect(), Estimates())
    async with server:
        yield sender, replace(make_target("t"), address=f"127.0.0.1:{port}")
        await sender.close()


# Guards against memory and time spent on bytes that are no answer and have no end.
@pytest.mark.parametrize("name", ENDLESS)
@pytest.mark.parametrize("idempotent", [True, False])
def test_an_answer_without_end_is_cut_off(name, idempotent, make_request, make_target):
    async def play():
        raw = RawTarget(*ENDLESS[name])
        async with serving(raw, make_target) as (sender, target):
            request = make_request(idempotent, left_s=LEFT_S)
            began = time.monotonic()
            found = await sender.attempt(request, target, LEFT_S)
            assert time.monotonic() - began < CUT_S
            assert isinstance(found.outcome, Unknown)
            assert found.outcome.reason is not Reason.DEADLINE
            assert raw.sent < 4 * MAX_ANSWER_BYTES
            async with asyncio.timeout(1):
                while raw.open:
                    await asyncio.sleep(0.01)

    asyncio.run(play())


def test_answers_without_end_do_not_fill_the_memory_together(make_request, make_target):
    async def play():
        raw = RawTarget(OK + b"\r\n", BLOCK)
        async with serving(raw, make_target) as (sender, target):
            requests = [make_request(left_s=LEFT_S) for _ in range(24)]
            most = 0

            async def watch():
                nonlocal most
                while True:
                    most = max(most, sender.answers.held)
                    await asyncio.sleep(0)

            watching = asyncio.create_task(watch())
            found = await asyncio.gather(
                *(sender.attempt(request, target, LEFT_S) for request in requests)
            )
            watching.cancel()
            assert all(isinstance(item.outcome, Unknown) for item in found)
            assert 0 < most < 2 * HELD_BYTES
            assert sender.answers.held == 0

    asyncio.run(play())


def test_a_large_answer_with_an_end_is_whole(make_request, make_target):
    body = BLOCK * 16
    head = OK + b"Content-Length: %d\r\n\r\n" % len(body)

    async def play():
        async with serving(RawTarget(head + body), make_target) as (sender, target):
            found = await sender.attempt(make_request(left_s=LEFT_S), target, LEFT_S)
            assert isinstance(found.outcome, Answered)
            assert found.outcome.body == body

    asyncio.run(play())
