"""Terms of a data centre's placer, the leader that places its hash slices.

The holder of the term is the placer, and up to two candidates may succeed it. Times are
seconds of the boot clock.
"""

from collections.abc import Collection
from dataclasses import dataclass

import orjson

from peridot_placement.clock import add_drift_margin

# A placer stops granting permits when its term is unconfirmed for this long.
CONFIRMATION_TIMEOUT_S = 2.0
PROMISE_S = 2.0
PERMIT_S = 0.9
# A candidate acquires the term after this long without a heartbeat from the placer.
HEARTBEAT_TIMEOUT_S = 0.35
# An update of the stored term is retried for UPDATE_RETRY_WINDOW_S. As a single call
# takes at most 2 s, none of its messages arrives after UPDATE_LIFETIME_S.
UPDATE_RETRY_WINDOW_S = 1.5
UPDATE_LIFETIME_S = 4.0
MAX_CANDIDATES = 2


@dataclass(frozen=True)
class DaemonInstance:
    """A daemon process: its VM, instance id and peer address."""

    vm: str
    instance: str
    address: str


@dataclass(frozen=True)
class TermRecord:
    """A term as stored."""

    number: int
    holder: DaemonInstance
    candidates: tuple[DaemonInstance, ...]
    write_id: str
    # Permits and grants of earlier terms may be valid for this long after the holder
    # starts.
    earlier_wait_s: float = 0.0


@dataclass
class HeldTerm:
    """Track what a placer may do under the term that it holds."""

    record: TermRecord
    version: int
    # All permits and grants of earlier terms have expired by then.
    earlier_permits_end_at: float
    confirmed_from: float = float("-inf")
    promised_until: float = float("-inf")
    stopped: bool = False

    def may_grant(self, now: float) -> bool:
        """Return whether permits may be granted."""
        if self.stopped:
            return False
        return (
            now < self.confirmed_from + CONFIRMATION_TIMEOUT_S
            or now < self.promised_until
        )

    def may_complete_move(self, now: float, released_at: float) -> bool:
        """Return whether a slice may go to its next owner.

        The term must have been confirmed by a read that started after all permits and
        grants for the previous owner had ended, at `released_at`.
        """
        return (
            not self.stopped
            and released_at >= self.earlier_permits_end_at
            and self.confirmed_from >= released_at
            and now < self.confirmed_from + CONFIRMATION_TIMEOUT_S
        )

    def confirm(self, read_started_at: float, record: TermRecord, version: int) -> None:
        """Record a read of the stored term; stop if the term has changed hands."""
        if record.number != self.record.number or (
            record.holder.instance != self.record.holder.instance
        ):
            self.stopped = True
            return
        self.version = version
        self.confirmed_from = max(self.confirmed_from, read_started_at)

    def promise(self, requested_at: float, length_s: float) -> None:
        """Record that every candidate has promised not to acquire the term."""
        self.promised_until = max(self.promised_until, requested_at + length_s)


@dataclass
class Candidacy:
    """Track an instance's promises and its own update of the term.

    Both must exclude each other: an instance that has promised not to acquire the term
    must have no update that can still arrive.
    """

    promised_until: float = float("-inf")
    update_expires_at: float = float("-inf")
    promised_term: int = 0

    def may_promise(self, now: float) -> bool:
        """Return whether no update of this instance can still arrive."""
        return now >= self.update_expires_at

    def give_promise(self, now: float, term: int, length_s: float) -> bool:
        """Promise not to acquire the term for `length_s`; return whether promised."""
        if not self.may_promise(now):
            return False
        self.promised_term = term
        self.promised_until = max(self.promised_until, now + add_drift_margin(length_s))
        return True

    def may_acquire_term(self, now: float) -> bool:
        """Return whether no promise forbids acquiring the term."""
        return now >= self.promised_until

    def begin_update(self, now: float) -> None:
        """Record that an update of the term is starting."""
        self.update_expires_at = now + UPDATE_LIFETIME_S

    def may_retry_update(self, now: float) -> bool:
        """Return whether a retry would arrive within the update's lifetime."""
        return now < self.update_expires_at - UPDATE_LIFETIME_S + UPDATE_RETRY_WINDOW_S

    def end_update(self) -> None:
        """Record that the update's outcome is known."""
        self.update_expires_at = float("-inf")


def takeover_wait_s(previous: TermRecord, holder_stopped: bool) -> float:
    """Return how long (s) a new holder waits for permits and grants of earlier terms.

    The previous holder may itself have been waiting for the one before it.
    """
    wait = PERMIT_S if holder_stopped else CONFIRMATION_TIMEOUT_S + PERMIT_S
    return max(add_drift_margin(wait), previous.earlier_wait_s)


def earlier_wait_to_store_s(held: HeldTerm, now: float) -> float:
    """Return the wait (s) to store for a successor: 0 once it is over."""
    if now >= held.earlier_permits_end_at:
        return 0.0
    return held.record.earlier_wait_s


def handover_wait_s(held: HeldTerm, now: float) -> float:
    """Return how long (s) the successor of a holder that has stopped must wait."""
    return max(add_drift_margin(PERMIT_S), held.earlier_permits_end_at - now)


def choose_candidates(
    live: Collection[DaemonInstance],
    holder: DaemonInstance,
    preferred: Collection[DaemonInstance],
) -> tuple[DaemonInstance, ...]:
    """Return the candidates, preferring current ones that are still live."""
    others = [item for item in live if item.instance != holder.instance]
    kept = [item for item in preferred if item in others]
    new = sorted((item for item in others if item not in kept), key=lambda c: c.vm)
    return tuple((kept + new)[:MAX_CANDIDATES])


def serialize_term(record: TermRecord) -> bytes:
    """Return the JSON of a term."""
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
    """Return the term in a JSON document."""
    fields = orjson.loads(text)
    return TermRecord(
        fields["number"],
        DaemonInstance(**fields["holder"]),
        tuple(DaemonInstance(**item) for item in fields["candidates"]),
        fields["writeId"],
        fields["earlierWaitS"],
    )
