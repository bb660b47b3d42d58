"""The interface by which the placer (gateway mode) reads targets and their load."""

from abc import ABC, abstractmethod
from math import inf

from peridot_ownership.loads import KeyLoads
from peridot_resources.configuration import TargetInstance


class FleetView(ABC):
    """A view of the fleet's services, targets and load."""

    @abstractmethod
    def divided_services(self) -> list[str]:
        """Return the services that are divided by key."""

    @abstractmethod
    def targets_of(self, service: str) -> list[TargetInstance]:
        """Return the targets of a service, leaving ones included."""

    @abstractmethod
    def is_address_reused(self, target: TargetInstance) -> bool:
        """Return whether a target that started later announced the same address."""

    @abstractmethod
    def leaving_for_s(self, target: str) -> float:
        """Return for how long a target may have been leaving (s)."""

    @abstractmethod
    def loads_of(self, service: str) -> KeyLoads:
        """Return the load of a service's keys."""

    @abstractmethod
    def processing_s(self, target: str) -> float | None:
        """Return a target's mean processing time of a request (s), None if unknown."""

    def cold_rate(self, target: TargetInstance) -> float:
        """Return the rate that a cold target bears (1/s), infinite if it is warm."""
        return inf

    def evacuated_for_s(self, target: TargetInstance) -> float | None:
        """Return for how long a target's zone may have been evacuated (s), or None."""
        return None
