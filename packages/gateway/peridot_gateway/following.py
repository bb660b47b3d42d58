"""Following: what this VM hears from the placer, and knows of it when it is lost."""

from collections.abc import Callable
from time import monotonic

from peridot_gateway.estimates import Estimates
from peridot_gateway.links import SILENT_S, LinkEnd, follow_placer
from peridot_gateway.messages import (
    parse_entry,
    parse_leaving,
    parse_rights,
    parse_tables,
)
from peridot_gateway.owners import Owners
from peridot_gateway.probe import StoreProbe
from peridot_gateway.roster import Peers
from peridot_gateway.succession import PlacerSighting
from peridot_gateway.targets import TargetSource
from peridot_ownership.record import Holder
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_wire import peridot_pb2 as pb

# So many VMs find out whether the store answers when the placer misses it.
PROBING_VMS = 6


class Following:
    """Take in a placer's states."""

    def __init__(
        self,
        me: Holder,
        owners: Owners,
        estimates: Estimates,
        targets: TargetSource,
        probe: StoreProbe,
        log: DecisionLog,
    ) -> None:
        self.me = me
        self.owners = owners
        self.estimates = estimates
        self.targets = targets
        self.probe = probe
        self.log = log
        self.peers = Peers()
        self.heard_at = float("-inf")
        self.followed: Holder | None = None
        # The placer that was heard last.
        self.sighting: PlacerSighting | None = None
        # Versions of the newest configuration and target that the placer knows of.
        self.newest: tuple[int, int] = (0, 0)

    def hears_placer(self) -> bool:
        """Tell whether the placer was heard lately and its link hasn't ended."""
        return monotonic() - self.heard_at < SILENT_S

    def vouched(self) -> tuple[int, int] | None:
        """Return the newest versions that exist, None if no placer can tell."""
        sighting = self.sighting
        if sighting is None or not sighting.has_store or not self.hears_placer():
            return None
        return self.newest if all(self.newest) else None

    def misses_store(self) -> bool:
        """Tell whether the placer is heard and says that it misses the store."""
        sighting = self.sighting
        return self.hears_placer() and sighting is not None and not sighting.has_store

    async def follow(
        self, holder: Holder, build_report: Callable[[], pb.FleetReport]
    ) -> LinkEnd:
        """Report to a placer and take its states until the link ends."""
        self.followed = holder
        end = await follow_placer(holder.address, build_report, self.take_state)
        self.heard_at = float("-inf")
        self.targets.end_feed()
        self.log.write("placer_lost", placer=holder.vm, reason=end)
        return end

    def take_state(self, state: pb.FleetState) -> None:
        """Take in what a placer tells, or one that gave its term up."""
        if not state.leading:
            if state.resigned:
                self._take_resignation(state)
            return
        if not self.hears_placer() or self._is_other_term(state.term):
            self.log.write("placer_heard", term=state.term)
        self.sighting = PlacerSighting(state.term, boot_time(), state.store_reachable)
        self.heard_at = monotonic()
        self.newest = state.configuration_version, state.targets_version
        self._note_store(state.store_reachable)
        if state.tables:
            tables = parse_tables(state.tables)
            self.owners.take(state.term, state.sequence, tables)
        if state.members_listed:
            self.peers.take(
                Holder(m.vm, m.instance, m.peer_address) for m in state.members
            )
        else:
            self.peers.take(self.peers.holders)
        self._take_entries(state)
        if state.targets_listed:
            in_flight = {item.target: item.in_flight for item in state.targets}
            self.estimates.take_others(in_flight)

    def _take_entries(self, state: pb.FleetState) -> None:
        """Take in the announcements of targets, or that there are no newer ones."""
        kind = self.targets.kind
        self.targets.feed(
            [parse_entry(kind, item) for item in state.entries],
            state.entries_listed,
            state.entries_revision,
            state.targets_age_ms / 1000,
            parse_leaving(state.entries),
        )

    def _is_other_term(self, term: int) -> bool:
        return self.sighting is None or self.sighting.term != term

    def _take_resignation(self, state: pb.FleetState) -> None:
        now = boot_time()
        rights = parse_rights(state, now)
        self.sighting = PlacerSighting(state.term, now, False, resigned=rights)

    def _note_store(self, reachable: bool) -> None:
        """Have a few VMs probe the store while the placer misses it."""
        if reachable:
            self.probe.end()
        elif self.peers.is_sampled(self.me.vm, PROBING_VMS):
            self.probe.want()

    def note_missed_by(self, count: int) -> None:
        """Take in how many VMs miss the placer, this one included."""
        sighting = self.sighting
        if sighting is not None and sighting.missed_at is None:
            if 2 * count > self.peers.most:
                sighting.missed_at = boot_time()
