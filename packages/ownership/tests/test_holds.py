"""Tests of the ledger of leases: when it may consider a target's leases expired."""

import pytest

from peridot_ownership.holds import (
    Grant,
    Granted,
    LeaseLedger,
    Outranked,
    Unanswered,
    Unreached,
    max_lease_s,
)
from peridot_ownership.ranges import KeyRange

KEYS = KeyRange(0, 100)
TIMEOUT_S = 0.5


def record_grant(ledger, outcome, fence=1, keys=KEYS, sent_at=0.0, answered_at=0.0):
    grant = Grant(keys, fence, 2.5)
    lease = ledger.record_sent("t", grant, sent_at, TIMEOUT_S)
    ledger.record_outcome("t", lease, outcome, grant, answered_at)


def test_the_lease_of_an_answered_grant_runs_from_its_response():
    ledger = LeaseLedger()
    record_grant(ledger, Granted(), answered_at=0.1)
    assert ledger.held_until("t", KEYS, 0.2) == pytest.approx(0.1 + max_lease_s(2.5))


def test_an_unanswered_grant_may_arrive_until_its_timeout():
    ledger = LeaseLedger()
    record_grant(ledger, Unanswered("no answer"))
    assert ledger.held_until("t", KEYS, 0.2) == pytest.approx(0.5 + max_lease_s(2.5))


@pytest.mark.parametrize("outcome", [Outranked(), Unreached("refused")])
def test_a_grant_that_was_refused_or_did_not_arrive_leaves_no_lease(outcome):
    ledger = LeaseLedger()
    record_grant(ledger, outcome)
    assert ledger.held_until("t", KEYS, 0.2) == 0.0


def test_a_release_ends_leases_of_answered_grants_only():
    ledger = LeaseLedger()
    record_grant(ledger, Granted())
    record_grant(ledger, Unanswered("no answer"))
    ledger.record_release("t", KEYS)
    assert ledger.unanswered_until("t", KEYS, 0.2) > 0.2
    assert ledger.held_until("t", KEYS, 0.2) > 0.2


def test_an_unanswered_grant_counts_after_newer_grants_and_a_release():
    """A delayed renewal can take effect after a grant with a higher fencing token."""
    ledger = LeaseLedger()
    record_grant(ledger, Unanswered("no answer"), fence=1)
    record_grant(ledger, Granted(), fence=2)
    ledger.record_release("t", KEYS)
    expires_at = ledger.unanswered_until("t", KEYS, 0.2)
    assert expires_at == pytest.approx(0.5 + max_lease_s(2.5))
    assert ledger.unanswered_until("t", KEYS, expires_at) == 0.0


def test_a_grant_in_flight_keeps_its_lease_while_others_change():
    """With two grants to one target in flight, a change of one lease keeps the other.

    Replacing the ledger's leases at the second response loses the first grant's lease.
    """
    ledger = LeaseLedger()
    first = Grant(KEYS, 5, 2.5)
    lease = ledger.record_sent("t", first, 0.0, TIMEOUT_S)
    record_grant(ledger, Granted(), fence=7, keys=KeyRange(200, 300))
    ledger.record_release("t", KeyRange(200, 300))
    ledger.record_outcome("t", lease, Granted(), first, 0.1)
    assert ledger.held_until("t", KEYS, 0.2) == pytest.approx(0.1 + max_lease_s(2.5))


def test_part_of_a_range_can_be_released():
    ledger = LeaseLedger()
    record_grant(ledger, Granted())
    ledger.record_release("t", KeyRange(0, 50))
    assert ledger.held_until("t", KeyRange(0, 50), 0.2) == 0.0
    assert ledger.held_until("t", KeyRange(40, 60), 0.2) > 0.2
