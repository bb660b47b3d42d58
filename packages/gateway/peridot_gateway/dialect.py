"""Dialect: how callers, targets and the store say what the gateway needs."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from peridot_gateway.requests import GatewayRequest
from peridot_resources.configuration import Configuration, ServingTarget


class InvalidObject(Exception):
    """Report a stored object that can't be read, with the reason."""


@dataclass(frozen=True)
class CallerTerms:
    """Hold what a caller's headers say of a request."""

    request_id: str
    # How long the caller waits (s); None if it doesn't say.
    deadline_s: float | None
    key: int | None


@dataclass(frozen=True)
class LoadHint:
    """Hold the load that a target reports with an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class AnswerFacts:
    """Hold what the headers of an answer say of the request."""

    # The target says that it did not run the request.
    not_run: bool
    # The target doesn't hold the key, or is another one than was meant.
    misdirected: bool
    # Name of the target that answered, if it says so.
    answered_by: str | None
    # The answer is another request's.
    foreign: bool
    # Only answers that a target vouches for may be passed on as successes.
    signed: bool
    load: LoadHint | None
    # How long the target asks callers to stay away (s).
    retry_after_s: float | None


class Dialect(ABC):
    """Translate between the gateway and what is spoken around it."""

    configuration_kind: str
    configuration_name: str
    target_kind: str
    ready_path: str

    @abstractmethod
    def read_terms(self, headers: Mapping[str, str]) -> CallerTerms:
        """Return what a caller's headers say."""

    @abstractmethod
    def target_headers(
        self, request: GatewayRequest, target: ServingTarget, left_s: float
    ) -> list[tuple[str, str]]:
        """Return the headers that a target gets."""

    @abstractmethod
    def read_facts(
        self, status: int, headers: Mapping[str, str], request: GatewayRequest
    ) -> AnswerFacts:
        """Return what an answer's headers say."""

    @abstractmethod
    def parse_configuration(self, value: bytes) -> Configuration:
        """Return the configuration that a stored object holds; raise InvalidObject."""

    @abstractmethod
    def parse_target(self, name: str, value: bytes) -> ServingTarget:
        """Return the target that a stored object describes; raise InvalidObject."""
