"""Decisions on cold targets: since when they are cold, and who may send them what.

A cold target bears a limited rate of requests from all VMs together. Times are in s, by
one clock of the caller.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from heapq import nsmallest
from math import inf, isfinite

from xxhash import xxh64_intdigest

# VMs that send to a cold target of a service that isn't divided by key. Two of them go
# on if one is lost; each adds its burst to what may arrive at once.
SENDER_COUNT = 2
# Number of diverging views of the fleet whose allowances may add up.
VIEW_COUNT = 2
# Requests that a sender may send at once.
BURST = 1.0
# An assignment holds for this long (s) after the last state of the placer.
ASSIGNMENT_S = 2.0
# A place of a sender is filled again after this time (s), when the assignment of the
# former sender has lapsed also if it was cut off.
REASSIGNMENT_DELAY_S = 2.5
# A permit for one request lapses after this time (s). Requests wait for it, so that it
# is used at once or not at all.
PERMIT_S = 0.1
# Permits that are issued at once at most.
MAX_PERMIT_BURST = 4.0
# States of the placer arrive later than others by up to this time (s).
PERMIT_JITTER_S = 0.1
# Permits issued within this time (s) may be used within one second.
USABLE_S = 1.0 + PERMIT_S + PERMIT_JITTER_S
# No permits are issued for this time (s) after a target turned cold: requests of the
# last second count against the limit too.
QUIET_S = 1.0
# Targets whose senders are chosen at once: a choice takes a hash for each VM of a zone,
# and thousands of targets may turn cold together.
MAX_CHOICES = 50
# Callers wait for about this time (s); later permits would be wasted.
DEMAND_S = 0.5
# Without a placer, the chosen sender sends this share of the rate.
FALLBACK_SHARE = 0.25
# Failures of a target within less time (s) aren't counted as one that was unreachable.
UNREACHABLE_S = 0.5
# A target that was unreachable for one VM counts as cold there for this time (s) after
# the last failure and after the first response, until the placer has decided. One VM
# alone may have been cut off itself.
SUSPICION_S = 1.0
# Longer cold times (s) are errors; messages have room for 49 days.
MAX_COLD_S = 3_600.0
# After the cold time, the share of requests that may be sent rises to 1 in this time
# (s).
RAMP_S = 2.0


@dataclass(frozen=True)
class ColdLimits:
    """The limits of cold targets of a service."""

    # Requests per second that a cold target bears.
    rate: float
    # Requests in any second that it gets at most, from all VMs.
    limit: float

    @property
    def view_limit(self) -> float:
        """Return the part of the limit of each of the diverging views."""
        return self.limit / VIEW_COUNT

    @property
    def sender_count(self) -> int:
        """Return how many VMs may send without asking; each needs room for a burst."""
        return max(0, min(SENDER_COUNT, int(self.view_limit / (2 * BURST))))

    @property
    def sender_rate(self) -> float:
        """Return the rate of one sender (1/s)."""
        if not self.sender_count:
            return 0.0
        return min(self.rate, self.view_limit - self.sender_count * BURST) / (
            self.sender_count
        )

    @property
    def permit_rate(self) -> float:
        """Return how many permits are issued (1/s).

        Permits of more than a second may be used in one.
        """
        return max(0.0, min(self.rate, (self.view_limit - BURST) / USABLE_S))

    @property
    def permit_burst(self) -> float:
        """Return how many permits are issued at once, with what the rate leaves."""
        left = self.view_limit - self.permit_rate * USABLE_S
        return min(MAX_PERMIT_BURST, max(BURST, left))


def find_limits(
    rate: float, factor: float | None, slack: float, cold_s: float
) -> ColdLimits | None:
    """Return the limits of a service's cold targets; None if there are none."""
    if factor is None or not (isfinite(rate) and rate > 0 and cold_s > 0):
        return None
    factor = factor if isfinite(factor) and factor >= 0 else 1.0
    slack = slack if isfinite(slack) and slack >= 0 else 0.0
    return ColdLimits(rate, rate * factor + slack)


def choose_senders(
    target: str, zone: str, vms: Mapping[str, str], count: int
) -> list[str]:
    """Return a number of VMs (of names and zones) that send to a target.

    Those in its zone come first, so that it stays reachable if the zone is cut off.
    """

    def rank(vm: str) -> tuple[int, str]:
        return xxh64_intdigest(f"{vm}\0{target}".encode()), vm

    chosen = nsmallest(count, (vm for vm in vms if vms[vm] == zone), key=rank)
    if len(chosen) < count:
        others = (vm for vm in vms if vms[vm] != zone)
        chosen += nsmallest(count - len(chosen), others, key=rank)
    return chosen


@dataclass
class TokenBucket:
    """A rate of requests with a burst; a new bucket is empty."""

    rate: float
    updated_at: float
    burst: float = BURST
    tokens: float = 0.0

    def has(self, now: float) -> bool:
        """Return whether a request may be sent."""
        passed_s = max(0.0, now - self.updated_at)
        self.tokens = min(self.burst, self.tokens + passed_s * self.rate)
        self.updated_at = max(now, self.updated_at)
        return self.tokens >= 1.0 - 1e-9

    def take(self, now: float) -> bool:
        """Take a token if there is one."""
        if not self.has(now):
            return False
        self.tokens = max(0.0, self.tokens - 1.0)
        return True


@dataclass
class ColdTime:
    """Until when one target is cold."""

    # When it was last found cold, and until when it is cold.
    since: float = -inf
    until: float = -inf
    # Until when it may be cold by what this VM alone saw.
    suspected_until: float = -inf
    # First and last failure without a response in between.
    failing_since: float | None = None
    failed_at: float = -inf
    # When it responded after it was unreachable.
    returned_at: float = -inf


@dataclass
class ColdTimes:
    """When targets are cold."""

    targets: dict[str, ColdTime] = field(default_factory=dict)

    def get(self, target: str) -> ColdTime:
        """Return the times of a target."""
        return self.targets.setdefault(target, ColdTime())

    def set_cold(self, target: str, left_s: float, now: float) -> None:
        """Count a target as cold for a time, or for longer if it is already."""
        if not (isfinite(left_s) and left_s > 0):
            return
        item = self.get(target)
        if item.until <= now:
            item.since = now
        item.until = max(item.until, now + min(left_s, MAX_COLD_S))

    def left_s(self, target: str, now: float) -> float:
        """Return for how much longer a target is cold, 0 if it isn't."""
        item = self.targets.get(target)
        return max(0.0, item.until - now) if item else 0.0

    def is_suspected(self, target: str, now: float) -> bool:
        """Return whether a target may be cold by what this VM alone saw."""
        item = self.targets.get(target)
        return item is not None and (
            now < item.suspected_until or self._is_unreachable(item, now)
        )

    def ramp_share(self, target: str, now: float) -> float:
        """Return the share of requests that may be sent to a target after its start."""
        item = self.targets.get(target)
        if item is None:
            return 1.0
        # It rises slowly at first: requests that waited and callers that were refused
        # come on top.
        return min(1.0, max(0.0, (now - item.until) / RAMP_S)) ** 2

    def record_failure(self, target: str, now: float) -> None:
        """Record that a target refused connections or was silent."""
        item = self.get(target)
        if item.failing_since is None:
            item.failing_since = now
        item.failed_at = now

    def record_response(self, target: str, now: float) -> None:
        """Record a response; a target that was unreachable may be cold now."""
        item = self.targets.get(target)
        if item is None or item.failing_since is None:
            return
        if item.failed_at - item.failing_since >= UNREACHABLE_S:
            item.returned_at, item.suspected_until = now, now + SUSPICION_S
        item.failing_since = None

    def reported_left_s(self, target: str, cold_s: float, now: float) -> float:
        """Return for how long a target may be cold by what this VM alone saw."""
        item = self.targets.get(target)
        if item is None:
            return 0.0
        if self._is_unreachable(item, now):
            # The time begins with its first response.
            return min(cold_s, MAX_COLD_S)
        return max(0.0, item.returned_at + min(cold_s, MAX_COLD_S) - now)

    def remove_all_except(self, names: Iterable[str]) -> None:
        """Forget other targets."""
        for name in self.targets.keys() - set(names):
            del self.targets[name]

    def _is_unreachable(self, item: ColdTime, now: float) -> bool:
        return (
            item.failing_since is not None
            and item.failed_at - item.failing_since >= UNREACHABLE_S
            and now < item.failed_at + SUSPICION_S
        )


@dataclass
class Allowance:
    """What this VM may send to one cold target."""

    bucket: TokenBucket | None = None
    assigned_until: float = -inf
    permit_until: float = -inf
    # Until when the permit was good that the last request took, if it took one.
    taken_permit_until: float = -inf
    # Whether this VM assigned the rate itself, without a placer.
    fallback: bool = False

    def assign(self, rate: float, now: float, fallback: bool = False) -> None:
        """Set the rate that is assigned; a new sender begins without a burst."""
        lapsed = self.assigned_until <= now and not fallback
        if self.bucket is None or lapsed or fallback != self.fallback:
            self.bucket = TokenBucket(rate, now)
        self.bucket.rate, self.fallback = rate, fallback
        self.assigned_until = now + ASSIGNMENT_S

    def permit(self, now: float) -> None:
        """Set a permit for one request; there is one at most."""
        self.permit_until = now + PERMIT_S

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        if now < self.permit_until:
            return True
        assigned = self.bucket is not None and now < self.assigned_until
        return assigned and self.bucket.has(now)

    def take(self, now: float) -> bool:
        """Take the allowance of a request, if there is one."""
        if now < self.permit_until:
            self.taken_permit_until, self.permit_until = self.permit_until, -inf
            return True
        self.taken_permit_until = -inf
        return self.may_send(now) and self.bucket.take(now)

    def give_back(self) -> None:
        """Undo the last take, at the same time; its request isn't sent."""
        if self.taken_permit_until > -inf:
            self.permit_until = max(self.permit_until, self.taken_permit_until)
            self.taken_permit_until = -inf
        elif self.bucket is not None:
            self.bucket.tokens = min(self.bucket.burst, self.bucket.tokens + 1.0)


def is_fallback_sender(target: str, vm: str, known_vms: Iterable[str]) -> bool:
    """Return whether a VM without a placer is the one that sends to a target."""
    return choose_senders(target, "", dict.fromkeys(known_vms, ""), 1) == [vm]


@dataclass
class _TargetShares:
    """What the placer has given out of one cold target's allowance."""

    permits: TokenBucket
    # Senders, and when the places of former ones may be filled again.
    senders: list[str] = field(default_factory=list)
    free_from: list[float] = field(default_factory=list)


@dataclass
class Allotment:
    """The placer's shares of the allowances of cold targets."""

    targets: dict[str, _TargetShares] = field(default_factory=dict)
    # Requests that wait by VM and target, and when they were reported.
    demand: dict[str, dict[str, tuple[int, float]]] = field(default_factory=dict)
    # Targets whose senders may be chosen before the next call of allow_choices.
    choices_left: int = MAX_CHOICES

    def add_target(self, target: str, limits: ColdLimits, since: float) -> None:
        """Add a target that has been cold since a time."""
        if target not in self.targets:
            permits = TokenBucket(
                limits.permit_rate, since + QUIET_S, limits.permit_burst
            )
            self.targets[target] = _TargetShares(permits)

    def allow_choices(self) -> None:
        """Allow the choice of senders of some more targets."""
        self.choices_left = MAX_CHOICES

    def update_senders(
        self,
        target: str,
        zone: str,
        vms: Mapping[str, str],
        limits: ColdLimits,
        now: float,
    ) -> list[str]:
        """Return the senders of a target; present ones stay while they live."""
        shares = self.targets[target]
        count = limits.sender_count
        kept = [vm for vm in shares.senders if vm in vms][:count]
        lost = len(shares.senders) - len(kept)
        pending = [at for at in shares.free_from if at > now]
        pending += [now + REASSIGNMENT_DELAY_S] * lost
        free = min(count - len(pending), len(vms)) - len(kept)
        if free > 0 and self.choices_left > 0:
            self.choices_left -= 1
            others = {vm: vms[vm] for vm in vms if vm not in kept}
            kept += choose_senders(target, zone, others, free)
        shares.senders, shares.free_from = kept, pending
        return shares.senders

    def add_demand(self, target: str | None, vm: str, count: int, now: float) -> None:
        """Add requests that wait at a VM, if the target is cold."""
        if target in self.targets:
            waiting = count + self._waiting(target, vm, now)
            self.demand.setdefault(vm, {})[target] = waiting, now

    def waiting_at(self, vm: str, now: float) -> list[str]:
        """Return the targets for which requests wait at a VM."""
        demand = self.demand.get(vm, {})
        for target in list(demand):
            if not self._waiting(target, vm, now):
                del demand[target]
        return list(demand)

    def issue_permit(self, target: str, vm: str, now: float) -> bool:
        """Return whether a VM may send one of the requests that wait there."""
        shares = self.targets.get(target)
        waiting = self._waiting(target, vm, now)
        if shares is None or not waiting or not shares.permits.take(now):
            return False
        self.demand[vm][target] = waiting - 1, self.demand[vm][target][1]
        return True

    def remove_vm(self, vm: str) -> None:
        """Forget the requests that waited at a VM that left."""
        self.demand.pop(vm, None)

    def remove_all_except(self, names: Iterable[str]) -> None:
        """Forget targets that aren't cold."""
        for name in self.targets.keys() - set(names):
            del self.targets[name]

    def _waiting(self, target: str, vm: str, now: float) -> int:
        count, reported_at = self.demand.get(vm, {}).get(target, (0, -inf))
        return count if now < reported_at + DEMAND_S else 0
