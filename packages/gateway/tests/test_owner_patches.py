"""Pattern: keys move often in a large fleet, and each change goes to every VM."""

import random

import pytest
from hypothesis import given, strategies as st

from peridot_gateway.messages import (
    parse_patches,
    parse_tables,
    serialize_patch,
    serialize_tables,
)
from peridot_gateway.owners import (
    KEPT_REPLACED_S,
    KEPT_REPLACED_TABLES,
    Owners,
    OwnerTable,
    PatchMismatch,
    diff_tables,
    patch_table,
)
from peridot_ownership.ranges import KEY_SPACE

starts = st.sets(st.integers(1, KEY_SPACE - 1), max_size=12)
seeds = st.integers(0, 10_000)


def make_table(boundaries, seed) -> OwnerTable:
    rng = random.Random(seed)
    rows = [0, *sorted(boundaries)]
    return OwnerTable(tuple(rows), tuple(rng.choice(["", "a", "b"]) for _ in rows))


@given(starts, seeds, starts, seeds)
def test_a_patched_table_has_the_owners_of_the_new_one(old, old_seed, new, new_seed):
    before, after = make_table(old, old_seed), make_table(new, new_seed)
    message = serialize_patch("files", diff_tables(before, after))
    patched = patch_table(before, parse_patches([message])["files"])
    probes = {0, KEY_SPACE - 1, *old, *new, *(start - 1 for start in old | new)}
    assert all(patched.find(key) == after.find(key) for key in probes)


def test_a_change_of_one_range_is_small():
    rows = [(start, f"i-{start:08x}") for start in range(0, KEY_SPACE, 150)]
    changed = [(s, "" if s == 300 else owner) for s, owner in rows]
    (before,) = parse_tables(serialize_tables({"files": rows})).values()
    (after,) = parse_tables(serialize_tables({"files": changed})).values()
    message = serialize_patch("files", diff_tables(before, after))
    whole = serialize_tables({"files": changed})[0]
    assert message.ByteSize() < whole.ByteSize() / 100


def test_changes_of_other_tables_are_refused():
    """The link is opened again then, and begins with all tables."""
    owners = Owners()
    owners.update(2, 5, {"files": OwnerTable((0,), ("a",))})
    changes = diff_tables(owners.tables["files"], OwnerTable((0,), ("b",)))
    for term, sequence in ((2, 4), (3, 5)):
        with pytest.raises(PatchMismatch):
            owners.patch(term, 9, sequence, {"files": changes})
    owners.patch(2, 6, 5, {"files": changes})
    assert owners.find("files", 7) == "b" and owners.sequence == 6


# Guards against retries at an owner that lost and regained a key within a few tables.
def test_a_key_that_moved_away_and_back_has_moved():
    owners = Owners(clock=lambda: now)
    now = 10.0
    owners.update(1, 1, {"s": OwnerTable((0, 50), ("a", "b"))})
    now = 11.0
    owners.update(1, 2, {"s": OwnerTable((0, 50), ("", "b"))})
    now = 12.0
    owners.update(1, 3, {"s": OwnerTable((0, 50), ("a", "b"))})
    assert owners.has_moved_since("s", 7, 10.5)
    assert owners.has_moved_since("s", 7, 12.0)
    assert not owners.has_moved_since("s", 7, 12.1)
    assert not owners.has_moved_since("s", 60, 10.5)


def test_a_key_counts_as_moved_beyond_the_kept_tables():
    owners = Owners(clock=lambda: 10.0)
    for sequence in range(KEPT_REPLACED_TABLES + 2):
        owners.update(1, sequence + 1, {"s": OwnerTable((0,), ("a",))})
    assert owners.has_moved_since("s", 7, 9.0)
    assert not owners.has_moved_since("s", 7, 10.1)


# Guards against moves away and back that a VM doesn't see, because it got no tables in
# between or because the placer changed.
def test_a_key_may_have_moved_in_one_update_of_many_changes_or_of_another_term():
    table = {"s": OwnerTable((0,), ("a",))}
    owners = Owners(clock=lambda: now)
    now = 10.0
    owners.update(1, 1, table)
    now = 10.5
    owners.update(1, 5, table)
    assert owners.has_moved_since("s", 7, 10.2)
    now = 10.6
    owners.update(1, 9, table)
    assert not owners.has_moved_since("s", 7, 10.55)
    now = 10.7
    owners.update(2, 1, table)
    assert owners.has_moved_since("s", 7, 10.65)


def test_a_key_counts_as_moved_beyond_the_time_of_kept_tables():
    owners = Owners(clock=lambda: now)
    now = 10.0
    owners.update(1, 1, {"s": OwnerTable((0,), ("a",))})
    now = 10.5 + KEPT_REPLACED_S
    owners.update(1, 2, {"s": OwnerTable((0,), ("a",))})
    assert owners.has_moved_since("s", 7, 10.1)
    assert not owners.has_moved_since("s", 7, 11.0)
