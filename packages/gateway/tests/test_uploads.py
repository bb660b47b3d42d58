"""Pattern: large bodies, many at once, slow ones, and some that end early.

Bodies of requests that may be repeated (/a/) are read whole; test_passed_bodies.py has
those that are passed on.
"""

import asyncio
from time import monotonic

import pytest

MIB = 2**20


def head(
    request_id: str, length: int | None, deadline_ms: int = 1200, path: str = "/o/x"
) -> bytes:
    framing = (
        "Transfer-Encoding: chunked"
        if length is None
        else (f"Content-Length: {length}")
    )
    return (
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {request_id}\r\n"
        f"Deadline-Ms: {deadline_ms}\r\n{framing}\r\n\r\n"
    ).encode()


async def read_status(reader) -> int:
    return int((await reader.readuntil(b"\r\n\r\n")).split()[1])


def run(open_ingress, scenario) -> None:
    async def check():
        async with open_ingress() as parts, asyncio.timeout(10):
            await scenario(*parts)

    asyncio.run(check())


@pytest.mark.parametrize("chunked", [True, False])
def test_bodies_up_to_the_limit_of_the_configuration_are_forwarded(
    chunked, open_ingress
):
    """aiohttp's own limit of 1 MiB refused them with 413."""

    async def scenario(ingress, router, reader, writer):
        body = b"x" * (3 * MIB)
        writer.write(head("id-1", None if chunked else len(body), path="/a/x"))
        if chunked:
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        writer.write(body)
        assert await read_status(reader) == 200
        assert router.body_sizes == [3 * MIB]
        assert ingress.body_reader.held_bytes == 0

    run(open_ingress, scenario)


@pytest.mark.parametrize("chunked", [True, False])
def test_larger_bodies_are_refused_and_not_run(chunked, open_ingress):
    async def scenario(ingress, router, reader, writer):
        writer.write(head("id-1", None if chunked else 5 * MIB, path="/a/x"))
        if chunked:
            writer.write(b"%x\r\n" % (5 * MIB) + b"x" * (5 * MIB))
        assert await read_status(reader) == 413
        assert router.ran == [] and ingress.body_reader.held_bytes == 0

    run(open_ingress, scenario)


@pytest.mark.parametrize(("path", "held"), [("/a/x", 2 * MIB), ("/o/x", 3 * MIB)])
def test_bodies_beyond_the_memory_for_them_are_refused_before_they_are_read(
    path, held, open_ingress
):
    async def scenario(ingress, router, reader, writer):
        ingress.body_reader.max_held_bytes = 3 * MIB
        ingress.body_reader.held_bytes = held
        writer.write(head("id-1", 2 * MIB, path=path))
        response = await reader.readuntil(b"\r\n\r\n")
        assert b" 503 " in response and b"Retry-After" in response
        assert router.ran == []

    run(open_ingress, scenario)


def test_a_body_that_comes_too_slowly_is_refused_at_the_deadline(open_ingress):
    async def scenario(ingress, router, reader, writer):
        began = monotonic()
        writer.write(head("id-1", 1000, deadline_ms=200) + b"x" * 10)
        assert await read_status(reader) == 503
        assert 0.15 < monotonic() - began < 1.0
        assert router.ran == [] and ingress.body_reader.held_bytes == 0

    run(open_ingress, scenario)


def test_a_body_that_ends_early_is_no_request(open_ingress):
    async def scenario(ingress, router, reader, writer):
        writer.write(head("id-1", 1000) + b"x" * 10)
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await asyncio.sleep(0.05)
        assert router.ran == [] and ingress.body_reader.held_bytes == 0

    run(open_ingress, scenario)
