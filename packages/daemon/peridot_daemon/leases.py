"""Lease client: keeps this VM's permit alive and takes in tables."""

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
from peridot_placement.keeper import TermKeeper
from peridot_placement.loads import LoadMeter, to_rate
from peridot_placement.permits import LocalTables
from peridot_placement.signals import wait_for_event
from peridot_placement.terms import Candidate
from peridot_routing.fronts import Fronts
from peridot_routing.router import Vm
from peridot_routing.watcher import TargetWatcher
from peridot_wire import peridot_pb2 as pb

ASK_PERIOD_S = 0.15
BUSY_PERIOD_S = 0.02
LOAD_PERIOD_S = 1.0
RECONNECT_PAUSE_S = 0.02
REPLY_TIMEOUT_S = 0.35
# An address that didn't answer is passed over for this long.
AVOID_SILENT_S = 1.0
REMEMBERED_ASKS = 64


@dataclass
class LiveView:
    """Hold the VMs that the placer says are live."""

    term: int = 0
    version: int = 0
    vms: list[Vm] = field(default_factory=list)


@dataclass
class LeaseClient:
    """Ask the placer for permits, over and over."""

    me: Candidate
    keeper: TermKeeper
    tables: LocalTables
    fronts: Fronts
    watcher: TargetWatcher
    live: LiveView
    config_revision: Callable[[], int]
    tls: PeerTls
    log: DecisionLog
    traffic: ControlTraffic = field(default_factory=ControlTraffic)
    leaving: bool = False
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    ask_ids: count = field(default_factory=lambda: count(1))
    asked_at: dict[int, float] = field(default_factory=dict)
    replied_at: float = float("-inf")
    loads_sent_at: float = float("-inf")
    next_address: str = ""
    silent_until: dict[str, float] = field(default_factory=dict)

    async def run(self) -> None:
        """Keep asking, at one candidate after another, until cancelled."""
        turn = 0
        while True:
            addresses = self._addresses()
            if addresses:
                address = self.next_address or addresses[turn % len(addresses)]
                self.next_address = ""
                turn += 1
                if await self._ask_until_term_changes(address):
                    turn = 0
            await asyncio.sleep(RECONNECT_PAUSE_S)

    def _addresses(self) -> list[str]:
        """Return where to ask, without those that were silent just now."""
        addresses = self.keeper.addresses_to_ask()
        now = boot_time()
        fresh = [item for item in addresses if self.silent_until.get(item, 0.0) <= now]
        return fresh or addresses

    async def _ask_until_term_changes(self, address: str) -> bool:
        """Ask at an address until it fails; tell whether a new term began."""
        changed = self.keeper.term_changed.next
        asking = asyncio.create_task(self._ask_at(address))
        waiting = asyncio.create_task(changed.wait())
        try:
            await asyncio.wait((asking, waiting), return_when=asyncio.FIRST_COMPLETED)
        finally:
            asking.cancel()
            waiting.cancel()
            (outcome, _) = await asyncio.gather(asking, waiting, return_exceptions=True)
        if isinstance(outcome, ConnectionRefusedError):
            if self.keeper.record and address == self.keeper.record.holder.address:
                self.keeper.note_holder_refused()
        elif isinstance(outcome, TimeoutError):
            self.silent_until[address] = boot_time() + AVOID_SILENT_S
        elif isinstance(outcome, Exception) and not isinstance(outcome, LINK_ERRORS):
            raise outcome
        return changed.is_set()

    def request_ask(self) -> None:
        """Have the next ask go out at once."""
        self.wake.set()

    async def _ask_at(self, address: str) -> None:
        """Ask at one address for as long as it answers as the placer."""
        async with open_channel(address, self.tls) as stub:
            async with open_stream(stub.Lease) as stream:
                self.replied_at = boot_time()
                async with asyncio.timeout(REPLY_TIMEOUT_S):
                    await stream.send_request()
                asker = asyncio.create_task(self._send_asks(stream))
                try:
                    await self._read_replies(stream)
                finally:
                    asker.cancel()

    async def _read_replies(self, stream) -> None:
        while True:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                reply = await stream.recv_message()
            if reply is None:
                return
            self.traffic.count(reply)
            if not self._take(reply):
                return

    async def _send_asks(self, stream) -> None:
        while True:
            self.wake.clear()
            ask = self._build_ask()
            self.traffic.count(ask)
            await stream.send_message(ask)
            period = BUSY_PERIOD_S if ask.busy else ASK_PERIOD_S
            await wait_for_event(self.wake, period)

    def _build_ask(self) -> pb.LeaseAsk:
        now = boot_time()
        term, sequence = self.tables.epoch
        ask = pb.LeaseAsk(
            vm=self.me.vm,
            instance=self.me.instance,
            peer_address=self.me.address,
            ask_id=next(self.ask_ids),
            term=term,
            applied_sequence=sequence,
            leaving=self.leaving,
            lost_targets=sorted(self.watcher.lost_targets()),
            config_revision=self.config_revision(),
            live_version=self.live.version if term == self.live.term else 0,
        )
        busy = self.fronts.tracker.busy_ranges(self.tables)
        for item in busy + self.watcher.busy_ranges():
            ask.busy.add(
                service=item.service, start=item.range.start, last=item.range.end - 1
            )
        if now - self.loads_sent_at > LOAD_PERIOD_S:
            self.loads_sent_at = now
            for target, latency_s in self.fronts.latencies_s().items():
                ask.latencies.add(target=target, latency_ms=latency_s * 1000)
            for service, meter in self.fronts.meters.items():
                _add_loads(ask, service, meter, now)
        self.asked_at[ask.ask_id] = now
        while len(self.asked_at) > REMEMBERED_ASKS:
            del self.asked_at[next(iter(self.asked_at))]
        return ask

    def _take(self, reply: pb.LeaseReply) -> bool:
        """Take in a reply; tell whether its sender is the placer."""
        if reply.holder_address:
            if self.silent_until.get(reply.holder_address, 0.0) <= boot_time():
                self.next_address = reply.holder_address
            return False
        if not reply.term:
            return True
        epoch = (reply.term, reply.sequence)
        before = self.tables.epoch
        changed = [parse_assignment(table.assignment) for table in reply.tables]
        if not self.tables.apply(epoch, changed):
            return False
        check_invariant(self.tables.epoch >= before, "epochs_rise", f"{before}")
        asked_at = self.asked_at.pop(reply.ask_id, None)
        if reply.granted and asked_at is not None:
            self.tables.permit.extend(reply.term, asked_at, reply.permit_ms / 1000)
        if reply.live:
            self.live.term = reply.term
            self.live.version = reply.live_version
            self.live.vms = [Vm(item.name, item.peer_address) for item in reply.live]
        self.keeper.hear_from_holder()
        if self.tables.epoch != before:
            self.request_ask()
        return True


def _add_loads(ask: pb.LeaseAsk, service: str, meter: LoadMeter, now: float) -> None:
    meter.decay(now)
    hot = dict(meter.keys.hottest())
    first = True
    for start, rate in meter.rates().items():
        load = ask.loads.add(service=service, start=start, rate=rate)
        if first:
            for key_hash, key_count in hot.items():
                load.hot_keys.add(key_hash=key_hash, rate=to_rate(key_count))
        first = False
