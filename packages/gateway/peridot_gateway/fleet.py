"""Fleet: finds the placer, or becomes it, and shares load with it."""

import asyncio
import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from time import monotonic

from peridot_gateway.estimates import Estimates
from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.links import (
    REPORT_PERIOD_S,
    SILENT_S,
    FleetServer,
    LinkEnd,
    ask_member,
    follow_placer,
)
from peridot_gateway.messages import (
    parse_rights,
    parse_tables,
    serialize_keys,
    serialize_rights,
    serialize_tables,
)
from peridot_gateway.owners import Owners
from peridot_gateway.router import GatewayRouter
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import Missing, ReadOutcome, StoredObject
from peridot_ownership.errors import InvalidRecord, TermLost
from peridot_ownership.holds import HoldControl
from peridot_ownership.placer import (
    NO_EARLIER_RIGHTS,
    EarlierRights,
    Placer,
    bound_earlier_rights,
)
from peridot_ownership.record import (
    RECORD_KIND,
    RECORD_NAME,
    Holder,
    PlacementRecord,
    parse_record,
)
from peridot_ownership.recorder import BEAT_S, CONFIRMED_S, Recorder, take_term
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_placement.signals import ChangeSignal
from peridot_wire import peridot_pb2 as pb

RETRY_S = 0.25
# VMs that miss the placer together try in turn.
RANK_STEP_S = 0.1
START_SPREAD_S = 0.15
# A record that wasn't written for this long has no living placer with a store.
STAGNANT_S = BEAT_S * 1.6
# A placer without the store makes room for one that reaches it after this time.
RESIGN_AFTER_S = 1.0
LEAD_CHECK_S = 0.1
# VMs assumed to share what is shared before any others are known.
ASSUMED_VMS = 16
# The largest number of VMs seen lately counts for shared allowances.
VMS_MEMORY_S = 10.0


@dataclass
class Member:
    """Hold what a VM last reported."""

    holder: Holder
    store_reachable: bool
    leaving: bool
    heard_at: float


@dataclass
class FleetParts:
    """Hold what the fleet works with."""

    store: ObjectStore
    control: HoldControl
    load: FleetLoad
    owners: Owners
    estimates: Estimates
    router: GatewayRouter
    log: DecisionLog
    rng: random.Random
    hold_max_s: float
    store_reachable: Callable[[], bool]


@dataclass
class Sighting:
    """Hold since when the record has had one version."""

    version: int = -1
    since: float = field(default_factory=boot_time)


class Fleet:
    """Follow the placer, or be it."""

    def __init__(self, me: Holder, data_centre: str, parts: FleetParts) -> None:
        self.me = me
        self.data_centre = data_centre
        self.parts = parts
        self.placer: Placer | None = None
        self.members: dict[str, Member] = {}
        self.peers: list[Holder] = []
        self.peers_at = float("-inf")
        self.most_vms = 0
        self.heard_at = float("-inf")
        self.heard_term = 0
        self.followed: Holder | None = None
        self.sighting = Sighting()
        self.leaving = False
        self.gave_up = False
        # What the last placer told when it gave its term up.
        self.inherited: EarlierRights | None = None
        # What this VM left behind as the placer, and when (s).
        self.left_behind: tuple[EarlierRights, float] | None = None
        # Whether the placer reached the store when it was last heard.
        self.placer_has_store = False
        self.last_end = LinkEnd.SILENT
        self.changed = ChangeSignal()
        self.server = FleetServer(
            self._take_report,
            self._describe_state,
            self._answer,
            self._wait_for_change,
            self._member_left,
        )

    def vms(self) -> int:
        """Return the number of VMs that share what is shared."""
        if monotonic() - self.peers_at > VMS_MEMORY_S:
            return max(self.most_vms, ASSUMED_VMS if not self.peers else 1)
        return max(self.most_vms, len(self.peers), 1)

    def hears_placer(self) -> bool:
        """Tell whether this VM is the placer or heard it lately."""
        return self.placer is not None or monotonic() - self.heard_at < SILENT_S

    async def run(self) -> None:
        """Follow or lead until cancelled."""
        await asyncio.sleep(self.parts.rng.uniform(0, START_SPREAD_S))
        while True:
            found = await self.parts.store.read(RECORD_KIND, RECORD_NAME)
            await self._act_on(found)

    async def _act_on(self, found: ReadOutcome) -> None:
        if isinstance(found, Missing):
            await self._take_term(found)
            return
        if not isinstance(found, StoredObject):
            placer = await self._ask_for_placer() or self.followed
            if placer is not None:
                await self._follow(placer)
            await asyncio.sleep(RETRY_S)
            return
        if found.version != self.sighting.version:
            self.sighting = Sighting(found.version)
        try:
            record = parse_record(found.value)
        except InvalidRecord as error:
            self.parts.log.write("record_unreadable", reason=error)
            await asyncio.sleep(RETRY_S)
            return
        if record.holder == self.me:
            await self._face_own_term(found)
            return
        self._take_stored_owners(record)
        end = await self._follow(record.holder)
        if not await self._may_take(record.holder, end):
            await asyncio.sleep(RETRY_S)
            return
        await self._take_from(record.holder)

    async def _take_from(self, holder: Holder) -> None:
        """Take the term if the record still names the placer that was lost."""
        found = await self.parts.store.read(RECORD_KIND, RECORD_NAME)
        if not isinstance(found, StoredObject):
            return
        try:
            record = parse_record(found.value)
        except InvalidRecord as error:
            self.parts.log.write("record_unreadable", reason=error)
            return
        if record.holder == holder:
            await self._take_term(found)

    async def _face_own_term(self, found: StoredObject) -> None:
        """Leave a term that this VM gave up to others; take up one that it didn't.

        The latter is the term of a first write whose answer was lost.
        """
        stagnant_s = boot_time() - self.sighting.since
        if self.leaving or (self.gave_up and stagnant_s < STAGNANT_S):
            await asyncio.sleep(RETRY_S)
            return
        await self._take_term(found)

    async def _ask_for_placer(self) -> Holder | None:
        """Return the placer that other VMs hear, where the store doesn't tell."""
        others = [peer for peer in self.peers if peer != self.me]
        answers = await asyncio.gather(
            *(ask_member(peer.address, self.me.instance) for peer in others)
        )
        heard = [item for item in answers if item is not None and item.hears_placer]
        newest = max(heard, key=lambda item: item.term, default=None)
        if newest is None or newest.placer_address == self.me.address:
            return None
        return Holder("unknown", "", newest.placer_address)

    def _take_stored_owners(self, record: PlacementRecord) -> None:
        """Route by the stored owners until the placer sends newer ones."""
        tables = {
            service: [(item.keys.start, item.owner or "") for item in table.ranges]
            for service, table in record.tables.items()
        }
        parsed = parse_tables(serialize_tables(tables))
        self.parts.owners.take(record.term, 0, parsed)

    async def _follow(self, holder: Holder) -> LinkEnd:
        self.followed = holder
        end = await follow_placer(holder.address, self.build_report, self._take_state)
        self.parts.log.write("placer_lost", placer=holder.vm, reason=end)
        self.last_end = end
        return end

    def _take_state(self, state: pb.FleetState) -> None:
        if not state.leading:
            if state.resigned:
                self.inherited = parse_rights(state, boot_time())
            return
        self.inherited = None
        self.placer_has_store = state.store_reachable
        if not self.hears_placer() or state.term != self.heard_term:
            self.parts.log.write("placer_heard", term=state.term)
        self.heard_term = state.term
        self.heard_at = monotonic()
        if state.sequence > 0 and state.tables:
            tables = parse_tables(state.tables)
            self.parts.owners.take(state.term, state.sequence, tables)
        self._take_members(
            [Holder(m.vm, m.instance, m.peer_address) for m in state.members]
        )
        self._take_others({item.target: item.in_flight for item in state.targets})

    def _take_members(self, peers: list[Holder]) -> None:
        now = monotonic()
        if now - self.peers_at > VMS_MEMORY_S or len(peers) >= self.most_vms:
            self.most_vms = len(peers)
            self.peers_at = now
        self.peers = peers

    def _take_others(self, in_flight: dict[str, int]) -> None:
        now = monotonic()
        for name, estimate in self.parts.estimates.targets.items():
            estimate.others_in_flight = in_flight.get(name, 0)
            estimate.others_at = now
        for name in in_flight.keys() - self.parts.estimates.targets.keys():
            estimate = self.parts.estimates.of(name)
            estimate.others_in_flight = in_flight[name]
            estimate.others_at = now

    async def _may_take(self, holder: Holder, end: LinkEnd) -> bool:
        """Tell whether to take the term of a placer whose link ended."""
        if self.leaving:
            return False
        if end is LinkEnd.RESIGNED:
            await asyncio.sleep(self.parts.rng.uniform(0, START_SPREAD_S))
            return True
        others = [peer for peer in self.peers if peer not in (holder, self.me)]
        answers = await asyncio.gather(
            *(ask_member(peer.address, holder.instance) for peer in others)
        )
        heard = [answer for answer in answers if answer is not None]
        if any(answer.hears_placer for answer in heard):
            return False
        if heard:
            await asyncio.sleep(self._rank() * RANK_STEP_S)
            return True
        return boot_time() - self.sighting.since >= STAGNANT_S

    def _rank(self) -> int:
        names = sorted(peer.vm for peer in self.peers)
        return names.index(self.me.vm) if self.me.vm in names else len(names)

    # Leading.

    async def _take_term(self, found: StoredObject | Missing) -> None:
        recorder = await take_term(self.parts.store, self.me, found, self.parts.log)
        if recorder is not None:
            await self._lead(recorder)

    async def _lead(self, recorder: Recorder) -> None:
        parts = self.parts
        self.gave_up = False
        parts.log.write("term_taken", term=recorder.record.term)
        placer = Placer(
            recorder,
            parts.control,
            parts.load,
            parts.log,
            parts.hold_max_s,
            self._earlier_rights(recorder),
            self._has_most_members,
        )
        self.left_behind = None
        self.members.clear()
        async with AsyncExitStack() as stack:
            writing = asyncio.create_task(recorder.run())
            stack.callback(writing.cancel)
            await stack.enter_async_context(placer.run())
            self.placer = placer
            try:
                await self._serve_term(placer)
            finally:
                self.placer = None
                self.changed.notify()
        parts.log.write("term_ended", term=recorder.record.term)

    def _earlier_rights(self, recorder: Recorder) -> EarlierRights:
        """Return what may be left of earlier terms, as far as this VM can tell."""
        if recorder.record.term == 1:
            return NO_EARLIER_RIGHTS
        inherited, self.inherited = self.inherited, None
        if inherited is not None:
            rights, how = inherited, "inherited"
        elif self.last_end is LinkEnd.BROKEN and self.placer_has_store:
            # It was heard until its link broke and had given no long hold.
            rights = bound_earlier_rights(CONFIRMED_S, False, self.parts.hold_max_s)
            how = "broken"
        else:
            rights = bound_earlier_rights(CONFIRMED_S, True, self.parts.hold_max_s)
            how = "unknown"
        self.parts.log.write(
            "earlier_rights",
            term=recorder.record.term,
            how=how,
            unknown_left=round(rights.unknown_left_s, 2),
            late_left=round(rights.late_left_s, 2),
            holds=len(rights.holds),
        )
        return rights

    def _has_most_members(self) -> bool:
        """Tell whether the fleet, rather than this VM alone, has lost the store."""
        return 2 * len(self.members) >= self.most_vms - 1

    async def _serve_term(self, placer: Placer) -> None:
        """Act as the placer until the term ends or is given up."""
        next_report = 0.0
        while not placer.recorder.ended.done():
            if self._should_resign(placer.recorder):
                self.gave_up = True
                placer.recorder.fail(TermLost("given up"))
                self.left_behind = placer.leave_rights(), boot_time()
                return
            changed = placer.changed.next
            if monotonic() >= next_report:
                self._report_to_self()
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
            return any(not member.leaving for member in self.members.values())
        if not recorder.store_lost:
            return False
        lost_s = boot_time() - recorder.store_lost_at
        return lost_s > RESIGN_AFTER_S and any(
            member.store_reachable for member in self.members.values()
        )

    def _apply_own_tables(self, placer: Placer) -> None:
        tables = parse_tables(serialize_tables(placer.settled_tables()))
        term = placer.record.term
        self.parts.owners.take(term, placer.sequence, tables)

    def _report_to_self(self) -> None:
        self.parts.load.take(self.build_report())
        self._take_others(self.parts.load.others_in_flight(self.me.vm))
        self._take_members(self._holders())

    def _holders(self) -> list[Holder]:
        return [self.me, *(member.holder for member in self.members.values())]

    def build_report(self) -> pb.FleetReport:
        """Return what this VM saw since its last report."""
        report = pb.FleetReport(
            vm=self.me.vm,
            instance=self.me.instance,
            data_centre=self.data_centre,
            peer_address=self.me.address,
            keys=serialize_keys(self.parts.router.take_key_counts()),
            store_reachable=self.parts.store_reachable(),
            leaving=self.leaving,
        )
        for name, item in self.parts.estimates.targets.items():
            if item.in_flight or item.finished or item.failed:
                report.targets.add(
                    target=name,
                    in_flight=item.in_flight,
                    finished=item.finished,
                    failed=item.failed,
                    busy_ms=item.busy_ms,
                    busy_count=item.busy_count,
                )
                item.finished = item.failed = item.busy_count = 0
                item.busy_ms = 0.0
        return report

    # Serving members.

    def _take_report(self, report: pb.FleetReport) -> None:
        holder = Holder(report.vm, report.instance, report.peer_address)
        if report.vm not in self.members and self.placer is not None:
            self.parts.log.write("member_joined", vm=report.vm)
        self.members[report.vm] = Member(
            holder, report.store_reachable, report.leaving, monotonic()
        )
        self.parts.load.take(report)

    def _member_left(self, vm: str, instance: str) -> None:
        member = self.members.get(vm)
        if member is None or member.holder.instance != instance:
            return
        del self.members[vm]
        self.parts.load.forget(vm)
        if self.placer is not None:
            self.parts.log.write("member_left", vm=vm)

    def _describe_state(self, vm: str, sent: int) -> pb.FleetState:
        placer = self.placer
        if placer is None:
            return self._describe_resigned()
        state = pb.FleetState(
            term=placer.record.term,
            sequence=placer.sequence,
            leading=True,
            store_reachable=not placer.recorder.store_lost,
            members=[
                pb.FleetMember(vm=h.vm, instance=h.instance, peer_address=h.address)
                for h in self._holders()
            ],
            targets=[
                pb.TargetReport(target=name, in_flight=count)
                for name, count in self.parts.load.others_in_flight(vm).items()
            ],
        )
        if placer.sequence != sent:
            state.tables.extend(serialize_tables(placer.settled_tables()))
        return state

    def _describe_resigned(self) -> pb.FleetState:
        if self.left_behind is None:
            followed = self.followed.address if self.followed else ""
            return pb.FleetState(leading=False, placer_address=followed)
        rights, left_at = self.left_behind
        # The receiver counts what is left from now on, which is later: safe.
        return serialize_rights(rights, left_at)

    async def _wait_for_change(self, limit_s: float) -> None:
        placer = self.placer
        if placer is not None:
            await placer.changed.wait(limit_s)

    def _answer(self) -> pb.FleetAnswer:
        return pb.FleetAnswer(
            instance=self.me.instance,
            hears_placer=self.hears_placer(),
            term=self.parts.owners.term,
            placer_address=self._placer_address(),
        )

    def _placer_address(self) -> str:
        if self.placer is not None:
            return self.me.address
        return self.followed.address if self.followed else ""
