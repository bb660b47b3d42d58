"""The daemon: builds its parts, runs them, and stops them gracefully."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from time import monotonic
from uuid import uuid4

from aiohttp import ClientSession, DummyCookieJar, TCPConnector
from aiomisc import Service
from prometheus_client.core import CounterMetricFamily, Metric

from peridot_daemon.admin import Admin
from peridot_daemon.entry import Entry
from peridot_daemon.leases import LeaseClient, LiveView
from peridot_daemon.links import PeerLinks, RemoteTermPeers
from peridot_daemon.metrics import ControlTraffic, Metrics
from peridot_daemon.peers import PeerServer, serve_peers
from peridot_daemon.replica import Replica
from peridot_daemon.settings import Settings
from peridot_daemon.sources import ReplicaSource
from peridot_daemon.status import StatusWriter
from peridot_daemon.tls import PeerTls
from peridot_daemon.topology import ReplicaTopology
from peridot_objects.http_objects import HttpObjectStore
from peridot_objects.vms import HttpVmList
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_placement.errors import ViolationCounter
from peridot_placement.grants import HttpTargetControl
from peridot_placement.hashing import hash_key, rank_by_rendezvous
from peridot_placement.keeper import TermKeeper
from peridot_placement.permits import LocalTables
from peridot_placement.terms import Candidate
from peridot_resources.catalog import Catalog, Kind, Target
from peridot_routing.fronts import Fronts
from peridot_routing.router import Router, Vm
from peridot_routing.watcher import TargetWatcher

# Time for balancers and peers to notice that this VM is leaving.
NOTICE_S = 0.6
DRAIN_POLL_S = 0.02
RESTART_PAUSE_S = 0.2


class Daemon(Service):
    """Hold the parts of one daemon; a part that fails is started again."""

    settings: Settings
    log: DecisionLog
    flush_log: Callable[[], Coroutine]

    async def start(self) -> None:
        """Build all parts and start listening."""
        settings, log = self.settings, self.log
        self.me = Candidate(settings.vm, uuid4().hex, settings.peer_listener)
        self.stopped = asyncio.Event()
        self.stack = AsyncExitStack()
        self.tasks: list[asyncio.Task] = []
        tls = PeerTls(settings, log)
        session = await self.stack.enter_async_context(
            ClientSession(connector=TCPConnector(limit=0), cookie_jar=DummyCookieJar())
        )
        store = HttpObjectStore(session, settings.object_api)
        self.replica = Replica(log)
        self.tables = LocalTables()
        self.live = LiveView()
        self.traffic = ControlTraffic()
        self.topology = ReplicaTopology(
            settings.vm,
            settings.data_centre,
            settings.peer_listener,
            self.replica,
            self.live,
        )
        self.keeper = TermKeeper(
            store,
            RemoteTermPeers(tls),
            self.me,
            settings.data_centre,
            self._catalog,
            self._listed_names,
            log,
        )
        self.fronts = Fronts(self.tables, self._catalog)
        await self.stack.enter_async_context(self.fronts.run())
        self.watcher = self._build_watcher(session)
        self.topology.watcher = self.watcher
        self.lease = LeaseClient(
            self.me,
            self.keeper,
            self.tables,
            self.fronts,
            self.watcher,
            self.live,
            lambda: self.replica.catalog.revision,
            tls,
            log,
            self.traffic,
        )
        self.links = PeerLinks(tls)
        self.stack.push_async_callback(self.links.close)
        self.router = Router(
            self.topology,
            self.tables,
            self.fronts,
            self.links,
            self._catalog,
            log,
            random.Random(self.me.instance),
        )
        self.metrics = Metrics()
        self._add_gauges()
        self.entry = Entry(settings, self.router, self._catalog, self.metrics)
        self.peer_server = PeerServer(
            self.me,
            self.keeper,
            self.replica,
            self.router,
            self._catalog,
            self.traffic,
        )
        source = ReplicaSource(
            self.replica,
            store,
            HttpVmList(session, settings.vm_list),
            Vm(settings.vm, settings.peer_listener),
            settings.data_centre,
            settings.peers,
            self._known_vms,
            tls,
            log,
            self.traffic,
        )
        status = StatusWriter(store, self.keeper, self.replica, settings.data_centre)
        await self.stack.enter_async_context(
            serve_peers(self.peer_server, settings.peer_listener, tls)
        )
        admin = Admin(self.metrics, self.is_ready, self.describe, self.explain)
        await self.stack.enter_async_context(admin.serve(settings.admin_listener))
        self._run_part("source", source.run)
        self._run_part("terms", self._follow_terms)
        self._run_part("keeper", self.keeper.run)
        self._run_part("lease", self.lease.run)
        self._run_part("watcher", lambda: self.watcher.run(settings.data_centre))
        self._run_part("status", status.run)
        self._run_part("tls", tls.run)
        self._run_part("log", self.flush_log)
        self.site = await self.stack.enter_async_context(self.entry.serve())
        log.write(
            "started",
            instance=self.me.instance,
            callers=settings.caller_listener,
            peers=settings.peer_listener,
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Finish the requests in flight, hand over, and stop."""
        self.log.write("stopping", open_requests=self.entry.open_requests)
        ends = monotonic() + self.settings.stop_timeout_s
        self.entry.stopping = True
        self.lease.leaving = True
        self.lease.request_ask()
        await asyncio.sleep(min(NOTICE_S, self.settings.stop_timeout_s))
        self.keeper.leaving = True
        await self.site.stop()
        while self._busy() and monotonic() < ends:
            await asyncio.sleep(DRAIN_POLL_S)
        left = self.entry.open_requests + self.peer_server.forwarded
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.stack.aclose()
        self.log.write("stopped", cut_requests=left)

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.replica.loaded and self.live.version > 0 and not self.entry.stopping

    def describe(self) -> dict[str, object]:
        """Return what this VM knows, for operators."""
        record = self.keeper.record
        return {
            "vm": self.me.vm,
            "instance": self.me.instance,
            "data_centre": self.settings.data_centre,
            "configuration_revision": self.replica.catalog.revision,
            "replica_revision": self.replica.revision,
            "replica_age_s": round(min(self.replica.age_s, 1e9), 3),
            "term": record.number if record else None,
            "term_holder": record.holder.vm if record else None,
            "holds_term": self.keeper.holds_term,
            "epoch": self.tables.epoch,
            "permit_left_s": round(
                max(0.0, self.tables.permit.valid_until - boot_time()), 3
            ),
            "live_vms": [vm.name for vm in self.live.vms],
            "lost_targets": sorted(self.watcher.lost_targets()),
        }

    def explain(self, service_name: str, key: str) -> dict[str, object]:
        """Return where a key's requests go from here, and why."""
        service = self.replica.catalog.services.get(service_name)
        homes = self.replica.homes.get(service_name)
        if service is None:
            return {"error": f"no service named {service_name}"}
        if not service.divided_by_key or homes is None:
            return {"service": service_name, "owner": None, "reason": "not divided"}
        key_hash = hash_key(key)
        home = homes.find(key_hash)
        local = home == self.settings.data_centre
        assignment = (
            self.tables.assignments.get(service_name)
            if local
            else self.topology.remote_assignment(service_name, home)
        )
        if assignment is None:
            return {"service": service_name, "home": home, "reason": "not assigned yet"}
        found = assignment.table.slice_at(assignment.table.find(key_hash))
        _, vms = self.topology.live_vms(home)
        fronts = rank_by_rendezvous([vm.name for vm in vms], found.owner or "")
        return {
            "service": service_name,
            "key_hash": f"{key_hash:016x}",
            "home": home,
            "slice": f"{found.range.start:016x}",
            "owner": found.owner,
            "next_owner": found.next_owner,
            "epoch": assignment.epoch,
            "front": fronts[0] if fronts else None,
            "reason": "moving" if found.next_owner else "settled",
        }

    def _build_watcher(self, session: ClientSession) -> TargetWatcher:
        return TargetWatcher(
            HttpTargetControl(session),
            self.tables,
            self._catalog,
            self._is_front,
            lambda: self.live.version,
            self.fronts.set_lost,
            self.fronts.abandon,
            self.fronts.tracker.forget_target,
            lambda: self.lease.request_ask(),
            self.log,
        )

    def _catalog(self) -> Catalog:
        return self.replica.catalog

    def _listed_names(self) -> list[str]:
        vms = self.topology.listed_vms(self.settings.data_centre)
        return [vm.name for vm in vms]

    def _known_vms(self) -> list[Vm]:
        if self.live.vms:
            return self.live.vms
        return self.topology.listed_vms(self.settings.data_centre)

    def _is_front(self, target: Target) -> bool:
        """Tell whether this VM fronts a target."""
        names = [vm.name for vm in self.live.vms]
        return bool(names) and rank_by_rendezvous(names, target.name)[0] == self.me.vm

    async def _follow_terms(self) -> None:
        """Tell the keeper of terms that the replica learns."""
        while True:
            changed = self.replica.changed.next
            stored = self.replica.stored(Kind.TERM, self.settings.data_centre)
            if stored is not None and not self.keeper.holds_term:
                self.keeper.take_record(stored)
            await changed.wait()

    def _run_part(self, name: str, run: Callable[[], Coroutine]) -> None:
        self.tasks.append(asyncio.create_task(self._restart(name, run), name=name))

    async def _restart(self, name: str, run: Callable[[], Coroutine]) -> None:
        """Run a part again whenever it fails."""
        while True:
            try:
                await run()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                self.log.write("part_failed", part=name, error=repr(error))
                await asyncio.sleep(RESTART_PAUSE_S)

    def _busy(self) -> bool:
        in_flight = self.entry.open_requests + self.peer_server.forwarded
        return bool(in_flight) or self.keeper.holds_term

    def _target_answers(self) -> Metric:
        family = CounterMetricFamily(
            "peridot_target_answers",
            "Answers of the targets that this VM fronts.",
            labels=("service", "target"),
        )
        for name, front in self.fronts.fronts.items():
            family.add_metric((front.target.service, name), front.answers)
        return family

    def _owner_waits(self) -> Metric:
        family = CounterMetricFamily(
            "peridot_owner_wait_seconds",
            "Time in which requests waited for a slice's owner.",
            labels=("service",),
        )
        for service, meter in self.router.outages.items():
            family.add_metric((service,), meter.seconds())
        return family

    def _add_gauges(self) -> None:
        gauges = self.metrics.gauges
        gauges.add_family(self._target_answers)
        gauges.add_family(self._owner_waits)
        gauges.add(
            "configuration_revision",
            "Revision of the configuration in force here.",
            lambda: self.replica.catalog.revision,
        )
        gauges.add(
            "replica_age_seconds",
            "Time since the replica was known to be current.",
            lambda: min(self.replica.age_s, 1e9),
        )
        gauges.add(
            "reverts_refused",
            "Older revisions that were refused.",
            lambda: self.replica.reverts_refused,
        )
        gauges.add("term_held", "1 on the placer.", lambda: self.keeper.holds_term)
        gauges.add(
            "permit_seconds",
            "Time left on the permit.",
            lambda: max(0.0, self.tables.permit.valid_until - boot_time()),
        )
        gauges.add(
            "flights", "Attempts in flight.", lambda: len(self.fronts.tracker.flights)
        )
        gauges.add(
            "control_messages",
            "Messages of control sent and received.",
            lambda: self.traffic.messages,
        )
        gauges.add(
            "control_bytes",
            "Bytes of control messages, without what transports add.",
            lambda: self.traffic.bytes,
        )
        gauges.add(
            "invariant_violations",
            "Invariants found broken; any is a bug.",
            lambda: ViolationCounter.total,
        )
        gauges.add("attempts", "Attempts made.", lambda: self.router.attempts)
        gauges.add("retries", "Retries made.", lambda: self.router.retries)
        gauges.add(
            "slice_moves",
            "Moves settled by this placer.",
            lambda: (
                self.keeper.placer.shared.counts.settled if self.keeper.placer else 0
            ),
        )
