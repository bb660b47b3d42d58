"""Pattern: callers send further requests before the first is answered.

Responses must come in the order of the requests, each whole and its own, while the
requests run beside each other.
"""

import asyncio
import random
from time import monotonic
from types import SimpleNamespace

import pytest

from peridot_gateway.pipelining import MAX_STARTED

DELAY_S = 0.1


def send(writer, *requests: tuple[str, str]) -> None:
    """Send requests, each with its path and id, without waiting for responses."""
    for path, request_id in requests:
        method = "POST" if path.startswith("/o/") else "GET"
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n"
            f"Request-Id: {request_id}\r\n"
            "Deadline-Ms: 1200\r\n\r\n".encode()
        )


async def read_response(reader) -> tuple[int, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split()[1])
    length = next(
        int(line.partition(b":")[2])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length")
    )
    return status, await reader.readexactly(length)


def run(open_ingress, scenario) -> None:
    async def check():
        async with open_ingress() as parts, asyncio.timeout(10):
            await scenario(*parts)

    asyncio.run(check())


def test_pipelined_requests_run_beside_each_other(open_ingress):
    """One after the other, the last of five would take five times as long."""

    async def scenario(ingress, router, reader, writer):
        began = monotonic()
        send(writer, *((f"/a/{n}", f"id-{n}") for n in range(5)))
        for n in range(5):
            assert await read_response(reader) == (200, f"id-{n}".encode())
        assert monotonic() - began < 3 * DELAY_S

    run(open_ingress, scenario)


@pytest.mark.parametrize("seed", range(8))
def test_responses_come_in_order_whatever_their_durations(seed, open_ingress):
    async def scenario(ingress, router, reader, writer):
        rng = random.Random(seed)
        requests = []
        for n in range(20):
            path = rng.choice(["/a/x", "/a/refuse", "/o/x", "/nothing"])
            requests.append((path, f"id-{n}"))
            router.delays[f"id-{n}"] = rng.choice([0.0, 0.005, 0.03])
        expected = {"/a/x": 200, "/a/refuse": 503, "/o/x": 200, "/nothing": 404}
        unanswered: list[tuple[str, str]] = []
        while requests:
            count = rng.randrange(1, 9)
            batch, requests = requests[:count], requests[count:]
            send(writer, *batch)
            unanswered += batch
            for _ in range(rng.randrange(len(unanswered) + 1)):
                path, request_id = unanswered.pop(0)
                status, body = await read_response(reader)
                assert status == expected[path]
                assert status != 200 or body == request_id.encode()
        for path, _ in unanswered:
            assert (await read_response(reader))[0] == expected[path]
        assert len(router.ran) == len(set(router.ran))

    run(open_ingress, scenario)


def test_a_non_idempotent_request_waits_for_its_turn(open_ingress):
    """A response before it may close the connection; then it counts as not read."""

    async def scenario(ingress, router, reader, writer):
        send(writer, ("/a/1", "id-1"), ("/o/2", "id-2"), ("/a/3", "id-3"))
        await asyncio.sleep(DELAY_S / 2)
        assert router.ran == ["id-1", "id-3"]
        for n in (1, 2, 3):
            assert await read_response(reader) == (200, f"id-{n}".encode())
        assert router.ran == ["id-1", "id-3", "id-2"]

    run(open_ingress, scenario)


def test_requests_of_one_connection_are_bounded(open_ingress):
    async def scenario(ingress, router, reader, writer):
        send(writer, *((f"/a/{n}", f"id-{n}") for n in range(40)))
        for n in range(40):
            assert await read_response(reader) == (200, f"id-{n}".encode())
        assert 1 < router.peak <= MAX_STARTED + 1

    run(open_ingress, scenario)


def test_a_caller_that_leaves_ends_all_its_requests(open_ingress):
    async def scenario(ingress, router, reader, writer):
        router.delays = {f"id-{n}": 5.0 for n in range(4)}
        send(writer, *((f"/a/{n}", f"id-{n}") for n in range(4)))
        await asyncio.sleep(DELAY_S)
        assert router.running == 4
        writer.transport.abort()
        await asyncio.sleep(DELAY_S)
        assert sorted(router.cancelled) == [f"id-{n}" for n in range(4)]

    run(open_ingress, scenario)


def test_a_stop_answers_started_requests_and_starts_no_others(open_ingress):
    async def scenario(ingress, router, reader, writer):
        send(writer, ("/a/1", "id-1"), ("/a/2", "id-2"), ("/o/3", "id-3"))
        await asyncio.sleep(DELAY_S / 2)
        ingress.begin_stop(monotonic() + 3.0)
        closing = asyncio.create_task(ingress.close())
        for n in (1, 2):
            assert await read_response(reader) == (200, f"id-{n}".encode())
        assert await reader.read() == b""
        assert router.ran == ["id-1", "id-2"]
        await closing

    run(open_ingress, scenario)


@pytest.mark.parametrize("path", ["/a/2", "/o/2"])
def test_a_request_that_arrived_before_a_stop_closes_connections_is_answered(
    path, open_ingress
):
    """Guards against requests that are lost while the process lacks processor time."""

    async def scenario(ingress, router, reader, writer):
        send(writer, ("/a/1", "id-1"))
        assert await read_response(reader) == (200, b"id-1")

        async def stop_listening():
            # The event loop doesn't read again before it closes idle connections.
            send(writer, (path, "id-2"))

        ingress.begin_stop(monotonic() + 3.0)
        ingress.site = SimpleNamespace(stop=stop_listening)
        closing = asyncio.create_task(ingress.close())
        assert await read_response(reader) == (200, b"id-2")
        assert await reader.read() == b""
        await closing

    run(open_ingress, scenario)


def test_the_time_that_a_request_waits_for_its_turn_counts(open_ingress):
    """Otherwise targets are told more time than the caller waits."""

    async def scenario(ingress, router, reader, writer):
        deadlines = {}
        handle = router.handle

        async def record(request):
            deadlines[request.request_id] = request.deadline
            return await handle(request)

        router.handle = record
        send(writer, ("/o/1", "id-1"), ("/o/2", "id-2"))
        for _ in range(2):
            await read_response(reader)
        assert deadlines["id-2"] - deadlines["id-1"] < DELAY_S / 2

    run(open_ingress, scenario)


@pytest.mark.parametrize("behind", [b"GARBAGE\r\n\r\n", b"GET / HTTP/9.9\r\n\r\n"])
def test_bytes_that_are_no_request_behind_others_are_refused_in_turn(
    behind, open_ingress
):
    async def scenario(ingress, router, reader, writer):
        send(writer, ("/a/1", "id-1"), ("/a/2", "id-2"))
        # In one segment with them, aiohttp's parser would drop the requests as well.
        await asyncio.sleep(DELAY_S / 4)
        writer.write(behind)
        for n in (1, 2):
            assert await read_response(reader) == (200, f"id-{n}".encode())
        assert (await reader.readuntil(b"\r\n\r\n")).split()[1] == b"400"
        await reader.read()
        assert router.ran == ["id-1", "id-2"]

    run(open_ingress, scenario)


@pytest.mark.parametrize("closing", [0, 1])
def test_nothing_is_started_behind_a_request_that_closes_the_connection(
    closing, open_ingress
):
    async def scenario(ingress, router, reader, writer):
        for n in range(3):
            ending = "Connection: close\r\n" if n == closing else ""
            writer.write(
                f"GET /a/{n} HTTP/1.1\r\nHost: a.example\r\n{ending}"
                f"Request-Id: id-{n}\r\n\r\n".encode()
            )
            await asyncio.sleep(0.01)
        for n in range(closing + 1):
            assert await read_response(reader) == (200, f"id-{n}".encode())
        assert await reader.read() == b""
        assert router.ran == [f"id-{n}" for n in range(closing + 1)]

    run(open_ingress, scenario)
