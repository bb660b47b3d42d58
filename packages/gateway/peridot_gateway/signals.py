"""Signals of a process, kept from its first line on until the gateway handles them.

This module imports little, so that the handlers are there before anything slow.
"""

import signal
from collections.abc import Callable
from types import FrameType

STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))
HANDLED_SIGNALS = (signal.SIGHUP, *STOP_SIGNALS)


class SignalInbox:
    """Record the signals to stop (SIGTERM, SIGINT) and to reload (SIGHUP)."""

    def __init__(self) -> None:
        self.stop_requested = False
        self.reload_requested = False
        # Called after each signal, between any two steps of the main thread.
        self.notify: Callable[[], None] | None = None

    def install(self) -> None:
        """Handle the signals from now on; their default action ends the process."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, self.record)

    def record(self, number: int, frame: FrameType | None = None) -> None:
        """Record a signal."""
        if number in STOP_SIGNALS:
            self.stop_requested = True
        else:
            self.reload_requested = True
        if self.notify is not None:
            self.notify()

    def take_reload(self) -> bool:
        """Return whether a reload was requested since the last call."""
        requested, self.reload_requested = self.reload_requested, False
        return requested


def ignore_signals() -> None:
    """Ignore the signals from now on, since the process is ending.

    The interpreter restores the default action of handled signals while it ends, but
    not that of ignored ones.
    """
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
