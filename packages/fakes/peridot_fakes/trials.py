"""Manifests for trials of peridotd: policies, services and targets on free ports."""

from dataclasses import dataclass, field
from pathlib import Path

import orjson

from peridot_fakes.fleet import free_ports


@dataclass(frozen=True)
class TrialService:
    """A service of a trial; each target has the given slots and connections."""

    name: str
    targets: int
    data_centres: tuple[str, ...] = ("dc-a",)
    slots: int = 6
    connections: int = 120
    checks_grants: bool = True
    divided_by_key: bool = True
    policy: dict[str, object] = field(default_factory=dict)


def write_manifests(folder: Path, services: list[TrialService]) -> Path:
    """Write the manifests of some services to a file and return its path."""
    manifests: list[dict] = []
    for service in services:
        manifests += make_service_manifests(service)
    file = folder / "trial.jsonc"
    file.write_bytes(orjson.dumps(manifests, option=orjson.OPT_INDENT_2))
    return file


def make_service_manifests(service: TrialService) -> list[dict]:
    """Return the manifests of one service, its policy and its targets."""
    ports = free_ports(service.targets)
    policy = {"kind": "RoutingPolicy", "name": service.name, "spec": service.policy}
    declaration = {
        "kind": "Service",
        "name": service.name,
        "spec": {
            "pathPrefix": f"/{service.name}/",
            "key": {"header": "Key"},
            "dividedByKey": service.divided_by_key,
            "policy": service.name,
        },
    }
    return [policy, declaration] + [
        make_target_manifest(service, number, port)
        for number, port in enumerate(ports, 1)
    ]


def make_target_manifest(service: TrialService, number: int, port: int) -> dict:
    """Return the manifest of one target."""
    data_centres = service.data_centres
    return {
        "kind": "Target",
        "name": f"{service.name}-{number}",
        "spec": {
            "service": service.name,
            "address": f"127.0.0.1:{port}",
            "dataCentre": data_centres[(number - 1) % len(data_centres)],
            "slots": service.slots,
            "connections": service.connections,
            "checksGrants": service.checks_grants,
        },
    }
