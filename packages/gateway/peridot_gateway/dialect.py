"""Dialect: the headers and stored formats around the gateway, as an interface."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from peridot_gateway.requests import GatewayRequest
from peridot_resources.configuration import Configuration, TargetInstance


class InvalidObject(Exception):
    """Raised for a stored object that can't be parsed, with the reason."""


@dataclass(frozen=True)
class CallerHeaders:
    """Parsed headers of a caller's request."""

    request_id: str
    # How long the caller waits (s); None if the header is missing.
    deadline_s: float | None
    key: int | None


@dataclass(frozen=True)
class ReportedLoad:
    """The load that a target reports with a response."""

    running: int
    waiting: int
    slots: int
    # How long work takes on the target's machine at this moment, as a multiple of the
    # usual time; None if the target doesn't say.
    slowdown: float | None = None


@dataclass(frozen=True)
class ResponseHeaders:
    """Parsed headers of a target's response."""

    # The target reports that it didn't run the request.
    not_run: bool
    # The target doesn't hold the key, or isn't the one that was addressed.
    misdirected: bool
    # Name of the target that responded, if given.
    answered_by: str | None
    # The response belongs to another request.
    for_other_request: bool
    # The target signed the response; only such responses are returned to callers.
    signed: bool
    load: ReportedLoad | None
    # Delay before a retry that the target asks for (s).
    retry_after_s: float | None
    # The target announces that it is leaving.
    leaving: bool = False
    # For how long the target wants no requests from this VM (s); 0 if it doesn't say.
    pause_s: float = 0.0
    # Names of headers whose values can't be parsed.
    malformed: tuple[str, ...] = ()


class Dialect(ABC):
    """Translate between the gateway's types and a platform's headers and objects."""

    configuration_kind: str
    configuration_name: str
    target_kind: str
    evacuation_kind: str
    ready_path: str

    @abstractmethod
    def parse_caller_headers(self, headers: Mapping[str, str]) -> CallerHeaders:
        """Return the parsed headers of a caller's request."""

    @abstractmethod
    def build_target_headers(
        self, request: GatewayRequest, target: TargetInstance, remaining_s: float
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to a target; the remaining time is in s."""

    @abstractmethod
    def parse_response_headers(
        self, status: int, headers: Mapping[str, str], request: GatewayRequest
    ) -> ResponseHeaders:
        """Return the parsed headers of a target's response."""

    @abstractmethod
    def parse_configuration(self, value: bytes) -> Configuration:
        """Return the configuration in a stored object; raise InvalidObject."""

    @abstractmethod
    def parse_target(self, name: str, value: bytes) -> TargetInstance:
        """Return the target in a stored object; raise InvalidObject."""
