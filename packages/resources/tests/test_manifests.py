"""Test that manifests are read and that invalid ones are rejected."""

from pathlib import Path

import pytest

from peridot_resources.errors import InvalidManifests
from peridot_resources.manifests import (
    check_references,
    parse_manifests,
    read_manifests,
)

EXAMPLES = Path(__file__).parents[3] / "examples"


def test_example_manifests_are_valid():
    for name, count in (("blue-mahoe", 39), ("toga-y-birrete", 42)):
        manifests = read_manifests([EXAMPLES / f"{name}.jsonc"])
        assert len(manifests) == count
        assert check_references(manifests, lambda kind, name: False) == []


@pytest.mark.parametrize(
    ("text", "line", "field"),
    [
        ('{\n  "kind": "Service",\n  "name": }', 3, "syntax"),
        ('// a\n[\n{"kind": "Servise", "name": "a"}]', 3, "kind"),
        ("[1]", 1, "-"),
        (
            '{"kind": "RoutingPolicy", "name": "a", "spec": {\n\n"deadlineMs": "x"}}',
            3,
            "spec.deadlineMs",
        ),
        ('{"kind": "RoutingPolicy",\n"name": "A b", "spec": {}}', 2, "name"),
        (
            '{"kind": "RoutingPolicy", "name": "a",\n"spec": {"colour": 1}}',
            2,
            "spec.colour",
        ),
    ],
)
def test_invalid_manifest_is_reported_with_file_line_and_field(text, line, field):
    manifests, errors = parse_manifests(text, "file.jsonc")
    assert manifests == []
    assert [(e.file, e.line, e.field) for e in errors] == [("file.jsonc", line, field)]


def test_one_invalid_manifest_rejects_the_whole_set(tmp_path):
    good = tmp_path / "good.jsonc"
    good.write_text('{"kind": "RoutingPolicy", "name": "a", "spec": {}}')
    bad = tmp_path / "bad.jsonc"
    bad.write_text('{"kind": "RoutingPolicy", "name": "a", "spec": {}}')
    with pytest.raises(InvalidManifests, match="declared twice"):
        read_manifests([good, bad])
    with pytest.raises(InvalidManifests, match="No such file"):
        read_manifests([tmp_path / "absent.jsonc"])


def test_attempt_timeout_longer_than_the_deadline_is_rejected():
    text = (
        '{"kind": "RoutingPolicy", "name": "a",'
        '"spec": {"deadlineMs": 100, "attemptTimeoutMs": 200}}'
    )
    assert "must not exceed" in parse_manifests(text, "f")[1][0].reason


def test_reference_to_an_undeclared_object_is_rejected():
    text = (
        '{"kind": "Service", "name": "a", "spec": {"pathPrefix": "/a/",'
        '"key": {"header": "Key"}, "dividedByKey": true, "policy": "none"}}'
    )
    manifests, _ = parse_manifests(text, "f")
    errors = check_references(manifests, lambda kind, name: False)
    assert [error.reason for error in errors] == ["no RoutingPolicy named none"]
