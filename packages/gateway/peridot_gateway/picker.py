"""Pick a target for requests of services that any target may answer."""

import random
from collections.abc import Collection
from dataclasses import dataclass
from time import monotonic

from peridot_gateway.estimates import Estimates
from peridot_resources.configuration import ServingTarget

# More candidates follow the best one closer; fewer avoid that all VMs pick alike.
NEAR_CANDIDATES = 3
FAR_CANDIDATES = 3
# A target elsewhere must be expected to answer this much sooner: bytes between data
# centres are dear, and nearby targets go on if the data centre is cut off. With less
# than this share of a work time to wait nearby, nobody waits longer for it.
REMOTE_FACTOR = 1.3
# Each failed share of attempts makes a target look slower by this factor.
FAILURE_FACTOR = 8.0
# A target that has just started takes this factor longer.
COLD_FACTOR = 2.0


@dataclass
class Picker:
    """Pick the target that is expected to answer first, among a few."""

    data_centre: str
    estimates: Estimates
    rng: random.Random

    def pick(
        self, targets: Collection[ServingTarget], tried: Collection[str]
    ) -> ServingTarget | None:
        """Return a target that isn't leaving and wasn't tried, or None."""
        now = monotonic()
        usable = [
            t
            for t in targets
            if not t.leaving
            and t.name not in tried
            and self.estimates.gone_s(t.name) is None
        ]
        sound = [t for t in usable if self.estimates.of(t.name).avoid_until <= now]
        choice = sound or usable
        if not choice:
            return None
        near = [t for t in choice if t.data_centre == self.data_centre]
        far = [t for t in choice if t.data_centre != self.data_centre]
        few = self._sample(near, NEAR_CANDIDATES) + self._sample(far, FAR_CANDIDATES)
        return min(few, key=lambda target: self._cost(target, now))

    def _sample(self, targets: list[ServingTarget], count: int) -> list[ServingTarget]:
        return self.rng.sample(targets, min(count, len(targets)))

    def _cost(self, target: ServingTarget, now: float) -> float:
        estimate = self.estimates.of(target.name)
        cost = estimate.expected_s(target.slots, now)
        # Among idle targets the one with more free slots is the safer choice.
        cost *= 1 + 0.1 * estimate.total_in_flight(now) / target.slots
        cost *= 1 + FAILURE_FACTOR * estimate.failing(now)
        if target.warm_up_left_s > 0 and not estimate.measured:
            cost *= COLD_FACTOR
        if target.data_centre != self.data_centre:
            cost *= REMOTE_FACTOR
        return cost
