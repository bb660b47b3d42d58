"""States: what the placer tells its members, as little as they need."""

from dataclasses import dataclass, field
from time import monotonic

from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.messages import serialize_age, serialize_entry, serialize_tables
from peridot_gateway.roster import Roster
from peridot_ownership.placer import Placer
from peridot_ownership.record import Holder
from peridot_wire import peridot_pb2 as pb

# Requests in flight change within the time of a request's work.
TARGETS_PERIOD_S = 0.25


@dataclass
class SentState:
    """Hold what one member has been told."""

    sequence: int = 0
    roster_version: int = -1
    targets_at: float = float("-inf")
    # Number of changes of targets' entries; None before the first list.
    entry_changes: int | None = None


@dataclass
class StateWriter:
    """Describe the term that runs here to its members."""

    me: Holder
    roster: Roster
    load: FleetLoad
    # The last tables and the term and sequence that they belong to.
    tables: list[pb.OwnerTable] = field(default_factory=list)
    tables_of: tuple[int, int] | None = None

    def describe(self, placer: Placer, vm: str, sent: SentState) -> pb.FleetState:
        """Return the state for a member; what it knows already is left out."""
        has_store = not placer.recorder.store_lost
        state = pb.FleetState(
            term=placer.record.term,
            sequence=placer.sequence,
            leading=True,
            store_reachable=has_store,
            configuration_version=self.load.configuration.known_version,
            targets_version=self.load.targets.known_version,
            targets_age_ms=serialize_age(self.load.targets.age_s),
        )
        if placer.sequence != sent.sequence:
            state.tables.extend(self.current_tables(placer))
            sent.sequence = placer.sequence
        if self.roster.version != sent.roster_version:
            self._add_members(state)
            sent.roster_version = self.roster.version
        if monotonic() >= sent.targets_at + TARGETS_PERIOD_S:
            self._add_targets(state, vm)
            sent.targets_at = monotonic()
        if self.load.targets.reachable and self.load.targets.loaded:
            self._add_entries(state, sent)
        return state

    def current_tables(self, placer: Placer) -> list[pb.OwnerTable]:
        """Return the tables of all services, serialised once for all members."""
        current = placer.record.term, placer.sequence
        if current != self.tables_of:
            self.tables = serialize_tables(placer.settled_tables())
            self.tables_of = current
        return self.tables

    def _add_entries(self, state: pb.FleetState, sent: SentState) -> None:
        """Tell the changes of targets' announcements, so that members don't ask."""
        targets = self.load.targets
        changes = None
        if sent.entry_changes is not None:
            changes = targets.changes_since(sent.entry_changes)
        if changes is None:
            state.entries_listed = True
            changes = targets.entries.values()
        state.entries.extend(
            serialize_entry(change, targets.leaving_s(change.name))
            for change in changes
        )
        state.entries_revision = targets.revision
        sent.entry_changes = targets.change_count

    def _add_members(self, state: pb.FleetState) -> None:
        state.members_listed = True
        for holder in [self.me, *self.roster.holders()]:
            state.members.add(
                vm=holder.vm, instance=holder.instance, peer_address=holder.address
            )

    def _add_targets(self, state: pb.FleetState, vm: str) -> None:
        state.targets_listed = True
        for name, count in self.load.others_in_flight(vm).items():
            state.targets.add(target=name, in_flight=count)
