"""Records of injected faults, by the part of a site that they disturb."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

STORE = "store"
# A paused process misses changes that one which starts later reads from the store.
PAUSES = "pauses"


@dataclass
class FaultTracker:
    """Track faults by the part that they disturb: a gateway by name, or the store.

    `active` counts the faults that last; `ended_at` holds the end of each part's last
    fault (s, event loop's clock).
    """

    active: Counter[str] = field(default_factory=Counter)
    ended_at: dict[str, float] = field(default_factory=dict)

    @contextmanager
    def track(self, *parts: str) -> Iterator[None]:
        """Record a fault that disturbs some parts while the context lasts."""
        self.active.update(parts)
        try:
            yield
        finally:
            self.active.subtract(parts)
            for part in parts:
                self.ended_at[part] = asyncio.get_running_loop().time()

    def had_no_fault_since(self, moment: float, *parts: str) -> bool:
        """Return whether none of the parts has had a fault at or after a time (s)."""
        return not any(
            self.active[part] > 0 or self.ended_at.get(part, 0.0) > moment
            for part in parts
        )
