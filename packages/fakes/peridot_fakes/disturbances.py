"""Disturbances: which parts of a site have been calm, and for how long."""

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

STORE = "store"


@dataclass
class Disturbances:
    """Hold when faults of each part began and ended, by the loop's clock (s)."""

    running: Counter[str] = field(default_factory=Counter)
    ended_at: dict[str, float] = field(default_factory=dict)

    @contextmanager
    def disturb(self, *parts: str) -> Iterator[None]:
        """Count parts as disturbed while the context lasts."""
        self.running.update(parts)
        try:
            yield
        finally:
            self.running.subtract(parts)
            for part in parts:
                self.ended_at[part] = asyncio.get_running_loop().time()

    def are_calm_since(self, moment: float, *parts: str) -> bool:
        """Tell whether no fault of some parts lasted at a time (s) or later."""
        return not any(
            self.running[part] > 0 or self.ended_at.get(part, 0.0) > moment
            for part in parts
        )
