"""Pydantic models that validate the resources of peridotd as operators write them."""

import re
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator
from pydantic.alias_generators import to_camel

NAME_PATTERN = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"
ADDRESS_PATTERN = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$"
HEADER_PATTERN = r"^[A-Za-z0-9-]+$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class Model(BaseModel):
    """Base of all models: camelCase in JSON, strict types, no unknown fields."""

    model_config = ConfigDict(
        alias_generator=to_camel,
        extra="forbid",
        populate_by_name=True,
        strict=True,
    )


class KeySource(Model):
    """Where a request carries its key: a header or a path template."""

    header: Annotated[str, Field(pattern=HEADER_PATTERN)] | None = None
    path_template: str | None = None

    @model_validator(mode="after")
    def check_one_source(self) -> "KeySource":
        """Reject a source without exactly one field or exactly one {key}."""
        if (self.header is None) == (self.path_template is None):
            raise ValueError("give exactly one of header and pathTemplate")
        if self.path_template is not None:
            if len(re.findall(r"\{key\}", self.path_template)) != 1:
                raise ValueError("pathTemplate must contain {key} once")
        return self


class ServiceSpec(Model):
    """Spec of a service: how its requests are matched, keyed and retried."""

    path_prefix: Annotated[str, Field(pattern=r"^/\S*$")]
    key: KeySource
    divided_by_key: bool
    idempotent_methods: list[Literal["GET", "HEAD", "PUT", "DELETE", "OPTIONS"]] = [
        "GET",
        "HEAD",
    ]
    idempotent_paths: list[str] = []
    policy: Name


class TargetSpec(Model):
    """Spec of a target: its address, data centre and capacity."""

    service: Name
    address: Annotated[str, Field(pattern=ADDRESS_PATTERN)]
    data_centre: Name
    slots: Annotated[int, Field(ge=1, le=10_000)]
    connections: Annotated[int, Field(ge=1, le=100_000)]
    checks_grants: bool
    leaving: bool = False


class PriorityClass(Model):
    """Priority of requests under a path prefix; 0 is the lowest."""

    path_prefix: Annotated[str, Field(pattern=r"^/\S*$")]
    priority: Annotated[int, Field(ge=0, le=9)]


class Weights(Model):
    """Weights of unavailable time, imbalance and churn in placement decisions."""

    unavailable_time: Annotated[float, Field(ge=0, le=100)] = 1.0
    imbalance: Annotated[float, Field(ge=0, le=100)] = 1.0
    churn: Annotated[float, Field(ge=0, le=100)] = 1.0


class RoutingPolicySpec(Model):
    """Spec of a routing policy: deadlines, limits and placement weights."""

    deadline_ms: Annotated[int, Field(ge=10, le=3_600_000)] = 2_000
    attempt_timeout_ms: Annotated[int, Field(ge=10, le=3_600_000)] = 1_000
    priority: Annotated[int, Field(ge=0, le=9)] = 5
    classes: list[PriorityClass] = []
    retry_share: Annotated[float, Field(ge=0, le=1)] = 0.1
    queue_length: Annotated[int, Field(ge=0, le=100_000)] = 200
    key_share: Annotated[float, Field(gt=0, le=1)] = 0.5
    max_body_bytes: Annotated[int, Field(ge=0, le=64_000_000)] = 1_000_000
    max_answer_bytes: Annotated[int, Field(ge=0, le=64_000_000)] = 4_000_000
    moves_per_minute: Annotated[int, Field(ge=0, le=10_000)] = 60
    weights: Weights = Weights()

    @model_validator(mode="after")
    def check_timeouts(self) -> "RoutingPolicySpec":
        """Reject an attempt timeout longer than the deadline of the request."""
        if self.attempt_timeout_ms > self.deadline_ms:
            raise ValueError("attemptTimeoutMs must not exceed deadlineMs")
        return self


class ServiceManifest(Model):
    """Manifest of a service."""

    kind: Literal["Service"]
    name: Name
    spec: ServiceSpec


class TargetManifest(Model):
    """Manifest of a target."""

    kind: Literal["Target"]
    name: Name
    spec: TargetSpec


class RoutingPolicyManifest(Model):
    """Manifest of a routing policy."""

    kind: Literal["RoutingPolicy"]
    name: Name
    spec: RoutingPolicySpec


Manifest = ServiceManifest | TargetManifest | RoutingPolicyManifest
MANIFEST_MODELS: dict[str, type[Model]] = {
    "Service": ServiceManifest,
    "Target": TargetManifest,
    "RoutingPolicy": RoutingPolicyManifest,
}


def dump_spec(manifest: Manifest) -> dict[str, object]:
    """Return the spec in its stored JSON form, with defaults filled in."""
    return manifest.spec.model_dump(mode="json", by_alias=True)
