"""Find the route of a request by its host and longest path prefix."""

import random
from dataclasses import dataclass, field

from peridot_resources.configuration import Configuration, Route, WeightedService


@dataclass
class RouteIndex:
    """Index of a configuration's routes by host, longest prefix first."""

    configuration: Configuration
    by_host: dict[str, list[Route]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for route in self.configuration.routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None."""
        name = host.partition(":")[0].lower()
        for route in self.by_host.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None


# The sequence of a split repeats sooner for weights in percent.
MAX_INITIAL_STEP = 300


@dataclass
class TrafficSplitter:
    """Distribute the requests of routes over services by weight (smooth round robin).

    Each part gets its share in any run of requests, with a deviation below one request.
    """

    rng: random.Random
    # The credit of each part by route; the part with the highest gets the next request.
    credits: dict[tuple[str, tuple[WeightedService, ...]], list[float]] = field(
        default_factory=dict
    )

    def choose(self, route: Route) -> str:
        """Return the service of a route's next request."""
        parts = route.traffic_split
        if len(parts) == 1:
            return parts[0].service
        return parts[self._advance(self._find_credits(route), parts)].service

    def _advance(self, credits: list[float], parts: tuple[WeightedService, ...]) -> int:
        """Return the index of the next part and update the credits."""
        for index, part in enumerate(parts):
            credits[index] += part.weight
        chosen = max(range(len(parts)), key=credits.__getitem__)
        credits[chosen] -= sum(part.weight for part in parts)
        return chosen

    def _find_credits(self, route: Route) -> list[float]:
        """Return a route's credits, initially from a random step of the sequence.

        Otherwise the first requests of all VMs would go to the same part.
        """
        parts = route.traffic_split
        key = route.name, parts
        if key not in self.credits:
            # Weights change with the configuration.
            for old in [item for item in self.credits if item[0] == route.name]:
                del self.credits[old]
            self.credits[key] = [0.0] * len(parts)
            for _ in range(self.rng.randrange(MAX_INITIAL_STEP)):
                self._advance(self.credits[key], parts)
        return self.credits[key]
