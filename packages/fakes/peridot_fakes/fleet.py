"""Launcher for trials of peridotd: stand-ins and daemons as processes."""

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import orjson
from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from peridot_ctl import porcelain
from peridot_objects.http_objects import HttpObjectStore
from peridot_objects.vms import VmRecord, VmState
from peridot_resources.manifests import read_manifests
from peridot_resources.models import TargetManifest

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_PERIOD_S = 0.05
CALL_TIMEOUT_S = 10.0
PORT_RANGE = (23_000, 32_000)

allocated_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return free loopback ports.

    They lie below the kernel's range of ephemeral ports, so that no outgoing
    connection takes one. None is returned twice, because the process that will listen
    on it may not have started yet.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*PORT_RANGE)
        if port not in allocated_ports and _is_free(port):
            found.append(port)
            allocated_ports.add(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@dataclass
class DaemonProcess:
    """A daemon, its ports and its process, if it was started."""

    vm: str
    data_centre: str
    caller_port: int
    peer_port: int
    admin_port: int
    log_file: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def url(self) -> str:
        """Return the URL of the caller listener."""
        return f"http://127.0.0.1:{self.caller_port}"

    @property
    def admin_url(self) -> str:
        """Return the URL of the admin listener."""
        return f"http://127.0.0.1:{self.admin_port}"

    def vm_record(self, state: VmState = VmState.LIVE) -> VmRecord:
        """Return the daemon's entry in the VM list."""
        address = f"127.0.0.1:{self.peer_port}"
        return VmRecord(self.vm, self.data_centre, address, state)


@dataclass
class TargetProcess:
    """A process that serves one or more stand-ins for targets.

    `descriptions` are the values of its flag `--targets`.
    """

    names: tuple[str, ...]
    descriptions: tuple[str, ...]
    ports: dict[str, int]
    process: asyncio.subprocess.Process | None = None


@dataclass
class Fleet:
    """All processes of one trial."""

    folder: Path
    session: ClientSession
    platform_port: int
    service_ms: float = 2.0
    log_sample: float = 1.0
    platform: asyncio.subprocess.Process | None = None
    daemons: dict[str, DaemonProcess] = field(default_factory=dict)
    targets: list[TargetProcess] = field(default_factory=list)
    # By data centre: URLs that its daemons use instead of the platform's own, so that
    # a test can put a relay or another VM list in between.
    platform_urls: dict[str, str] = field(default_factory=dict)
    vm_list_urls: dict[str, str] = field(default_factory=dict)

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform's stand-in."""
        return f"http://127.0.0.1:{self.platform_port}"

    @property
    def store(self) -> HttpObjectStore:
        """Return a client of the object API."""
        return HttpObjectStore(self.session, self.platform_url)

    async def start_platform(self) -> None:
        """Start the platform's stand-in and wait until it responds."""
        self.platform = await self._spawn(
            "peridot_fakes.platform", f"--port={self.platform_port}"
        )
        await self._wait_until_ok(f"{self.platform_url}/-/counts")

    async def apply(self, *files: Path) -> None:
        """Apply manifest files as an operator does."""
        await porcelain.apply(self.store, files)

    async def start_targets(self, files: list[Path], apart: bool = False) -> None:
        """Start the targets of manifests: a process for each data centre or target."""
        groups: dict[str, list[TargetManifest]] = {}
        for manifest in read_manifests(files):
            if isinstance(manifest, TargetManifest):
                group = manifest.name if apart else manifest.spec.data_centre
                groups.setdefault(group, []).append(manifest)
        started = [await self._start_target_group(group) for group in groups.values()]
        for target in started:
            for port in target.ports.values():
                await self._wait_until_ok(f"http://127.0.0.1:{port}/-/health")

    async def start_daemons(self, data_centres: dict[str, int]) -> None:
        """Start some daemons in each data centre and wait until they're ready."""
        for data_centre, count in data_centres.items():
            for number in range(1, count + 1):
                self.add_daemon(f"{data_centre}-{number}", data_centre)
        await self.publish_vms()
        for daemon in self.daemons.values():
            await self.start_daemon(daemon)
        await self.wait_ready()

    def add_daemon(self, vm: str, data_centre: str) -> DaemonProcess:
        """Add a daemon with free ports, without starting it."""
        log_file = self.folder / f"{vm}.log"
        daemon = DaemonProcess(vm, data_centre, *free_ports(3), log_file)
        self.daemons[vm] = daemon
        return daemon

    async def start_daemon(self, daemon: DaemonProcess) -> None:
        """Start a daemon's process."""
        platform_url = self.platform_urls.get(daemon.data_centre, self.platform_url)
        settings = {
            "vm": daemon.vm,
            "data_centre": daemon.data_centre,
            "caller_listener": f"127.0.0.1:{daemon.caller_port}",
            "peer_listener": f"127.0.0.1:{daemon.peer_port}",
            "admin_listener": f"127.0.0.1:{daemon.admin_port}",
            "object_api": platform_url,
            "vm_list": self.vm_list_urls.get(daemon.data_centre, platform_url),
            "log_sample": self.log_sample,
            "insecure_peers": True,
        }
        file = self.folder / f"{daemon.vm}.jsonc"
        file.write_bytes(orjson.dumps(settings))
        with daemon.log_file.open("ab") as log:
            daemon.process = await self._spawn(
                "peridot_daemon.main", f"--settings={file}", stdout=log
            )

    async def wait_ready(self) -> None:
        """Wait until every started daemon is ready for callers."""
        for daemon in self.daemons.values():
            if daemon.process is not None:
                await self._wait_until_ok(f"{daemon.admin_url}/readyz")

    async def wait_assigned(self, service: str) -> None:
        """Wait until every slice of a service has an owner."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_assigned(service):
                await asyncio.sleep(POLL_PERIOD_S)

    async def publish_vms(self) -> None:
        """Set the platform's VM list to this fleet's daemons."""
        vms = [daemon.vm_record() for daemon in self.daemons.values()]
        async with self.session.put(
            f"{self.platform_url}/-/vms", data=orjson.dumps(vms)
        ) as response:
            await response.read()

    async def set_platform_faults(self, **faults: object) -> None:
        """Set faults of the platform's stand-in."""
        await self._post(f"{self.platform_url}/-/faults", faults)

    async def set_target_faults(self, name: str, **faults: object) -> None:
        """Replace a target's faults."""
        target = self.target(name)
        await self._post(f"http://127.0.0.1:{target.ports[name]}/-/faults", faults)

    def target(self, name: str) -> TargetProcess:
        """Return the process that serves a target."""
        return next(item for item in self.targets if name in item.names)

    async def journals(self) -> list[dict]:
        """Return the journals of all running targets."""
        journals = []
        for target in self.targets:
            if target.process is None or target.process.returncode is not None:
                continue
            for port in target.ports.values():
                url = f"http://127.0.0.1:{port}/-/journal"
                async with self.session.get(url) as response:
                    journals.append(orjson.loads(await response.read()))
        return journals

    async def assignment_history(self) -> list[dict]:
        """Return all stored versions of the assignments."""
        url = f"{self.platform_url}/-/history?kinds=Assignment"
        async with self.session.get(url) as response:
            changes = orjson.loads(await response.read())["changes"]
        return [change["value"] for change in changes if "value" in change]

    async def counts(self) -> dict:
        """Return the platform's counts of reads and writes, and its revision."""
        async with self.session.get(f"{self.platform_url}/-/counts") as response:
            return orjson.loads(await response.read())

    async def state(self, daemon: DaemonProcess) -> dict:
        """Return a daemon's admin page /state."""
        async with self.session.get(f"{daemon.admin_url}/state") as response:
            return orjson.loads(await response.read())

    async def placer_of(self, data_centre: str) -> DaemonProcess | None:
        """Return the placer (the VM that holds the term) of a data centre."""
        for daemon in self.daemons.values():
            if daemon.data_centre != data_centre or not is_running(daemon.process):
                continue
            if (await self.state(daemon))["holds_term"]:
                return daemon
        return None

    async def close(self) -> None:
        """Stop all processes: the daemons first, then the stand-ins."""
        processes = [daemon.process for daemon in self.daemons.values()]
        processes += [target.process for target in self.targets]
        processes.append(self.platform)
        for group in (processes[: len(self.daemons)], processes[len(self.daemons) :]):
            await asyncio.gather(*(stop_process(item) for item in group))

    async def _start_target_group(self, group: list[TargetManifest]) -> TargetProcess:
        descriptions = []
        ports = {}
        for manifest in group:
            port = int(manifest.spec.address.rsplit(":", 1)[1])
            ports[manifest.name] = port
            grants = int(manifest.spec.checks_grants)
            descriptions.append(
                f"{manifest.name}:{port}:{manifest.spec.slots}:{grants}"
            )
        target = TargetProcess(tuple(ports), tuple(descriptions), ports)
        self.targets.append(target)
        await self.start_target(target)
        return target

    async def start_target(self, target: TargetProcess) -> None:
        """Start the process of some targets."""
        target.process = await self._spawn(
            "peridot_fakes.target",
            f"--targets={','.join(target.descriptions)}",
            f"--service_ms={self.service_ms}",
        )

    async def _is_assigned(self, service: str) -> bool:
        listing = await porcelain.get(self.store, ("Assignment",), None)
        homes = await porcelain.get(self.store, ("Home",), service)
        if not isinstance(listing, list) or not homes:
            return False
        missing = set(orjson.loads(homes[0].value)["dataCentres"])
        for item in listing:
            assignment = orjson.loads(item.value)
            if assignment["service"] != service:
                continue
            if any(number != -1 for number in assignment["nextOwners"]):
                return False
            missing.discard(assignment["dataCentre"])
        return not missing

    async def _post(self, url: str, data: dict) -> None:
        async with self.session.post(url, data=orjson.dumps(data)) as response:
            await response.read()

    async def _spawn(self, module: str, *arguments: str, stdout=None):
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdout=stdout,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
        )

    async def _wait_until_ok(self, url: str) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    async with self.session.get(url) as response:
                        if response.status == 200:
                            return
                except (ClientError, OSError):
                    pass
                await asyncio.sleep(POLL_PERIOD_S)


@asynccontextmanager
async def open_fleet(**options) -> AsyncIterator[Fleet]:
    """Open a fleet whose processes are stopped at the end of the context."""
    (platform_port,) = free_ports(1)
    with tempfile.TemporaryDirectory() as folder:
        timeout = ClientTimeout(total=CALL_TIMEOUT_S)
        connector = TCPConnector(limit=0)
        async with ClientSession(connector=connector, timeout=timeout) as session:
            fleet = Fleet(Path(folder), session, platform_port, **options)
            try:
                yield fleet
            finally:
                await fleet.close()


def is_running(process: asyncio.subprocess.Process | None) -> bool:
    """Return whether a process has been started and hasn't ended."""
    return process is not None and process.returncode is None


async def stop_process(process: asyncio.subprocess.Process | None) -> None:
    """Stop a process gracefully, and kill it if that takes too long.

    A process that was paused by SIGSTOP is resumed first.
    """
    if not is_running(process):
        return
    process.send_signal(signal.SIGCONT)
    process.terminate()
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
