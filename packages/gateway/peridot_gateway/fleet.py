"""Fleet: finds the placer, or becomes it, and shares load with it."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from peridot_gateway.estimates import Estimates
from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.following import Following
from peridot_gateway.leading import Leading
from peridot_gateway.links import FleetServer, LinkEnd, ask_member
from peridot_gateway.messages import parse_tables, serialize_keys, serialize_tables
from peridot_gateway.owners import Owners
from peridot_gateway.probe import StoreProbe
from peridot_gateway.router import GatewayRouter
from peridot_gateway.succession import find_earlier_rights
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import Missing, ReadOutcome, StoredObject, WatchBatch
from peridot_ownership.errors import InvalidRecord
from peridot_ownership.holds import HoldControl
from peridot_ownership.placer import Placer
from peridot_ownership.record import (
    RECORD_KIND,
    RECORD_NAME,
    Holder,
    PlacementRecord,
    parse_record,
)
from peridot_ownership.recorder import BEAT_S, Recorder, take_term
from peridot_ownership.rights import EarlierRights
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_wire import peridot_pb2 as pb

RETRY_S = 0.25
# VMs that miss the placer together try in turn.
RANK_STEP_S = 0.1
# Watches for a successor of the placer are no longer: they may hear nothing.
LOOK_S = 1.0
START_SPREAD_S = 0.15
# A record that wasn't written for this long has no living placer with a store.
STAGNANT_S = BEAT_S * 1.6


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
    leaving_serves_s: float
    store_reachable: Callable[[], bool]


@dataclass
class RecordSighting:
    """Hold since when the record has had one version."""

    version: int = -1
    since: float = field(default_factory=boot_time)


class Fleet:
    """Follow the placer, or be it."""

    def __init__(self, me: Holder, data_centre: str, parts: FleetParts) -> None:
        self.me = me
        self.data_centre = data_centre
        self.parts = parts
        self.following = Following(
            me,
            parts.owners,
            parts.estimates,
            parts.load.targets,
            StoreProbe(parts.store),
            parts.log,
        )
        self.leading = Leading(
            me,
            parts.load,
            parts.owners,
            self.following.peers,
            parts.log,
            self._report_to_self,
        )
        self.sighting = RecordSighting()
        self.server = FleetServer(
            self.leading.take_report,
            self.leading.describe_state,
            self._answer,
            self.leading.wait_for_change,
            self.leading.remove_member,
        )

    @property
    def placer(self) -> Placer | None:
        """Return the placer if it runs here."""
        return self.leading.placer

    @property
    def leaving(self) -> bool:
        """Tell whether this VM is being stopped."""
        return self.leading.leaving

    def leave(self) -> None:
        """Give the term to another VM if there is one, and take no more."""
        self.leading.leaving = True

    def vms(self) -> int:
        """Return the number of VMs that share what is shared."""
        return self.following.peers.count()

    def hears_placer(self) -> bool:
        """Tell whether this VM is the placer or hears it."""
        return self.placer is not None or self.following.hears_placer()

    def vouched_versions(self) -> tuple[int, int] | None:
        """Return the newest versions of configuration and targets by the placer.

        None on the placer itself, and if none is heard that reaches the store.
        """
        return None if self.placer is not None else self.following.vouched()

    async def run(self) -> None:
        """Follow or lead until cancelled."""
        await asyncio.sleep(self.parts.rng.uniform(0, START_SPREAD_S))
        found: ReadOutcome | None = None
        while True:
            if found is None:
                found = await self.parts.store.read(RECORD_KIND, RECORD_NAME)
            found = await self._act_on(found)

    async def _act_on(self, found: ReadOutcome) -> StoredObject | None:
        """Act on the record as it is stored; return a newer one if it is known."""
        if isinstance(found, Missing):
            await self._take_term(found)
            return None
        if not isinstance(found, StoredObject):
            placer = await self._ask_for_placer() or self.following.followed
            if placer is not None:
                await self._follow(placer)
            await asyncio.sleep(RETRY_S)
            return None
        if found.version != self.sighting.version:
            self.sighting = RecordSighting(found.version)
        try:
            record = parse_record(found.value)
        except InvalidRecord as error:
            self.parts.log.write("record_unreadable", reason=error)
            await asyncio.sleep(RETRY_S)
            return None
        if record.holder == self.me:
            await self._face_own_term(found)
            return None
        self._take_stored_owners(record)
        end = await self._follow(record.holder)
        return await self._succeed(record.holder, end)

    async def _succeed(self, holder: Holder, end: LinkEnd) -> StoredObject | None:
        """Take the term of a placer that was lost, or return its successor's record."""
        wait_s = await self._wait_before_taking(holder, end)
        if wait_s is None:
            await asyncio.sleep(RETRY_S)
            return None
        found = await self._watch_for_successor(holder, wait_s)
        if found is None:
            await self._take_from(holder)
        return found

    async def _watch_for_successor(
        self, holder: Holder, wait_s: float
    ) -> StoredObject | None:
        """Return the record as soon as it names another placer; None after a wait."""
        ends = boot_time() + wait_s
        revision = self.sighting.version
        while (left_s := ends - boot_time()) > 0:
            limit_s = min(left_s, LOOK_S)
            outcome = await self.parts.store.watch([RECORD_KIND], revision, limit_s)
            if isinstance(outcome, WatchBatch):
                revision = max(revision, outcome.revision)
                records = outcome.changes
            else:
                await asyncio.sleep(min(left_s, RETRY_S))
                records = (await self.parts.store.read(RECORD_KIND, RECORD_NAME),)
            for item in records:
                if isinstance(item, StoredObject) and _names_other(item, holder):
                    return item
        return None

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
        if self.leaving or (self.leading.gave_up and stagnant_s < STAGNANT_S):
            await asyncio.sleep(RETRY_S)
            return
        await self._take_term(found)

    async def _ask_for_placer(self) -> Holder | None:
        """Return the placer that other VMs hear, where the store doesn't tell."""
        answers = await self._ask_peers(self.me)
        heard = [item for item in answers if item.hears_placer]
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
        return await self.following.follow(holder, self.build_report)

    async def _ask_peers(self, *left_out: Holder) -> list[pb.FleetAnswer]:
        """Ask all VMs but some whether they hear the placer; return the answers."""
        others = self.following.peers.others(*left_out)
        answers = await asyncio.gather(
            *(ask_member(peer.address, self.me.instance) for peer in others)
        )
        return [answer for answer in answers if answer is not None]

    async def _wait_before_taking(self, holder: Holder, end: LinkEnd) -> float | None:
        """Return how long to wait before taking a lost placer's term (s), if at all."""
        if self.leaving:
            return None
        if end is LinkEnd.RESIGNED:
            return self.parts.rng.uniform(0, START_SPREAD_S)
        answers = await self._ask_peers(holder, self.me)
        if any(answer.hears_placer for answer in answers):
            return None
        self.following.note_missed_by(1 + len(answers))
        if answers:
            return self.following.peers.rank(self.me.vm) * RANK_STEP_S
        stagnant = boot_time() - self.sighting.since >= STAGNANT_S
        return 0.0 if stagnant else None

    async def _take_term(self, found: StoredObject | Missing) -> None:
        recorder = await take_term(self.parts.store, self.me, found, self.parts.log)
        if recorder is not None:
            await self._lead(recorder)

    async def _lead(self, recorder: Recorder) -> None:
        parts = self.parts
        parts.log.write("term_taken", term=recorder.record.term)
        placer = Placer(
            recorder,
            parts.control,
            parts.load,
            parts.log,
            parts.hold_max_s,
            self._find_earlier_rights(recorder.record.term),
            self.leading.has_most_members,
            parts.leaving_serves_s,
        )
        await self.leading.lead(placer)

    def _find_earlier_rights(self, term: int) -> EarlierRights:
        sighting = self.following.sighting
        rights, how = find_earlier_rights(sighting, term, self.parts.hold_max_s)
        self.parts.log.write(
            "earlier_rights",
            term=term,
            how=how,
            heard_term=sighting.term if sighting is not None else "-",
            unknown_left=round(rights.unknown_left_s, 2),
            late_left=round(rights.late_left_s, 2),
            holds=len(rights.holds),
        )
        return rights

    # Reporting.

    def _report_to_self(self) -> None:
        self.parts.load.take(self.build_report())
        self.parts.estimates.take_others(self.parts.load.others_in_flight(self.me.vm))
        self.following.peers.take([self.me, *self.leading.roster.holders()])

    def build_report(self) -> pb.FleetReport:
        """Return what this VM saw since its last report."""
        report = pb.FleetReport(
            vm=self.me.vm,
            instance=self.me.instance,
            data_centre=self.data_centre,
            peer_address=self.me.address,
            keys=serialize_keys(self.parts.router.take_key_counts()),
            store_reachable=self._reaches_store(),
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

    def _reaches_store(self) -> bool:
        """Tell whether the store answers; probed if the placer misses it."""
        if self.following.misses_store():
            return self.following.probe.has_answer()
        return self.parts.store_reachable()

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
        followed = self.following.followed
        return followed.address if followed else ""


def _names_other(found: StoredObject, holder: Holder) -> bool:
    """Tell whether a stored record can be read and names another placer."""
    try:
        return parse_record(found.value).holder != holder
    except InvalidRecord:
        # Read again and logged by the next round.
        return False
