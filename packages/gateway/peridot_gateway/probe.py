"""Probe: reads from the store to see whether it answers this VM."""

import asyncio
from time import monotonic

from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import StoreUnavailable
from peridot_ownership.record import RECORD_KIND, RECORD_NAME

# The store answers within milliseconds, or within 0.25 s when it is slow.
ANSWER_TIMEOUT_S = 0.4
# Each probe is a billed call to the store.
PROBE_PERIOD_S = 0.8


class StoreProbe:
    """Read from the store periodically while probes are requested."""

    def __init__(self, store: ObjectStore) -> None:
        self.store = store
        self.requested_since: float | None = None
        self.last_answer_at = float("-inf")
        self.last_started_at = float("-inf")
        self.task: asyncio.Task | None = None

    def request(self) -> None:
        """Start a probe if none is running and PROBE_PERIOD_S has passed."""
        now = monotonic()
        if self.requested_since is None:
            self.requested_since = now
        running = self.task is not None and not self.task.done()
        if not running and now >= self.last_started_at + PROBE_PERIOD_S:
            self.last_started_at = now
            self.task = asyncio.create_task(self._read())

    def reset(self) -> None:
        """Drop the result: probes are no longer needed."""
        self.requested_since = None

    def has_store_answered(self) -> bool:
        """Return whether the store has answered since the first request."""
        return (
            self.requested_since is not None
            and self.last_answer_at > self.requested_since
        )

    async def _read(self) -> None:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                outcome = await self.store.read(RECORD_KIND, RECORD_NAME)
        except TimeoutError:
            return
        if not isinstance(outcome, StoreUnavailable):
            self.last_answer_at = monotonic()
