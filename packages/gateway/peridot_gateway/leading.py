"""LeaderRole: the placer (leader) that runs on this VM and its members."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from time import monotonic

from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.links import REPORT_PERIOD_S
from peridot_gateway.messages import parse_tables, serialize_resignation
from peridot_gateway.owners import Owners
from peridot_gateway.roster import Peers, Roster
from peridot_gateway.states import SentState, StateWriter
from peridot_ownership.errors import TermLost
from peridot_ownership.placer import Placer
from peridot_ownership.record import DaemonInstance
from peridot_ownership.recorder import RecordWriter
from peridot_ownership.rights import EarlierLeases
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_placement.signals import ChangeSignal
from peridot_wire import peridot_pb2 as pb

# A placer that can't reach the store resigns after this time if a member can. Members
# need it to probe the store and to report the result.
RESIGN_DELAY_S = 1.0
LEADER_CHECK_PERIOD_S = 0.1


class LeaderRole:
    """Run the placer while this VM holds the term, and serve its members."""

    def __init__(
        self,
        local_instance: DaemonInstance,
        load: FleetLoad,
        owners: Owners,
        peers: Peers,
        log: DecisionLog,
        report_locally: Callable[[], None],
    ) -> None:
        self.local_instance = local_instance
        self.load = load
        self.owners = owners
        self.peers = peers
        self.log = log
        self.report_locally = report_locally
        self.placer: Placer | None = None
        self.roster = Roster()
        self.states = StateWriter(local_instance, self.roster, load)
        self.changed = ChangeSignal()
        self.leaving = False
        self.has_resigned = False
        # Term and leases at the time (s) of a resignation, for the successor.
        self.resignation: tuple[int, EarlierLeases, float] | None = None

    def has_majority(self) -> bool:
        """Return whether a majority of VMs, this one included, reports here."""
        return 2 * self.roster.fresh_count() >= self.peers.peak_count - 1

    async def lead(self, placer: Placer) -> None:
        """Run a term until it is lost or this VM resigns."""
        self.has_resigned = False
        self.resignation = None
        self.roster.clear()
        async with AsyncExitStack() as stack:
            writer_task = asyncio.create_task(placer.record_writer.run())
            stack.callback(writer_task.cancel)
            await stack.enter_async_context(placer.run())
            self.placer = placer
            try:
                await self._serve_term(placer)
            finally:
                self._save_resignation(placer)
                self.placer = None
                self.changed.notify()
        self.log.write("term_ended", term=placer.record.term)

    def _save_resignation(self, placer: Placer) -> None:
        """Keep the leases for a successor, unless the term was lost to one."""
        if not placer.record_writer.ended.done():
            placer.record_writer.end_term(TermLost("resigned here"))
            earlier_leases = placer.lease_manager.export_leases()
            self.resignation = placer.record.term, earlier_leases, boot_time()

    async def _serve_term(self, placer: Placer) -> None:
        next_report = 0.0
        while not placer.record_writer.ended.done():
            if self._should_resign(placer.record_writer):
                self.has_resigned = True
                return
            changed = placer.changed.next
            if monotonic() >= next_report:
                self.report_locally()
                next_report = monotonic() + REPORT_PERIOD_S
            self._apply_tables(placer)
            self.changed.notify()
            await self._wait_for_change(changed)

    async def _wait_for_change(self, changed: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(LEADER_CHECK_PERIOD_S):
                await changed.wait()
        except TimeoutError:
            return

    def _should_resign(self, record_writer: RecordWriter) -> bool:
        if self.leaving:
            return self.roster.any_staying()
        if not record_writer.store_lost:
            return False
        unreachable_s = boot_time() - record_writer.store_lost_at
        return unreachable_s > RESIGN_DELAY_S and self.roster.any_reaches_store()

    def _apply_tables(self, placer: Placer) -> None:
        term, sequence = placer.record.term, placer.sequence
        if (term, sequence) > (self.owners.term, self.owners.sequence):
            tables = parse_tables(self.states.current_tables(placer))
            self.owners.update(term, sequence, tables)

    # Serving members.

    def handle_report(self, report: pb.FleetReport) -> bool:
        """Record a member's report; return whether it waits for a state."""
        if self.roster.record_report(report) and self.placer is not None:
            self.log.write("member_joined", vm=report.vm)
        self.load.record_report(report)
        return self.load.cold is not None and self.load.cold.has_demand(report.vm)

    def remove_member(self, vm: str, instance: str) -> None:
        """Remove a member whose link ended."""
        if not self.roster.remove(vm, instance):
            return
        self.load.remove_vm(vm)
        if self.placer is not None:
            self.log.write("member_left", vm=vm)

    def build_state(self, vm: str, sent: SentState) -> pb.FleetState:
        """Return the next state message for a member."""
        if self.placer is not None:
            return self.states.build_state(self.placer, vm, sent)
        if self.resignation is None:
            return pb.FleetState(leading=False)
        # Remaining times count from the receipt of the message, which is later: safe.
        return serialize_resignation(*self.resignation)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Return when the state has changed or a time (s) has passed."""
        if self.placer is not None:
            await self.placer.changed.wait(timeout_s)
