"""Check declarations as a set, by themselves or against the stored resources."""

from collections.abc import Collection, Iterator, Sequence
from dataclasses import dataclass
from functools import singledispatch

from peridot_resources.differences import Difference, Documents, compare
from peridot_resources.errors import ManifestError
from peridot_resources.manifests import Declaration, list_references, parse_manifest
from peridot_resources.models import (
    PriorityClass,
    RoutingPolicySpec,
    ServiceSpec,
    TargetSpec,
    dump_spec,
)
from peridot_resources.positions import Path

ERROR = "error"
WARNING = "warning"
# The field, and what is wrong with it.
Fault = tuple[Path, str]


@dataclass(frozen=True)
class Finding(ManifestError):
    """A fault at a position; those of stored resources have file "-" and line 1."""

    severity: str = WARNING

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}: {self.severity}: {self.field}"
        return f"{where}: {self.reason}"


@dataclass(frozen=True)
class CheckResult:
    """What a check found; differences are None if they weren't looked for."""

    findings: list[Finding]
    differences: list[Difference] | None = None


@dataclass(frozen=True)
class ResourceSet:
    """Specs of resources by name, matched as peridotd matches requests."""

    services: dict[str, ServiceSpec]
    targets: dict[str, TargetSpec]

    def services_at(self, path: str) -> list[str]:
        """Return the services with the longest prefix of a path.

        If there are several, it isn't known which one gets the requests.
        """
        prefixes = {service.path_prefix for service in self.services.values()}
        longest = max(filter(path.startswith, prefixes), key=len, default=None)
        return [n for n, s in self.services.items() if s.path_prefix == longest]

    def paths_under(self, prefix: str) -> list[str]:
        """Return a path for each choice of services among the paths with a prefix."""
        longer = (s.path_prefix for s in self.services.values())
        return [prefix, *(path for path in longer if path.startswith(prefix))]

    def reaches(self, service: str, prefix: str) -> bool:
        """Return whether requests under a prefix can belong to a service."""
        return any(service in self.services_at(p) for p in self.paths_under(prefix))


def check_declarations(
    declarations: Sequence[Declaration],
    errors: Sequence[ManifestError],
    stored: Documents | None = None,
) -> CheckResult:
    """Return the findings of declarations, with the stored resources that apply keeps.

    Invalid manifests hide what they declare, so until they are corrected only their
    errors and repeated declarations are found.
    """
    findings = [Finding(e.file, e.line, e.field, e.reason, ERROR) for e in errors]
    first: dict[tuple[str, str], Declaration] = {}
    for item in declarations:
        earlier = first.setdefault(item.identity, item)
        if earlier is not item:
            reason = f"is declared in {earlier.file}:{earlier.line_of(())} already"
            findings.append(_make_finding(item, (), reason, ERROR))
    if errors:
        return CheckResult(findings)
    if stored is None:
        return CheckResult(findings + find_faults(declarations))
    kept = []
    for (kind, name), document in stored.items():
        fields = document if isinstance(document, dict) else {}
        parsed = parse_manifest({**fields, "kind": kind, "name": name}, "-", (), {})
        # Daemons report invalid stored resources.
        if (kind, name) not in first and not isinstance(parsed, list):
            kept.append(Declaration(parsed, "-", (), {}))
    faults = find_faults([*declarations, *kept], stored)
    declared = {key: {"spec": dump_spec(item.manifest)} for key, item in first.items()}
    return CheckResult(findings + faults, compare(stored, declared))


def find_faults(
    declarations: Sequence[Declaration],
    stored: Collection[tuple[str, str]] | None = None,
) -> list[Finding]:
    """Return the faults of valid manifests as a set.

    A reference to what is neither declared nor among the kinds and names of stored
    resources is an error, or a warning if it isn't known what is stored.
    """
    specs = {item.identity: item.manifest.spec for item in declarations}
    resources = ResourceSet(
        {name: spec for (kind, name), spec in specs.items() if kind == "Service"},
        {name: spec for (kind, name), spec in specs.items() if kind == "Target"},
    )
    findings = []
    for item in declarations:
        for field, kind, name in list_references(item.manifest):
            if (kind, name) in specs or (kind, name) in (stored or ()):
                continue
            severity = WARNING if stored is None else ERROR
            path, reason = tuple(field.split(".")), f"no {kind} named {name}"
            findings.append(_make_finding(item, path, reason, severity))
        _, name = item.identity
        for path, reason in check_spec(item.manifest.spec, name, resources):
            path = ("spec", *path) if path else ()
            findings.append(_make_finding(item, path, reason))
    return findings


@singledispatch
def check_spec(spec: object, name: str, resources: ResourceSet) -> Iterator[Fault]:
    """Yield the faults of a resource among the others."""
    raise NotImplementedError(type(spec).__name__)


@check_spec.register
def _(spec: ServiceSpec, name: str, resources: ResourceSet) -> Iterator[Fault]:
    for other in resources.services_at(spec.path_prefix):
        if other != name:
            yield ("pathPrefix",), f"is that of Service/{other}: only one is used"
    if all(target.service != name for target in resources.targets.values()):
        yield (), "has no target"
    if spec.key.path_template is not None:
        before = spec.key.path_template.split("{key}")[0]
        if not resources.reaches(name, before):
            yield ("key", "pathTemplate"), "matches no path of this service"
    for index, prefix in enumerate(spec.idempotent_paths):
        if not resources.reaches(name, prefix):
            yield ("idempotentPaths", index), "matches no path of this service"


@check_spec.register
def _(spec: TargetSpec, name: str, resources: ResourceSet) -> Iterator[Fault]:
    # A running request has a connection of its own.
    if spec.slots > spec.connections:
        yield ("slots",), f"only {spec.connections} can be used, as connections allow"


@check_spec.register
def _(spec: RoutingPolicySpec, name: str, resources: ResourceSet) -> Iterator[Fault]:
    users = [n for n, s in resources.services.items() if s.policy == name]
    if not users:
        yield (), "no service names this policy"
        return
    for index in range(len(spec.classes)):
        reason = _find_class_fault(spec, index, users, resources)
        if reason:
            yield ("classes", index), reason
    # A key may always use one slot; one slot has no shares.
    targets = resources.targets.values()
    slots = [t.slots for t in targets if t.service in users and t.slots > 1]
    if slots and min(slots) * spec.key_share < 1:
        reason = f"is less than one of a target's {min(slots)} slots; a key may use one"
        yield ("keyShare",), reason


def _find_class_fault(
    spec: RoutingPolicySpec, index: int, users: list[str], resources: ResourceSet
) -> str:
    """Return why a class has no effect, an empty string if it has one."""
    item = spec.classes[index]
    if not any(
        _find_class(spec.classes, path) is item
        and not set(users).isdisjoint(resources.services_at(path))
        for path in resources.paths_under(item.path_prefix)
    ):
        return "never matches: other classes or services take its requests"
    others = [other for other in spec.classes if other is not item]
    wider = _find_class(others, item.path_prefix) or spec
    if wider.priority == item.priority:
        return f"has no effect: the priority is {item.priority} without it"
    return ""


def _find_class(classes: Sequence[PriorityClass], path: str) -> PriorityClass | None:
    """Return the class of a path: the first with the longest prefix."""
    found = [item for item in classes if path.startswith(item.path_prefix)]
    return max(found, key=lambda item: len(item.path_prefix), default=None)


def _make_finding(
    declaration: Declaration, path: Path, reason: str, severity: str = WARNING
) -> Finding:
    field = ".".join(str(part) for part in path)
    where = f"{'/'.join(declaration.identity)} {field}".rstrip()
    line = declaration.line_of(path)
    return Finding(declaration.file, line, where, reason, severity)
