"""Test that no order of updates makes the replica go back to older versions."""

from array import array

import orjson
import pytest
from hypothesis import given, settings, strategies as st

from peridot_daemon.replica import Replica
from peridot_objects.outcomes import DeletedObject, Listing, StoredObject
from peridot_placement.assignments import (
    Assignment,
    serialize_assignment,
    serialize_home,
)
from peridot_placement.decisions import MemoryDecisionLog
from peridot_placement.slices import HomeTable, SliceTable
from peridot_resources.manifests import parse_manifests
from peridot_resources.models import dump_spec

POLICY = '{"kind": "RoutingPolicy", "name": "p", "spec": {"deadlineMs": %d}}'


def stored_policy(version, deadline_ms=2000):
    (manifest,), _ = parse_manifests(POLICY % deadline_ms, "f")
    value = orjson.dumps({"spec": dump_spec(manifest)})
    return StoredObject("RoutingPolicy", "p", version, value)


@settings(derandomize=True)
@given(order=st.permutations(range(1, 9)), as_listing=st.lists(st.booleans()))
def test_out_of_order_updates_never_revert_the_configuration(order, as_listing):
    replica = Replica(MemoryDecisionLog())
    highest = 0
    for position, version in enumerate(order):
        item = stored_policy(version, 1000 + version)
        if position < len(as_listing) and as_listing[position]:
            replica.apply_listing(Listing(version, (item,)))
        else:
            replica.apply_changes(version, (item,))
        highest = max(highest, version)
        assert replica.revision == highest
        assert replica.catalog.policies["p"].deadline_ms == 1000 + highest


def test_older_version_does_not_undo_a_deletion():
    replica = Replica(MemoryDecisionLog())
    replica.apply_changes(1, (stored_policy(1),))
    replica.apply_changes(2, (DeletedObject("RoutingPolicy", "p", 2),))
    replica.apply_changes(3, (stored_policy(1),))
    assert replica.catalog.policies == {}


def test_listing_deletes_objects_that_it_does_not_contain():
    replica = Replica(MemoryDecisionLog())
    replica.apply_changes(1, (stored_policy(1),))
    replica.apply_listing(Listing(5, ()))
    assert replica.catalog.policies == {}
    assert replica.catalog.revision == 5


# Guards against VMs that route keys by tables which are no longer stored, while those
# that started later don't.
@pytest.mark.parametrize("as_listing", [True, False])
def test_deleted_home_and_assignment_are_dropped(as_listing):
    table = SliceTable(["t"], array("Q", [0]), array("i", [0]), array("i", [-1]))
    assignment = Assignment("s", "dc", 1, 1, "w", table)
    home = HomeTable((0,), ("dc",))
    stored = (
        StoredObject("Home", "s", 1, serialize_home(home)),
        StoredObject("Assignment", "s.dc", 2, serialize_assignment(assignment)),
    )
    replica = Replica(MemoryDecisionLog())
    replica.apply_changes(2, stored)
    assert replica.homes == {"s": home}
    assert replica.assignments == {"s.dc": assignment}
    if as_listing:
        replica.apply_listing(Listing(4, ()))
    else:
        deletions = [DeletedObject(item.kind, item.name, 3) for item in stored]
        replica.apply_changes(4, deletions)
    assert replica.homes == {}
    assert replica.assignments == {}
    replica.apply_changes(5, stored)
    assert replica.homes == {}


def test_invalid_object_keeps_its_last_valid_form():
    replica = Replica(MemoryDecisionLog())
    replica.apply_changes(1, (stored_policy(1, 1500),))
    replica.apply_changes(2, (StoredObject("RoutingPolicy", "p", 2, b'{"spec": {}}'),))
    assert replica.catalog.policies["p"].deadline_ms == 1500
    assert replica.invalid_objects == {("RoutingPolicy", "p")}
    replica.apply_changes(3, (stored_policy(3, 1700),))
    assert replica.catalog.policies["p"].deadline_ms == 1700
    assert replica.invalid_objects == set()


def test_changes_since_a_revision_contain_the_last_change_of_each_object():
    replica = Replica(MemoryDecisionLog())
    replica.apply_changes(3, (stored_policy(1), stored_policy(3)))
    assert [change.version for change in replica.changes_since(0)] == [3]
    assert replica.changes_since(3) == []
