"""Signal that wakes all who wait, as often as something changes."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class ChangeSignal:
    """Wake waiters at each change.

    Take ``next`` before looking at what may change, then wait for it: a change in
    between isn't missed.
    """

    next: asyncio.Event = field(default_factory=asyncio.Event)

    def notify(self) -> None:
        """Wake all who wait for the next change."""
        event, self.next = self.next, asyncio.Event()
        event.set()

    async def wait(self, timeout_s: float) -> None:
        """Return at the next change or when the time is up."""
        await wait_for_event(self.next, timeout_s)


async def wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Return when an event is set or the time is up."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
