"""Conditional writes to the store whose replies may be lost."""

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

MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 0.4
MAX_UNAVAILABLE_ATTEMPTS = 3


@dataclass(frozen=True)
class WriteDone:
    """The value was stored, at this version."""

    version: int


@dataclass(frozen=True)
class WriteSuperseded:
    """Another writer's value is stored instead."""

    current: StoredObject | None


@dataclass(frozen=True)
class WriteAbandoned:
    """The writer gave up.

    `not_applied` is False if the write may have taken effect or still may.
    """

    not_applied: bool


RetriedWriteOutcome = WriteDone | WriteSuperseded | WriteAbandoned


async def write_with_retries(
    store: ObjectStore,
    kind: str,
    name: str,
    value: bytes,
    expected: int,
    is_ours: Callable[[bytes], bool],
    may_retry: Callable[[], bool],
) -> RetriedWriteOutcome:
    """Retry a conditional write until its outcome is known or `may_retry` is false.

    Every retry carries the same value and expected version, so the write takes effect
    at most once. If the store is unavailable and no attempt can have taken effect, the
    writer gives up after MAX_UNAVAILABLE_ATTEMPTS.
    """
    outcome_unknown = False
    unavailable_attempts = 0
    delay_s = MIN_RETRY_DELAY_S
    while may_retry():
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
                    return WriteSuperseded(found)
            case WriteUnknown():
                outcome_unknown = True
            case StoreUnavailable():
                unavailable_attempts += 1
            case Rejected():
                return WriteAbandoned(not_applied=True)
        if unavailable_attempts >= MAX_UNAVAILABLE_ATTEMPTS and not outcome_unknown:
            return WriteAbandoned(not_applied=True)
        await asyncio.sleep(delay_s)
        delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
    return WriteAbandoned(not_applied=not outcome_unknown)
