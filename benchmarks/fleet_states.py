"""Measure what the placer's states cost it per member (gateway mode).

States carry the requests in flight four times a second, and each change of the owner
tables. No network and no other processes take part.
"""

import random
import time
from types import SimpleNamespace

from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.roster import Roster
from peridot_gateway.states import SentState, StateWriter
from peridot_ownership.placer import Placer
from peridot_ownership.ranges import KEY_SPACE, KeyRange, OwnedRange, RangeTable
from peridot_ownership.record import DaemonInstance, PlacementRecord
from peridot_wire import peridot_pb2 as pb

SIZES = ((10, 33), (65, 143), (195, 331))
RANGES = 500
BUSY_TARGETS_PER_VM = 6
ROUNDS = 5
LOCAL_INSTANCE = DaemonInstance("vm", "vm-1", "10.1.0.1:7540")


def make_targets(rng: random.Random, count: int) -> SimpleNamespace:
    """Return a source of targets whose entries don't change."""
    names = {f"i-{rng.randrange(1 << 40):010x}": None for _ in range(count)}
    return SimpleNamespace(
        targets=names,
        known_version=5,
        age_s=0.1,
        reachable=True,
        loaded=True,
        change_count=0,
        revision=5,
        entries={},
        changes_since=lambda count: [],
    )


class StateBenchmark:
    """A placer with a number of members and targets."""

    def __init__(self, members: int, targets: int) -> None:
        rng = random.Random(1)
        source = make_targets(rng, targets)
        self.names = list(source.targets)
        load = FleetLoad(SimpleNamespace(known_version=3), source)
        roster = Roster()
        for number in range(members):
            report = pb.FleetReport(
                vm=f"vm-{number:04}",
                instance=f"{rng.randrange(1 << 120):032x}",
                peer_address="10.1.0.2:7540",
                accepts_patches=True,
            )
            for name in rng.sample(self.names, BUSY_TARGETS_PER_VM):
                report.targets.add(target=name, in_flight=1, finished=2)
            roster.record_report(report)
            load.record_report(report)
        width = KEY_SPACE // RANGES
        starts = [number * width for number in range(RANGES)]
        ends = [*starts[1:], KEY_SPACE]
        self.table = RangeTable(
            [
                OwnedRange(KeyRange(start, end), rng.choice(self.names), 1)
                for start, end in zip(starts, ends, strict=True)
            ]
        )
        record = PlacementRecord(3, LOCAL_INSTANCE, tables={"files": self.table})
        self.placer = SimpleNamespace(
            record=record,
            sequence=1,
            moving={},
            record_writer=SimpleNamespace(store_lost=False),
        )
        self.placer.routable_tables = lambda: Placer.routable_tables(self.placer)
        self.writer = StateWriter(LOCAL_INSTANCE, roster, load)
        self.sent = {vm: SentState() for vm in roster.members}

    def send_all(self, in_flight: bool) -> tuple[float, float]:
        """Build one state for each member; return the time (us) and bytes of one."""
        started_at, size = time.process_time(), 0
        for vm, sent in self.sent.items():
            sent.in_flight_sent_at = float("-inf") if in_flight else float("inf")
            state = self.writer.build_state(self.placer, vm, sent)
            size += len(state.SerializeToString())
        took_s = time.process_time() - started_at
        return 1e6 * took_s / len(self.sent), size / len(self.sent)

    def change_owner(self) -> None:
        """Move one key."""
        self.placer.sequence += 1
        key = KeyRange(self.placer.sequence, self.placer.sequence + 1)
        owner = self.names[self.placer.sequence % len(self.names)]
        self.table.assign(key, owner, self.placer.sequence)


def main() -> None:
    """Print the cost of a state for each size of fleet."""
    for members, targets in SIZES:
        benchmark = StateBenchmark(members, targets)
        benchmark.send_all(True)
        in_flight = min(benchmark.send_all(True) for _ in range(ROUNDS))
        changes = []
        for _ in range(ROUNDS):
            benchmark.change_owner()
            changes.append(benchmark.send_all(False))
        print(
            f"members={members} targets={targets}"
            f" in_flight_us={in_flight[0]:.0f} in_flight_bytes={in_flight[1]:.0f}"
            f" change_us={min(changes)[0]:.0f} change_bytes={changes[-1][1]:.0f}"
        )


if __name__ == "__main__":
    main()
