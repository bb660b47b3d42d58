"""Checks of the guarantees in the gateway mode's soak."""

import asyncio
import re
from collections import Counter
from dataclasses import dataclass

from aiohttp import ClientError

from peridot_fakes.disturbances import STORE
from peridot_fakes.journals import find_runs_that_span_owners
from peridot_fakes.site import WARM_UP_OVERSHOOT, WARM_UP_SLACK
from peridot_fakes.sitestate import (
    COLD_RATE,
    GATEWAYS,
    STABILITY_WINDOW_S,
    SoakState,
)

CHECK_PERIOD_S = 0.02
# Within this time each key is served again after all faults have ended; longer than
# the longest wait for leases of earlier terms.
RECOVERY_TIMEOUT_S = 25.0
# A stored configuration is in force at all gateways after this time.
CONFIGURATION_DELAY_S = 2.0
# A server gets no new requests this long after it was stored as draining.
DRAIN_S = 2.0
# Requests that a cold server may get in any second.
COLD_LIMIT = int(COLD_RATE * WARM_UP_OVERSHOOT + WARM_UP_SLACK)
EVENT = re.compile(r"event=(\w+)(?:.* version=(\d+))?")


@dataclass
class SiteChecks:
    """Check a site and its responses, and record broken guarantees."""

    state: SoakState

    # Responses.

    def was_undisturbed(self, gateway: str, sent_at: float) -> bool:
        """Return whether the guaranteed delays apply to a request.

        They do if neither the gateway nor the store had a fault since the stability
        window before the request was sent (s).
        """
        return self.state.fault_tracker.had_no_fault_since(
            sent_at - STABILITY_WINDOW_S, gateway, STORE
        )

    def check_time_bounds(
        self,
        status: int,
        headers: dict[str, str],
        path: str,
        sent_at: float,
        newest_configuration: tuple[int, float],
    ) -> None:
        """Check a response for an outdated configuration or a server that has drained.

        The newest configuration is given as its version and when (s) it was stored.
        """
        version, changed_at = newest_configuration
        if status == 404 and sent_at > changed_at + CONFIGURATION_DELAY_S:
            detail = f"{path} {sent_at - changed_at:.2f} s after version {version}"
            self.state.verdict.record_problem("configurations_late", detail)
        server = headers.get("X-Upstream-Signature", "")
        drain_started_at = self.state.drain_started_at.get(server, sent_at)
        if sent_at > drain_started_at + DRAIN_S:
            detail = (
                f"{server} {sent_at - drain_started_at:.2f} s after its drain began"
            )
            self.state.verdict.record_problem("requests_at_servers_that_left", detail)

    def check_announced_leaving(
        self, gateway: str, headers: dict[str, str], sent_at: float
    ) -> None:
        """Check a response of a server that announces its leaving, in touch or not."""
        server = headers.get("X-Upstream-Signature", "")
        if not self.state.fault_tracker.had_no_fault_since(sent_at, gateway):
            self.state.announced_at.pop((gateway, server), None)
        elif "Server-Leaving" in headers:
            first = self.state.announced_at.setdefault(
                (gateway, server), self.state.now()
            )
            if sent_at > first + DRAIN_S:
                detail = f"{server} {sent_at - first:.2f} s after it announced it"
                self.state.verdict.record_problem("requests_at_leaving_servers", detail)

    # Leases, runs and logs.

    async def watch_leases(self) -> None:
        """Check for overlapping leases periodically, until cancelled."""
        while True:
            self.check_leases()
            await asyncio.sleep(CHECK_PERIOD_S)

    def check_leases(self) -> None:
        """Record each pair of servers that have unexpired leases on the same key."""
        now = asyncio.get_running_loop().time()
        live = [
            (server.name, item)
            for server in self.state.site.servers.values()
            for item in server.holder.held
            if item.ends > now
        ]
        live.sort(key=lambda pair: pair[1].keys.start)
        for (name, item), (other, later) in zip(live, live[1:], strict=False):
            if name != other and item.keys.overlaps(later.keys):
                detail = f"{name} {item.keys} and {other} {later.keys} at {now:.2f}"
                self.state.verdict.record_problem("keys_with_two_holders", detail)

    async def check_served_again(self) -> None:
        """Check that each gateway serves keys again after all faults have ended."""
        for name in GATEWAYS:
            for key in (0, 20_000, 65_535):
                try:
                    await self.state.site.wait_until_served(
                        name, key, RECOVERY_TIMEOUT_S
                    )
                except (TimeoutError, ClientError, OSError) as error:
                    self.state.verdict.record_problem(
                        "not_served_again", f"{name} {key} {error!r}"
                    )

    def check_runs(self) -> None:
        """Check that no refused request ran and no non-idempotent request ran twice."""
        runs: Counter = Counter()
        for server in (*self.state.site.servers.values(), *self.state.ended_servers):
            runs.update(server.runs)
        for attempt in self.state.not_run_attempts:
            if runs[attempt]:
                self.state.verdict.record_problem("refused_but_ran", attempt)
        for attempt in self.state.post_attempts:
            if runs[attempt] > 1:
                self.state.verdict.record_problem("orders_run_twice", attempt)

    def check_cold_servers(self) -> None:
        """Check that no cold server got more than the limit in any second."""
        for server, since, until in self.state.cold_periods:
            times = [at for at in server.arrived_at if since <= at < until]
            self.state.verdict.checked["cold_periods"] += 1
            self.state.verdict.checked["requests_at_cold_servers"] += len(times)
            for first, last in zip(times, times[COLD_LIMIT:], strict=False):
                if last - first < 1.0:
                    in_s = sum(first <= at < first + 1.0 for at in times)
                    detail = f"{server.name} {in_s} {first - since:.2f} s after notice"
                    self.state.verdict.record_problem("cold_limit_exceeded", detail)
                    break

    def check_evacuations(self) -> None:
        """Check that no request arrived in a zone that had to be evacuated."""
        servers = (*self.state.site.servers.values(), *self.state.ended_servers)
        self.state.verdict.checked["evacuations"] += len(self.state.evacuated_periods)
        for zone, since, until in self.state.evacuated_periods:
            for server in servers:
                late = [at for at in server.arrived_at if since < at < until]
                if server.zone == zone and late:
                    detail = (
                        f"{server.name} {len(late)} requests, the first"
                        f" {late[0] - since:.2f} s late"
                    )
                    self.state.verdict.record_problem("requests_in_left_zones", detail)

    def check_runs_and_owners(self) -> None:
        """Check that no server ran an attempt before and after another held its key."""
        servers = (*self.state.site.servers.values(), *self.state.ended_servers)
        journals = [server.make_journal() for server in servers]
        for run in find_runs_that_span_owners(journals):
            self.state.verdict.record_problem("runs_spanning_another_owner", run)

    def check_logs(self) -> None:
        """Check that no gateway reverted its configuration and no task failed."""
        for name in GATEWAYS:
            newest_version = 0
            for event, version in EVENT.findall(self.state.site.gateways.log(name)):
                if event == "started":
                    newest_version = 0
                elif event == "configuration":
                    if int(version) < newest_version:
                        self.state.verdict.record_problem(
                            "configurations_reverted", name
                        )
                    newest_version = int(version)
                elif event in ("part_failed", "placer_task_failed"):
                    self.state.verdict.record_problem("tasks_failed", name)
