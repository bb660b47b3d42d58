"""Logs: one line of key=value pairs for each event, on standard error."""

import random
import sys
from collections.abc import Iterator
from contextlib import contextmanager

from logbook import Logger, StreamHandler, lookup_level

from peridot_placement.decisions import DecisionLog, format_event

LINE_FORMAT = (
    "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} "
    "vm={record.channel} {record.message}"
)


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


@contextmanager
def open_log(level: str) -> Iterator[None]:
    """Send log lines to standard error while the context lasts."""
    handler = StreamHandler(sys.stderr, lookup_level(level.upper()), LINE_FORMAT)
    with handler.applicationbound():
        yield
