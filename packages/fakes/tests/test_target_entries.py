"""An entry names a target only if every field is there and of its type.

Guards against requests and keys for the address of another system: entries with fields
missing counted as targets.
"""

import orjson
import pytest
from hypothesis import given, settings, strategies as st

from peridot_gateway.dialect import InvalidObject
from peridot_gateway.fleetload import FleetLoad
from peridot_gateway.sources import ConfigurationSource
from peridot_gateway.targets import TargetSource
from peridot_objects.outcomes import StoredObject
from peridot_placement.decisions import MemoryDecisionLog
from peridot_platform.dialect import PlatformDialect
from peridot_platform.targets import parse_target

WHOLE = st.integers(0, 2**53)
ENTRIES = st.fixed_dictionaries(
    {
        "service": st.text("abc-", min_size=1),
        "address": st.integers(1, 65_535).map(lambda port: f"10.0.0.1:{port}"),
        "zone": st.text("abc-", min_size=1),
        "version": st.text("abc.é"),
        "slots": st.integers(1, 1_000),
        "state": st.sampled_from(("ready", "draining")),
        "warmupLeftS": st.integers(0, 60) | st.floats(0, 60),
        "seq": WHOLE,
    },
    optional={"born": WHOLE, "more": st.none() | st.text("abc")},
)
FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "warmupLeftS",
    "seq",
)
WHOLE_FIELDS = ("slots", "seq", "born")
OTHER_TYPES = (None, True, [], {}, [1], "1", 1, 1.5)


def has_type(field, value):
    """Return whether a value is of the type of a field."""
    if isinstance(value, bool):
        return False
    if field in WHOLE_FIELDS:
        return isinstance(value, int)
    return isinstance(value, int | float if field == "warmupLeftS" else str)


@settings(derandomize=True)
@given(entry=ENTRIES)
def test_complete_entries_name_targets(entry):
    found = parse_target("t", orjson.dumps(entry))
    assert (found.service, found.address) == (entry["service"], entry["address"])
    assert found.leaving == (entry["state"] == "draining")
    assert found.started_ms == entry.get("born", 0)


@settings(derandomize=True, deadline=None)
@given(entry=ENTRIES, dropped=st.sets(st.sampled_from(FIELDS), min_size=1))
def test_entries_with_fields_missing_name_no_target(entry, dropped):
    rest = {name: value for name, value in entry.items() if name not in dropped}
    with pytest.raises(InvalidObject):
        parse_target("t", orjson.dumps(rest))


@settings(derandomize=True, deadline=None)
@given(entry=ENTRIES, field=st.sampled_from((*FIELDS, "born")), data=st.data())
def test_entries_with_fields_of_another_type_name_no_target(entry, field, data):
    others = [value for value in OTHER_TYPES if not has_type(field, value)]
    value = data.draw(st.sampled_from(others))
    with pytest.raises(InvalidObject):
        parse_target("t", orjson.dumps(entry | {field: value}))


@settings(derandomize=True, deadline=None)
@given(entry=ENTRIES, data=st.data())
def test_truncated_entries_name_no_target(entry, data):
    text = orjson.dumps(entry)
    with pytest.raises(InvalidObject):
        parse_target("t", text[: data.draw(st.integers(0, len(text) - 1))])


def make_entry(**changes) -> bytes:
    entry = {name: "a" for name in FIELDS} | {"address": "10.0.0.1:1", "slots": 1}
    return orjson.dumps(
        entry | {"state": "ready", "warmupLeftS": 0, "seq": 0} | changes
    )


@pytest.mark.parametrize(
    "change",
    [
        {"slots": 10**7},
        {"born": -1},
        {"born": 2**63},
        {"seq": 2**63},
        {"warmupLeftS": 1e300},
        {"service": ""},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:1/x"},
        {"address": "u@10.0.0.1:1"},
        {"address": "10.0.0.1:\u0661"},
        {"address": "10.0.0.1: 1"},
        {"address": "10.0.0.1\r\nX: 1:1"},
    ],
)
def test_entries_with_values_out_of_bounds_name_no_target(change):
    assert parse_target("t", make_entry()).name == "t"
    with pytest.raises(InvalidObject):
        parse_target("t", make_entry(**change))


def test_incomplete_entries_get_no_keys():
    """Grants go to the targets that the fleet's load lists."""
    log, dialect = MemoryDecisionLog(), PlatformDialect()
    targets = TargetSource(None, dialect, log)
    incomplete = make_entry().replace(b'"version"', b'"other"')
    for name, value in (("good", make_entry()), ("bad", incomplete)):
        targets.apply(StoredObject("servers", name, 1, value))
    load = FleetLoad(ConfigurationSource(None, dialect, log), targets)
    assert [target.name for target in load.targets_of("a")] == ["good"]
