"""Status object of a data centre, written by its placer (peridotd)."""

import asyncio
from dataclasses import asdict, dataclass
from datetime import UTC, datetime

import orjson

from peridot_daemon.replica import Replica
from peridot_objects.objects import ObjectStore
from peridot_placement.clock import boot_time
from peridot_placement.keeper import TermElector
from peridot_placement.placer import Placer
from peridot_resources.catalog import Kind

STATUS_PERIOD_S = 1.0
# An unchanged status is written again after this long, as a heartbeat.
REWRITE_PERIOD_S = 15.0
# A younger replica counts as current: a watch confirms it every few seconds.
FRESH_REPLICA_S = 10.0


@dataclass(frozen=True)
class Condition:
    """A condition of the data centre, why it holds or not, and since when."""

    type: str
    holds: bool
    reason: str
    since: str


@dataclass(frozen=True)
class TargetStatus:
    """A target's state and number of slices, as the placer sees them."""

    state: str
    owned_slices: int
    moving_slices: int


@dataclass(frozen=True)
class DataCentreStatus:
    """Status of a data centre; the field names are the JSON keys."""

    data_centre: str
    term: int
    placer: str
    accepted_revision: int
    revision_in_force: int
    vm_revisions: dict[str, int]
    targets: dict[str, TargetStatus]
    conditions: list[Condition]
    replica_age_s: float


class StatusWriter:
    """Write the status object while this VM is the placer."""

    def __init__(
        self,
        store: ObjectStore,
        elector: TermElector,
        replica: Replica,
        data_centre: str,
    ) -> None:
        self.store = store
        self.elector = elector
        self.replica = replica
        self.data_centre = data_centre
        self.last_value = b""
        self.written_at = float("-inf")
        self.since: dict[tuple[str, bool, str], str] = {}

    async def run(self) -> None:
        """Write the status when it changes, at a limited rate, until cancelled."""
        while True:
            await asyncio.sleep(STATUS_PERIOD_S)
            placer = self.elector.placer
            if placer is None or not placer.ready:
                self.last_value = b""
                continue
            value = orjson.dumps(asdict(self.build_status(placer)))
            now = boot_time()
            if value == self.last_value and now - self.written_at < REWRITE_PERIOD_S:
                continue
            self.last_value = value
            self.written_at = now
            await self.store.write(Kind.STATUS, self.data_centre, value, None)

    def build_status(self, placer: Placer) -> DataCentreStatus:
        """Return the current status as the placer sees it."""
        revisions = {
            entry.holder.vm: entry.config_revision
            for entry in placer.placement.ledger.entries.values()
            if not entry.leaving
        }
        accepted = self.replica.catalog.revision
        in_force = min(revisions.values(), default=0)
        return DataCentreStatus(
            self.data_centre,
            placer.placement.held.record.number,
            self.elector.local_instance.vm,
            accepted,
            in_force,
            dict(sorted(revisions.items())),
            self._build_targets(placer),
            self._build_conditions(placer, accepted, in_force),
            round(self.replica.age_s, -1)
            if self.replica.age_s > FRESH_REPLICA_S
            else 0.0,
        )

    def _build_targets(self, placer: Placer) -> dict[str, TargetStatus]:
        owned: dict[str, int] = {}
        moving: dict[str, int] = {}
        for state in placer.placement.states.values():
            for item in state.assignment.table:
                if item.owner is None:
                    continue
                counts = owned if item.settled else moving
                counts[item.owner] = counts.get(item.owner, 0) + 1
        statuses = {}
        for name, target in sorted(self.replica.catalog.targets.items()):
            if target.data_centre != self.data_centre:
                continue
            state = "leaving" if target.leaving else "live"
            if name in placer.placement.lost_targets:
                state = "lost"
            statuses[name] = TargetStatus(
                state, owned.get(name, 0), moving.get(name, 0)
            )
        return statuses

    def _build_conditions(
        self, placer: Placer, accepted: int, in_force: int
    ) -> list[Condition]:
        invalid = sorted(
            f"{kind}/{name}" for kind, name in self.replica.invalid_objects
        )
        revisions_text = f"lowest {in_force} of {accepted}"
        return [
            self._build_condition("InForce", in_force >= accepted, revisions_text),
            self._build_condition(
                "ObjectsValid", not invalid, ",".join(invalid) or "all"
            ),
            self._build_condition(
                "StoreReachable",
                placer.placement.store_available,
                "last assignment write",
            ),
            self._build_condition(
                "TargetsLive",
                not placer.placement.lost_targets,
                ",".join(sorted(placer.placement.lost_targets)),
            ),
        ]

    def _build_condition(self, kind: str, holds: bool, reason: str) -> Condition:
        key = (kind, holds, reason)
        if key not in self.since:
            self.since = {k: v for k, v in self.since.items() if k[0] != kind}
            self.since[key] = datetime.now(UTC).isoformat(timespec="seconds")
        return Condition(kind, holds, reason, self.since[key])
