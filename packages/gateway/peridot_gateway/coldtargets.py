"""Cold targets: what this VM knows of them, and what the placer allots to VMs."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import isfinite
from time import monotonic

from peridot_gateway.sources import ConfigurationSource
from peridot_gateway.targets import TargetSource
from peridot_ownership.ranges import RangeTable
from peridot_placement.decisions import DecisionLog
from peridot_placement.signals import ChangeSignal
from peridot_resources.configuration import (
    Configuration,
    ServiceConfiguration,
    TargetInstance,
)
from peridot_routing.outcomes import Answered, NotRun, Outcome, Reason
from peridot_scheduling.cold_starts import (
    ASSIGNMENT_S,
    FALLBACK_SHARE,
    MAX_COLD_S,
    Allotment,
    Allowance,
    ColdLimits,
    ColdTimes,
    find_limits,
    is_fallback_sender,
)
from peridot_wire import peridot_pb2 as pb

# A new placer allots nothing for this long (s): assignments of the former one have
# lapsed by then, and all VMs have joined.
TERM_DELAY_S = 3.0
# A member without reports for this time (s) has left.
MEMBER_FRESH_S = 2.0
# Targets say themselves for how long they are cold; more than this multiple of the
# service's time is an error.
MAX_COLD_FACTOR = 2.0
# Failures to reach a target of as many VMs are no fault of one VM's network.
MIN_REPORTERS = 2
# The placer looks up cold targets and senders once in this time (s) for all members.
REFRESH_PERIOD_S = 0.1
# Without a placer the list of VMs doesn't change; the check takes a hash for each.
FALLBACK_CHECK_PERIOD_S = 1.0
UNREACHED_REASONS = frozenset((Reason.CONNECTION_REFUSED, Reason.TARGET_LOST))
# Outcomes other than answers for which the target has responded. A request that ends
# without a response says nothing: the target may be silent.
RESPONSE_REASONS = frozenset((Reason.NOT_OWNER, Reason.SHED, Reason.TORN_ANSWER))


@dataclass
class _Member:
    """Zone and last report (s) of a VM, and its requests since by service and key."""

    zone: str
    reported_at: float
    keys: dict[str, Counter[int]] = field(default_factory=dict)


class ColdTargets:
    """Limit what all VMs together send to cold targets."""

    def __init__(
        self,
        vm: str,
        configuration: ConfigurationSource,
        targets: TargetSource,
        log: DecisionLog,
        clock: Callable[[], float] = monotonic,
    ) -> None:
        self.vm = vm
        self.configuration = configuration
        self.targets = targets
        self.log = log
        self.clock = clock
        # From the settings; without a factor there is no limit.
        self.rate_factor: float | None = None
        self.rate_slack = 0.0
        # The limits by service in a configuration: each request needs them for all
        # targets of its service.
        self.limits: dict[str, ColdLimits | None] = {}
        self.limits_for: Configuration | None = None
        # Returns the names of the VMs that this VM knew last.
        self.get_known_vms: Callable[[], Iterable[str]] = lambda: ()
        self.times = ColdTimes()
        self.allowances: dict[str, Allowance] = {}
        self.changed = ChangeSignal()
        # Notified when a request waits for a permit, so that the placer learns of it.
        self.report_due = ChangeSignal()
        self.report_requested = False
        # When a placer, also on this VM, last sent its shares (s).
        self.state_at = float("-inf")
        # The entries that were read, and the targets logged as cold.
        self.entries: dict[str, TargetInstance] = {}
        self.logged: set[str] = set()
        self.refused = 0
        # When (s) it was checked if this VM sends without a placer, and the result.
        self.fallback_checks: dict[str, tuple[float, bool]] = {}
        # Used while this VM is the placer.
        self.term = 0
        self.leading_since = float("inf")
        self.members: dict[str, _Member] = {}
        self.allotment = Allotment()
        # When cold targets were looked up last (s), their services, and the shares of
        # senders by VM and target (permille).
        self.refreshed_at = float("-inf")
        self.cold_services: set[str] = set()
        self.sender_shares: dict[str, dict[str, int]] = {}
        # VMs that found targets unreachable and may find them cold, by target, and when
        # they said so (s); and the targets that count as cold because of them.
        self.reporters: dict[str, dict[str, float]] = {}
        self.reported: set[str] = set()

    def set_limits(self, rate_factor: float | None, rate_slack: float) -> None:
        """Set the limits of the settings."""
        if not all(isfinite(v) and v >= 0 for v in (rate_factor or 0.0, rate_slack)):
            # find_limits replaces what is invalid.
            self.log.write("cold_limit_invalid", factor=rate_factor, slack=rate_slack)
        self.rate_factor, self.rate_slack = rate_factor, rate_slack
        self.limits.clear()

    def find_limits(self, service: str) -> ColdLimits | None:
        """Return the limits of a service's cold targets, None if it has none."""
        if self.rate_factor is None:
            return None
        configuration = self.configuration.configuration
        if configuration is not self.limits_for:
            self.limits_for = configuration
            self.limits.clear()
        if service not in self.limits:
            found = configuration.services.get(service)
            if found is None:
                return None
            self.limits[service] = find_limits(
                found.cold_rate, self.rate_factor, self.rate_slack, found.cold_s
            )
        return self.limits[service]

    def left_s(self, target: TargetInstance) -> float:
        """Return for how much longer a target is cold, 0 if it has no limit."""
        if self.find_limits(target.service) is None:
            return 0.0
        self._read_entry(target)
        return self.times.left_s(target.name, self.clock())

    # Sending.

    def may_send(self, target: TargetInstance, draw: float) -> bool:
        """Return whether this VM may send a request to a target now.

        A draw between 0 and 1 decides which requests are sent while a target that was
        cold gets more and more of them.
        """
        limits = self.find_limits(target.service)
        if limits is None:
            return True
        self._read_entry(target)
        if target.name not in self.times.targets:
            return True
        now = self.clock()
        if not self._is_limited(target, now):
            return draw < self.times.ramp_share(target.name, now)
        self._update_fallback(target, limits, now)
        allowance = self.allowances.get(target.name)
        return allowance is not None and allowance.may_send(now)

    def take(self, target: TargetInstance, draw: float) -> bool:
        """Take the allowance of a request; return whether it may be sent."""
        if not self.may_send(target, draw):
            return False
        now = self.clock()
        limited = self.find_limits(target.service) is not None
        if limited and self._is_limited(target, now):
            return self.allowances[target.name].take(now)
        return True

    def give_back(self, target: TargetInstance) -> None:
        """Return the allowance that was just taken for a request that isn't sent."""
        allowance = self.allowances.get(target.name)
        limited = self.find_limits(target.service) is not None
        if allowance and limited and self._is_limited(target, self.clock()):
            allowance.give_back()
            self.changed.notify()

    def request_report(self) -> None:
        """Report soon to the placer: a request waits for a permit."""
        self.report_requested = True
        self.report_due.notify()

    async def wait_for_report(self, timeout_s: float) -> None:
        """Return when the next report is due, after a time (s) at the latest."""
        if self.rate_factor is None:
            await asyncio.sleep(timeout_s)
        elif not self.report_requested:
            await self.report_due.wait(timeout_s)
        self.report_requested = False

    def record_outcome(self, target: TargetInstance, outcome: Outcome) -> None:
        """Record whether a target could be reached."""
        if self.find_limits(target.service) is None:
            return
        now = self.clock()
        if isinstance(outcome, NotRun) and outcome.reason in UNREACHED_REASONS:
            self.times.record_failure(target.name, now)
        elif isinstance(outcome, Answered) or outcome.reason in RESPONSE_REASONS:
            self.times.record_response(target.name, now)
        if now >= self.state_at + ASSIGNMENT_S:
            # No placer collects what the VMs saw.
            cold_s = self._find_service(target.service).cold_s
            left_s = self.times.reported_left_s(target.name, cold_s, now)
            self._set_cold(target, left_s, "unreachable")

    def record_zone_return(self, zone: str) -> None:
        """Count the targets of a zone as cold after its evacuation."""
        for target in list(self.targets.targets.values()):
            service = self._find_service(target.service)
            if target.data_centre == zone and self.find_limits(target.service):
                self._set_cold(target, service.cold_s, "evacuation_ended")

    def update(self) -> None:
        """Read new entries, and log the targets that have turned cold or warm."""
        if self.rate_factor is None:
            return
        now = self.clock()
        for target in self.targets.targets.values():
            if self.entries.get(target.name) is not target:
                self.left_s(target)
        for name in list(self.logged):
            if not self.times.left_s(name, now):
                self.logged.remove(name)
                self.allowances.pop(name, None)
                self.fallback_checks.pop(name, None)
                self.log.write("target_warm", target=name)
        names = self.targets.targets.keys()
        self.times.remove_all_except(names)
        for by_target in (
            self.entries,
            self.allowances,
            self.fallback_checks,
            self.reporters,
        ):
            for name in by_target.keys() - names:
                del by_target[name]

    def count_cold(self) -> int:
        """Return how many targets are cold."""
        return len(self.logged)

    def build_reports(self) -> Iterable[pb.TargetReport]:
        """Yield the targets that this VM couldn't reach and that may be cold."""
        now = self.clock()
        for name in self.times.targets:
            target = self.targets.targets.get(name)
            service = self._find_service(target.service) if target else None
            if service is None or self.find_limits(service.name) is None:
                continue
            left_s = self.times.reported_left_s(name, service.cold_s, now)
            if left_s > 0:
                yield pb.TargetReport(target=name, cold_left_ms=int(left_s * 1000) + 1)

    def apply_state(self, shares: Iterable[pb.ColdTarget]) -> None:
        """Apply this VM's shares that a placer sent; others have ended."""
        now = self.clock()
        self.state_at = now
        assigned = set()
        for item in shares:
            target = self.targets.targets.get(item.target)
            limits = self.find_limits(target.service) if target else None
            if limits is None:
                continue
            if item.left_ms:
                self._set_cold(target, item.left_ms / 1000, "reported")
            share = max(0, item.admit_permille - 1) / 1000
            if not share:
                continue
            assigned.add(item.target)
            allowance = self.allowances.setdefault(item.target, Allowance())
            if self._find_service(target.service).divided_by_key:
                allowance.permit(now)
            else:
                allowance.assign(min(share * limits.rate, limits.sender_rate), now)
        for name, allowance in self.allowances.items():
            if name not in assigned:
                allowance.assigned_until = float("-inf")
        self.changed.notify()

    def _find_service(self, service: str) -> ServiceConfiguration | None:
        return self.configuration.configuration.services.get(service)

    def _is_limited(self, target: TargetInstance, now: float) -> bool:
        self._read_entry(target)
        return self.times.left_s(target.name, now) > 0 or self.times.is_suspected(
            target.name, now
        )

    def _read_entry(self, target: TargetInstance) -> None:
        if self.entries.get(target.name) is not target:
            self.entries[target.name] = target
            self._set_cold(target, target.warm_up_left_s, "entry")

    def _set_cold(self, target: TargetInstance, left_s: float, cause: str) -> None:
        now = self.clock()
        cold_s = self._find_service(target.service).cold_s
        max_s = min(MAX_COLD_FACTOR * cold_s, MAX_COLD_S)
        if left_s > max_s:
            if target.name not in self.logged:
                self.log.write("cold_time_bounded", target=target.name, left_s=left_s)
            left_s = max_s
        self.times.set_cold(target.name, left_s, now)
        left_s = self.times.left_s(target.name, now)
        if left_s and target.name not in self.logged:
            self.logged.add(target.name)
            self.log.write(
                "target_cold", target=target.name, left=round(left_s, 2), cause=cause
            )

    def _update_fallback(
        self, target: TargetInstance, limits: ColdLimits, now: float
    ) -> None:
        """Assign a small rate to one VM of those that have lost the placer."""
        if now < self.state_at + ASSIGNMENT_S:
            return
        checked_at, is_sender = self.fallback_checks.get(
            target.name, (float("-inf"), False)
        )
        if now >= checked_at + FALLBACK_CHECK_PERIOD_S:
            is_sender = is_fallback_sender(target.name, self.vm, self.get_known_vms())
            self.fallback_checks[target.name] = now, is_sender
        if is_sender:
            allowance = self.allowances.setdefault(target.name, Allowance())
            rate = min(limits.rate * FALLBACK_SHARE, limits.sender_rate)
            allowance.assign(rate, now, fallback=True)

    # The placer.

    def record_report(self, report: pb.FleetReport) -> None:
        """Record what a VM reports on targets and keys."""
        if self.rate_factor is None:
            return
        now = self.clock()
        if report.leaving:
            self.remove_vm(report.vm)
            return
        member = self.members.setdefault(report.vm, _Member(report.data_centre, now))
        member.zone, member.reported_at = report.data_centre, now
        for item in report.keys:
            if item.service in self.cold_services:
                # FleetLoad logs lists of different lengths.
                counts = dict(zip(item.keys, item.counts, strict=False))
                member.keys.setdefault(item.service, Counter()).update(counts)
        for item in report.targets:
            if item.cold_left_ms:
                self._record_unreachable(report.vm, item, now)

    def has_demand(self, vm: str) -> bool:
        """Return whether requests may wait at a VM for permits."""
        member = self.members.get(vm)
        return member is not None and bool(member.keys)

    def remove_vm(self, vm: str) -> None:
        """Forget a VM that left."""
        self.members.pop(vm, None)
        self.allotment.remove_vm(vm)

    def build_shares(
        self, vm: str, term: int, tables: Mapping[str, RangeTable]
    ) -> list[pb.ColdTarget]:
        """Return a VM's shares of the allowances of all cold targets."""
        if self.rate_factor is None:
            return []
        now = self.clock()
        if term != self.term:
            self.term, self.leading_since = term, now
            self.allotment, self.refreshed_at = Allotment(), float("-inf")
        if now >= self.refreshed_at + REFRESH_PERIOD_S:
            self._refresh(now)
        shares = dict(self.sender_shares.get(vm, {}))
        if vm in self.members and now >= self.leading_since + TERM_DELAY_S:
            self._add_demand(vm, self.members[vm], tables, now)
            for name in self.allotment.waiting_at(vm, now):
                # All requests of the receiver for now, which are one at most.
                shares[name] = 1000 * self.allotment.issue_permit(name, vm, now)
        # Members can't know by themselves how long these are cold.
        left_ms = {
            name: int(self.times.left_s(name, now) * 1000) + 1 for name in self.reported
        }
        return [
            pb.ColdTarget(
                target=name,
                left_ms=left_ms.get(name, 0),
                admit_permille=shares.get(name, 0) + 1,
            )
            for name in shares.keys() | left_ms.keys()
            if shares.get(name) or name in left_ms
        ]

    def _refresh(self, now: float) -> None:
        """Update which targets are cold and who their senders are."""
        self.refreshed_at = now
        cold = {
            name: self.targets.targets[name]
            for name in self.logged
            if name in self.targets.targets and self.times.left_s(name, now)
        }
        self.allotment.remove_all_except(cold)
        self.allotment.allow_choices()
        self.reported &= cold.keys()
        self.cold_services = {target.service for target in cold.values()}
        self.sender_shares = {}
        zones = self._live_zones(now) if cold else {}
        for name, target in cold.items():
            limits = self.find_limits(target.service)
            if limits is None:
                continue
            self.allotment.add_target(name, limits, self.times.get(name).since)
            divided = self._find_service(target.service).divided_by_key
            if divided or now < self.leading_since + TERM_DELAY_S:
                continue
            share = int(1000 * limits.sender_rate / limits.rate)
            for vm in self.allotment.update_senders(
                name, target.data_centre, zones, limits, now
            ):
                self.sender_shares.setdefault(vm, {})[name] = share

    def _add_demand(
        self, vm: str, member: _Member, tables: Mapping[str, RangeTable], now: float
    ) -> None:
        for service, counts in member.keys.items():
            table = tables.get(service)
            if table is None:
                continue
            for key, count in counts.items():
                self.allotment.add_demand(table.find(key).owner, vm, count, now)
        member.keys.clear()

    def _live_zones(self, now: float) -> dict[str, str]:
        oldest = now - MEMBER_FRESH_S
        return {
            vm: member.zone
            for vm, member in self.members.items()
            if member.reported_at > oldest
        }

    def _record_unreachable(self, vm: str, item: pb.TargetReport, now: float) -> None:
        """Count a target as cold if VMs of several zones couldn't reach it."""
        target = self.targets.targets.get(item.target)
        if target is None or self.find_limits(target.service) is None:
            return
        reporters = self.reporters.setdefault(item.target, {})
        reporters[vm] = now
        zones = self._live_zones(now)
        fresh = {r for r, at in reporters.items() if at > now - MEMBER_FRESH_S}
        self.reporters[item.target] = {r: reporters[r] for r in fresh}
        seen_from = {zones[r] for r in fresh if r in zones}
        enough = len(fresh) >= min(MIN_REPORTERS, len(zones)) and len(seen_from) >= min(
            MIN_REPORTERS, len(set(zones.values()))
        )
        if enough or item.target in self.reported:
            self.reported.add(item.target)
            self._set_cold(target, item.cold_left_ms / 1000, "unreachable")
