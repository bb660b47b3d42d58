"""Probe: finds out whether this VM reaches the store when the placer doesn't."""

import asyncio
from time import monotonic

from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import StoreUnavailable
from peridot_ownership.record import RECORD_KIND, RECORD_NAME

# The store answers in some milliseconds, when slow in a quarter of a second.
ANSWER_TIMEOUT_S = 0.4
# Each probe is a priced call.
PROBE_PERIOD_S = 0.8


class StoreProbe:
    """Read from the store now and then, for as long as that is wanted."""

    def __init__(self, store: ObjectStore) -> None:
        self.store = store
        self.wanted_since: float | None = None
        self.answered_at = float("-inf")
        self.began_at = float("-inf")
        self.task: asyncio.Task | None = None

    def want(self) -> None:
        """Begin a probe if the last one is over and some time has passed."""
        now = monotonic()
        if self.wanted_since is None:
            self.wanted_since = now
        running = self.task is not None and not self.task.done()
        if not running and now >= self.began_at + PROBE_PERIOD_S:
            self.began_at = now
            self.task = asyncio.create_task(self._read())

    def end(self) -> None:
        """Forget what was found: it isn't wanted any more."""
        self.wanted_since = None

    def has_answer(self) -> bool:
        """Tell whether the store has answered since that has been wanted."""
        return self.wanted_since is not None and self.answered_at > self.wanted_since

    async def _read(self) -> None:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                found = await self.store.read(RECORD_KIND, RECORD_NAME)
        except TimeoutError:
            return
        if not isinstance(found, StoreUnavailable):
            self.answered_at = monotonic()
