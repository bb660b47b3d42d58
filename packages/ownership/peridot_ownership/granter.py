"""Granter: gives holds, takes them back and knows what may still be held."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from peridot_ownership.holds import (
    Denied,
    Grant,
    Granted,
    GrantOutcome,
    HoldBook,
    HoldControl,
    Outranked,
    Released,
    ReleaseOutcome,
    Replaced,
    Unreached,
)
from peridot_ownership.ranges import KeyRange
from peridot_ownership.recorder import Recorder
from peridot_ownership.rights import (
    GRANT_TIMEOUT_S,
    HOLD_S,
    LONG_HOLD_DELAY_S,
    EarlierRights,
)
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_resources.configuration import ServingTarget

CallOutcome = GrantOutcome | ReleaseOutcome

# A release is answered when the work that runs has ended.
RELEASE_TIMEOUT_S = 2.5
RETRY_PAUSE_S = 0.1
# Renewals that fail for this long make a target unusable.
FAILING_S = 0.6


@dataclass
class Contact:
    """Hold how renewals to one target went, and serialise its grants."""

    target: ServingTarget
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    failing_since: float | None = None
    leaving_since: float | None = None
    # Keys for which it took a grant of this term: grants of earlier terms are void.
    secured: list[KeyRange] = field(default_factory=list)
    task: asyncio.Task | None = None

    def is_secured(self, keys: KeyRange) -> bool:
        """Tell whether no grant of an earlier term can hold any of the keys."""
        return not keys.minus(self.secured)

    def secure(self, keys: KeyRange) -> None:
        """Take in that the target took a grant of this term."""
        if not self.is_secured(keys):
            kept = [item for item in self.secured if item.minus([keys])]
            self.secured = [*kept, keys]

    def is_failing(self, now: float) -> bool:
        """Tell whether renewals have failed for too long by now (s)."""
        since = self.failing_since
        return since is not None and now - since >= FAILING_S


class Granter:
    """Give and take back rights in one term."""

    def __init__(
        self,
        recorder: Recorder,
        control: HoldControl,
        log: DecisionLog,
        hold_max_s: float,
        earlier: EarlierRights,
        may_hold_long: Callable[[], bool],
        is_address_reused: Callable[[ServingTarget], bool],
    ) -> None:
        self.recorder = recorder
        self.control = control
        self.log = log
        self.hold_max_s = hold_max_s
        self.may_hold_long = may_hold_long
        self.is_address_reused = is_address_reused
        self.book = HoldBook()
        now = boot_time()
        # No right given under an earlier term outlasts this ...
        self.earlier_rights_end = now + earlier.unknown_left_s
        # ... nor, at a target that took a grant of this term, one without an answer.
        self.late_grants_end = now + earlier.late_left_s
        for target, hold in earlier.holds:
            self.book.add(target, hold)

    async def grant(
        self,
        contact: Contact,
        keys: KeyRange,
        fence: int,
        handover: str | None = None,
    ) -> GrantOutcome:
        """Grant keys to a target, or renew them, if the term is confirmed."""
        target = contact.target
        if not self.recorder.may_act():
            # The process may have stood still since the caller looked.
            return Unreached("the term is not confirmed")
        grant = Grant(keys, fence, self._hold_s(), handover)
        sent = boot_time()
        hold = self.book.begin(target.name, grant, sent, GRANT_TIMEOUT_S)
        outcome = await self.control.grant(target, grant, GRANT_TIMEOUT_S)
        outcome = self._judge(target, outcome)
        now = boot_time()
        self.book.finish(target.name, hold, outcome, grant, now)
        self._note_contact(contact, outcome, now)
        if isinstance(outcome, Granted):
            contact.secure(keys)
        elif isinstance(outcome, Replaced):
            self.book.forget(target.name)
        if not isinstance(outcome, Granted) or handover is not None:
            self._log_call("grant", target, keys, fence, outcome, hold=grant.hold_s)
        if isinstance(outcome, Outranked) and self._is_newest(target, keys, fence):
            # Only a placer of a newer term gives higher fences.
            self.log.write("term_doubted", term=self.recorder.record.term)
            self.recorder.doubt()
        return outcome

    def _is_newest(self, target: ServingTarget, keys: KeyRange, fence: int) -> bool:
        """Tell whether this term has given no higher fence on the keys."""
        table = self.recorder.record.tables[target.service]
        return all(
            item.fence <= fence for item in table.ranges if item.keys.overlaps(keys)
        )

    def _hold_s(self) -> float:
        """Return the length of a hold: the longest while the store is away.

        No other daemon can then take the term, and nothing can be moved. A placer
        that is alone in missing the store resigns first.
        """
        recorder = self.recorder
        lost_s = boot_time() - recorder.store_lost_at
        long = recorder.store_lost and lost_s > LONG_HOLD_DELAY_S
        return self.hold_max_s if long and self.may_hold_long() else HOLD_S

    def _judge(self, target: ServingTarget, outcome: CallOutcome) -> CallOutcome:
        """Return the outcome; a denial proves a target gone whose address is reused."""
        if isinstance(outcome, Denied) and self.is_address_reused(target):
            return Replaced()
        return outcome

    def leave_rights(self) -> EarlierRights:
        """Return what a successor has to know; no right is given after this."""
        now = boot_time()
        return EarlierRights(
            max(0.0, self.earlier_rights_end - now),
            max(0.0, self.late_grants_end - now),
            tuple(self.book.live(now)),
        )

    def _note_contact(
        self, contact: Contact, outcome: GrantOutcome, now: float
    ) -> None:
        if isinstance(outcome, Granted | Outranked):
            if contact.failing_since is not None:
                self.log.write("target_regained", target=contact.target.name)
            contact.failing_since = None
        elif contact.failing_since is None:
            contact.failing_since = now
            self.log.write(
                "target_failing",
                target=contact.target.name,
                outcome=type(outcome).__name__,
            )

    async def take_back(self, contact: Contact, keys: KeyRange) -> str | None:
        """End a target's hold of keys; return the token that hands them over."""
        async with contact.lock:
            # Renewals sent before the keys were marked as moving have ended.
            pass
        while not self._has_lapsed(contact, keys):
            outcome = await self._release(contact, keys)
            if isinstance(outcome, Released):
                self.book.released(contact.target.name, keys)
                await self.wait_until(self.clear_at(contact, keys))
                return outcome.handover
            if isinstance(outcome, Replaced):
                self.book.forget(contact.target.name)
                return None
            await asyncio.sleep(RETRY_PAUSE_S)
        return None

    async def _release(self, contact: Contact, keys: KeyRange) -> ReleaseOutcome:
        target, fence = contact.target, self.recorder.record.last_fence
        outcome = await self.control.release(target, keys, fence, RELEASE_TIMEOUT_S)
        outcome = self._judge(target, outcome)
        if not isinstance(outcome, Released):
            self._log_call("release", target, keys, fence, outcome)
        return outcome

    async def outlast_earlier_rights(self) -> None:
        """Wait until no right of an earlier term is left."""
        await self.wait_until(self.earlier_rights_end)

    def clear_at(self, contact: Contact, keys: KeyRange) -> float:
        """Return when no grant without an answer can take effect any more."""
        now = boot_time()
        ends = self.book.unanswered_end(contact.target.name, keys, now)
        if not contact.is_secured(keys):
            return max(ends, self.earlier_rights_end)
        return max(ends, self.late_grants_end)

    def _has_lapsed(self, contact: Contact, keys: KeyRange) -> bool:
        now = boot_time()
        ends = self.book.end_of(contact.target.name, keys, now)
        return now >= max(ends, self.clear_at(contact, keys))

    async def wait_until(self, ends: float) -> None:
        """Return when a time (s) has come."""
        while (left_s := ends - boot_time()) > 0:
            await asyncio.sleep(left_s)

    def _log_call(
        self,
        call: str,
        target: ServingTarget,
        keys: KeyRange,
        fence: int,
        outcome: object,
        **more: object,
    ) -> None:
        self.log.write(
            call,
            target=target.name,
            keys=f"{keys.start}-{keys.end - 1}",
            fence=fence,
            term=self.recorder.record.term,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", "-"),
            **more,
        )
