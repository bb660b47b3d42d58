"""Test checks of declarations as a set and against the stored resources."""

from itertools import product
from pathlib import Path

import orjson
import pytest
from hypothesis import given, strategies as st

from peridot_resources.catalog import Catalog, parse_policy, parse_service
from peridot_resources.findings import check_declarations, find_faults
from peridot_resources.manifests import parse_declarations, read_declarations
from peridot_resources.models import dump_spec
from peridot_routing.matching import Match, Matcher, find_priority

EXAMPLES = Path(__file__).parents[3] / "examples"
PREFIXES = st.sampled_from(["/", "/a", "/b", "/ab", "/a/", "/aba"])
# Every order of the prefixes' characters, and others that no prefix continues with.
PATHS = ["/" + "".join(rest) for n in range(4) for rest in product("ab/z", repeat=n)]


def policy(name="p", **spec):
    return {"kind": "RoutingPolicy", "name": name, "spec": spec}


def service(name="s", prefix="/s/", policy="p", **spec):
    keyed = {"key": {"header": "Key"}, "dividedByKey": True, **spec}
    spec = {"pathPrefix": prefix, "policy": policy, **keyed}
    return {"kind": "Service", "name": name, "spec": spec}


def target(name="t", service="s", **spec):
    limits = {"slots": 4, "connections": 8, "checksGrants": True, **spec}
    spec = {"service": service, "address": "127.0.0.1:80", "dataCentre": "a", **limits}
    return {"kind": "Target", "name": name, "spec": spec}


def declare(*manifests):
    """Return declarations of manifests that are a line each, from line 2."""
    text = "[\n" + ",\n".join(orjson.dumps(m).decode() for m in manifests) + "]"
    declarations, errors = parse_declarations(text, "f")
    assert errors == []
    return declarations


# Guards against false alarms: warnings on sound files would soon be ignored.
@pytest.mark.parametrize("name", ["blue-mahoe", "toga-y-birrete"])
def test_examples_have_no_faults(name):
    result = check_declarations(*read_declarations([EXAMPLES / f"{name}.jsonc"]), {})
    assert result.findings == []


# Guards against faults that stay unseen, each alone in an otherwise sound set.
@pytest.mark.parametrize(
    ("changed", "where", "reason"),
    [
        ([policy("q")], "5: RoutingPolicy/q", "no service"),
        ([service("r", "/r/")], "5: Service/r", "has no target"),
        ([service(idempotentPaths=["/x"])], "3: Service/s spec.idemp", "matches no"),
        ([service(key={"pathTemplate": "/{key}/"})], None, None),
        ([service(key={"pathTemplate": "/x/{key}"})], "3: Service/s spec.key", "matc"),
        ([target(slots=9)], "4: Target/t spec.slots", "only 8"),
        ([policy(keyShare=0.2)], "2: RoutingPolicy/p spec.keyShare", "is less than"),
        (
            [policy(classes=[{"pathPrefix": "/s/a", "priority": 5}])],
            "2: RoutingPolicy/p spec.classes.0",
            "has no effect",
        ),
        ([target("u", service="r")], "5: Target/u spec.service", "no Service named r"),
    ],
)
def test_fault_is_a_warning_at_its_field(changed, where, reason):
    sound = {item["name"]: item for item in (policy(), service(), target())}
    items = sound | {item["name"]: item for item in changed}
    found = find_faults(declare(*items.values()))
    assert len(found) == (where is not None)
    for finding in found:
        assert (finding.severity, finding.file) == ("warning", "f")
        assert f"{finding.line}: {finding.field}".startswith(where)
        assert finding.reason.startswith(reason)


# Guards against errors for files that refer to what was applied earlier.
def test_reference_is_an_error_only_if_it_certainly_dangles():
    declarations = declare(target())
    assert [f.severity for f in find_faults(declarations)] == ["warning"]
    assert [f.severity for f in find_faults(declarations, ())] == ["error"]
    assert find_faults(declarations, [("Service", "s")]) == []


# Guards against a notion of matching that isn't the router's.
@given(
    st.lists(st.tuples(PREFIXES, st.sampled_from("pq")), unique_by=lambda s: s[0]),
    st.lists(PREFIXES, max_size=5),
)
def test_classes_that_never_match_are_those_that_the_router_never_uses(
    services, classes
):
    items = [{"pathPrefix": c, "priority": i + 1} for i, c in enumerate(classes)]
    declarations = declare(
        *(policy(priority=0, classes=items), policy("q"), service("x", "/unrelated")),
        *(service(f"s{i}", *item) for i, item in enumerate(services)),
    )
    parsers = {"Service": parse_service, "RoutingPolicy": parse_policy}
    manifests = [declaration.manifest for declaration in declarations]
    parsed = {m.name: parsers[m.kind](m.name, dump_spec(m)) for m in manifests}
    policies = {name: parsed.pop(name) for name in "pq"}
    matcher = Matcher(Catalog(1, parsed, {}, policies))
    used = {0}
    for path in [*PATHS, "/unrelated"]:
        match = matcher.match(path, {"Key": "k"})
        if isinstance(match, Match) and match.policy.name == "p":
            used.add(find_priority(match.policy, path))
    found = [f for f in find_faults(declarations) if "never matches" in f.reason]
    reported = {int(finding.field.rpartition(".")[2]) + 1 for finding in found}
    assert reported == set(range(len(classes) + 1)) - used


# Guards against a check that stops at the first invalid manifest, and against warnings
# that follow only from manifests being invalid.
def test_all_errors_are_found_and_nothing_that_follows_from_them():
    invalid = policy("q", retryShare=1.5, deadlineMs=1)
    text = orjson.dumps([policy(), policy(), invalid, service(policy="q")]).decode()
    result = check_declarations(*parse_declarations(text, "f"), {})
    assert result.differences is None
    assert [(f.severity, f.field) for f in result.findings] == [
        ("error", "spec.deadlineMs"),
        ("error", "spec.retryShare"),
        ("error", "RoutingPolicy/p"),
    ]


# Guards against warnings on files that only change a part of what is stored, or on what
# they replace, and against a traceback on stored values that the models don't accept.
def test_stored_resources_count_unless_they_are_replaced():
    stored = {("Service", "s"): {"spec": service()["spec"]}, ("Service", "r"): [1]}
    stored["RoutingPolicy", "p"] = {"spec": {"keyShare": 0.1}}
    declarations = declare(policy(), target(), target("u", "r"))
    result = check_declarations(declarations, [], stored)
    assert result.findings == []
    assert [item.action for item in result.differences] == [
        *("changed", "removed", "removed", "added", "added")
    ]
