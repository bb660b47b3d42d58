"""Leases of targets on key ranges (gateway mode): calls, outcomes and expiry."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from peridot_ownership.ranges import KeyRange
from peridot_resources.configuration import TargetInstance

# A target's clock may run slower than the placer's by this share.
MAX_CLOCK_SLOWDOWN = 0.02
# Added to each computed expiry for late timers and scheduling on both sides.
EXPIRY_MARGIN_S = 0.15


@dataclass(frozen=True)
class Granted:
    """The target accepted the grant."""


@dataclass(frozen=True)
class Outranked:
    """The target has seen a higher fencing token for some of the keys."""


@dataclass(frozen=True)
class Replaced:
    """Another incarnation uses the address: the one that was called is gone."""


@dataclass(frozen=True)
class Unreached:
    """The call certainly didn't arrive."""

    reason: str


@dataclass(frozen=True)
class Unanswered:
    """The outcome is unknown: the call may take effect at any time."""

    reason: str


@dataclass(frozen=True)
class Denied:
    """The call was refused as invalid; a garbled response may hide a success."""

    reason: str


@dataclass(frozen=True)
class Released:
    """The target finished its work on the keys and returned a handover token."""

    handover: str | None


GrantOutcome = Granted | Outranked | Replaced | Unreached | Unanswered | Denied
ReleaseOutcome = Released | Replaced | Unreached | Unanswered | Denied


@dataclass(frozen=True)
class Grant:
    """A lease to grant; to send the same grant again renews the lease."""

    keys: KeyRange
    fence: int
    hold_s: float
    handover: str | None = None


class TargetLeaseClient(ABC):
    """A client that grants, renews and releases the leases of targets."""

    # Called with a target that announces in a response that it is leaving.
    handle_leaving: Callable[[TargetInstance], None] = staticmethod(lambda target: None)

    @abstractmethod
    async def grant(
        self, target: TargetInstance, grant: Grant, timeout_s: float
    ) -> GrantOutcome:
        """Grant a lease or renew it."""

    @abstractmethod
    async def release(
        self, target: TargetInstance, keys: KeyRange, fence: int, timeout_s: float
    ) -> ReleaseOutcome:
        """End a lease: the target stops new requests and finishes those in flight."""


@dataclass(eq=False)
class KeyLease:
    """The lease that one grant call may have given; released keys are cut out."""

    ranges: list[KeyRange]
    expires_at: float
    answered: bool

    def remove(self, keys: KeyRange) -> None:
        """Cut keys out of the lease."""
        self.ranges = [left for part in self.ranges for left in part.minus([keys])]

    def may_cover(self, keys: KeyRange, now: float) -> bool:
        """Return whether the lease may cover some of the keys at or after now (s)."""
        return self.expires_at > now and any(
            part.overlaps(keys) for part in self.ranges
        )


@dataclass
class LeaseLedger:
    """Track when each target's leases expire at the latest, by the placer's clock.

    Several grants to one target may be in flight at once, so leases are changed in
    place and never replaced.
    """

    leases: dict[str, list[KeyLease]] = field(default_factory=dict)

    def record_sent(
        self, target: str, grant: Grant, sent_at: float, timeout_s: float
    ) -> KeyLease:
        """Record a grant that is about to be sent; it may arrive until the timeout."""
        expires_at = sent_at + timeout_s + max_lease_s(grant.hold_s)
        lease = KeyLease([grant.keys], expires_at, answered=False)
        unexpired = [
            item
            for item in self.leases.get(target, ())
            if item.expires_at > sent_at and item.ranges
        ]
        self.leases[target] = [*unexpired, lease]
        return lease

    def record_outcome(
        self,
        target: str,
        lease: KeyLease,
        outcome: GrantOutcome,
        grant: Grant,
        now: float,
    ) -> None:
        """Record a grant's outcome; drop the lease unless it may have been given."""
        if isinstance(outcome, Granted):
            lease.answered = True
            lease.expires_at = now + max_lease_s(grant.hold_s)
        elif not isinstance(outcome, Unanswered | Denied):
            lease.ranges = []

    def record_release(self, target: str, keys: KeyRange) -> None:
        """Record a release; leases from unanswered grants stay, they may come later."""
        for lease in self.leases.get(target, ()):
            if lease.answered:
                lease.remove(keys)

    def unanswered_until(self, target: str, keys: KeyRange, now: float) -> float:
        """Return when leases from unanswered grants of the keys expire (s).

        0 if there are none. A delayed grant may take effect even after a release or
        a newer grant, whatever their fencing tokens.
        """
        leases = self.leases.get(target, ())
        return max(
            (h.expires_at for h in leases if not h.answered and h.may_cover(keys, now)),
            default=0.0,
        )

    def unexpired(self, now: float) -> list[tuple[str, KeyLease]]:
        """Return targets with leases that may not have expired by now (s)."""
        return [
            (target, lease)
            for target, leases in self.leases.items()
            for lease in leases
            if lease.expires_at > now and lease.ranges
        ]

    def add(self, target: str, lease: KeyLease) -> None:
        """Add a lease that an earlier placer granted."""
        self.leases.setdefault(target, []).append(lease)

    def remove_target(self, target: str) -> None:
        """Drop all leases of a target that is certainly gone."""
        self.leases.pop(target, None)

    def held_until(self, target: str, keys: KeyRange, now: float) -> float:
        """Return when a target's leases on the keys expire (s); 0 if it has none."""
        leases = self.leases.get(target, ())
        expiry_times = (
            lease.expires_at for lease in leases if lease.may_cover(keys, now)
        )
        return max(expiry_times, default=0.0)


def max_lease_s(hold_s: float) -> float:
    """Return how long a lease may last on the placer's clock from its arrival (s)."""
    return hold_s * (1 + MAX_CLOCK_SLOWDOWN) + EXPIRY_MARGIN_S
