"""Serialization of the fleet's messages."""

from collections import Counter

import pytest

from peridot_gateway.messages import (
    parse_resignation,
    parse_tables,
    serialize_keys,
    serialize_resignation,
    serialize_tables,
)
from peridot_ownership.holds import KeyLease
from peridot_ownership.ranges import KeyRange
from peridot_ownership.rights import EarlierLeases


def test_expiry_times_survive_a_difference_of_clocks():
    lease = KeyLease([KeyRange(0, 10), KeyRange(20, 30)], 105.0, answered=False)
    earlier_leases = EarlierLeases(1.5, 0.25, (("t", lease),))
    parsed = parse_resignation(serialize_resignation(3, earlier_leases, 100.0), 900.0)
    assert parsed.unknown_remaining_s == pytest.approx(1.5)
    assert parsed.unanswered_remaining_s == pytest.approx(0.25)
    assert [target for target, _ in parsed.leases] == ["t", "t"]
    assert [item.ranges for _, item in parsed.leases] == [
        [KeyRange(0, 10)],
        [KeyRange(20, 30)],
    ]
    assert all(item.expires_at == pytest.approx(905.0) for _, item in parsed.leases)
    assert not any(item.answered for _, item in parsed.leases)


def test_owner_tables_survive_serialization():
    tables = {"files": [(0, "a"), (100, ""), (200, "b")]}
    parsed = parse_tables(serialize_tables(tables))["files"]
    assert (parsed.find(50), parsed.find(150), parsed.find(65_535)) == ("a", "", "b")


def test_key_counts_are_serialized_as_pairs():
    (message,) = serialize_keys({"files": Counter({7: 2, 9: 1})})
    assert dict(zip(message.keys, message.counts, strict=True)) == {7: 2, 9: 1}


def test_work_by_key_is_sent_only_if_it_is_known_for_all_keys():
    """Guards against keys that look free beside others whose work is known."""
    counts = {"files": Counter({7: 2, 9: 1})}
    (known,) = serialize_keys(counts, {"files": {9: 0.25, 7: 0.1}})
    assert list(known.work_ms) == [100, 250]
    (partly,) = serialize_keys(counts, {"files": {7: 0.1}})
    assert not partly.work_ms
