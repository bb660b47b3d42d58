"""Pick a target for requests to services that aren't divided by key."""

import random
from collections.abc import Collection
from dataclasses import dataclass
from time import monotonic

from peridot_gateway.coldtargets import ColdTargets
from peridot_gateway.estimates import Estimates
from peridot_gateway.evacuations import Evacuations
from peridot_resources.configuration import TargetInstance

# More candidates find a better target; fewer keep VMs from picking the same one.
LOCAL_CANDIDATES = 3
REMOTE_CANDIDATES = 3
# A target in another data centre must be expected to respond sooner by this factor:
# traffic between data centres is expensive, and local targets stay reachable if the
# data centre is cut off. Requests leave it only for a local wait of more than 0.3
# processing times.
REMOTE_FACTOR = 1.3
# A target's cost grows by this factor times its failure rate.
FAILURE_FACTOR = 8.0
# A target that has just started takes longer by this factor.
WARM_UP_FACTOR = 2.0


@dataclass
class Picker:
    """Pick the target that is expected to respond first from a random sample."""

    data_centre: str
    estimates: Estimates
    rng: random.Random
    cold: ColdTargets | None = None
    evacuations: Evacuations | None = None

    def pick(
        self, targets: Collection[TargetInstance], tried: Collection[str]
    ) -> TargetInstance | None:
        """Return a target that takes requests and wasn't tried, or None."""
        now = monotonic()
        draw = self.rng.random() if self.cold is not None else 0.0
        usable = [
            t
            for t in targets
            if not t.leaving
            and t.name not in tried
            and self.estimates.gone_for_s(t.name) is None
            and not self.estimates.pause_remaining_s(t.name)
            and self._may_send(t, draw)
        ]
        healthy = [t for t in usable if self.estimates.get(t.name).avoid_until <= now]
        eligible = healthy or usable
        if not eligible:
            return None
        local = [t for t in eligible if t.data_centre == self.data_centre]
        remote = [t for t in eligible if t.data_centre != self.data_centre]
        candidates = self._sample(local, LOCAL_CANDIDATES) + self._sample(
            remote, REMOTE_CANDIDATES
        )
        picked = min(candidates, key=lambda target: self._cost(target, now))
        if self.cold is not None and not self.cold.take(picked, draw):
            return None
        return picked

    def _may_send(self, target: TargetInstance, draw: float) -> bool:
        if self.evacuations is not None and self.evacuations.is_evacuated(target):
            return False
        return self.cold is None or self.cold.may_send(target, draw)

    def shortest_pause_s(
        self, targets: Collection[TargetInstance], tried: Collection[str]
    ) -> float:
        """Return when a paused target takes requests again (s), 0 if none is paused."""
        pauses = [
            self.estimates.pause_remaining_s(t.name)
            for t in targets
            if not t.leaving and t.name not in tried
        ]
        return min((pause_s for pause_s in pauses if pause_s > 0), default=0.0)

    def _sample(
        self, targets: list[TargetInstance], count: int
    ) -> list[TargetInstance]:
        return self.rng.sample(targets, min(count, len(targets)))

    def _cost(self, target: TargetInstance, now: float) -> float:
        estimate = self.estimates.get(target.name)
        cost = estimate.expected_latency_s(target.slots, now)
        # Among idle targets, prefer the one with more free slots.
        cost *= 1 + 0.1 * estimate.total_in_flight(now) / target.slots
        cost *= 1 + FAILURE_FACTOR * estimate.current_failure_rate(now)
        if target.warm_up_left_s > 0 and not estimate.measured:
            cost *= WARM_UP_FACTOR
        if target.data_centre != self.data_centre:
            cost *= REMOTE_FACTOR
        return cost
