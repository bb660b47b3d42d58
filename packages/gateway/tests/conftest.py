"""Fixtures of the gateway's tests."""

import asyncio
import random
from time import monotonic

import pytest

from peridot_gateway.admission import Admission
from peridot_gateway.budget import RetryBudgetLimits
from peridot_gateway.estimates import Estimates
from peridot_gateway.owners import Owners, OwnerTable
from peridot_gateway.picker import Picker
from peridot_gateway.requests import GatewayRequest
from peridot_gateway.router import GatewayRouter, RouterParts
from peridot_gateway.sender import AttemptResult
from peridot_placement.decisions import MemoryDecisionLog
from peridot_resources.configuration import (
    Route,
    ServiceConfiguration,
    TargetInstance,
    WeightedService,
)

# For how long leaving targets get new requests (s).
LEAVING_GRACE_S = 1.0


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


class ScriptedSender:
    """A sender that returns given results in order, and the last one repeatedly."""

    def __init__(self, results: list[AttemptResult]) -> None:
        self.results = results
        self.sent: list[str] = []

    async def attempt(self, request, target, silence_timeout_s):
        self.sent.append(target.name)
        await asyncio.sleep(0)
        at = min(len(self.sent), len(self.results)) - 1
        return self.results[at]


class FixedTargetSource:
    """A target source with fixed targets."""

    age_s = 0.0

    def __init__(self, targets) -> None:
        self.targets = {target.name: target for target in targets}
        # For how long targets have been leaving (s).
        self.leaving_times: dict[str, float] = {}

    def of_service(self, service):
        return list(self.targets.values())

    def leaving_for_s(self, name):
        return self.leaving_times.get(name, 0.0)


@pytest.fixture
def route_with(make_target):
    def build(results, minimum=60.0, owners=None):
        rng = random.Random(3)
        estimates = Estimates()
        sender = ScriptedSender(results)
        parts = RouterParts(
            owners or Owners(),
            FixedTargetSource([make_target(name) for name in ("p", "q", "r")]),
            estimates,
            Picker("a", estimates, rng),
            Admission(estimates),
            sender,
            MemoryDecisionLog(),
            rng,
        )
        limits = RetryBudgetLimits(0.0, minimum, 10.0)
        return GatewayRouter(parts, limits, lambda: 1, LEAVING_GRACE_S), sender

    return build


@pytest.fixture
def owned_by():
    def build(name: str) -> Owners:
        owners = Owners()
        owners.update(1, 1, {"files": OwnerTable((0,), (name,))})
        return owners

    return build
