"""Writes of assignments and terms whose answers may be lost."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from peridot_objects.objects import ObjectStore
from peridot_objects.outcomes import (
    Conflict,
    Rejected,
    StoredObject,
    StoreUnavailable,
    WriteUnknown,
    Written,
)

FIRST_RETRY_S = 0.05
LAST_RETRY_S = 0.4
TRIES_WHILE_AWAY = 3


@dataclass(frozen=True)
class WriteDone:
    """Tell that our value is stored, at a version."""

    version: int


@dataclass(frozen=True)
class WriteLost:
    """Tell that somebody else's value is stored instead."""

    current: StoredObject | None


@dataclass(frozen=True)
class WriteAbandoned:
    """Tell that the writer gave up; known is False if it may take effect yet."""

    known: bool


DurableOutcome = WriteDone | WriteLost | WriteAbandoned


async def write_durably(
    store: ObjectStore,
    kind: str,
    name: str,
    value: bytes,
    expected: int,
    is_ours: Callable[[bytes], bool],
    may_go_on: Callable[[], bool],
) -> DurableOutcome:
    """Repeat one conditional update until its outcome is known.

    Every repetition carries the same value and expected version, so it takes
    effect at most once. While the store is away and no attempt can have taken
    effect, the writer gives up after some tries.
    """
    unknown = False
    refused = 0
    pause_s = FIRST_RETRY_S
    while may_go_on():
        outcome = await store.write(kind, name, value, expected)
        match outcome:
            case Written(version):
                return WriteDone(version)
            case Conflict():
                current = await store.read(kind, name)
                if isinstance(current, StoredObject) and is_ours(current.value):
                    return WriteDone(current.version)
                if not isinstance(current, StoreUnavailable):
                    found = current if isinstance(current, StoredObject) else None
                    return WriteLost(found)
            case WriteUnknown():
                unknown = True
            case StoreUnavailable():
                refused += 1
            case Rejected():
                return WriteAbandoned(known=True)
        if refused >= TRIES_WHILE_AWAY and not unknown:
            return WriteAbandoned(known=True)
        await asyncio.sleep(pause_s)
        pause_s = min(pause_s * 2, LAST_RETRY_S)
    return WriteAbandoned(known=not unknown)
