"""Granting, renewing and revoking the leases of one term (gateway mode)."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from peridot_ownership.holds import (
    Denied,
    Grant,
    Granted,
    GrantOutcome,
    LeaseLedger,
    Outranked,
    Released,
    ReleaseOutcome,
    Replaced,
    TargetLeaseClient,
    Unreached,
)
from peridot_ownership.ranges import KeyRange
from peridot_ownership.record import FENCES_PER_TERM, Certainty
from peridot_ownership.recorder import RecordWriter
from peridot_ownership.rights import (
    GRANT_TIMEOUT_S,
    LEASE_S,
    LONG_LEASE_DELAY_S,
    LONG_LEASE_S,
    EarlierLeases,
)
from peridot_ownership.trials import FailureHistory
from peridot_placement.clock import boot_time
from peridot_placement.decisions import DecisionLog
from peridot_resources.configuration import TargetInstance

CallOutcome = GrantOutcome | ReleaseOutcome

# A target answers a release once the requests that run on the keys have ended.
RELEASE_TIMEOUT_S = 2.5
RETRY_PAUSE_S = 0.1
# A target is unusable once its renewals have failed for this long: after two renewals
# without an answer, and before the leases of a target that is gone expire.
UNUSABLE_AFTER_S = 1.3


@dataclass
class TargetState:
    """Track the renewals of one target and serialise the grants to it."""

    target: TargetInstance
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    failing_since: float | None = None
    # Another incarnation answered the last renewal.
    replaced: bool = False
    failures: FailureHistory = field(default_factory=FailureHistory)
    # First key of the range at which the last renewal of all leases stopped, or -1.
    stopped_at: int = -1
    leaving_since: float | None = None
    # Keys for which it accepted a grant of this term, which replaced all leases of
    # earlier terms.
    accepted_ranges: list[KeyRange] = field(default_factory=list)
    task: asyncio.Task | None = None

    def has_accepted(self, keys: KeyRange) -> bool:
        """Return whether grants of this term have replaced all leases on the keys."""
        return not keys.minus(self.accepted_ranges)

    def record_accepted(self, keys: KeyRange) -> None:
        """Record that the target accepted a grant of this term for keys."""
        if not self.has_accepted(keys):
            kept = [item for item in self.accepted_ranges if item.minus([keys])]
            self.accepted_ranges = [*kept, keys]

    def forget_failures(self) -> None:
        """Drop the evidence of failures, which is about an earlier start."""
        self.failing_since, self.replaced = None, False
        self.failures = FailureHistory()

    def is_failing(self, now: float) -> bool:
        """Return whether the target is gone or its renewals fail for too long (s)."""
        since = self.failing_since
        return self.replaced or since is not None and now - since >= UNUSABLE_AFTER_S


class LeaseManager:
    """Grant, renew and revoke the leases of one term."""

    def __init__(
        self,
        record_writer: RecordWriter,
        lease_client: TargetLeaseClient,
        log: DecisionLog,
        hold_max_s: float,
        earlier_leases: EarlierLeases,
        may_grant_long_leases: Callable[[], bool],
        is_address_reused: Callable[[TargetInstance], bool],
    ) -> None:
        self.record_writer = record_writer
        self.lease_client = lease_client
        self.log = log
        self.hold_max_s = hold_max_s
        self.may_grant_long_leases = may_grant_long_leases
        self.is_address_reused = is_address_reused
        self.ledger = LeaseLedger()
        now = boot_time()
        # When leases of earlier terms have expired (s), except those in the ledger.
        self.earlier_leases_end = now + earlier_leases.unknown_remaining_s
        # When leases from unanswered grants of earlier terms have expired (s). A target
        # that has accepted a grant of this term can have no others of earlier terms.
        self.unanswered_grants_end = now + earlier_leases.unanswered_remaining_s
        # Until when (s) any target may have a lease on any keys, after a restore of the
        # store: another placer's term may have been lost.
        self.lost_leases_end = (
            self.earlier_leases_end if self._is_record_uncertain() else now
        )
        for target, lease in earlier_leases.leases:
            self.ledger.add(target, lease)

    async def grant(
        self,
        state: TargetState,
        keys: KeyRange,
        fence: int,
        handover: str | None = None,
    ) -> GrantOutcome:
        """Grant a lease or renew it, if the term is confirmed."""
        target = state.target
        if not self.record_writer.is_confirmed():
            # The process may have been suspended since the caller checked.
            return Unreached("the term is not confirmed")
        grant = Grant(keys, fence, self._lease_s(), handover)
        sent_at = boot_time()
        lease = self.ledger.record_sent(target.name, grant, sent_at, GRANT_TIMEOUT_S)
        outcome = await self.lease_client.grant(target, grant, GRANT_TIMEOUT_S)
        outcome = self._resolve_denial(target, outcome)
        now = boot_time()
        self.ledger.record_outcome(target.name, lease, outcome, grant, now)
        self._record_reachability(state, outcome, now)
        if isinstance(outcome, Granted):
            if fence >= self.record_writer.record.term * FENCES_PER_TERM:
                state.record_accepted(keys)
        elif isinstance(outcome, Replaced):
            self.ledger.remove_target(target.name)
        if not isinstance(outcome, Granted) or handover is not None:
            self._log_call("grant", target, keys, fence, outcome, hold=grant.hold_s)
        if isinstance(outcome, Outranked) and self._is_last_fence(target, keys, fence):
            # Only a placer of a newer term issues higher fencing tokens.
            self.log.write("term_doubted", term=self.record_writer.record.term)
            self.record_writer.require_confirmation()
        return outcome

    def _is_last_fence(
        self, target: TargetInstance, keys: KeyRange, fence: int
    ) -> bool:
        """Return whether this term has issued no higher fencing token for the keys."""
        table = self.record_writer.record.tables[target.service]
        return all(
            item.fence <= fence for item in table.ranges if item.keys.overlaps(keys)
        )

    def _lease_s(self) -> float:
        """Return the length of a lease (s), longer while the store is unavailable.

        No other daemon can acquire the term then, and no keys can move. A placer that
        alone has lost the store resigns before it grants long leases.
        """
        record_writer = self.record_writer
        lost_s = boot_time() - record_writer.store_lost_at
        long = record_writer.store_lost and lost_s > LONG_LEASE_DELAY_S
        if not long or not self.may_grant_long_leases():
            return LEASE_S
        return min(LONG_LEASE_S, self.hold_max_s)

    def _resolve_denial(
        self, target: TargetInstance, outcome: CallOutcome
    ) -> CallOutcome:
        """Return Replaced for a denial at a reused address: the target is gone."""
        if isinstance(outcome, Denied) and self.is_address_reused(target):
            return Replaced()
        return outcome

    def export_leases(self) -> EarlierLeases:
        """Return the leases for the successor; grant none after this."""
        now = boot_time()
        return EarlierLeases(
            max(0.0, self.earlier_leases_end - now),
            max(0.0, self.unanswered_grants_end - now),
            tuple(self.ledger.unexpired(now)),
        )

    def _record_reachability(
        self, state: TargetState, outcome: GrantOutcome, now: float
    ) -> None:
        state.replaced = isinstance(outcome, Replaced)
        if isinstance(outcome, Granted | Outranked):
            if state.failing_since is not None:
                self.log.write("target_regained", target=state.target.name)
                state.failures.regained_at = now
            state.failing_since = None
            return
        is_first = state.failing_since is None
        state.failures.record_failure(now, is_first)
        if is_first:
            state.failing_since = now
            self.log.write(
                "target_failing",
                target=state.target.name,
                outcome=type(outcome).__name__,
            )

    async def revoke(self, state: TargetState, keys: KeyRange) -> str | None:
        """Revoke a target's lease on keys; return the handover token, if any."""
        async with state.lock:
            # Waits for renewals that were sent before the keys were marked as moving.
            pass
        while not self._has_expired(state, keys):
            outcome = await self._release(state, keys)
            if isinstance(outcome, Released):
                self.ledger.record_release(state.target.name, keys)
                await self.wait_until(self.revocable_from(state, keys))
                return outcome.handover
            if isinstance(outcome, Replaced):
                self.ledger.remove_target(state.target.name)
                await self.wait_for_lost_leases()
                return None
            await asyncio.sleep(RETRY_PAUSE_S)
        return None

    async def _release(self, state: TargetState, keys: KeyRange) -> ReleaseOutcome:
        target, fence = state.target, self.record_writer.record.last_fence
        # A target that is gone doesn't answer; its lease ends without it.
        expires_in_s = self._expires_at(state, keys) - boot_time()
        timeout_s = min(RELEASE_TIMEOUT_S, max(RETRY_PAUSE_S, expires_in_s))
        sent_at = boot_time()
        outcome = await self.lease_client.release(target, keys, fence, timeout_s)
        outcome = self._resolve_denial(target, outcome)
        self._log_call(
            "release",
            target,
            keys,
            fence,
            outcome,
            handover=getattr(outcome, "handover", None) or "-",
            took_ms=round((boot_time() - sent_at) * 1000, 1),
        )
        return outcome

    def expect_lost_leases(self, earlier_leases: EarlierLeases) -> None:
        """Expect leases from a term that the store lost when it was restored."""
        now = boot_time()
        remaining_s = earlier_leases.unknown_remaining_s
        self.lost_leases_end = now + remaining_s
        self.earlier_leases_end = max(self.earlier_leases_end, self.lost_leases_end)
        self.unanswered_grants_end = max(
            self.unanswered_grants_end, now + earlier_leases.unanswered_remaining_s
        )

    async def wait_for_lost_leases(self) -> None:
        """Wait until leases of terms that the store has lost have expired."""
        while (remaining_s := self.lost_leases_end - boot_time()) > 0:
            # Another restore may extend the time meanwhile.
            await asyncio.sleep(remaining_s)
        if self._is_record_uncertain():
            self.record_writer.record.certainty = Certainty.CERTAIN
            self.log.write("record_certain", term=self.record_writer.record.term)

    def _is_record_uncertain(self) -> bool:
        return self.record_writer.record.certainty is not Certainty.CERTAIN

    async def wait_for_expiry(self, target: str, keys: KeyRange) -> None:
        """Wait until all leases that a target may have on keys have expired."""
        reported_until = self.ledger.held_until(target, keys, boot_time())
        await self.wait_until(max(reported_until, self.earlier_leases_end))

    def revocable_from(self, state: TargetState, keys: KeyRange) -> float:
        """Return from when a release ends all of a target's leases on keys (s).

        It doesn't end leases from unanswered grants, which may take effect later, nor
        those of earlier terms unless the target has accepted a grant of this term.
        """
        now = boot_time()
        expires_at = self.ledger.unanswered_until(state.target.name, keys, now)
        if not state.has_accepted(keys):
            return max(expires_at, self.earlier_leases_end)
        return max(expires_at, self.unanswered_grants_end)

    def _has_expired(self, state: TargetState, keys: KeyRange) -> bool:
        return boot_time() >= self._expires_at(state, keys)

    def _expires_at(self, state: TargetState, keys: KeyRange) -> float:
        """Return when all of a target's leases on keys have expired (s)."""
        held_until = self.ledger.held_until(state.target.name, keys, boot_time())
        return max(held_until, self.revocable_from(state, keys))

    async def wait_until(self, time_s: float) -> None:
        """Wait until a time of the boot clock (s)."""
        while (remaining_s := time_s - boot_time()) > 0:
            await asyncio.sleep(remaining_s)

    def _log_call(
        self,
        call: str,
        target: TargetInstance,
        keys: KeyRange,
        fence: int,
        outcome: object,
        **fields: object,
    ) -> None:
        self.log.write(
            call,
            target=target.name,
            keys=f"{keys.start}-{keys.end - 1}",
            fence=fence,
            term=self.record_writer.record.term,
            outcome=type(outcome).__name__,
            reason=getattr(outcome, "reason", "-"),
            **fields,
        )
