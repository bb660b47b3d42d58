"""Find the route of a request by its host and longest path prefix."""

import random
from dataclasses import dataclass, field

from peridot_resources.configuration import Configuration, Route


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


def choose_service(route: Route, rng: random.Random) -> str:
    """Return a random service of a route, by the weights of its traffic split."""
    traffic_split = route.traffic_split
    if len(traffic_split) == 1:
        return traffic_split[0].service
    chosen = rng.choices(traffic_split, [item.weight for item in traffic_split])
    return chosen[0].service
