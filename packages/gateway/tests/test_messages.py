"""The fleet's messages and the types they carry."""

from collections import Counter

import pytest

from peridot_gateway.messages import (
    parse_rights,
    parse_tables,
    serialize_keys,
    serialize_rights,
    serialize_tables,
)
from peridot_ownership.holds import Hold
from peridot_ownership.ranges import KeyRange
from peridot_ownership.rights import EarlierRights


def test_rights_keep_their_time_across_clocks():
    hold = Hold([KeyRange(0, 10), KeyRange(20, 30)], 105.0, answered=False)
    rights = EarlierRights(1.5, 0.25, (("t", hold),))
    found = parse_rights(serialize_rights(3, rights, 100.0), 900.0)
    assert found.unknown_left_s == pytest.approx(1.5)
    assert found.late_left_s == pytest.approx(0.25)
    assert [target for target, _ in found.holds] == ["t", "t"]
    assert [item.parts for _, item in found.holds] == [
        [KeyRange(0, 10)],
        [KeyRange(20, 30)],
    ]
    assert all(item.ends == pytest.approx(905.0) for _, item in found.holds)
    assert not any(item.answered for _, item in found.holds)


def test_tables_come_back():
    tables = {"files": [(0, "a"), (100, ""), (200, "b")]}
    found = parse_tables(serialize_tables(tables))["files"]
    assert (found.find(50), found.find(150), found.find(65_535)) == ("a", "", "b")


def test_key_counts_are_pairs():
    (message,) = serialize_keys({"files": Counter({7: 2, 9: 1})})
    assert dict(zip(message.keys, message.counts, strict=True)) == {7: 2, 9: 1}
