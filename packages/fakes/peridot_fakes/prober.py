"""Probe a key continuously to measure for how long it isn't served."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from time import monotonic

from aiohttp import ClientError, ClientSession, ClientTimeout

PERIOD_S = 0.01
TIMEOUT_S = 5.0


@dataclass
class Prober:
    """Send a request for a key every 10 ms and record the outcomes.

    `answered` holds the start and end times (s) of requests with outcome "answered".
    """

    session: ClientSession
    urls: Callable[[], list[str]]
    path: str
    key: str
    answered: list[tuple[float, float]] = field(default_factory=list)
    outcomes: Counter = field(default_factory=Counter)

    @asynccontextmanager
    async def run(self) -> AsyncIterator["Prober"]:
        """Send probes while the context lasts."""
        probes: set[asyncio.Task] = set()
        starter = asyncio.create_task(self._start_probes(probes))
        try:
            yield self
        finally:
            starter.cancel()
            await asyncio.gather(starter, *probes, return_exceptions=True)

    async def wait_answer_after(self, moment: float, timeout_s: float) -> float:
        """Wait until a request sent after a moment is answered; return the time since.

        All times are in seconds; raise TimeoutError after the timeout.
        """
        async with asyncio.timeout(timeout_s):
            while True:
                later = [
                    end for started_at, end in self.answered if started_at > moment
                ]
                if later:
                    return min(later) - moment
                await asyncio.sleep(PERIOD_S / 2)

    def longest_gap_s(self, since: float, until: float) -> float:
        """Return the longest time without an answered request between two times (s)."""
        ends = sorted(end for _, end in self.answered if since <= end <= until)
        times = [since, *ends, until]
        return max(b - a for a, b in zip(times, times[1:], strict=False))

    async def _start_probes(self, probes: set[asyncio.Task]) -> None:
        number = 0
        while True:
            number += 1
            urls = self.urls()
            task = asyncio.create_task(self._probe(urls[number % len(urls)]))
            probes.add(task)
            task.add_done_callback(probes.discard)
            await asyncio.sleep(PERIOD_S)

    async def _probe(self, url: str) -> None:
        started_at = monotonic()
        try:
            async with self.session.get(
                url + self.path,
                headers={"Key": self.key},
                timeout=ClientTimeout(total=TIMEOUT_S),
            ) as response:
                await response.read()
                outcome = response.headers.get("Request-Outcome", "none")
        except (ClientError, TimeoutError, OSError) as error:
            outcome = type(error).__name__
        self.outcomes[outcome] += 1
        if outcome == "answered":
            self.answered.append((started_at, monotonic()))
