"""Record of decisions: one line of key=value pairs each."""

import re
from abc import ABC, abstractmethod

needs_quotes = re.compile(r'[\s="]').search


class DecisionLog(ABC):
    """Take one line for each routing or placement decision."""

    @abstractmethod
    def write(self, event: str, **fields: object) -> None:
        """Record an event with its fields."""


class MemoryDecisionLog(DecisionLog):
    """Keep the lines in memory."""

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
