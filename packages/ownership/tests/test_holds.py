"""What targets may still hold, from the granter's side."""

import pytest

from peridot_ownership.holds import (
    Grant,
    Granted,
    HoldBook,
    Outranked,
    Unanswered,
    Unreached,
    longest_hold,
)
from peridot_ownership.ranges import KeyRange

KEYS = KeyRange(0, 100)
TIMEOUT_S = 0.5


def note(book, outcome, fence=1, keys=KEYS, sent=0.0, answered=0.0):
    grant = Grant(keys, fence, 2.5)
    hold = book.begin("t", grant, sent, TIMEOUT_S)
    book.finish("t", hold, outcome, grant, answered)


def test_an_answered_grant_ends_after_its_answer():
    book = HoldBook()
    note(book, Granted(), answered=0.1)
    assert book.end_of("t", KEYS, 0.2) == pytest.approx(0.1 + longest_hold(2.5))


def test_an_unanswered_grant_may_have_arrived_until_its_timeout():
    book = HoldBook()
    note(book, Unanswered("silence"))
    assert book.end_of("t", KEYS, 0.2) == pytest.approx(0.5 + longest_hold(2.5))


@pytest.mark.parametrize("outcome", [Outranked(), Unreached("refused")])
def test_what_was_refused_or_did_not_arrive_holds_nothing(outcome):
    book = HoldBook()
    note(book, outcome)
    assert book.end_of("t", KEYS, 0.2) == 0.0


def test_a_release_ends_answered_grants_only():
    book = HoldBook()
    note(book, Granted())
    note(book, Unanswered("silence"))
    book.released("t", KEYS)
    assert book.unanswered_end("t", KEYS, 0.2) > 0.2
    assert book.end_of("t", KEYS, 0.2) > 0.2


def test_an_unanswered_grant_counts_whatever_was_granted_since():
    """Seen on the bench: a late renewal took effect after a higher fence."""
    book = HoldBook()
    note(book, Unanswered("silence"), fence=1)
    note(book, Granted(), fence=2)
    book.released("t", KEYS)
    ends = book.unanswered_end("t", KEYS, 0.2)
    assert ends == pytest.approx(0.5 + longest_hold(2.5))
    assert book.unanswered_end("t", KEYS, ends) == 0.0


def test_a_grant_under_way_survives_changes_of_others():
    """Two grants of a target at once: the second's answer had lost the first's hold."""
    book = HoldBook()
    first = Grant(KEYS, 5, 2.5)
    hold = book.begin("t", first, 0.0, TIMEOUT_S)
    note(book, Granted(), fence=7, keys=KeyRange(200, 300))
    book.released("t", KeyRange(200, 300))
    book.finish("t", hold, Granted(), first, 0.1)
    assert book.end_of("t", KEYS, 0.2) == pytest.approx(0.1 + longest_hold(2.5))


def test_a_part_may_be_released():
    book = HoldBook()
    note(book, Granted())
    book.released("t", KeyRange(0, 50))
    assert book.end_of("t", KeyRange(0, 50), 0.2) == 0.0
    assert book.end_of("t", KeyRange(40, 60), 0.2) > 0.2
