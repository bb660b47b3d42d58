"""Succession: which leases of earlier terms a new placer must expect."""

from dataclasses import dataclass

from peridot_ownership.record import Certainty
from peridot_ownership.recorder import CONFIRMATION_TIMEOUT_S, RecordWriter
from peridot_ownership.rights import (
    LONG_LEASE_DELAY_S,
    NO_EARLIER_LEASES,
    EarlierLeases,
    bound_earlier_leases,
)

# A placer counts members that reported within this time, two report periods.
MEMBER_FRESH_S = 0.5
# Upper bound of the delay between sending and receiving a state.
MAX_STATE_DELAY_S = 0.2


@dataclass
class ObservedPlacer:
    """The last known state of a placer that this VM followed."""

    term: int
    # When its last state arrived (s), and whether it could reach the store then.
    last_state_at: float
    store_reachable: bool
    # Since when (s) more than half of all VMs are known to have lost it.
    lost_by_majority_at: float | None = None
    # Leases that it reported when it resigned.
    resigned: EarlierLeases | None = None

    def granted_no_long_leases(self) -> bool:
        """Return whether the placer can't have granted long leases.

        It could reach the store at its last state. It grants long leases only after
        the store has been unreachable for a while, and only while at least half of all
        VMs report to it.
        """
        if self.lost_by_majority_at is None or not self.store_reachable:
            return False
        latest = self.lost_by_majority_at + MEMBER_FRESH_S + MAX_STATE_DELAY_S
        return latest < self.last_state_at + LONG_LEASE_DELAY_S


def find_earlier_leases(
    predecessor: ObservedPlacer | None, record_writer: RecordWriter, hold_max_s: float
) -> tuple[EarlierLeases, str]:
    """Return a bound of the leases of earlier terms, and how it is known."""
    record, term = record_writer.record, record_writer.record.term
    unknown = bound_earlier_leases(CONFIRMATION_TIMEOUT_S, True, hold_max_s)
    if record.certainty is not Certainty.CERTAIN:
        # Terms may be lost, so no report covers all leases.
        return unknown, "restored"
    if record_writer.is_first:
        return NO_EARLIER_LEASES, "first"
    if predecessor is not None and predecessor.term == term - 1:
        if predecessor.resigned is not None:
            return predecessor.resigned, "resigned"
        if predecessor.granted_no_long_leases():
            return bound_earlier_leases(
                CONFIRMATION_TIMEOUT_S, False, hold_max_s
            ), "missed"
    return unknown, "unknown"
