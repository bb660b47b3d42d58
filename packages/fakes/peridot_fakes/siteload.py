"""Load of the gateway mode's soak."""

import asyncio
from dataclasses import dataclass

from aiohttp import ClientError

from peridot_fakes.sitechecks import SiteChecks
from peridot_fakes.sitestate import SoakState

MEAN_CALLER_PAUSE_S = 0.05
RESPONSE_TIMEOUT_S = 3.0
HOT_KEYS = 40
# One in so many requests uses the route that was added last.
NEW_ROUTE_PERIOD = 8
# Up to this size (bytes) and pause after each piece (s), responses are read slowly.
MAX_RESPONSE_BYTES = 540_000
MAX_READ_PAUSE_S = 0.15
NOT_RUN_STATUSES = (429, 503)


@dataclass
class SiteLoad:
    """Send requests to a site and have their responses checked."""

    state: SoakState
    checks: SiteChecks

    async def send_requests(self) -> None:
        """Send requests one after another, until cancelled."""
        while True:
            await asyncio.sleep(self.state.rng.uniform(0, 2 * MEAN_CALLER_PAUSE_S))
            if not self.state.usable:
                continue
            gateway = self.state.rng.choice(sorted(self.state.usable))
            self.state.number += 1
            if self.state.rng.random() < 0.3:
                await self.send(gateway, "POST", f"/orders/{self.state.number}")
            else:
                await self.send(gateway, "GET", f"/files/{self.state.number}")

    async def send_uneven_requests(self) -> None:
        """Send urgent requests, and read large responses slowly, until cancelled."""
        rng = self.state.load_rng
        while True:
            await asyncio.sleep(rng.uniform(0, 2 * MEAN_CALLER_PAUSE_S))
            if not self.state.usable:
                continue
            gateway = rng.choice(sorted(self.state.usable))
            number = self.state.next_number()
            if rng.random() < 0.5:
                await self.send(gateway, "GET", f"/urgent/{number}")
                continue
            size = rng.randint(1_000, MAX_RESPONSE_BYTES)
            pause_s = rng.choice((0.0, rng.uniform(0.0, MAX_READ_PAUSE_S)))
            path = f"/media/{number}/{size}"
            await self.send(gateway, "GET", path, size, pause_s)

    async def send(
        self,
        gateway: str,
        method: str,
        path: str,
        size: int | None = None,
        pause_s: float = 0.0,
    ) -> None:
        """Send one request and check its response against the guarantees.

        The response has a size, if one is given, and is read with pauses (s).
        """
        key = min(65_535, int(1_000 * self.state.rng.paretovariate(0.4)) % 65_536)
        if self.state.rng.random() < 0.5:
            key = 20_000 + self.state.rng.randrange(HOT_KEYS)
        sent_at, newest_configuration = (
            self.state.now(),
            (self.state.version, self.state.changed_at),
        )
        uses_new_route = self.state.number % NEW_ROUTE_PERIOD == 0
        if self.state.changed_at and path.startswith("/files/") and uses_new_route:
            path = self.state.new_route()[2] + path[1:]
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                status, body, headers, attempt = await self.state.site.send(
                    gateway,
                    method,
                    path,
                    key,
                    pause_s,
                    data=b"b" if method == "POST" else None,
                )
        except (ClientError, OSError, TimeoutError) as error:
            self.state.verdict.answers[type(error).__name__] += 1
            return
        self.state.verdict.answers[status] += 1
        self.checks.check_announced_leaving(gateway, headers, sent_at)
        if self.checks.was_undisturbed(gateway, sent_at):
            self.checks.check_time_bounds(
                status, headers, path, sent_at, newest_configuration
            )
        if method == "POST":
            self.state.post_attempts.append(attempt)
        if status in NOT_RUN_STATUSES:
            self.state.not_run_attempts.append(attempt)
            if "Retry-After" not in headers:
                self.state.verdict.record_problem("refusals_without_a_time", path)
        if status == 200 and size is not None and len(body) != size:
            detail = f"{path}: {len(body)} bytes"
            self.state.verdict.record_problem("incomplete_responses", detail)
        if status == 200 and f" {path} ".encode() not in body + b" ":
            self.state.verdict.record_problem("wrong_answers", f"{path}: {body!r}")
