"""Holds: what targets may still hold, as far as the granter can tell."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from peridot_ownership.ranges import KeyRange
from peridot_resources.configuration import ServingTarget

# A target's clock may run slow by this share.
SLOW_CLOCK = 0.02
# Added to each computed end: late timers and scheduling on both sides.
END_MARGIN_S = 0.15


@dataclass(frozen=True)
class Granted:
    """Tell that the target took the grant."""


@dataclass(frozen=True)
class Outranked:
    """Tell that the target has seen a higher fence on some of the keys."""


@dataclass(frozen=True)
class Replaced:
    """Tell that another incarnation has the address: the one called is gone."""


@dataclass(frozen=True)
class Unreached:
    """Tell that the call certainly did not arrive."""

    reason: str


@dataclass(frozen=True)
class Unanswered:
    """Tell that the call may take effect, at once or later."""

    reason: str


@dataclass(frozen=True)
class Denied:
    """Tell that who answers there doesn't take such calls; garbled, it may have."""

    reason: str


@dataclass(frozen=True)
class Released:
    """Tell that the target ended its work on the keys; the token hands them over."""

    handover: str | None


GrantOutcome = Granted | Outranked | Replaced | Unreached | Unanswered | Denied
ReleaseOutcome = Released | Replaced | Unreached | Unanswered | Denied


@dataclass(frozen=True)
class Grant:
    """Give keys to a target for a while; the same grant again renews it."""

    keys: KeyRange
    fence: int
    hold_s: float
    handover: str | None = None


class HoldControl(ABC):
    """Grant keys to targets and take them back."""

    @abstractmethod
    async def grant(
        self, target: ServingTarget, grant: Grant, timeout_s: float
    ) -> GrantOutcome:
        """Grant keys, or renew a grant."""

    @abstractmethod
    async def release(
        self, target: ServingTarget, keys: KeyRange, fence: int, timeout_s: float
    ) -> ReleaseOutcome:
        """Stop new work on keys and wait for the work that runs."""


@dataclass(eq=False)
class Hold:
    """Bound one grant call's effect; its parts shrink as keys are taken back."""

    parts: list[KeyRange]
    ends: float
    answered: bool

    def remove(self, keys: KeyRange) -> None:
        """Take in that some keys are no longer held by this grant."""
        self.parts = [left for part in self.parts for left in part.minus([keys])]

    def covers(self, keys: KeyRange, now: float) -> bool:
        """Tell whether some of the keys may be held now (s) or later."""
        return self.ends > now and any(part.overlaps(keys) for part in self.parts)


@dataclass
class HoldBook:
    """Hold the latest end of each target's holds, by the granter's clock.

    Several grants of one target may be under way at once, so holds are changed in
    place and never replaced.
    """

    holds: dict[str, list[Hold]] = field(default_factory=dict)

    def begin(self, target: str, grant: Grant, sent: float, timeout_s: float) -> Hold:
        """Note a grant before it is sent: it may arrive until the timeout."""
        ends = sent + timeout_s + longest_hold(grant.hold_s)
        hold = Hold([grant.keys], ends, answered=False)
        live = [
            item
            for item in self.holds.get(target, ())
            if item.ends > sent and item.parts
        ]
        self.holds[target] = [*live, hold]
        return hold

    def finish(
        self, target: str, hold: Hold, outcome: GrantOutcome, grant: Grant, now: float
    ) -> None:
        """Take in a grant's outcome; what didn't arrive or was refused is dropped."""
        if isinstance(outcome, Granted):
            hold.answered = True
            hold.ends = now + longest_hold(grant.hold_s)
        elif not isinstance(outcome, Unanswered | Denied):
            hold.parts = []

    def released(self, target: str, keys: KeyRange) -> None:
        """Take in that a target answered a release; unanswered grants may follow."""
        for hold in self.holds.get(target, ()):
            if hold.answered:
                hold.remove(keys)

    def unanswered_end(self, target: str, keys: KeyRange, now: float) -> float:
        """Return until when an unanswered grant of the keys may still take effect.

        0 if there is none. It may do so after a release and after newer grants,
        whatever their fences.
        """
        holds = self.holds.get(target, ())
        return max(
            (h.ends for h in holds if not h.answered and h.covers(keys, now)),
            default=0.0,
        )

    def live(self, now: float) -> list[tuple[str, Hold]]:
        """Return all holds that may not have ended, with their targets."""
        return [
            (target, hold)
            for target, holds in self.holds.items()
            for hold in holds
            if hold.ends > now and hold.parts
        ]

    def add(self, target: str, hold: Hold) -> None:
        """Take over a hold that an earlier placer gave."""
        self.holds.setdefault(target, []).append(hold)

    def forget(self, target: str) -> None:
        """Drop all holds of a target that is certainly gone."""
        self.holds.pop(target, None)

    def end_of(self, target: str, keys: KeyRange, now: float) -> float:
        """Return when a target certainly holds none of the keys; 0 if it doesn't."""
        holds = self.holds.get(target, ())
        ends = (hold.ends for hold in holds if hold.covers(keys, now))
        return max(ends, default=0.0)


def longest_hold(hold_s: float) -> float:
    """Return how long a hold may last from its arrival, seen from outside."""
    return hold_s * (1 + SLOW_CLOCK) + END_MARGIN_S
