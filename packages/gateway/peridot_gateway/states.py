"""States: incremental messages from the placer to its members."""

from dataclasses import dataclass, field
from time import monotonic

from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.fleetwork import WorkState, state_period_s
from peridot_gateway.messages import (
    parse_tables,
    serialize_age,
    serialize_entry,
    serialize_patch,
    serialize_tables,
)
from peridot_gateway.owners import OwnerTable, diff_tables
from peridot_gateway.roster import Roster
from peridot_ownership.placer import Placer
from peridot_ownership.record import DaemonInstance
from peridot_wire import peridot_pb2 as pb

# Requests in flight change within the processing time of a request.
IN_FLIGHT_PERIOD_S = 0.25
# The list of members is sent at most this often per member of the list: it changes with
# each VM that starts or stops, and has an entry for each.
ROSTER_PERIOD_S = 0.005
# A list of fewer members is sent whenever it changes.
SMALL_ROSTER = 16
# While targets come and go, many members get their names, of some kilobytes, at most
# this often. New targets have no counts until then.
NAMES_PERIOD_S = 2.0
# Unchanged shares are sent this often: members use none that are older than 2 s.
SHARES_PERIOD_S = 0.75
# Number of last tables that are kept to send members the changes since.
KEPT_TABLES = 16


@dataclass
class SentState:
    """What has been sent to one member."""

    term: int = 0
    sequence: int = 0
    roster_version: int = -1
    roster_sent_at: float = float("-inf")
    in_flight_sent_at: float = float("-inf")
    in_flight_names: tuple[str, ...] = ()
    shares: list[pb.RouteState] = field(default_factory=list)
    shares_sent_at: float = float("-inf")
    work_sent_at: float = float("-inf")
    # TargetSource.change_count at the last message; None before the first list.
    change_count: int | None = None


@dataclass
class StateWriter:
    """Build the placer's state messages for its members."""

    local_instance: DaemonInstance
    roster: Roster
    load: FleetLoad
    # The last serialized tables, and their term and sequence.
    tables: list[pb.OwnerTable] = field(default_factory=list)
    tables_version: tuple[int, int] | None = None
    # The last tables by sequence, and the changes since each of them.
    parsed_tables: dict[int, dict[str, OwnerTable]] = field(default_factory=dict)
    patches: dict[int, list[pb.OwnerPatch]] = field(default_factory=dict)
    # The last counts of requests in flight and their targets, and when they were made.
    in_flight_names: tuple[str, ...] = ()
    in_flight_names_at: float = float("-inf")
    in_flight_counts: list[int] = field(default_factory=list)
    in_flight_at: float = float("-inf")
    in_flight_indexes: dict[str, int] = field(default_factory=dict)
    in_flight_by_vm: dict[str, dict[str, int]] = field(default_factory=dict)
    work: WorkState = field(default_factory=WorkState)

    def build_state(self, placer: Placer, vm: str, sent: SentState) -> pb.FleetState:
        """Return the state for a member, without what it has been sent already."""
        store_reachable = not placer.record_writer.store_lost
        state = pb.FleetState(
            term=placer.record.term,
            sequence=placer.sequence,
            leading=True,
            store_reachable=store_reachable,
            configuration_version=self.load.configuration.known_version,
            targets_version=self.load.targets.known_version,
            targets_age_ms=serialize_age(self.load.targets.age_s),
        )
        if placer.sequence != sent.sequence:
            self._add_tables(state, placer, vm, sent)
            sent.sequence = placer.sequence
        if self.roster.version != sent.roster_version and self._is_roster_due(sent):
            self._add_members(state)
            sent.roster_version = self.roster.version
            sent.roster_sent_at = monotonic()
        if monotonic() >= sent.in_flight_sent_at + IN_FLIGHT_PERIOD_S:
            self._add_in_flight(state, vm, sent)
            self._add_shares(state, sent)
            sent.in_flight_sent_at = monotonic()
        if self.load.cold is not None:
            state.cold_targets.extend(
                self.load.cold.build_shares(
                    vm, placer.record.term, placer.record.tables
                )
            )
        if self.load.evacuations is not None:
            self._add_evacuations(state)
        if self.load.targets.reachable and self.load.targets.loaded:
            self._add_target_entries(state, sent)
        return state

    def current_tables(self, placer: Placer) -> list[pb.OwnerTable]:
        """Return the owner tables, serialized once for all members."""
        current = placer.record.term, placer.sequence
        if current != self.tables_version:
            if self.tables_version is None or self.tables_version[0] != current[0]:
                self.parsed_tables.clear()
            self.tables = serialize_tables(placer.routable_tables())
            self.tables_version = current
            self.patches.clear()
            self.parsed_tables[placer.sequence] = parse_tables(self.tables)
            while len(self.parsed_tables) > KEPT_TABLES:
                del self.parsed_tables[min(self.parsed_tables)]
        return self.tables

    def _add_tables(
        self, state: pb.FleetState, placer: Placer, vm: str, sent: SentState
    ) -> None:
        """Add the changes since a member's tables, or all tables if that is less."""
        tables = self.current_tables(placer)
        patches = self._find_patches(placer.sequence, sent.sequence)
        is_current_term = sent.term == placer.record.term
        if is_current_term and patches and self.roster.accepts_patches(vm):
            state.patches.extend(patches)
            state.patched_sequence = sent.sequence
        else:
            state.tables.extend(tables)
        sent.term = placer.record.term

    def _find_patches(self, sequence: int, since: int) -> list[pb.OwnerPatch]:
        """Return the changes since a sequence, empty if all tables must be sent."""
        if since not in self.patches:
            old, new = self.parsed_tables.get(since), self.parsed_tables[sequence]
            self.patches[since] = []
            if old is not None and old.keys() == new.keys():
                self.patches[since] = [
                    serialize_patch(service, diff_tables(old[service], new[service]))
                    for service in new
                ]
        return self.patches[since]

    def _add_target_entries(self, state: pb.FleetState, sent: SentState) -> None:
        """Add the changes of targets, so that members need no watch of the store."""
        targets = self.load.targets
        changes = None
        if sent.change_count is not None:
            changes = targets.changes_since(sent.change_count)
        if changes is None:
            state.entries_listed = True
            changes = targets.entries.values()
        state.entries.extend(
            serialize_entry(change, targets.leaving_for_s(change.name))
            for change in changes
        )
        state.entries_revision = targets.revision
        sent.change_count = targets.change_count

    def _add_evacuations(self, state: pb.FleetState) -> None:
        """Add the evacuated zones if the store confirms them."""
        evacuations = self.load.evacuations
        revision = evacuations.confirmed_revision
        if revision:
            state.evacuations_listed = True
            state.evacuated_zones.extend(evacuations.zones)
            state.evacuations_version = revision

    def _add_members(self, state: pb.FleetState) -> None:
        state.members_listed = True
        for holder in [self.local_instance, *self.roster.instances()]:
            state.members.add(
                vm=holder.vm,
                instance=holder.instance,
                peer_address=holder.address,
                cores=holder.cores,
            )

    def _is_roster_due(self, sent: SentState) -> bool:
        count = len(self.roster.members)
        if count < SMALL_ROSTER:
            return True
        return monotonic() >= sent.roster_sent_at + ROSTER_PERIOD_S * count

    def _add_shares(self, state: pb.FleetState, sent: SentState) -> None:
        """Add the shares of routes if they have changed or are due."""
        shares = self.load.shares.publish(self.load.clock())
        is_due = monotonic() >= sent.shares_sent_at + SHARES_PERIOD_S
        if shares and (is_due or shares is not sent.shares):
            state.routes.extend(shares)
            sent.shares, sent.shares_sent_at = shares, monotonic()

    def _are_names_due(self, now: float) -> bool:
        """Return whether to send the names of all targets again if they changed."""
        return (
            len(self.roster.members) < SMALL_ROSTER
            or now >= self.in_flight_names_at + NAMES_PERIOD_S
        )

    def _add_in_flight(self, state: pb.FleetState, vm: str, sent: SentState) -> None:
        now = monotonic()
        if now >= self.in_flight_at + IN_FLIGHT_PERIOD_S / 2:
            totals = self.load.in_flight_totals()
            if self._are_names_due(now):
                self.in_flight_names = tuple(self.load.targets.targets)
                self.in_flight_names_at = now
            self.in_flight_counts = [totals[name] for name in self.in_flight_names]
            self.in_flight_indexes = {n: i for i, n in enumerate(self.in_flight_names)}
            # The parts that the totals consist of, also after later reports.
            self.in_flight_by_vm = dict(self.load.in_flight)
            self.in_flight_at = now
            self.work.update(self.load.work, self.in_flight_names, self.load.clock())
        if sent.in_flight_names != self.in_flight_names:
            state.in_flight_names.extend(self.in_flight_names)
            sent.in_flight_names = self.in_flight_names
        state.in_flight_counts.extend(self.in_flight_counts)
        for name, count in self.in_flight_by_vm.get(vm, {}).items():
            if name in self.in_flight_indexes:
                state.own_in_flight_indexes.append(self.in_flight_indexes[name])
                state.own_in_flight_counts.append(count)
        period_s = state_period_s(len(self.roster.members), IN_FLIGHT_PERIOD_S)
        if now >= sent.work_sent_at + period_s:
            self.work.add_to(state)
            sent.work_sent_at = now
