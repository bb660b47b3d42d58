"""A small site in gateway mode: the platform's store, servers and gateway processes."""

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from uuid import uuid4

import orjson
from aiohttp import ClientError, ClientSession

from peridot_fakes.fleet import free_ports
from peridot_fakes.holdserver import FakeServer
from peridot_fakes.objectapi import ObjectApi
from peridot_fakes.relay import Relay

START_TIMEOUT_S = 15.0
POLL_PERIOD_S = 0.05
PIECE_BYTES = 32 * 2**10
HOST = "site.example"
# A gateway must end within this time after a stop signal.
GRACE_S = 3
BOUNDS = (
    f"graceS={GRACE_S}",
    "holdMaxS=10",
    "retryBudgetRatio=0.2",
    "retryBudgetMin=60",
    "retryWindowS=10",
    "stabilityWindowS=3",
    "drainS=2",
)
# Limits of cold and evacuated targets, in force where a site asks for them.
WARM_UP_OVERSHOOT, WARM_UP_SLACK, EVACUATE_S = 1.5, 8, 5
COLD_BOUNDS = (
    f"warmupOvershoot={WARM_UP_OVERSHOOT}",
    f"warmupSlack={WARM_UP_SLACK}",
    f"evacuateS={EVACUATE_S}",
)
ROUTE_COLUMNS = (
    "name host pathPrefix routeType timeoutS targetLatencyS priority trafficSplit"
    " maxAttempts service"
).split()
SERVICE_COLUMNS = "name healthPath maxConnections protocol tls sharded warmS".split()
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 65_536,
    "headerTimeoutS": 5,
    "idleTimeoutS": 10,
}


def make_configuration(
    version: int, routes: list[list], warm_up: tuple[float, float] | None = None
) -> dict:
    """Return a configuration with the services files (divided by key) and orders.

    Their targets can be cold if the time (s) and the rate (1/s) of that are given.
    """
    services = [
        ["files", "/health", 100, "h1", False, True, 1.0],
        ["orders", "/health", 100, "h1", False, None, None],
    ]
    columns = SERVICE_COLUMNS
    if warm_up is not None:
        columns = [*columns, "warmupS", "warmupPerS"]
        services = [[*row, *warm_up] for row in services]
    return {
        "version": version,
        "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
        "services": {"columns": columns, "rows": services},
        "limits": LIMITS,
    }


FILES_ROUTE = ["r1", HOST, "/files/", "idempotent", 1.2, 0.5, 2, None, 2, "files"]
ORDERS_ROUTE = [
    "r2",
    HOST,
    "/orders/",
    "non_idempotent",
    1.5,
    0.6,
    1,
    None,
    2,
    "orders",
]


class Gateways:
    """Start and stop gateway processes, by VM name."""

    def __init__(
        self, folder: Path, open_store_port: Callable[[], Awaitable[int]]
    ) -> None:
        self.folder = folder
        # Opens a port of the store for one gateway, so that it can be cut off alone.
        self.open_store_port = open_store_port
        self.store_ports: dict[str, int] = {}
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.settings: dict[str, dict] = {}
        # Bounds beside BOUNDS, and the zones of VMs that aren't in zone-a.
        self.more_bounds: tuple[str, ...] = ()
        self.zones: dict[str, str] = {}

    def log(self, name: str) -> str:
        """Return the log of a gateway."""
        return (self.folder / f"{name}.log").read_text()

    def caller_address(self, name: str) -> str:
        """Return the address on which a gateway serves callers."""
        return self.settings[name]["listen"]["front"]

    async def start(self, name: str) -> None:
        """Start a gateway and wait until it reports that it is ready."""
        if name not in self.settings:
            self.store_ports[name] = await self.open_store_port()
            self.settings[name] = self._make_settings(name)
        path = self.folder / f"{name}.json"
        path.write_bytes(orjson.dumps(self.settings[name]))
        port = self.settings[name]["internalPortRange"][1]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "peridot_platform",
                f"--metrics_port={port}",
                stdout=log,
                stderr=log,
                env={**os.environ, "PERIDOTPADDLE_BOOT": str(path)},
            )
        await self._wait_until_ready(name)

    async def stop(self, name: str, signal_number: int = signal.SIGTERM) -> int:
        """Send a signal to a gateway, wait for its end and return the exit code."""
        process = self.processes.pop(name)
        process.send_signal(signal_number)
        return await process.wait()

    async def kill_all(self) -> None:
        """Kill all running gateways."""
        for name in list(self.processes):
            await self.stop(name, signal.SIGKILL)

    def _make_settings(self, name: str) -> dict:
        return {
            "node": name,
            "ip": "127.0.0.1",
            "zone": self.zones.get(name, "zone-a"),
            "listen": {
                "front": f"127.0.0.1:{free_ports(1)[0]}",
                "ready": f"127.0.0.1:{free_ports(1)[0]}",
            },
            "internalPortRange": [free_ports(1)[0], free_ports(1)[0]],
            "bounds": [*BOUNDS, *self.more_bounds],
            "platform": {"address": f"127.0.0.1:{self.store_ports[name]}"},
        }

    async def _wait_until_ready(self, name: str) -> None:
        url = f"http://{self.settings[name]['listen']['ready']}/-/ready"
        async with asyncio.timeout(START_TIMEOUT_S), ClientSession() as session:
            while True:
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                except (ClientError, OSError):
                    pass
                await asyncio.sleep(POLL_PERIOD_S)


class Site:
    """A store, servers, gateways and a session that sends callers' requests."""

    def __init__(self, folder: Path) -> None:
        self.api = ObjectApi()
        self.gateways = Gateways(folder, self.open_store_port)
        self.servers: dict[str, FakeServer] = {}
        self.exit_stack = AsyncExitStack()

    async def open_store_port(self) -> int:
        """Serve the store on another port and return the port."""
        port = free_ports(1)[0]
        await self.exit_stack.enter_async_context(self.api.serve(port))
        return port

    async def add_server(
        self, name: str, service: str, relayed: bool = False, **options
    ) -> FakeServer:
        """Start a server, optionally behind a relay, and register it in the store."""
        server = FakeServer(
            name,
            service,
            free_ports(1)[0],
            divided_by_key=service == "files",
            **options,
        )
        if relayed:
            server.relay = Relay(server.port)
            server.registered_port = free_ports(1)[0]
            listening = server.relay.listen(server.registered_port)
            await self.exit_stack.enter_async_context(listening)
        await self.exit_stack.enter_async_context(server.serve())
        self.servers[name] = server
        await self.api.put("servers", name, server.make_registration())
        return server

    async def reuse_address(self, name: str, successor: str, service: str) -> None:
        """Replace a server by one of another service at the same address."""
        server = self.servers.pop(name)
        server.replace_identity(successor, service)
        self.servers[successor] = server
        await self.api.put("servers", successor, server.make_registration())

    async def send(
        self,
        gateway: str,
        method: str,
        path: str,
        key: int = 0,
        pause_s: float = 0.0,
        **options,
    ) -> tuple[int, bytes, dict[str, str], str]:
        """Send a request; return status, body, headers and the attempt's id.

        The body is read in pieces, with a pause (s) after each.
        """
        attempt_id = uuid4().hex[:16]
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt_id,
            "X-Request-Deadline-Ms": "1200",
            "X-Shard-Key": str(key),
        }
        url = f"http://{self.gateways.caller_address(gateway)}{path}"
        async with self.session.request(
            method, url, headers=headers, **options
        ) as response:
            body = b""
            async for piece in response.content.iter_chunked(PIECE_BYTES):
                body += piece
                await asyncio.sleep(pause_s)
            return response.status, body, dict(response.headers), attempt_id

    async def read_metrics(self, gateway: str) -> str:
        """Return the metrics page of a gateway."""
        port = self.gateways.settings[gateway]["internalPortRange"][1]
        async with self.session.get(f"http://127.0.0.1:{port}/metrics") as response:
            return await response.text()

    async def wait_until_served(
        self, gateway: str, key: int, timeout_s: float
    ) -> float:
        """Wait until a key is served; return the time (s) or raise TimeoutError."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with asyncio.timeout(timeout_s):
            while (await self.send(gateway, "GET", "/files/a", key))[0] != 200:
                await asyncio.sleep(POLL_PERIOD_S)
        return loop.time() - started_at


@asynccontextmanager
async def open_site(folder: Path) -> AsyncIterator[Site]:
    """Run a site that has a configuration but no servers or gateways yet."""
    site = Site(folder)
    async with site.exit_stack:
        site.session = await site.exit_stack.enter_async_context(ClientSession())
        routes = [FILES_ROUTE, ORDERS_ROUTE]
        await site.api.put("config", "main", make_configuration(1, routes))
        try:
            yield site
        finally:
            await site.gateways.kill_all()
