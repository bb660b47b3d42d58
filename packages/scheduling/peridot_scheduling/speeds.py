"""Speeds of targets: work done per processing time of a request; 1 is usual."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from math import exp, isfinite, log

from peridot_scheduling.costs import is_work

# Bounds of a speed; figures outside are dropped.
MIN_SPEED = 0.02
MAX_SPEED = 50.0
# Weight of a sample in the average of logarithms.
SAMPLE_WEIGHT = 0.05
# Weight of samples once so many in a row deviate by this factor in the same direction:
# the target changed. Fewer are likely requests with much work, or waits that were not
# known: from two on, the simulated uneven load was served in time 0.01 less often.
CHANGE_WEIGHT = 0.4
CHANGE_LOG = log(2.5)
CHANGE_RUN = 4
MAX_RUN = 6
# A sample counts as at most this factor off the average.
MAX_STEP_LOG = log(5.0)
# As many samples as one report can add at most.
MAX_REPORTED_COUNT = 10
# Weight of a sample in the long-term average.
USUAL_WEIGHT = 0.03
# A speed without new samples stays for this time (s), then approaches the long-term
# average with this half-life (s): few requests are sent to a target that looks slow.
HOLD_S = 1.5
RETURN_HALF_LIFE_S = 2.0
# Speeds of a service's targets approach a mean of 1 with this time constant (s): costs
# and speeds are learned from each other and would drift together.
DRIFT_TIME_S = 10.0
# For how long a target's figure of its own slowdown is true (s).
HINT_S = 0.4
# Bounds of the figure, and weight of one in its average.
MIN_SLOWDOWN = 0.05
MAX_SLOWDOWN = 50.0
SLOWDOWN_WEIGHT = 0.3


def is_speed(speed: float) -> bool:
    """Return whether a figure can be a target's speed."""
    return isfinite(speed) and MIN_SPEED <= speed <= MAX_SPEED


@dataclass
class TargetSpeed:
    """The speed of one target, as logarithms of averages."""

    average: float = 0.0
    usual: float = 0.0
    samples: int = 0
    updated_at: float = float("-inf")
    # Number of samples in a row that deviate upwards (positive) or downwards.
    run: int = 0
    # The target's last figure of its slowdown, relative to their average (logarithms).
    hint: float = 0.0
    hint_at: float = float("-inf")
    usual_slowdown: float | None = None
    # Samples since the last report: the sum of their logarithms, and their number.
    reported: float = 0.0
    reported_count: int = 0

    def current(self, now: float) -> float:
        """Return the speed at a time (s)."""
        idle_s = max(0.0, now - self.updated_at - HOLD_S)
        deviation = (self.average - self.usual) * 0.5 ** (idle_s / RETURN_HALF_LIFE_S)
        hint = self.hint if now - self.hint_at <= HINT_S else 0.0
        return exp(self.usual + deviation - hint)

    def add(self, sample: float, now: float, count: int = 1) -> None:
        """Add a number of samples by the mean of their logarithms."""
        if not self.samples:
            self.average = self.usual = max(-MAX_STEP_LOG, min(MAX_STEP_LOG, sample))
        deviation = sample - self.average
        self.run = self._next_run(deviation, count)
        changed = abs(self.run) >= CHANGE_RUN
        weight = 1 - (1 - (CHANGE_WEIGHT if changed else SAMPLE_WEIGHT)) ** count
        self.average += weight * max(-MAX_STEP_LOG, min(MAX_STEP_LOG, deviation))
        usual_deviation = max(-MAX_STEP_LOG, min(MAX_STEP_LOG, sample - self.usual))
        self.usual += (1 - (1 - USUAL_WEIGHT) ** count) * usual_deviation
        self.samples += count
        self.updated_at = now

    def _next_run(self, deviation: float, count: int) -> int:
        """Return the run after a sample.

        A change lasts until a sample is beyond it. A single sample that doesn't fit, of
        a request with much work, doesn't end it.
        """
        step = count if deviation > 0 else -count
        changed = abs(self.run) >= CHANGE_RUN
        if abs(deviation) >= CHANGE_LOG:
            if self.run * step >= 0:
                return max(-MAX_RUN, min(MAX_RUN, self.run + step))
            return int(self.run / 2) if changed else step
        if self.run * step < 0:
            return 0
        return self.run if changed else int(self.run / 2)

    def set_hint(self, slowdown: float, now: float) -> None:
        """Take a target's own figure of its slowdown."""
        value = log(slowdown)
        if self.usual_slowdown is None:
            self.usual_slowdown = 0.0
        self.hint = value - self.usual_slowdown
        self.hint_at = now
        self.usual_slowdown += SLOWDOWN_WEIGHT * self.hint


@dataclass
class Speeds:
    """The speeds of targets by name."""

    targets: dict[str, TargetSpeed] = field(default_factory=dict)
    centred_at: dict[str, float] = field(default_factory=dict)

    def current(self, target: str, now: float) -> float | None:
        """Return a target's speed, None without samples."""
        speed = self.targets.get(target)
        return speed.current(now) if speed is not None and speed.samples else None

    def record(
        self, target: str, work_s: float, processing_s: float, now: float
    ) -> bool:
        """Record a request's expected work and processing time (s).

        Returns whether the figures are usable.
        """
        if not is_work(work_s) or not isfinite(processing_s) or processing_s <= 0:
            return False
        ratio = work_s / processing_s
        speed = self.get(target)
        sample = log(min(max(ratio, MIN_SPEED), MAX_SPEED))
        speed.add(sample, now)
        speed.reported += sample
        speed.reported_count += 1
        return True

    def record_hint(self, target: str, slowdown: float, now: float) -> bool:
        """Record a target's own figure; return whether it is usable."""
        if not isfinite(slowdown) or not MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN:
            return False
        self.get(target).set_hint(slowdown, now)
        return True

    def pop_report(self, target: str) -> tuple[float, int]:
        """Return the mean and number of the samples since the last call."""
        speed = self.targets.get(target)
        if speed is None or not speed.reported_count:
            return 1.0, 0
        mean, count = exp(speed.reported / speed.reported_count), speed.reported_count
        speed.reported, speed.reported_count = 0.0, 0
        return mean, count

    def merge_report(self, target: str, mean: float, count: int, now: float) -> bool:
        """Add a VM's mean of samples; return whether the figure is usable."""
        if count <= 0 or not is_speed(mean):
            return False
        self.get(target).add(log(mean), now, min(count, MAX_REPORTED_COUNT))
        return True

    def set_shared(self, target: str, value: float, now: float) -> bool:
        """Take over the fleet's speed; return whether the figure is usable."""
        if not is_speed(value):
            return False
        speed = self.get(target)
        speed.average = speed.usual = log(value)
        speed.samples = max(1, speed.samples)
        speed.updated_at = now
        return True

    def centre(self, group: str, targets: Iterable[str], now: float) -> None:
        """Let the speeds of a service's targets approach a mean of 1."""
        elapsed_s = now - self.centred_at.get(group, now)
        self.centred_at[group] = now
        known = [self.targets[name] for name in targets if name in self.targets]
        known = [speed for speed in known if speed.samples]
        if not known or elapsed_s <= 0:
            return
        mean = sum(speed.average for speed in known) / len(known)
        shift = mean * (1 - exp(-elapsed_s / DRIFT_TIME_S))
        for speed in known:
            speed.average -= shift
            speed.usual -= shift

    def remove_all_except(self, names: set[str]) -> None:
        """Remove the speeds of targets that aren't named."""
        for name in self.targets.keys() - names:
            del self.targets[name]

    def values(self, now: float) -> Iterator[float]:
        """Yield the speeds of all targets with samples."""
        for speed in self.targets.values():
            if speed.samples:
                yield speed.current(now)

    def get(self, target: str) -> TargetSpeed:
        """Return the speed of a target, a new one if there is none."""
        speed = self.targets.get(target)
        if speed is None:
            speed = self.targets[target] = TargetSpeed()
        return speed
