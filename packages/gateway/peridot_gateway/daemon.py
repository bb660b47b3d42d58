"""The gateway daemon: builds its components, runs them, and stops gracefully."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, fields
from pathlib import Path
from time import monotonic
from uuid import uuid4

from aiohttp import web
from aiomisc import Service
from prometheus_client.core import CounterMetricFamily
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from peridot_daemon.metrics import Metrics
from peridot_daemon.settings import split_address
from peridot_gateway.admission import Admission
from peridot_gateway.coldtargets import ColdTargets
from peridot_gateway.dialect import Dialect
from peridot_gateway.estimates import Estimates
from peridot_gateway.evacuations import Evacuations
from peridot_gateway.fleet import Fleet, FleetParts
from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.fleetwork import add_work_gauges
from peridot_gateway.ingress import Ingress
from peridot_gateway.links import serve_fleet
from peridot_gateway.memory import divide_memory
from peridot_gateway.owners import Owners
from peridot_gateway.picker import Picker
from peridot_gateway.router import GatewayRouter, RouterParts
from peridot_gateway.sender import Sender
from peridot_gateway.settings import GatewaySettings
from peridot_gateway.sharing import CapacitySharing
from peridot_gateway.sources import ConfigurationSource
from peridot_gateway.targets import TargetSource
from peridot_objects.objects import ObjectStore
from peridot_ownership.holds import TargetLeaseClient
from peridot_ownership.record import RECORD_KIND, DaemonInstance
from peridot_placement.decisions import DecisionLog
from peridot_resources.configuration import TargetInstance

RESTART_PAUSE_S = 0.2
# Load balancers that check once a second and need two failures have stopped sending
# requests after this time.
BALANCER_NOTICE_S = 2.6
# Part of stop_timeout_s that is reserved for the end of the process.
STOP_MARGIN_S = 0.5
# Period at which connections of removed targets are closed.
SWEEP_PERIOD_S = 5.0
# The settings file may change without a SIGHUP.
SETTINGS_CHECK_PERIOD_S = 1.0
# Targets turn cold or warm within this time for the logs and the placer.
COLD_UPDATE_PERIOD_S = 0.25


@dataclass(frozen=True)
class PlatformAdapter:
    """What a platform adapter provides to the gateway."""

    store: ObjectStore
    lease_client: TargetLeaseClient
    dialect: Dialect
    settings_file: Path
    # Reads the settings file again; raises settings_error.
    reload_settings: Callable[[], GatewaySettings]
    settings_error: type[Exception]


class Gateway(Service):
    """The gateway service; its tasks are restarted when they fail."""

    settings: GatewaySettings
    adapter: PlatformAdapter
    log: DecisionLog
    flush_log: Callable[[], Coroutine]

    async def start(self) -> None:
        """Build and start all components; return when the gateway has stopped."""
        self.stack = AsyncExitStack()
        self.tasks: list[asyncio.Task] = []
        self.stopped = asyncio.Event()
        self.metrics = Metrics()
        self._build()
        await self._listen()
        self._start_task("configuration", self.configuration.run)
        self._start_task("targets", self.targets.run)
        if self.evacuations is not None:
            self._start_task("evacuations", self.evacuations.run)
        self._start_task("cold", self._update_cold_targets)
        self._start_task("fleet", self.fleet.run)
        self._start_task("log", self.flush_log)
        self._start_task("sweep", self._sweep_connections)
        self._start_task("settings", self._watch_settings_file)
        self._add_gauges()
        self.log.write(
            "started",
            vm=self.settings.vm,
            data_centre=self.settings.data_centre,
            instance=self.local_instance.instance,
            callers=self.settings.caller_listener,
        )
        self.start_event.set()
        await self.stopped.wait()

    def _build(self) -> None:
        settings, log = self.settings, self.log
        store, dialect = self.adapter.store, self.adapter.dialect
        rng = random.Random()
        self.local_instance = DaemonInstance(
            settings.vm, uuid4().hex, settings.fleet_listener, settings.cores
        )
        self.configuration = ConfigurationSource(store, dialect, log)
        self.targets = TargetSource(store, dialect, log)
        self.cold = ColdTargets(settings.vm, self.configuration, self.targets, log)
        self.cold.set_limits(settings.cold_rate_factor, settings.cold_rate_slack)
        self.cold.get_known_vms = lambda: self.fleet.known_vms()
        self.evacuations = None
        if settings.evacuate_s is not None:
            self.evacuations = Evacuations(store, dialect, log, settings.evacuate_s)
            self.evacuations.handle_end = self.cold.record_zone_return
        self._set_recovery_times()
        self.estimates = Estimates()
        self.owners = Owners()
        self.sender = Sender(
            dialect, self.estimates, log, lambda: self.fleet.count_vms()
        )
        self.sender.handle_leaving = self._handle_leaving
        self.adapter.lease_client.handle_leaving = self._handle_leaving
        self.sharing = CapacitySharing(
            lambda: self.configuration.configuration, rng, log
        )
        parts = RouterParts(
            self.owners,
            self.targets,
            self.estimates,
            Picker(
                settings.data_centre,
                self.estimates,
                rng,
                self.cold,
                self.evacuations,
            ),
            Admission(self.estimates, self.sharing),
            self.sender,
            log,
            rng,
            self.cold,
            self.evacuations,
        )
        self.router = GatewayRouter(
            parts,
            settings.repeats,
            lambda: self.fleet.count_vms(),
            settings.leaving_grace_s,
        )
        self.load = FleetLoad(
            self.configuration,
            self.targets,
            cold=self.cold,
            evacuations=self.evacuations,
        )
        self.load.shares.log = log
        self.load.work.log = log
        self.fleet = Fleet(
            self.local_instance,
            settings.data_centre,
            FleetParts(
                store,
                self.adapter.lease_client,
                self.load,
                self.owners,
                self.estimates,
                self.router,
                log,
                rng,
                settings.hold_max_s,
                settings.leaving_grace_s,
                lambda: self.configuration.reachable,
                settings.first_start,
                self.sharing,
            ),
        )
        self.configuration.get_confirmed_version = lambda: self._confirmed_version(0)
        self.targets.get_confirmed_version = lambda: self._confirmed_version(1)
        self.ingress = Ingress(
            dialect, self.configuration, self.router, self.metrics, log, rng
        )
        self._apply_memory_limits()

    def _apply_memory_limits(self) -> None:
        limits = divide_memory(self.settings.memory_mb)
        self.ingress.body_reader.max_held_bytes = limits.body_bytes
        self.sender.response_reader.max_buffered_bytes = limits.response_bytes
        self.sender.stream_buffers.max_bytes = limits.stream_bytes

    def _handle_leaving(self, target: TargetInstance) -> None:
        self.targets.announce_leaving(target.name, target.started_ms)

    def _set_recovery_times(self) -> None:
        self.configuration.set_recovery_time(self.settings.settle_s)
        self.targets.set_recovery_time(self.settings.target_recovery_s)
        if self.evacuations is not None:
            self.evacuations.set_recovery_time(self.settings.target_recovery_s)

    def _confirmed_version(self, index: int) -> int | None:
        versions = self.fleet.confirmed_versions()
        return versions[index] if versions is not None else None

    async def _listen(self) -> None:
        enter = self.stack.enter_async_context
        settings = self.settings
        self.stack.push_async_callback(self.sender.close)
        await enter(serve_fleet(self.fleet.server, settings.fleet_listener))
        await enter(serve_page(settings.ready_listener, self._ready_page))
        await enter(serve_page(settings.metrics_listener, self._metrics_page))
        await enter(self.ingress.serve(settings.caller_listener))

    async def stop(self, exception: Exception | None = None) -> None:
        """Report not ready, finish open requests, and stop."""
        began = monotonic()
        deadline = began + self.settings.stop_timeout_s - STOP_MARGIN_S
        self.log.write("stopping", open_requests=self.ingress.open_requests)
        self.ingress.begin_stop(deadline)
        self.router.stopping = True
        self.fleet.leave()
        await asyncio.sleep(min(BALANCER_NOTICE_S, self.settings.stop_timeout_s / 2))
        await self.ingress.close()
        unfinished = self.ingress.open_requests
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.stack.aclose()
        self.log.write(
            "stopped", cut_requests=unfinished, took=round(monotonic() - began, 2)
        )
        self.stopped.set()

    def is_ready(self) -> bool:
        """Return whether the gateway can serve callers."""
        return (
            self.configuration.loaded
            and self.configuration.configuration.version > 0
            and self.targets.loaded
            and self._knows_owners()
            and not self.ingress.stopping
        )

    def reload(self) -> None:
        """Reload the settings; keep the current ones if the file is invalid."""
        try:
            settings = self.adapter.reload_settings()
        except self.adapter.settings_error as error:
            self.log.write("reload_failed", reason=error)
            return
        changed = [
            field.name
            for field in fields(settings)
            if getattr(settings, field.name) != getattr(self.settings, field.name)
        ]
        self.log.write("reloaded", changed=",".join(changed) or "-")
        self.settings = settings
        self._apply_memory_limits()
        self.router.set_retry_limits(settings.repeats)
        self.cold.set_limits(settings.cold_rate_factor, settings.cold_rate_slack)
        if self.evacuations is not None and settings.evacuate_s is not None:
            self.evacuations.evacuate_s = settings.evacuate_s
        self._set_recovery_times()
        self.router.leaving_grace_s = settings.leaving_grace_s
        self.fleet.parts.hold_max_s = settings.hold_max_s
        self.fleet.parts.leaving_grace_s = settings.leaving_grace_s

    async def _watch_settings_file(self) -> None:
        """Reload the settings whenever their file changes."""
        last_mtime = self._read_settings_mtime()
        while True:
            await asyncio.sleep(SETTINGS_CHECK_PERIOD_S)
            mtime = self._read_settings_mtime()
            if mtime != last_mtime:
                last_mtime = mtime
                self.reload()

    def _read_settings_mtime(self) -> int | None:
        try:
            return self.adapter.settings_file.stat().st_mtime_ns
        except OSError:
            return None

    def _knows_owners(self) -> bool:
        return bool(self.owners.tables) or not self.load.divided_services()

    def _ready_page(self, request: web.BaseRequest) -> web.Response:
        if request.path != self.adapter.dialect.ready_path:
            return web.Response(status=404)
        return web.Response(status=200 if self.is_ready() else 503)

    def _metrics_page(self, request: web.BaseRequest) -> web.Response:
        body = generate_latest(self.metrics.registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    async def _update_cold_targets(self) -> None:
        """Follow which targets are cold periodically."""
        while True:
            self.cold.update()
            await asyncio.sleep(COLD_UPDATE_PERIOD_S)

    async def _sweep_connections(self) -> None:
        """Close the connections of removed targets periodically."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            names = set(self.targets.targets)
            for name in set(self.sender.connections) - names:
                if not self.estimates.get(name).in_flight:
                    await self.sender.drop(name)
            self.estimates.remove_all_except(names)

    def _start_task(self, name: str, run: Callable[[], Coroutine]) -> None:
        self.tasks.append(
            asyncio.create_task(self._run_with_restarts(name, run), name=name)
        )

    async def _run_with_restarts(self, name: str, run: Callable[[], Coroutine]) -> None:
        """Run a task, and again whenever it fails."""
        while True:
            try:
                await run()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                self.log.write("part_failed", part=name, error=repr(error))
                await asyncio.sleep(RESTART_PAUSE_S)

    def _add_gauges(self) -> None:
        gauges = self.metrics.gauges
        gauges.add_family(self._count_invalid_objects)
        gauges.add(
            "configuration_version",
            "Version of the configuration in force here.",
            lambda: self.configuration.configuration.version,
        )
        gauges.add(
            "targets_age_seconds",
            "Time since the list of targets was known to be current.",
            lambda: min(self.targets.age_s, 1e9),
        )
        gauges.add(
            "term_held", "1 on the placer.", lambda: self.fleet.placer is not None
        )
        gauges.add("repeats", "Attempts after the first.", lambda: self.router.retries)
        gauges.add(
            "open_requests", "Requests of callers.", lambda: self.ingress.open_requests
        )
        gauges.add(
            "targets_paused",
            "Targets that want no requests from this VM for now.",
            self.estimates.count_paused,
        )
        add_work_gauges(
            gauges, self.estimates, self.load.work, self.router.parts.picker
        )
        gauges.add(
            "targets_announced_leaving",
            "Targets that said in responses, not in the store, that they leave.",
            lambda: len(self.targets.announced_leaving),
        )
        gauges.add(
            "targets_cold",
            "Targets that bear a limited rate of requests for now.",
            self.cold.count_cold,
        )
        gauges.add(
            "cold_refusals",
            "Requests refused because the owner of their key is cold.",
            lambda: self.cold.refused,
        )
        gauges.add(
            "zones_evacuated",
            "Zones whose targets get no requests.",
            lambda: len(self.evacuations.zones) if self.evacuations else 0,
        )
        gauges.add(
            "store_era",
            "Restores of the store from a copy, as known here.",
            lambda: self.targets.era,
        )
        gauges.add(
            "request_body_bytes",
            "Bodies of callers' requests in memory.",
            lambda: self.ingress.body_reader.held_bytes,
        )
        gauges.add(
            "routes_limited",
            "Routes of shared services that aren't admitted in full.",
            self.sharing.count_limited,
        )
        gauges.add(
            "share_refusals",
            "Requests refused by their route's share.",
            lambda: self.sharing.share_refusals,
        )
        gauges.add(
            "room_refusals",
            "Requests refused to keep queues short for more urgent ones.",
            lambda: self.sharing.room_refusals,
        )
        gauges.add(
            "stream_bytes",
            "Responses in memory that are passed on while they arrive.",
            lambda: self.sender.stream_buffers.held_bytes,
        )
        gauges.add(
            "open_streams",
            "Responses that are being passed on while they arrive.",
            lambda: len(self.sender.stream_buffers.open),
        )
        gauges.add(
            "aborted_streams",
            "Callers' connections that were aborted during their response.",
            lambda: self.sender.stream_buffers.aborted,
        )
        gauges.add(
            "range_moves",
            "Key ranges that this placer moved.",
            lambda: self.fleet.placer.moves if self.fleet.placer else 0,
        )

    def _count_invalid_objects(self) -> CounterMetricFamily:
        """Return the counts of stored objects that couldn't be read, by kind."""
        family = CounterMetricFamily(
            "peridot_invalid_objects",
            "Stored objects that couldn't be read or parsed.",
            labels=("kind",),
        )
        watched = (self.configuration, self.targets, self.evacuations)
        for source in filter(None, watched):
            family.add_metric((source.kind,), source.invalid_objects)
        family.add_metric((RECORD_KIND,), self.fleet.invalid_records)
        return family


@asynccontextmanager
async def serve_page(address: str, page: Callable):
    """Serve one HTTP page while the context lasts."""

    async def handle(request: web.BaseRequest) -> web.Response:
        return page(request)

    runner = web.ServerRunner(web.Server(handle, access_log=None), shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, *split_address(address)).start()
        yield
    finally:
        await runner.cleanup()
