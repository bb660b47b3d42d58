"""Rights: what placers of earlier terms may have given, and until when."""

from dataclasses import dataclass

from peridot_ownership.holds import Hold, longest_hold

# Long enough to outlast a change of the placer, short enough that a dead target's
# keys are served again soon.
HOLD_S = 2.5
GRANT_TIMEOUT_S = 0.5
# A placer without the store gives long holds after this time: later than it would
# have resigned, and than members that miss it stop to count for it.
LONG_HOLD_DELAY_S = 2.1


@dataclass(frozen=True)
class EarlierRights:
    """Bound what the placers of earlier terms may have given."""

    # Time (s) until rights that this placer doesn't know of have ended ...
    unknown_left_s: float
    # ... and until grants without an answer can't take effect any more.
    late_left_s: float
    # Holds that the last placer told of.
    holds: tuple[tuple[str, Hold], ...] = ()


NO_EARLIER_RIGHTS = EarlierRights(0.0, 0.0)


def bound_earlier_rights(
    giving_s: float, long_holds: bool, hold_max_s: float
) -> EarlierRights:
    """Return the bound if the last placer may go on giving for a time (s)."""
    sending_s = giving_s + GRANT_TIMEOUT_S
    late_s = sending_s + longest_hold(HOLD_S)
    hold_s = hold_max_s if long_holds else HOLD_S
    return EarlierRights(sending_s + longest_hold(hold_s), late_s)
