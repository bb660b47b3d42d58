"""Probe a key without pause and tell how long it was not served."""

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
    """Send a request for a key every few milliseconds and note the answers."""

    session: ClientSession
    urls: Callable[[], list[str]]
    path: str
    key: str
    answered: list[tuple[float, float]] = field(default_factory=list)
    outcomes: Counter = field(default_factory=Counter)

    @asynccontextmanager
    async def run(self) -> AsyncIterator["Prober"]:
        """Probe while the context lasts."""
        probes: set[asyncio.Task] = set()
        feeder = asyncio.create_task(self._feed(probes))
        try:
            yield self
        finally:
            feeder.cancel()
            await asyncio.gather(feeder, *probes, return_exceptions=True)

    async def wait_answer_after(self, moment: float, timeout_s: float) -> float:
        """Return the time (s) from a moment until a later request is answered."""
        async with asyncio.timeout(timeout_s):
            while True:
                later = [end for began, end in self.answered if began > moment]
                if later:
                    return min(later) - moment
                await asyncio.sleep(PERIOD_S / 2)

    def longest_gap_s(self, since: float, until: float) -> float:
        """Return the longest time without an answer between two moments."""
        ends = sorted(end for _, end in self.answered if since <= end <= until)
        marks = [since, *ends, until]
        return max(b - a for a, b in zip(marks, marks[1:], strict=False))

    async def _feed(self, probes: set[asyncio.Task]) -> None:
        number = 0
        while True:
            number += 1
            urls = self.urls()
            task = asyncio.create_task(self._probe(urls[number % len(urls)]))
            probes.add(task)
            task.add_done_callback(probes.discard)
            await asyncio.sleep(PERIOD_S)

    async def _probe(self, url: str) -> None:
        began = monotonic()
        try:
            async with self.session.get(
                url + self.path,
                headers={"Key": self.key},
                timeout=ClientTimeout(total=TIMEOUT_S),
            ) as answer:
                await answer.read()
                outcome = answer.headers.get("Request-Outcome", "none")
        except (ClientError, TimeoutError, OSError) as error:
            outcome = type(error).__name__
        self.outcomes[outcome] += 1
        if outcome == "answered":
            self.answered.append((began, monotonic()))
