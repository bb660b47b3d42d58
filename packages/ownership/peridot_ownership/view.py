"""View: what the placer is told about targets and load."""

from abc import ABC, abstractmethod

from peridot_ownership.loads import KeyLoads
from peridot_resources.configuration import ServingTarget


class FleetView(ABC):
    """Tell the placer what exists and how busy it is."""

    @abstractmethod
    def divided_services(self) -> list[str]:
        """Return the services that are divided by key."""

    @abstractmethod
    def targets_of(self, service: str) -> list[ServingTarget]:
        """Return the targets of a service, leaving ones included."""

    @abstractmethod
    def is_address_reused(self, target: ServingTarget) -> bool:
        """Tell whether a target that started later announces the same address."""

    @abstractmethod
    def leaving_s(self, target: str) -> float:
        """Return how long ago a target may have said that it leaves (s)."""

    @abstractmethod
    def loads_of(self, service: str) -> KeyLoads:
        """Return the loads of a service's keys."""

    @abstractmethod
    def work_s(self, target: str) -> float | None:
        """Return how long a target works on one request, if that is known."""
