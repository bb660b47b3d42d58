"""Fixtures of the gateway's tests."""

from time import monotonic

import pytest

from peridot_gateway.requests import GatewayRequest
from peridot_resources.configuration import (
    Route,
    ServiceConfiguration,
    TargetInstance,
    WeightedService,
)


@pytest.fixture
def make_route():
    def make(idempotent: bool = True, max_targets: int = 2, **changes) -> Route:
        values = {
            "name": "r1",
            "host": "a.example",
            "path_prefix": "/a/",
            "timeout_s": 1.2,
            "latency_objective_s": 0.3,
            "priority": -1,
            "traffic_split": (WeightedService("files", 1.0),),
        } | changes
        return Route(idempotent=idempotent, max_targets=max_targets, **values)

    return make


@pytest.fixture
def make_request(make_route):
    def make(
        idempotent: bool = True,
        key: int | None = None,
        remaining_s: float = 1.0,
        **changes,
    ) -> GatewayRequest:
        service = ServiceConfiguration("files", key is not None, 100, 1.0)
        now = monotonic()
        route = make_route(idempotent, **changes)
        return GatewayRequest(
            "id-1",
            route,
            service,
            "a.example",
            "GET",
            "/a/x",
            (),
            b"",
            key,
            now,
            now + remaining_s,
        )

    return make


@pytest.fixture
def make_target():
    def make(name: str, data_centre: str = "a", **changes) -> TargetInstance:
        values = {
            "service": "files",
            "address": f"127.0.0.1:{9000 + len(name)}",
            "slots": 3,
            "leaving": False,
            "warm_up_left_s": 0.0,
            "started_ms": 1,
        } | changes
        return TargetInstance(name, data_centre=data_centre, **values)

    return make
