"""Outcomes of attempts and requests, for both modes."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum


class Reason(StrEnum):
    """Reasons why a request was not run or why its outcome is unknown."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CALLER_LIMIT = "caller_limit"
    CANCELLED = "cancelled"
    CONNECTION_LOST = "connection_lost"
    CONNECTION_REFUSED = "connection_refused"
    DEADLINE = "deadline"
    FRONT_LOST = "front_lost"
    MISSING_KEY = "missing_key"
    NO_PERMIT = "no_permit"
    NO_TARGET = "no_target"
    NOT_READY = "not_ready"
    NOT_OWNER = "not_owner"
    OVERLOADED = "overloaded"
    OWNER_RETURNED = "owner_returned"
    SHED = "shed"
    SLICE_MOVING = "slice_moving"
    STOPPING = "stopping"
    TARGET_LOST = "target_lost"
    TARGET_REFUSED = "target_refused"
    TORN_ANSWER = "torn_answer"
    ANSWER_TOO_LARGE = "answer_too_large"
    UNCONFIRMED_REFUSAL = "unconfirmed_refusal"
    UNKNOWN_SERVICE = "unknown_service"


class BodyStream(ABC):
    """A body that is passed on while it arrives; only the gateway uses streams."""

    @abstractmethod
    def close(self) -> None:
        """Drop what isn't passed on yet and stop receiving."""


@dataclass(frozen=True)
class Answered:
    """The target's response; it is complete unless its body is a stream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | BodyStream
    target: str = ""


@dataclass(frozen=True)
class NotRun:
    """The request certainly didn't run: no part of it reached an application."""

    reason: Reason
    retry_after_ms: int = 0
    detail: str = ""


@dataclass(frozen=True)
class Unknown:
    """The request may or may not have run, at the target if one is given."""

    reason: Reason
    detail: str = ""
    target: str = ""


Outcome = Answered | NotRun | Unknown
