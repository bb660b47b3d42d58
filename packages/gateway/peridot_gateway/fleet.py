"""Fleet: follow the placer (the leader that places key ranges), or become it."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from peridot_gateway.estimates import Estimates
from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.fleetwork import add_work_report
from peridot_gateway.following import FollowerRole
from peridot_gateway.leading import LeaderRole
from peridot_gateway.links import FleetServer, LinkEndReason, ask_member
from peridot_gateway.messages import parse_tables, serialize_keys, serialize_tables
from peridot_gateway.owners import Owners
from peridot_gateway.probe import StoreProbe
from peridot_gateway.router import GatewayRouter
from peridot_gateway.sharing import CapacitySharing
from peridot_gateway.succession import find_earlier_leases
from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import Missing, ReadOutcome, StoredObject, WatchBatch
from peridot_ownership.errors import InvalidRecord
from peridot_ownership.holds import TargetLeaseClient
from peridot_ownership.placer import Placer
from peridot_ownership.record import (
    RECORD_KIND,
    RECORD_NAME,
    DaemonInstance,
    PlacementRecord,
    parse_record,
)
from peridot_ownership.recorder import HEARTBEAT_PERIOD_S, RecordWriter, acquire_term
from peridot_ownership.rights import EarlierLeases
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_wire import peridot_pb2 as pb

RETRY_DELAY_S = 0.25
# VMs that lose the placer together wait this long per rank before an election, so that
# they don't compete for the term.
ELECTION_STAGGER_S = 0.1
# Longest watch for a successor of the placer: its connection may be dead.
SUCCESSOR_WATCH_TIMEOUT_S = 1.0
START_JITTER_S = 0.15
# VMs with fewer cores than this start later in an election, in proportion.
PLACER_CORES = 1.0
SMALL_VM_DELAY_S = 1.0
# Lower-ranked VMs start in an election after this time.
MAX_ELECTION_DELAY_S = 2.0
# Number of VMs that one which lost the placer asks at first.
ASKED_VM_COUNT = 6
# A record that wasn't written for this long has no live placer that reaches the store.
STALE_RECORD_S = HEARTBEAT_PERIOD_S * 1.6


@dataclass
class FleetParts:
    """The objects that the fleet depends on."""

    store: ObjectStore
    lease_client: TargetLeaseClient
    load: FleetLoad
    owners: Owners
    estimates: Estimates
    router: GatewayRouter
    log: DecisionLog
    rng: random.Random
    hold_max_s: float
    leaving_grace_s: float
    store_reachable: Callable[[], bool]
    # Whether all VMs start for the first time.
    first_start: bool = False
    sharing: CapacitySharing = field(default_factory=CapacitySharing)


@dataclass
class ObservedRecord:
    """Version of the stored record and since when (s) it has been seen."""

    version: int = -1
    since: float = field(default_factory=boot_time)


class Fleet:
    """Follow the placer, or run it while this VM holds the term."""

    def __init__(
        self, local_instance: DaemonInstance, data_centre: str, parts: FleetParts
    ) -> None:
        self.local_instance = local_instance
        self.data_centre = data_centre
        self.parts = parts
        self.follower = FollowerRole(
            local_instance,
            parts.owners,
            parts.estimates,
            parts.load.targets,
            StoreProbe(parts.store),
            parts.log,
            parts.load.cold,
            parts.load.evacuations,
        )
        self.follower.handle_routes = parts.sharing.set_shares
        self.leader = LeaderRole(
            local_instance,
            parts.load,
            parts.owners,
            self.follower.peers,
            parts.log,
            self._report_locally,
        )
        self.observed_record = ObservedRecord()
        # Number of stored records that couldn't be read or parsed so far.
        self.invalid_records = 0
        self.server = FleetServer(
            self.leader.handle_report,
            self.leader.build_state,
            self._build_answer,
            self.leader.wait_for_change,
            self.leader.remove_member,
        )

    @property
    def placer(self) -> Placer | None:
        """Return the placer if it runs on this VM."""
        return self.leader.placer

    @property
    def leaving(self) -> bool:
        """Return whether this VM is being stopped."""
        return self.leader.leaving

    def leave(self) -> None:
        """Resign if another VM can take over, and acquire no further term."""
        self.leader.leaving = True

    def count_vms(self) -> int:
        """Return the number of VMs that share a budget."""
        return self.follower.peers.count()

    def known_vms(self) -> list[str]:
        """Return the names of the VMs that were listed last."""
        return [peer.vm for peer in self.follower.peers.instances]

    def is_connected(self) -> bool:
        """Return whether this VM is the placer or is connected to it."""
        return self.placer is not None or self.follower.is_connected()

    def confirmed_versions(self) -> tuple[int, int] | None:
        """Return the newest versions of configuration and targets stored.

        None on the placer itself, and while no placer confirms them.
        """
        return None if self.placer is not None else self.follower.confirmed_versions()

    async def run(self) -> None:
        """Follow or lead until cancelled."""
        await asyncio.sleep(self._start_delay_s())
        found: ReadOutcome | None = None
        while True:
            if found is None:
                found = await self.parts.store.read(RECORD_KIND, RECORD_NAME)
            found = await self._handle_record(found)

    def _start_delay_s(self) -> float:
        """Return a delay so that VMs with few cores rarely become the first placer."""
        missing = max(0.0, PLACER_CORES - self.local_instance.cores)
        jitter_s = self.parts.rng.uniform(0, START_JITTER_S)
        return missing * SMALL_VM_DELAY_S + jitter_s

    async def _handle_record(self, found: ReadOutcome) -> StoredObject | None:
        """Follow or replace the recorded placer; return a newer record if found."""
        if isinstance(found, Missing):
            await self._acquire_term(found)
            return None
        if not isinstance(found, StoredObject):
            placer = await self._find_placer_by_peers() or self.follower.followed_placer
            if placer is not None:
                await self._follow(placer)
            await asyncio.sleep(RETRY_DELAY_S)
            return None
        if found.version != self.observed_record.version:
            self.observed_record = ObservedRecord(found.version)
        try:
            record = parse_record(found.value)
        except InvalidRecord as error:
            self._record_invalid(error)
            await asyncio.sleep(RETRY_DELAY_S)
            return None
        if record.holder == self.local_instance:
            await self._handle_own_record(found)
            return None
        self._apply_stored_owners(record)
        end_reason = await self._follow(record.holder)
        return await self._replace_lost_placer(record.holder, end_reason)

    def _record_invalid(self, error: InvalidRecord) -> None:
        self.invalid_records += 1
        self.parts.log.write("record_unreadable", reason=error)

    async def _replace_lost_placer(
        self, holder: DaemonInstance, end_reason: LinkEndReason
    ) -> StoredObject | None:
        """Acquire the term of a lost placer, or return its successor's record."""
        delay_s = await self._compute_election_delay(holder, end_reason)
        if delay_s is None:
            await asyncio.sleep(RETRY_DELAY_S)
            return None
        found = await self._watch_for_successor(holder, delay_s)
        if found is None and await self._is_lost_for_all(holder, end_reason):
            await self._succeed_placer(holder)
        return found

    async def _is_lost_for_all(
        self, holder: DaemonInstance, end_reason: LinkEndReason
    ) -> bool:
        """Return whether no VM is connected to the placer; only successors ask all."""
        if end_reason is LinkEndReason.RESIGNED:
            return True
        answers = await self._ask_peers(self._other_peers(holder))
        if any(answer.hears_placer for answer in answers):
            return False
        self.follower.record_placer_loss(1 + len(answers))
        return True

    async def _watch_for_successor(
        self, holder: DaemonInstance, delay_s: float
    ) -> StoredObject | None:
        """Return the record once it names another placer; None after a time (s)."""
        deadline = boot_time() + delay_s
        revision = self.observed_record.version
        while (remaining_s := deadline - boot_time()) > 0:
            timeout_s = min(remaining_s, SUCCESSOR_WATCH_TIMEOUT_S)
            outcome = await self.parts.store.watch([RECORD_KIND], revision, timeout_s)
            if isinstance(outcome, WatchBatch):
                revision = max(revision, outcome.revision)
                records = outcome.changes
            else:
                await asyncio.sleep(min(remaining_s, RETRY_DELAY_S))
                records = (await self.parts.store.read(RECORD_KIND, RECORD_NAME),)
            for item in records:
                if isinstance(item, StoredObject) and _names_other_placer(item, holder):
                    return item
        return None

    async def _succeed_placer(self, holder: DaemonInstance) -> None:
        """Acquire the term if the record still names the lost placer."""
        found = await self.parts.store.read(RECORD_KIND, RECORD_NAME)
        if not isinstance(found, StoredObject):
            return
        try:
            record = parse_record(found.value)
        except InvalidRecord as error:
            self._record_invalid(error)
            return
        if record.holder == holder:
            await self._acquire_term(found)

    async def _handle_own_record(self, found: StoredObject) -> None:
        """Handle a record that names this VM, which runs no placer.

        After a resignation, leave the term to other VMs until the record is stale.
        If this VM didn't resign, it has lost the response to the write that acquired
        the term, and acquires the next one.
        """
        record_age_s = boot_time() - self.observed_record.since
        if self.leaving or (self.leader.has_resigned and record_age_s < STALE_RECORD_S):
            await asyncio.sleep(RETRY_DELAY_S)
            return
        await self._acquire_term(found)

    async def _find_placer_by_peers(self) -> DaemonInstance | None:
        """Return the placer that other VMs follow, while the store is unavailable."""
        answers = await self._ask_peers(self._sample_peers())
        connected = [item for item in answers if item.hears_placer]
        newest = max(connected, key=lambda item: item.term, default=None)
        if newest is None or newest.placer_address == self.local_instance.address:
            return None
        return DaemonInstance("unknown", "", newest.placer_address)

    def _apply_stored_owners(self, record: PlacementRecord) -> None:
        """Use the stored owner tables until the placer sends newer ones."""
        tables = {
            service: [(item.keys.start, item.owner or "") for item in table.ranges]
            for service, table in record.tables.items()
        }
        parsed = parse_tables(serialize_tables(tables))
        self.parts.owners.update(record.term, 0, parsed)

    async def _follow(self, holder: DaemonInstance) -> LinkEndReason:
        return await self.follower.follow(holder, self.build_report)

    def _other_peers(self, *excluded: DaemonInstance) -> list[DaemonInstance]:
        return self.follower.peers.others(self.local_instance, *excluded)

    def _sample_peers(self, *excluded: DaemonInstance) -> list[DaemonInstance]:
        others = self._other_peers(*excluded)
        return self.parts.rng.sample(others, min(ASKED_VM_COUNT, len(others)))

    async def _ask_peers(self, others: list[DaemonInstance]) -> list[pb.FleetAnswer]:
        """Ask VMs if they follow the placer; return the answers."""
        answers = await asyncio.gather(
            *(ask_member(peer.address, self.local_instance.instance) for peer in others)
        )
        return [answer for answer in answers if answer is not None]

    async def _compute_election_delay(
        self, holder: DaemonInstance, end_reason: LinkEndReason
    ) -> float | None:
        """Return how long to wait before acquiring a lost placer's term (s).

        None if this VM must not acquire it now.
        """
        if self.leaving:
            return None
        if end_reason is LinkEndReason.RESIGNED:
            return self._start_delay_s()
        answers = await self._ask_peers(self._sample_peers(holder))
        if any(answer.hears_placer for answer in answers):
            return None
        if answers:
            rank = self.follower.peers.election_rank(self.local_instance.vm)
            return min(rank * ELECTION_STAGGER_S, MAX_ELECTION_DELAY_S)
        record_is_stale = boot_time() - self.observed_record.since >= STALE_RECORD_S
        return 0.0 if record_is_stale else None

    async def _acquire_term(self, found: StoredObject | Missing) -> None:
        # A record that was seen before and is gone was deleted, or lost in a restore.
        seen = self.observed_record.version >= 0 or self.parts.owners.term > 0
        era_is_first = isinstance(found, Missing) and found.era == 0
        record_writer = await acquire_term(
            self.parts.store,
            self.local_instance,
            found,
            self.parts.log,
            may_be_first=not seen and (self.parts.first_start or era_is_first),
            known_term=self.parts.owners.term,
        )
        if record_writer is not None:
            await self._lead(record_writer)

    async def _lead(self, record_writer: RecordWriter) -> None:
        parts = self.parts
        parts.log.write("term_taken", term=record_writer.record.term)
        placer = Placer(
            record_writer,
            parts.lease_client,
            parts.load,
            parts.log,
            parts.hold_max_s,
            self._find_earlier_leases(record_writer),
            self.leader.has_majority,
            parts.leaving_grace_s,
        )
        await self.leader.lead(placer)

    def _find_earlier_leases(self, record_writer: RecordWriter) -> EarlierLeases:
        predecessor, term = self.follower.observed_placer, record_writer.record.term
        earlier_leases, how = find_earlier_leases(
            predecessor, record_writer, self.parts.hold_max_s
        )
        self.parts.log.write(
            "earlier_rights",
            term=term,
            how=how,
            heard_term=predecessor.term if predecessor is not None else "-",
            unknown_left=round(earlier_leases.unknown_remaining_s, 2),
            late_left=round(earlier_leases.unanswered_remaining_s, 2),
            holds=len(earlier_leases.leases),
        )
        return earlier_leases

    # Reporting.

    def _report_locally(self) -> None:
        self.parts.load.record_report(self.build_report())
        load = self.parts.load
        placer = self.placer
        if load.cold is not None and placer is not None:
            record, vm = placer.record, self.local_instance.vm
            load.cold.apply_state(
                load.cold.build_shares(vm, record.term, record.tables)
            )
        own = load.in_flight.get(self.local_instance.vm, {})
        self.parts.estimates.set_in_flight(load.in_flight_totals(), own)
        self.parts.sharing.apply(load.shares.compute(load.clock()))
        load.share_work(self.parts.estimates)
        self.follower.peers.update(
            [self.local_instance, *self.leader.roster.instances()]
        )

    def build_report(self) -> pb.FleetReport:
        """Return load and status of this VM since its last report."""
        report = pb.FleetReport(
            vm=self.local_instance.vm,
            instance=self.local_instance.instance,
            data_centre=self.data_centre,
            peer_address=self.local_instance.address,
            cores=self.local_instance.cores,
            accepts_patches=True,
            keys=serialize_keys(
                self.parts.router.pop_key_counts(), self.parts.estimates.pop_key_work()
            ),
            store_reachable=self._is_store_reachable(),
            leaving=self.leaving,
            routes=self.parts.sharing.pop_reports(),
        )
        for name, started_ms in self.parts.load.targets.announced_leaving.items():
            report.targets.add(target=name, leaving=True, started_ms=started_ms)
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
        add_work_report(report, self.parts.estimates)
        cold = self.parts.load.cold
        if cold is not None:
            report.targets.extend(cold.build_reports())
        return report

    def _is_store_reachable(self) -> bool:
        """Return whether the store answers, by a probe if the placer can't reach it."""
        if self.follower.placer_lost_store():
            return self.follower.probe.has_store_answered()
        return self.parts.store_reachable()

    def _build_answer(self) -> pb.FleetAnswer:
        return pb.FleetAnswer(
            instance=self.local_instance.instance,
            hears_placer=self.is_connected(),
            term=self.parts.owners.term,
            placer_address=self._placer_address(),
        )

    def _placer_address(self) -> str:
        if self.placer is not None:
            return self.local_instance.address
        followed_placer = self.follower.followed_placer
        return followed_placer.address if followed_placer else ""


def _names_other_placer(found: StoredObject, holder: DaemonInstance) -> bool:
    """Return whether a stored record is valid and names another placer."""
    try:
        return parse_record(found.value).holder != holder
    except InvalidRecord:
        # The next iteration reads it again and logs the error.
        return False
