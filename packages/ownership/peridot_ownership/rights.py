"""Leases that placers of earlier terms may have granted, and when they expire."""

from dataclasses import dataclass

from peridot_ownership.holds import KeyLease, max_lease_s

# Longer than a change of the placer takes, so that leases survive it; short enough
# that a dead target's keys are served again soon.
LEASE_S = 2.5
# Granted while the store is unavailable, to outlast an outage of 9 s. The keys of
# targets that end in the outage are unserved for as long.
LONG_LEASE_S = 6.0
GRANT_TIMEOUT_S = 0.5
# A placer that has lost the store grants long leases only after this time. By then it
# would have resigned if only it had lost the store, and members that can't reach it
# no longer count as its members.
LONG_LEASE_DELAY_S = 2.1


@dataclass(frozen=True)
class EarlierLeases:
    """Bounds of the leases that placers of earlier terms may have granted."""

    # Time (s) until all leases that this placer doesn't know of have expired.
    unknown_remaining_s: float
    # Time (s) until leases from unanswered grants have expired.
    unanswered_remaining_s: float
    # Leases, by target, that the last placer reported when it resigned.
    leases: tuple[tuple[str, KeyLease], ...] = ()


NO_EARLIER_LEASES = EarlierLeases(0.0, 0.0)


def bound_earlier_leases(
    granting_s: float, long_leases: bool, hold_max_s: float
) -> EarlierLeases:
    """Return the bounds if the last placer may grant leases for granting_s more."""
    hold_s = min(LONG_LEASE_S, hold_max_s) if long_leases else LEASE_S
    remaining_s = granting_s + GRANT_TIMEOUT_S + max_lease_s(hold_s)
    # A grant without an answer may be for a long lease as well.
    return EarlierLeases(remaining_s, remaining_s)
