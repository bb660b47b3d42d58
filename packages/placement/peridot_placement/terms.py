"""Terms: who places the slices of a data centre, and for how long it may.

Times are seconds of the boot clock.
"""

from collections.abc import Collection
from dataclasses import dataclass

import orjson

from peridot_placement.clock import with_drift

# A placer stops giving rights when its term is unconfirmed for this long.
CONFIRMATION_S = 2.0
PROMISE_S = 2.0
PERMIT_S = 0.9
# A candidate takes the term after this long without a word from the placer.
SILENCE_S = 0.35
# An update is repeated for so long; a single call takes at most two seconds, and
# none of its messages arrives later than the update's whole life.
UPDATE_TRIES_S = 1.5
UPDATE_LIFE_S = 4.0
CANDIDATES = 2


@dataclass(frozen=True)
class Candidate:
    """Name a daemon's instance that may hold a term."""

    vm: str
    instance: str
    address: str


@dataclass(frozen=True)
class TermRecord:
    """Hold a term as it is stored."""

    number: int
    holder: Candidate
    candidates: tuple[Candidate, ...]
    write_id: str
    # Rights given under earlier terms last this long after the holder began.
    earlier_wait_s: float = 0.0


@dataclass
class HeldTerm:
    """Track what a placer may do under its term."""

    record: TermRecord
    version: int
    # No right given under an earlier term lasts longer than this.
    earlier_rights_until: float
    confirmed_from: float = float("-inf")
    promised_until: float = float("-inf")
    stopped: bool = False

    def may_give(self, now: float) -> bool:
        """Tell whether rights to settled slices may be renewed."""
        if self.stopped:
            return False
        return now < self.confirmed_from + CONFIRMATION_S or now < self.promised_until

    def may_settle(self, now: float, rights_ended: float) -> bool:
        """Tell whether a slice may go to its next owner.

        The term must have been confirmed by a read that began after all rights
        of the last owner had ended.
        """
        return (
            not self.stopped
            and rights_ended >= self.earlier_rights_until
            and self.confirmed_from >= rights_ended
            and now < self.confirmed_from + CONFIRMATION_S
        )

    def confirm(self, read_began: float, record: TermRecord, version: int) -> None:
        """Take in a read of the stored term."""
        if record.number != self.record.number or (
            record.holder.instance != self.record.holder.instance
        ):
            self.stopped = True
            return
        self.version = version
        self.confirmed_from = max(self.confirmed_from, read_began)

    def promise(self, asked_at: float, length_s: float) -> None:
        """Take in that every candidate has promised not to take the term."""
        self.promised_until = max(self.promised_until, asked_at + length_s)


@dataclass
class Candidacy:
    """Track what an instance that may take the term has promised and begun."""

    promised_until: float = float("-inf")
    update_ends: float = float("-inf")
    promised_term: int = 0

    def may_promise(self, now: float) -> bool:
        """Tell whether no update of this instance can still arrive."""
        return now >= self.update_ends

    def give_promise(self, now: float, term: int, length_s: float) -> bool:
        """Promise not to take the term for a while, if that can be kept."""
        if not self.may_promise(now):
            return False
        self.promised_term = term
        self.promised_until = max(self.promised_until, now + with_drift(length_s))
        return True

    def may_take(self, now: float) -> bool:
        """Tell whether no promise stands in the way of taking the term."""
        return now >= self.promised_until

    def begin_update(self, now: float) -> None:
        """Note that an update of the term is under way."""
        self.update_ends = now + UPDATE_LIFE_S

    def may_repeat_update(self, now: float) -> bool:
        """Tell whether a repetition would arrive within the update's life."""
        return now < self.update_ends - UPDATE_LIFE_S + UPDATE_TRIES_S

    def end_update(self) -> None:
        """Note that the update's outcome is known."""
        self.update_ends = float("-inf")


def wait_after(previous: TermRecord, holder_stopped: bool) -> float:
    """Return how long a new holder waits (s) for rights of earlier terms to end.

    The previous holder may itself have been waiting for the one before it.
    """
    wait = PERMIT_S if holder_stopped else CONFIRMATION_S + PERMIT_S
    return max(with_drift(wait), previous.earlier_wait_s)


def wait_to_hand_on(held: HeldTerm, now: float) -> float:
    """Return what the record should say of earlier rights: 0 once they ended (s)."""
    if now >= held.earlier_rights_until:
        return 0.0
    return held.record.earlier_wait_s


def wait_after_handover(held: HeldTerm, now: float) -> float:
    """Return how long the heir of a holder that has stopped must wait (s)."""
    return max(with_drift(PERMIT_S), held.earlier_rights_until - now)


def choose_candidates(
    live: Collection[Candidate], holder: Candidate, preferred: Collection[Candidate]
) -> tuple[Candidate, ...]:
    """Return the standing candidates, keeping those that still live."""
    others = [item for item in live if item.instance != holder.instance]
    kept = [item for item in preferred if item in others]
    fresh = sorted((item for item in others if item not in kept), key=lambda c: c.vm)
    return tuple((kept + fresh)[:CANDIDATES])


def serialize_term(record: TermRecord) -> bytes:
    """Return the JSON form of a term."""
    return orjson.dumps(
        {
            "number": record.number,
            "holder": record.holder,
            "candidates": record.candidates,
            "writeId": record.write_id,
            "earlierWaitS": record.earlier_wait_s,
        }
    )


def parse_term(text: bytes) -> TermRecord:
    """Return the term that a JSON form describes."""
    form = orjson.loads(text)
    return TermRecord(
        form["number"],
        Candidate(**form["holder"]),
        tuple(Candidate(**item) for item in form["candidates"]),
        form["writeId"],
        form["earlierWaitS"],
    )
