"""An event loop whose time jumps to the next timer, for seeded runs of minutes."""

import asyncio
import selectors
from collections.abc import Coroutine


class _JumpingSelector(selectors.DefaultSelector):
    """Advance the loop's time in place of waiting."""

    loop: "VirtualTimeLoop"

    def select(self, timeout: float | None = None) -> list:
        if timeout:
            self.loop.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Run timers in order without waiting for them."""

    def __init__(self) -> None:
        selector = _JumpingSelector()
        selector.loop = self
        self.now = 1_000.0
        super().__init__(selector)

    def time(self) -> float:
        return self.now


def run_virtual(main: Coroutine) -> object:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)


def virtual_time() -> float:
    """Return the running loop's time."""
    return asyncio.get_running_loop().time()
