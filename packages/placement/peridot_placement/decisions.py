"""The decision log: one line of key=value pairs for each decision."""

import re
from abc import ABC, abstractmethod

needs_quotes = re.compile(r'[\s="]').search


class DecisionLog(ABC):
    """A log with one line for each routing or placement decision."""

    @abstractmethod
    def write(self, event: str, **fields: object) -> None:
        """Write an event with its fields."""


class MemoryDecisionLog(DecisionLog):
    """A decision log that keeps its lines in memory."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def write(self, event: str, **fields: object) -> None:
        self.lines.append(format_event(event, fields))


def format_event(event: str, fields: dict[str, object]) -> str:
    """Return an event as one line of key=value pairs."""
    pairs = [f"event={event}"]
    for name, value in fields.items():
        text = str(value)
        if needs_quotes(text):
            text = '"' + text.replace('"', "'").replace("\n", " ") + '"'
        pairs.append(f"{name}={text}")
    return " ".join(pairs)
