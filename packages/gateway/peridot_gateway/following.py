"""FollowerRole: this VM's link to the placer and what it knows of a lost one."""

import asyncio
from collections.abc import Callable, Iterable
from time import monotonic

from peridot_gateway.coldtargets import ColdTargets
from peridot_gateway.estimates import Estimates
from peridot_gateway.evacuations import Evacuations
from peridot_gateway.fleetwork import apply_work_state
from peridot_gateway.links import HEARTBEAT_TIMEOUT_S, LinkEndReason, follow_placer
from peridot_gateway.messages import (
    parse_entry,
    parse_leaving_times,
    parse_patches,
    parse_resignation,
    parse_tables,
)
from peridot_gateway.owners import Owners
from peridot_gateway.probe import StoreProbe
from peridot_gateway.roster import Peers
from peridot_gateway.succession import ObservedPlacer
from peridot_gateway.targets import TargetSource
from peridot_ownership.record import DaemonInstance
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_wire import peridot_pb2 as pb

# Number of VMs that probe the store while it is unreachable for the placer.
PROBING_VM_COUNT = 6


class FollowerRole:
    """Follow a placer: report to it and apply the states that it sends."""

    def __init__(
        self,
        local_instance: DaemonInstance,
        owners: Owners,
        estimates: Estimates,
        targets: TargetSource,
        probe: StoreProbe,
        log: DecisionLog,
        cold: ColdTargets | None = None,
        evacuations: Evacuations | None = None,
    ) -> None:
        self.local_instance = local_instance
        self.owners = owners
        self.estimates = estimates
        self.targets = targets
        self.probe = probe
        self.log = log
        self.cold = cold
        self.evacuations = evacuations
        self.peers = Peers()
        self.last_state_at = float("-inf")
        self.followed_placer: DaemonInstance | None = None
        # The placer that sent the last state.
        self.observed_placer: ObservedPlacer | None = None
        # Newest versions of configuration and targets that the placer knows.
        self.latest_versions: tuple[int, int] = (0, 0)
        # The targets whose requests in flight the placer sends, in its order.
        self.in_flight_names: list[str] = []
        # Applies the states of routes that the placer sends.
        self.handle_routes: Callable[[Iterable[pb.RouteState]], None] = lambda _: None

    def is_connected(self) -> bool:
        """Return whether the link to the placer is up and its last state is recent."""
        return monotonic() - self.last_state_at < HEARTBEAT_TIMEOUT_S

    def confirmed_versions(self) -> tuple[int, int] | None:
        """Return the newest versions stored, None if no placer confirms them."""
        observed = self.observed_placer
        if observed is None or not observed.store_reachable or not self.is_connected():
            return None
        return self.latest_versions if all(self.latest_versions) else None

    def placer_lost_store(self) -> bool:
        """Return whether the placer is followed and reports the store unreachable."""
        observed = self.observed_placer
        return (
            self.is_connected()
            and observed is not None
            and not observed.store_reachable
        )

    async def follow(
        self, holder: DaemonInstance, build_report: Callable[[], pb.FleetReport]
    ) -> LinkEndReason:
        """Report to a placer and apply its states until the link ends."""
        self.followed_placer = holder
        end_reason = await follow_placer(
            holder.address,
            build_report,
            self.handle_state,
            self.cold.wait_for_report if self.cold is not None else asyncio.sleep,
        )
        self.last_state_at = float("-inf")
        self.targets.end_push()
        if self.evacuations is not None:
            self.evacuations.end_push()
        self.log.write("placer_lost", placer=holder.vm, reason=end_reason)
        return end_reason

    def handle_state(self, state: pb.FleetState) -> None:
        """Apply the state of a placer, or record the leases of one that resigned."""
        if not state.leading:
            if state.resigned:
                self._record_resignation(state)
            return
        if not self.is_connected() or self._is_other_term(state.term):
            self.log.write("placer_heard", term=state.term)
        self.observed_placer = ObservedPlacer(
            state.term, boot_time(), state.store_reachable
        )
        self.last_state_at = monotonic()
        self.latest_versions = state.configuration_version, state.targets_version
        self._update_probe(state.store_reachable)
        if state.tables:
            tables = parse_tables(state.tables)
            self.owners.update(state.term, state.sequence, tables)
        elif state.patches:
            self.owners.patch(
                state.term,
                state.sequence,
                state.patched_sequence,
                parse_patches(state.patches),
            )
        if state.members_listed:
            self.peers.update(
                DaemonInstance(m.vm, m.instance, m.peer_address, m.cores)
                for m in state.members
            )
        else:
            self.peers.update(self.peers.instances)
        self._apply_target_entries(state)
        if self.evacuations is not None:
            self.evacuations.apply_pushed(
                state.evacuations_listed,
                state.evacuated_zones,
                state.evacuations_version,
            )
        if self.cold is not None:
            self.cold.apply_state(state.cold_targets)
        if any(item.admit_permille for item in state.routes):
            self.handle_routes(state.routes)
        self._apply_load(state)

    def _apply_load(self, state: pb.FleetState) -> None:
        """Apply the requests and the work in flight of all VMs."""
        if state.in_flight_names:
            self.in_flight_names = list(state.in_flight_names)
        if len(state.in_flight_counts) == len(self.in_flight_names):
            names = self.in_flight_names
            totals = dict(zip(names, state.in_flight_counts, strict=True))
            indexes, counts = state.own_in_flight_indexes, state.own_in_flight_counts
            own = {names[i]: count for i, count in zip(indexes, counts, strict=True)}
            self.estimates.set_in_flight(totals, own)
            self._apply_work(state)

    def _apply_work(self, state: pb.FleetState) -> None:
        dropped = apply_work_state(self.estimates, self.in_flight_names, state)
        if dropped:
            self.log.write("figure_dropped", figure="state", dropped=dropped)

    def _apply_target_entries(self, state: pb.FleetState) -> None:
        """Apply the changes of targets that the placer pushed, if there are any."""
        kind = self.targets.kind
        self.targets.apply_pushed(
            [parse_entry(kind, item) for item in state.entries],
            state.entries_listed,
            state.entries_revision,
            state.targets_age_ms / 1000,
            parse_leaving_times(state.entries),
        )

    def _is_other_term(self, term: int) -> bool:
        return self.observed_placer is None or self.observed_placer.term != term

    def _record_resignation(self, state: pb.FleetState) -> None:
        now = boot_time()
        earlier_leases = parse_resignation(state, now)
        self.observed_placer = ObservedPlacer(
            state.term, now, False, resigned=earlier_leases
        )

    def _update_probe(self, reachable: bool) -> None:
        """Probe the store from a few VMs while it is unreachable for the placer."""
        if reachable:
            self.probe.reset()
        elif self.peers.is_sampled(self.local_instance.vm, PROBING_VM_COUNT):
            self.probe.request()

    def record_placer_loss(self, count: int) -> None:
        """Record how many VMs have lost the placer, this one included."""
        observed = self.observed_placer
        if observed is not None and observed.lost_by_majority_at is None:
            if 2 * count > self.peers.peak_count:
                observed.lost_by_majority_at = boot_time()
