"""Client of peridotd's placer: renews this VM's permit and receives tables.

The placer is the leader of a data centre and assigns hash slices to targets. A permit
is a VM's lease to send requests to targets by the placer's tables.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from peridot_daemon.links import LINK_ERRORS, open_channel, open_stream
from peridot_daemon.metrics import ControlTraffic
from peridot_daemon.tls import PeerTls
from peridot_placement.assignments import parse_assignment
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_placement.errors import check_invariant
from peridot_placement.keeper import TermElector
from peridot_placement.loads import LoadMeter, to_rate
from peridot_placement.permits import LocalTables
from peridot_placement.signals import wait_for_event
from peridot_placement.terms import DaemonInstance
from peridot_routing.fronts import TargetDispatcher
from peridot_routing.router import Vm
from peridot_routing.watcher import TargetWatcher
from peridot_wire import peridot_pb2 as pb

RENEWAL_PERIOD_S = 0.15
# Renewals are more frequent while requests run at targets that no longer own their
# keys, so that the placer soon learns when these have finished.
BUSY_RENEWAL_PERIOD_S = 0.02
LOAD_REPORT_PERIOD_S = 1.0
RECONNECT_DELAY_S = 0.02
REPLY_TIMEOUT_S = 0.35
# An address that timed out is skipped for this long.
UNRESPONSIVE_BACKOFF_S = 1.0
MAX_PENDING_REQUESTS = 64


@dataclass
class LiveVmList:
    """The placer's list of live VMs, with the term and version it was sent under."""

    term: int = 0
    version: int = 0
    vms: list[Vm] = field(default_factory=list)


@dataclass
class LeaseClient:
    """Renew this VM's permit with the placer of its data centre."""

    local_instance: DaemonInstance
    elector: TermElector
    tables: LocalTables
    dispatcher: TargetDispatcher
    watcher: TargetWatcher
    live_vm_list: LiveVmList
    config_revision: Callable[[], int]
    tls: PeerTls
    log: DecisionLog
    traffic: ControlTraffic = field(default_factory=ControlTraffic)
    leaving: bool = False
    renew_now: asyncio.Event = field(default_factory=asyncio.Event)
    request_ids: count = field(default_factory=lambda: count(1))
    # Send times of lease requests by id (s, boot clock).
    sent_at: dict[int, float] = field(default_factory=dict)
    stream_opened_at: float = float("-inf")
    loads_sent_at: float = float("-inf")
    redirect_address: str = ""
    backoff_until: dict[str, float] = field(default_factory=dict)

    async def run(self) -> None:
        """Renew the permit until cancelled, trying one address after another."""
        attempt = 0
        while True:
            addresses = self._preferred_addresses()
            if addresses:
                address = self.redirect_address or addresses[attempt % len(addresses)]
                self.redirect_address = ""
                attempt += 1
                if await self._renew_until_term_changes(address):
                    attempt = 0
            await asyncio.sleep(RECONNECT_DELAY_S)

    def _preferred_addresses(self) -> list[str]:
        """Return the lease addresses without those that timed out lately."""
        addresses = self.elector.lease_addresses()
        now = boot_time()
        responsive = [
            address
            for address in addresses
            if self.backoff_until.get(address, 0.0) <= now
        ]
        return responsive or addresses

    async def _renew_until_term_changes(self, address: str) -> bool:
        """Renew at an address until it fails; return whether a new term began."""
        term_changed = self.elector.term_changed.next
        renewing = asyncio.create_task(self._renew_at(address))
        waiting = asyncio.create_task(term_changed.wait())
        try:
            await asyncio.wait((renewing, waiting), return_when=asyncio.FIRST_COMPLETED)
        finally:
            renewing.cancel()
            waiting.cancel()
            (outcome, _) = await asyncio.gather(
                renewing, waiting, return_exceptions=True
            )
        if isinstance(outcome, ConnectionRefusedError):
            if self.elector.record and address == self.elector.record.holder.address:
                self.elector.record_connection_refused()
        elif isinstance(outcome, TimeoutError):
            self.backoff_until[address] = boot_time() + UNRESPONSIVE_BACKOFF_S
        elif isinstance(outcome, Exception) and not isinstance(outcome, LINK_ERRORS):
            raise outcome
        return term_changed.is_set()

    def request_renewal(self) -> None:
        """Send the next lease request at once."""
        self.renew_now.set()

    async def _renew_at(self, address: str) -> None:
        """Renew at one address for as long as it replies as the placer."""
        async with open_channel(address, self.tls) as stub:
            async with open_stream(stub.Lease) as stream:
                self.stream_opened_at = boot_time()
                async with asyncio.timeout(REPLY_TIMEOUT_S):
                    await stream.send_request()
                sender = asyncio.create_task(self._send_requests(stream))
                try:
                    await self._read_replies(stream)
                finally:
                    sender.cancel()

    async def _read_replies(self, stream) -> None:
        while True:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                reply = await stream.recv_message()
            if reply is None:
                return
            self.traffic.count(reply)
            if not self._apply_reply(reply):
                return

    async def _send_requests(self, stream) -> None:
        while True:
            self.renew_now.clear()
            request = self._build_request()
            self.traffic.count(request)
            await stream.send_message(request)
            period = BUSY_RENEWAL_PERIOD_S if request.busy else RENEWAL_PERIOD_S
            await wait_for_event(self.renew_now, period)

    def _build_request(self) -> pb.LeaseAsk:
        now = boot_time()
        term, sequence = self.tables.epoch
        request = pb.LeaseAsk(
            vm=self.local_instance.vm,
            instance=self.local_instance.instance,
            peer_address=self.local_instance.address,
            ask_id=next(self.request_ids),
            term=term,
            applied_sequence=sequence,
            leaving=self.leaving,
            lost_targets=sorted(self.watcher.lost_targets()),
            config_revision=self.config_revision(),
            live_version=self.live_vm_list.version
            if term == self.live_vm_list.term
            else 0,
        )
        busy_ranges = self.dispatcher.in_flight.busy_ranges(self.tables)
        for busy in busy_ranges + self.watcher.busy_ranges():
            request.busy.add(
                service=busy.service, start=busy.range.start, last=busy.range.end - 1
            )
        if now - self.loads_sent_at > LOAD_REPORT_PERIOD_S:
            self.loads_sent_at = now
            for target, latency_s in self.dispatcher.recent_latencies_s().items():
                request.latencies.add(target=target, latency_ms=latency_s * 1000)
            for service, meter in self.dispatcher.load_meters.items():
                _add_loads(request, service, meter, now)
        self.sent_at[request.ask_id] = now
        while len(self.sent_at) > MAX_PENDING_REQUESTS:
            del self.sent_at[next(iter(self.sent_at))]
        return request

    def _apply_reply(self, reply: pb.LeaseReply) -> bool:
        """Apply a lease reply; return False to stop renewing at its sender."""
        if reply.holder_address:
            if self.backoff_until.get(reply.holder_address, 0.0) <= boot_time():
                self.redirect_address = reply.holder_address
            return False
        if not reply.term:
            return True
        epoch = (reply.term, reply.sequence)
        previous_epoch = self.tables.epoch
        assignments = [parse_assignment(table.assignment) for table in reply.tables]
        if not self.tables.apply(epoch, assignments):
            return False
        check_invariant(
            self.tables.epoch >= previous_epoch, "epochs_rise", f"{previous_epoch}"
        )
        sent_at = self.sent_at.pop(reply.ask_id, None)
        if reply.granted and sent_at is not None:
            self.tables.permit.extend(reply.term, sent_at, reply.permit_ms / 1000)
        if reply.live:
            self.live_vm_list.term = reply.term
            self.live_vm_list.version = reply.live_version
            self.live_vm_list.vms = [Vm(vm.name, vm.peer_address) for vm in reply.live]
        self.elector.record_heartbeat()
        if self.tables.epoch != previous_epoch:
            self.request_renewal()
        return True


def _add_loads(
    request: pb.LeaseAsk, service: str, meter: LoadMeter, now: float
) -> None:
    meter.decay(now)
    hot_keys = dict(meter.keys.hottest())
    first = True
    for start, rate in meter.rates().items():
        load = request.loads.add(service=service, start=start, rate=rate)
        # Hot keys belong to the whole service, so its first slice carries them.
        if first:
            for key_hash, key_count in hot_keys.items():
                load.hot_keys.add(key_hash=key_hash, rate=to_rate(key_count))
        first = False
