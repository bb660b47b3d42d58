"""A signal that wakes all its waiters at each change."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class ChangeSignal:
    """Wake all waiters at each change.

    Read ``next`` before the state that may change, then wait for that event: a change
    in between isn't missed.
    """

    next: asyncio.Event = field(default_factory=asyncio.Event)

    def notify(self) -> None:
        """Wake all waiters for the next change."""
        event, self.next = self.next, asyncio.Event()
        event.set()

    async def wait(self, timeout_s: float) -> None:
        """Return at the next change or after the timeout."""
        await wait_for_event(self.next, timeout_s)


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Return when an event is set or after the timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
