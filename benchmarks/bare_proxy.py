"""Run a proxy without routing decisions, the baseline of the data path, or its target.

Roles: ``target PORT``, ``granting PORT``, ``proxy PORT TARGET_PORT``.
``compare SECONDS CONNECTIONS PORT ...`` starts no server: it sends load to the ports in
turn (A B A B) and prints requests per second and latency in milliseconds for each turn.
"""

import asyncio
import random
import sys
import time

import uvloop
from aiohttp import ClientSession, ClientTimeout, TCPConnector, web
from hdrh.histogram import HdrHistogram

BODY = b"x" * 512


async def run_target(port):
    async def respond(request):
        await request.read()
        return web.Response(body=BODY)

    await serve(respond, port)


async def run_granting_target(port):
    """Serve like `run_target`, with the control endpoints that a placer calls.

    Grants are accepted but not checked.
    """

    async def respond(request):
        await request.read()
        return web.Response(body=BODY)

    async def respond_to_control(request):
        await request.read()
        return web.json_response({"clock_ms": int(time.monotonic() * 1000)})

    app = web.Application()
    app.router.add_put("/-/grant", respond_to_control)
    app.router.add_get("/-/health", respond_to_control)
    app.router.add_route("*", "/{tail:.*}", respond)
    await listen(app, port)


async def run_proxy(port, target_port):
    session = ClientSession(
        connector=TCPConnector(limit=0), timeout=ClientTimeout(total=10)
    )

    async def forward(request):
        body = await request.read()
        url = f"http://127.0.0.1:{target_port}{request.path_qs}"
        async with session.request(request.method, url, data=body) as response:
            return web.Response(status=response.status, body=await response.read())

    await serve(forward, port)


async def serve(handler, port):
    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", handler)
    await listen(app, port)


async def listen(app, port):
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


async def run_load(port, seconds, connections, keys=10_000, path="/status/", seed=1):
    """Send load; return (requests per second, latency histogram in us, failures)."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    failures = 0
    deadline = time.monotonic() + seconds
    rng = random.Random(seed)

    async with ClientSession(connector=TCPConnector(limit=0)) as session:

        async def worker():
            nonlocal failures
            while time.monotonic() < deadline:
                key = f"key-{rng.randrange(keys)}"
                started_ns = time.perf_counter_ns()
                async with session.get(
                    f"http://127.0.0.1:{port}{path}{key}", headers={"Key": key}
                ) as response:
                    await response.read()
                    failures += response.status != 200
                histogram.record_value((time.perf_counter_ns() - started_ns) // 1000)

        started_at = time.monotonic()
        await asyncio.gather(*(worker() for _ in range(connections)))
        elapsed_s = time.monotonic() - started_at
    return histogram.get_total_count() / elapsed_s, histogram, failures


async def compare(seconds, connections, ports):
    for turn in range(3):
        for port in ports:
            rate, histogram, failures = await run_load(port, seconds, connections)
            p50 = histogram.get_value_at_percentile(50) / 1000
            p99 = histogram.get_value_at_percentile(99) / 1000
            print(
                f"turn={turn} port={port} rate={rate:.0f}/s "
                f"p50={p50:.2f}ms p99={p99:.2f}ms failures={failures}"
            )


def main(role, *arguments):
    numbers = [int(argument) for argument in arguments]
    match role:
        case "target":
            uvloop.run(run_target(*numbers))
        case "granting":
            uvloop.run(run_granting_target(*numbers))
        case "proxy":
            uvloop.run(run_proxy(*numbers))
        case "compare":
            seconds, connections, *ports = numbers
            uvloop.run(compare(seconds, connections, ports))
        case _:
            raise SystemExit(__doc__)


if __name__ == "__main__":
    main(*sys.argv[1:])
