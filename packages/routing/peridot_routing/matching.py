"""Match requests to services of peridotd and extract their keys."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache

from peridot_resources.catalog import Catalog, RoutingPolicy, Service
from peridot_routing.outcomes import NotRun, Reason

MAX_KEY_CHARACTERS = 512


@dataclass(frozen=True)
class Match:
    """The service, policy and key of a request; the key may be empty if unused."""

    service: Service
    policy: RoutingPolicy
    key: str


class Matcher:
    """Matches requests to services by their longest path prefix."""

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self.services = sorted(
            (s for s in catalog.services.values() if s.policy in catalog.policies),
            key=lambda service: -len(service.path_prefix),
        )

    def match(self, path: str, headers: Mapping[str, str]) -> Match | NotRun:
        """Return the match of a request, or a refusal if there is none."""
        for service in self.services:
            if path.startswith(service.path_prefix):
                return self._match_key(service, path, headers)
        if not self.catalog.revision:
            return NotRun(Reason.NOT_READY, 1000, "no configuration loaded yet")
        return NotRun(Reason.UNKNOWN_SERVICE, detail="no service matches this path")

    def _match_key(
        self, service: Service, path: str, headers: Mapping[str, str]
    ) -> Match | NotRun:
        key = find_key(service, path, headers)
        if not key and service.divided_by_key:
            return NotRun(Reason.MISSING_KEY, detail=describe_key_source(service))
        if len(key) > MAX_KEY_CHARACTERS:
            return NotRun(Reason.BAD_REQUEST, detail="the key is too long")
        return Match(service, self.catalog.policy_of(service), key)


def find_key(service: Service, path: str, headers: Mapping[str, str]) -> str:
    """Return the key of a request, or an empty string if it has none."""
    if service.key_header is not None:
        return headers.get(service.key_header, "")
    matched = compile_template(service.key_template).match(path)
    return matched.group(1) if matched else ""


def describe_key_source(service: Service) -> str:
    """Return a sentence that says where requests must carry the key."""
    if service.key_header is not None:
        return f"the key is expected in header {service.key_header}"
    return f"the key is expected in the path as {service.key_template}"


@lru_cache(maxsize=1024)
def compile_template(template: str) -> re.Pattern:
    """Return a pattern for a path template, with the key as its only group."""
    before, after = template.split("{key}")
    return re.compile(f"{re.escape(before)}([^/?]+){re.escape(after)}(?:$|[/?])")


def is_idempotent(service: Service, method: str, path: str) -> bool:
    """Return whether a request may run twice, by its method or a listed path prefix."""
    if method in service.idempotent_methods:
        return True
    return any(path.startswith(prefix) for prefix in service.idempotent_paths)


def find_priority(policy: RoutingPolicy, path: str) -> int:
    """Return the priority of the longest matching class prefix, or the default."""
    matching = [item for item in policy.classes if path.startswith(item[0])]
    if not matching:
        return policy.priority
    return max(matching, key=lambda item: len(item[0]))[1]
