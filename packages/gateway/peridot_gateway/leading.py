"""Leading: the term that this VM holds, and the members it serves."""

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack
from time import monotonic

from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.links import REPORT_PERIOD_S
from peridot_gateway.messages import parse_tables, serialize_rights
from peridot_gateway.owners import Owners
from peridot_gateway.roster import Peers, Roster
from peridot_gateway.states import SentState, StateWriter
from peridot_ownership.errors import TermLost
from peridot_ownership.placer import Placer
from peridot_ownership.record import Holder
from peridot_ownership.recorder import Recorder
from peridot_ownership.rights import EarlierRights
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_placement.signals import ChangeSignal
from peridot_wire import peridot_pb2 as pb

# A placer without the store makes room for one that reaches it after this time, in
# which members probe the store and report.
RESIGN_AFTER_S = 1.0
LEAD_CHECK_S = 0.1


class Leading:
    """Hold the placer while it runs here, and what it left behind."""

    def __init__(
        self,
        me: Holder,
        load: FleetLoad,
        owners: Owners,
        peers: Peers,
        log: DecisionLog,
        report_to_self: Callable[[], None],
    ) -> None:
        self.me = me
        self.load = load
        self.owners = owners
        self.peers = peers
        self.log = log
        self.report_to_self = report_to_self
        self.placer: Placer | None = None
        self.roster = Roster()
        self.states = StateWriter(me, self.roster, load)
        self.changed = ChangeSignal()
        self.leaving = False
        self.gave_up = False
        # Term and rights that were given up, and when (s).
        self.left_behind: tuple[int, EarlierRights, float] | None = None

    def has_most_members(self) -> bool:
        """Tell whether the fleet, rather than this VM alone, has lost the store."""
        return 2 * self.roster.fresh_count() >= self.peers.most - 1

    async def lead(self, placer: Placer) -> None:
        """Run a term until it ends or is given up."""
        self.gave_up = False
        self.left_behind = None
        self.roster.clear()
        async with AsyncExitStack() as stack:
            writing = asyncio.create_task(placer.recorder.run())
            stack.callback(writing.cancel)
            await stack.enter_async_context(placer.run())
            self.placer = placer
            try:
                await self._serve_term(placer)
            finally:
                self._leave(placer)
                self.placer = None
                self.changed.notify()
        self.log.write("term_ended", term=placer.record.term)

    def _leave(self, placer: Placer) -> None:
        """Keep what a successor has to know, unless it exists already."""
        if not placer.recorder.ended.done():
            placer.recorder.fail(TermLost("given up"))
            rights = placer.granter.leave_rights()
            self.left_behind = placer.record.term, rights, boot_time()

    async def _serve_term(self, placer: Placer) -> None:
        next_report = 0.0
        while not placer.recorder.ended.done():
            if self._should_resign(placer.recorder):
                self.gave_up = True
                return
            changed = placer.changed.next
            if monotonic() >= next_report:
                self.report_to_self()
                next_report = monotonic() + REPORT_PERIOD_S
            self._apply_own_tables(placer)
            self.changed.notify()
            await self._pause(changed)

    async def _pause(self, changed: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(LEAD_CHECK_S):
                await changed.wait()
        except TimeoutError:
            return

    def _should_resign(self, recorder: Recorder) -> bool:
        if self.leaving:
            return self.roster.any_stays()
        if not recorder.store_lost:
            return False
        lost_s = boot_time() - recorder.store_lost_at
        return lost_s > RESIGN_AFTER_S and self.roster.any_reaches_store()

    def _apply_own_tables(self, placer: Placer) -> None:
        term, sequence = placer.record.term, placer.sequence
        if (term, sequence) > (self.owners.term, self.owners.sequence):
            tables = parse_tables(self.states.current_tables(placer))
            self.owners.take(term, sequence, tables)

    # Serving members.

    def take_report(self, report: pb.FleetReport) -> None:
        """Take in a member's report."""
        if self.roster.take(report) and self.placer is not None:
            self.log.write("member_joined", vm=report.vm)
        self.load.take(report)

    def remove_member(self, vm: str, instance: str) -> None:
        """Take in that a member's link ended."""
        if not self.roster.remove(vm, instance):
            return
        self.load.forget(vm)
        if self.placer is not None:
            self.log.write("member_left", vm=vm)

    def describe_state(self, vm: str, sent: SentState) -> pb.FleetState:
        """Return what to tell a member now."""
        if self.placer is not None:
            return self.states.describe(self.placer, vm, sent)
        if self.left_behind is None:
            return pb.FleetState(leading=False)
        # The receiver counts what is left from now on, which is later: safe.
        return serialize_rights(*self.left_behind)

    async def wait_for_change(self, limit_s: float) -> None:
        """Return when members have something new to learn, or the time is up."""
        if self.placer is not None:
            await self.placer.changed.wait(limit_s)
