"""The daemon peridotd: builds its parts, restarts failed ones, stops gracefully."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from time import monotonic
from uuid import uuid4

from aiohttp import ClientSession
from aiomisc import Service
from prometheus_client.core import CounterMetricFamily, Metric

from peridot_daemon.admin import AdminServer
from peridot_daemon.entry import CallerServer
from peridot_daemon.leases import LeaseClient, LiveVmList
from peridot_daemon.links import GrpcElectionPeers, PeerLinks
from peridot_daemon.metrics import ControlTraffic, Metrics
from peridot_daemon.peers import PeerServer, serve_peers
from peridot_daemon.replica import Replica
from peridot_daemon.settings import Settings
from peridot_daemon.sources import ReplicaSource
from peridot_daemon.status import StatusWriter
from peridot_daemon.tls import PeerTls
from peridot_daemon.topology import ReplicaTopology
from peridot_objects.connections import open_session
from peridot_objects.http_objects import HttpObjectStore
from peridot_objects.vms import HttpVmList
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_placement.errors import ViolationCounter
from peridot_placement.grants import HttpTargetClient
from peridot_placement.hashing import hash_key, rank_by_rendezvous
from peridot_placement.keeper import TermElector
from peridot_placement.permits import LocalTables
from peridot_placement.terms import DaemonInstance
from peridot_resources.catalog import Catalog, Kind, Target
from peridot_routing.fronts import TargetDispatcher
from peridot_routing.router import Router, Vm
from peridot_routing.watcher import TargetWatcher

# Time for load balancers and peers to notice that this VM is leaving.
LEAVE_NOTICE_S = 0.6
DRAIN_POLL_S = 0.02
RESTART_DELAY_S = 0.2


class Daemon(Service):
    """One peridotd process; parts that fail are restarted."""

    settings: Settings
    log: DecisionLog
    flush_log: Callable[[], Coroutine]

    async def start(self) -> None:
        """Build all parts and start listening."""
        settings, log = self.settings, self.log
        self.local_instance = DaemonInstance(
            settings.vm, uuid4().hex, settings.peer_listener
        )
        self.stopped = asyncio.Event()
        self.stack = AsyncExitStack()
        self.tasks: list[asyncio.Task] = []
        tls = PeerTls(settings, log)
        session = await self.stack.enter_async_context(open_session())
        # Responses carry no id: on a kept connection, a late copy of one would count as
        # that to the next call.
        unpooled = await self.stack.enter_async_context(open_session(force_close=True))
        store = HttpObjectStore(unpooled, settings.object_api)
        self.replica = Replica(log)
        self.tables = LocalTables()
        self.live_vm_list = LiveVmList()
        self.traffic = ControlTraffic()
        self.topology = ReplicaTopology(
            settings.vm,
            settings.data_centre,
            settings.peer_listener,
            self.replica,
            self.live_vm_list,
        )
        self.elector = TermElector(
            store,
            GrpcElectionPeers(tls),
            self.local_instance,
            settings.data_centre,
            self._current_catalog,
            self._listed_vm_names,
            log,
        )
        self.dispatcher = TargetDispatcher(self.tables, self._current_catalog)
        await self.stack.enter_async_context(self.dispatcher.run())
        self.watcher = self._build_watcher(session)
        self.topology.watcher = self.watcher
        self.lease_client = LeaseClient(
            self.local_instance,
            self.elector,
            self.tables,
            self.dispatcher,
            self.watcher,
            self.live_vm_list,
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
            self.dispatcher,
            self.links,
            self._current_catalog,
            log,
            random.Random(self.local_instance.instance),
        )
        self.metrics = Metrics()
        self._add_gauges()
        self.caller_server = CallerServer(
            settings, self.router, self._current_catalog, self.metrics
        )
        self.peer_server = PeerServer(
            self.local_instance,
            self.elector,
            self.replica,
            self.router,
            self._current_catalog,
            self.traffic,
        )
        source = ReplicaSource(
            self.replica,
            store,
            HttpVmList(unpooled, settings.vm_list),
            Vm(settings.vm, settings.peer_listener),
            settings.data_centre,
            settings.peers,
            self._live_or_listed_vms,
            tls,
            log,
            self.traffic,
        )
        status = StatusWriter(store, self.elector, self.replica, settings.data_centre)
        await self.stack.enter_async_context(
            serve_peers(self.peer_server, settings.peer_listener, tls)
        )
        admin = AdminServer(
            self.metrics, self.is_ready, self.describe_state, self.explain
        )
        await self.stack.enter_async_context(admin.serve(settings.admin_listener))
        self._start_part("source", source.run)
        self._start_part("terms", self._forward_term_records)
        self._start_part("keeper", self.elector.run)
        self._start_part("lease", self.lease_client.run)
        self._start_part("watcher", lambda: self.watcher.run(settings.data_centre))
        self._start_part("status", status.run)
        self._start_part("tls", tls.run)
        self._start_part("log", self.flush_log)
        self.site = await self.stack.enter_async_context(self.caller_server.serve())
        log.write(
            "started",
            instance=self.local_instance.instance,
            callers=settings.caller_listener,
            peers=settings.peer_listener,
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Finish the requests in flight, resign as placer, and stop."""
        self.log.write("stopping", open_requests=self.caller_server.open_requests)
        deadline = monotonic() + self.settings.stop_timeout_s
        self.caller_server.stopping = True
        self.lease_client.leaving = True
        self.lease_client.request_renewal()
        await asyncio.sleep(min(LEAVE_NOTICE_S, self.settings.stop_timeout_s))
        self.elector.leaving = True
        await self.site.stop()
        while self._has_unfinished_work() and monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_S)
        unfinished = self.caller_server.open_requests + self.peer_server.open_forwards
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.stack.aclose()
        self.log.write("stopped", cut_requests=unfinished)

    def is_ready(self) -> bool:
        """Return whether this VM can take callers' requests."""
        return (
            self.replica.loaded
            and self.live_vm_list.version > 0
            and not self.caller_server.stopping
        )

    def describe_state(self) -> dict[str, object]:
        """Return this VM's view of the configuration, the term and its peers."""
        record = self.elector.record
        return {
            "vm": self.local_instance.vm,
            "instance": self.local_instance.instance,
            "data_centre": self.settings.data_centre,
            "configuration_revision": self.replica.catalog.revision,
            "replica_revision": self.replica.revision,
            "replica_age_s": round(min(self.replica.age_s, 1e9), 3),
            "term": record.number if record else None,
            "term_holder": record.holder.vm if record else None,
            "holds_term": self.elector.holds_term,
            "epoch": self.tables.epoch,
            "permit_left_s": round(
                max(0.0, self.tables.permit.valid_until - boot_time()), 3
            ),
            "live_vms": [vm.name for vm in self.live_vm_list.vms],
            "lost_targets": sorted(self.watcher.lost_targets()),
        }

    def explain(self, service_name: str, key: str) -> dict[str, object]:
        """Return the home, owner and front that this VM would route a key to."""
        service = self.replica.catalog.services.get(service_name)
        home_table = self.replica.homes.get(service_name)
        if service is None:
            return {"error": f"no service named {service_name}"}
        if not service.divided_by_key or home_table is None:
            return {"service": service_name, "owner": None, "reason": "not divided"}
        key_hash = hash_key(key)
        home = home_table.find(key_hash)
        is_local = home == self.settings.data_centre
        assignment = (
            self.tables.assignments.get(service_name)
            if is_local
            else self.topology.remote_assignment(service_name, home)
        )
        if assignment is None:
            return {"service": service_name, "home": home, "reason": "not assigned yet"}
        key_slice = assignment.table.slice_at(assignment.table.find(key_hash))
        _, vms = self.topology.live_vms(home)
        fronts = rank_by_rendezvous([vm.name for vm in vms], key_slice.owner or "")
        return {
            "service": service_name,
            "key_hash": f"{key_hash:016x}",
            "home": home,
            "slice": f"{key_slice.range.start:016x}",
            "owner": key_slice.owner,
            "next_owner": key_slice.next_owner,
            "epoch": assignment.epoch,
            "front": fronts[0] if fronts else None,
            "reason": "moving" if key_slice.next_owner else "settled",
        }

    def _build_watcher(self, session: ClientSession) -> TargetWatcher:
        return TargetWatcher(
            HttpTargetClient(session),
            self.tables,
            self._current_catalog,
            self._is_front,
            lambda: self.live_vm_list.version,
            self.dispatcher.set_lost,
            self.dispatcher.cancel_attempts,
            self.dispatcher.in_flight.expire_attempts,
            lambda: self.lease_client.request_renewal(),
            self.log,
        )

    def _current_catalog(self) -> Catalog:
        return self.replica.catalog

    def _listed_vm_names(self) -> list[str]:
        vms = self.topology.listed_vms(self.settings.data_centre)
        return [vm.name for vm in vms]

    def _live_or_listed_vms(self) -> list[Vm]:
        if self.live_vm_list.vms:
            return self.live_vm_list.vms
        return self.topology.listed_vms(self.settings.data_centre)

    def _is_front(self, target: Target) -> bool:
        """Return whether this VM is the front, which all requests of a target pass."""
        names = [vm.name for vm in self.live_vm_list.vms]
        return (
            bool(names)
            and rank_by_rendezvous(names, target.name)[0] == self.local_instance.vm
        )

    async def _forward_term_records(self) -> None:
        """Pass term records from the replica to the elector unless this VM leads."""
        while True:
            changed = self.replica.changed.next
            term_record = self.replica.get(Kind.TERM, self.settings.data_centre)
            if term_record is not None and not self.elector.holds_term:
                self.elector.observe_record(term_record)
            await changed.wait()

    def _start_part(self, name: str, run: Callable[[], Coroutine]) -> None:
        self.tasks.append(
            asyncio.create_task(self._run_with_restarts(name, run), name=name)
        )

    async def _run_with_restarts(self, name: str, run: Callable[[], Coroutine]) -> None:
        """Run a part until it returns, restarting it after each failure."""
        while True:
            try:
                await run()
                return
            except asyncio.CancelledError:
                raise
            except Exception as error:
                self.log.write("part_failed", part=name, error=repr(error))
                await asyncio.sleep(RESTART_DELAY_S)

    def _has_unfinished_work(self) -> bool:
        in_flight = self.caller_server.open_requests + self.peer_server.open_forwards
        return bool(in_flight) or self.elector.holds_term

    def _collect_target_answers(self) -> Metric:
        family = CounterMetricFamily(
            "peridot_target_answers",
            "Responses of the targets that this VM is the front of.",
            labels=("service", "target"),
        )
        for name, channel in self.dispatcher.channels.items():
            family.add_metric((channel.target.service, name), channel.answers)
        return family

    def _collect_owner_waits(self) -> Metric:
        family = CounterMetricFamily(
            "peridot_owner_wait_seconds",
            "Time during which at least one request waited for a slice's owner.",
            labels=("service",),
        )
        for service, meter in self.router.owner_waits.items():
            family.add_metric((service,), meter.total_s())
        return family

    def _add_gauges(self) -> None:
        gauges = self.metrics.gauges
        gauges.add_family(self._collect_target_answers)
        gauges.add_family(self._collect_owner_waits)
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
            "Updates refused because their revision was older.",
            lambda: self.replica.reverts_refused,
        )
        gauges.add(
            "objects_refused",
            "Stored objects that couldn't be read or parsed, at each attempt.",
            lambda: self.replica.objects_refused,
        )
        gauges.add(
            "term_held",
            "1 if this VM is the placer, otherwise 0.",
            lambda: self.elector.holds_term,
        )
        gauges.add(
            "permit_seconds",
            "Time until the permit expires.",
            lambda: max(0.0, self.tables.permit.valid_until - boot_time()),
        )
        gauges.add(
            "flights",
            "Attempts that targets may still be running.",
            lambda: len(self.dispatcher.in_flight.attempts),
        )
        gauges.add(
            "control_messages",
            "Control messages sent and received.",
            lambda: self.traffic.messages,
        )
        gauges.add(
            "control_bytes",
            "Bytes of control messages, without transport overhead.",
            lambda: self.traffic.bytes,
        )
        gauges.add(
            "invariant_violations",
            "Invariant violations; any is a bug.",
            lambda: ViolationCounter.total,
        )
        gauges.add("attempts", "Attempts made.", lambda: self.router.attempts)
        gauges.add("retries", "Retries made.", lambda: self.router.retries)
        gauges.add(
            "slice_moves",
            "Slice moves completed by this placer.",
            lambda: (
                self.elector.placer.placement.counts.completed_moves
                if self.elector.placer
                else 0
            ),
        )
