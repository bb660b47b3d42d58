"""Log output of both modes: a line of key=value pairs per event on standard output."""

import asyncio
import os
import random
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TextIO

from logbook import Handler, Logger, LogRecord, lookup_level

from peridot_placement.decisions import DecisionLog, format_event

# Lines are written in batches of this size, or after the flush period.
BUFFERED_LINES = 100
FLUSH_PERIOD_S = 0.05
# New lines are dropped while this much waits for the reader of standard output.
MAX_PENDING_BYTES = 262_144


class LogbookDecisionLog(DecisionLog):
    """Write decisions with logbook; routing decisions may be sampled."""

    def __init__(self, vm: str, sample: float, rng: random.Random) -> None:
        self.logger = Logger(vm)
        self.sample = sample
        self.rng = rng

    def write(self, event: str, **fields: object) -> None:
        if event == "route" and self.sample < 1.0 and self.rng.random() >= self.sample:
            return
        self.logger.info(format_event(event, fields))


class BufferedLineHandler(Handler):
    """Write lines to a stream in batches, without blocking on its reader."""

    def __init__(self, stream: TextIO, level: int) -> None:
        super().__init__(level)
        self.descriptor = stream.fileno()
        os.set_blocking(self.descriptor, False)
        self.lines: list[str] = []
        self.pending = b""

    def emit(self, record: LogRecord) -> None:
        """Buffer one line, and flush a full batch."""
        self.lines.append(
            f"time={record.time.isoformat()}Z level={record.level_name} "
            f"vm={record.channel} {record.msg}\n"
        )
        if len(self.lines) >= BUFFERED_LINES:
            self.flush()

    def flush(self) -> None:
        """Write the buffered lines, as far as possible without blocking."""
        lines, self.lines = self.lines, []
        if len(self.pending) < MAX_PENDING_BYTES:
            # Headers may hold bytes that are no text, as surrogates.
            self.pending += "".join(lines).encode(errors="backslashreplace")
        try:
            while self.pending:
                written = os.write(self.descriptor, self.pending)
                self.pending = self.pending[written:]
        except BlockingIOError:
            return

    async def flush_periodically(self) -> None:
        """Flush periodically until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_PERIOD_S)
            self.flush()


@contextmanager
def open_log(level: str) -> Iterator[BufferedLineHandler]:
    """Send log lines to standard output while the context lasts."""
    handler = BufferedLineHandler(sys.stdout, lookup_level(level.upper()))
    with handler.applicationbound():
        try:
            yield handler
        finally:
            handler.flush()
