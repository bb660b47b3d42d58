"""Succession: what a VM that takes a term knows of the placer before it."""

from dataclasses import dataclass

from peridot_ownership.recorder import CONFIRMED_S
from peridot_ownership.rights import (
    LONG_HOLD_DELAY_S,
    NO_EARLIER_RIGHTS,
    EarlierRights,
    bound_earlier_rights,
)

# A placer counts those as its members that reported within this time; two reports.
MEMBER_FRESH_S = 0.5
# A state may have been on its way for so long when it arrived.
STATE_DELAY_S = 0.2


@dataclass
class PlacerSighting:
    """Hold what this VM knows of one placer that it followed."""

    term: int
    # When its last state arrived (s), and whether it reached the store then.
    state_at: float
    has_store: bool
    # Since when (s) more than half of all VMs are known to miss it.
    missed_at: float | None = None
    # What it told when it gave its term up.
    resigned: EarlierRights | None = None

    def gave_no_long_holds(self) -> bool:
        """Tell whether it can't have given long holds, whatever became of it.

        It had the store at its last state, gives long holds a while after losing
        that, and only while at least half of all VMs report to it.
        """
        if self.missed_at is None or not self.has_store:
            return False
        latest = self.missed_at + MEMBER_FRESH_S + STATE_DELAY_S
        return latest < self.state_at + LONG_HOLD_DELAY_S


def find_earlier_rights(
    sighting: PlacerSighting | None, term: int, hold_max_s: float
) -> tuple[EarlierRights, str]:
    """Return what may be left of the terms before one, and how that is known."""
    if term == 1:
        return NO_EARLIER_RIGHTS, "first"
    if sighting is not None and sighting.term == term - 1:
        if sighting.resigned is not None:
            return sighting.resigned, "resigned"
        if sighting.gave_no_long_holds():
            return bound_earlier_rights(CONFIRMED_S, False, hold_max_s), "missed"
    return bound_earlier_rights(CONFIRMED_S, True, hold_max_s), "unknown"
