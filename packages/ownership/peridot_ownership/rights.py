"""Leases that placers of earlier terms may have granted, and when they expire."""

from dataclasses import dataclass

from peridot_ownership.holds import Hold, max_lease_s

# Longer than a change of the placer takes, so that leases survive it; short enough
# that a dead target's keys are served again soon.
HOLD_S = 2.5
GRANT_TIMEOUT_S = 0.5
# A placer that has lost the store grants long leases only after this time. By then it
# would have resigned if only it had lost the store, and members that can't reach it
# no longer count as its members.
LONG_HOLD_DELAY_S = 2.1


@dataclass(frozen=True)
class EarlierRights:
    """Bounds of the leases that placers of earlier terms may have granted."""

    # Time (s) until all leases that this placer doesn't know of have expired.
    unknown_left_s: float
    # Time (s) until leases from unanswered grants have expired.
    late_left_s: float
    # Leases, by target, that the last placer reported when it resigned.
    holds: tuple[tuple[str, Hold], ...] = ()


NO_EARLIER_RIGHTS = EarlierRights(0.0, 0.0)


def bound_earlier_rights(
    granting_s: float, long_leases: bool, hold_max_s: float
) -> EarlierRights:
    """Return the bounds if the last placer may grant leases for granting_s more."""
    sending_s = granting_s + GRANT_TIMEOUT_S
    unanswered_s = sending_s + max_lease_s(HOLD_S)
    hold_s = hold_max_s if long_leases else HOLD_S
    return EarlierRights(sending_s + max_lease_s(hold_s), unanswered_s)
