"""Test what the load counts."""

import asyncio
from contextlib import asynccontextmanager

from peridot_fakes.load import Call, run_load


class SlowSession:
    """Answers each request after the next of some times (s)."""

    def __init__(self, *delays_s):
        self.delays_s = list(delays_s)

    @asynccontextmanager
    async def request(self, method, url, **options):
        await asyncio.sleep(self.delays_s.pop(0))
        yield self

    headers = {"Request-Outcome": "answered"}

    async def read(self):
        return b"{}"


# Guards against a goodput above the capacity: what is queued at the end of a window is
# answered after it.
def test_responses_after_the_window_are_counted_apart():
    async def scenario():
        return await run_load(
            SlowSession(0.0, 0.0, 0.6, 0.6),
            lambda: ["http://vm"],
            lambda rng: Call("GET", "/", "key"),
            seconds=0.3,
            requests=4,
            connections=4,
        )

    tally = asyncio.run(scenario())
    assert (tally.answered, tally.answered_in_window) == (4, 2)
