"""Test the replica: versions only rise, whatever arrives in whatever order."""

import orjson
from hypothesis import given, settings, strategies as st

from peridot_daemon.replica import Replica
from peridot_objects.outcomes import DeletedObject, Listing, StoredObject
from peridot_placement.decisions import MemoryDecisionLog
from peridot_resources.manifests import parse_manifests
from peridot_resources.models import dump_spec

POLICY = '{"kind": "RoutingPolicy", "name": "p", "spec": {"deadlineMs": %d}}'


def stored_policy(version, deadline_ms=2000):
    (manifest,), _ = parse_manifests(POLICY % deadline_ms, "f")
    value = orjson.dumps({"spec": dump_spec(manifest)})
    return StoredObject("RoutingPolicy", "p", version, value)


@settings(derandomize=True)
@given(order=st.permutations(range(1, 9)), as_listing=st.lists(st.booleans()))
def test_no_order_of_arrival_reverts_the_configuration(order, as_listing):
    replica = Replica(MemoryDecisionLog())
    highest = 0
    for position, version in enumerate(order):
        item = stored_policy(version, 1000 + version)
        if position < len(as_listing) and as_listing[position]:
            replica.take_listing(Listing(version, (item,)))
        else:
            replica.take(version, (item,))
        highest = max(highest, version)
        assert replica.revision == highest
        assert replica.catalog.policies["p"].deadline_ms == 1000 + highest


def test_deletion_is_not_undone_by_a_late_copy():
    replica = Replica(MemoryDecisionLog())
    replica.take(1, (stored_policy(1),))
    replica.take(2, (DeletedObject("RoutingPolicy", "p", 2),))
    replica.take(3, (stored_policy(1),))
    assert replica.catalog.policies == {}


def test_listing_drops_what_it_lacks():
    replica = Replica(MemoryDecisionLog())
    replica.take(1, (stored_policy(1),))
    replica.take_listing(Listing(5, ()))
    assert replica.catalog.policies == {}
    assert replica.catalog.revision == 5


def test_broken_object_keeps_the_last_good_form():
    replica = Replica(MemoryDecisionLog())
    replica.take(1, (stored_policy(1, 1500),))
    replica.take(2, (StoredObject("RoutingPolicy", "p", 2, b'{"spec": {}}'),))
    assert replica.catalog.policies["p"].deadline_ms == 1500
    assert replica.invalid_objects == {("RoutingPolicy", "p")}
    replica.take(3, (stored_policy(3, 1700),))
    assert replica.catalog.policies["p"].deadline_ms == 1700
    assert replica.invalid_objects == set()


def test_peer_that_is_behind_gets_each_last_change_once():
    replica = Replica(MemoryDecisionLog())
    replica.take(3, (stored_policy(1), stored_policy(3)))
    assert [change.version for change in replica.changes_since(0)] == [3]
    assert replica.changes_since(3) == []
