"""Test slice tables, home tables and their JSON."""

from hypothesis import given, settings, strategies as st

from peridot_placement.assignments import (
    Assignment,
    parse_assignment,
    parse_home,
    serialize_assignment,
    serialize_home,
)
from peridot_placement.hashing import HASH_SPACE, hash_key, rank_by_rendezvous
from peridot_placement.slices import (
    HashRange,
    SliceTable,
    divide_homes,
    divide_ranges,
)

HASHES = st.integers(0, HASH_SPACE - 1)


@settings(derandomize=True)
@given(cuts=st.lists(HASHES, max_size=20), key_hash=HASHES)
def test_every_hash_lies_in_exactly_one_slice(cuts, key_hash):
    table = SliceTable()
    for cut in cuts:
        table.split(cut)
    holding = [s for s in table if s.range.start <= key_hash < s.range.end]
    assert [s.index for s in holding] == [table.find(key_hash)]
    assert list(table.starts) == sorted(set(table.starts))


@settings(derandomize=True)
@given(
    owners=st.lists(st.sampled_from(["a", "b", "c"]), min_size=1, max_size=30),
    moving=st.integers(0, 29),
)
def test_ranges_of_targets_cover_all_but_the_moving_slice(owners, moving):
    table = divide_ranges([HashRange(0, HASH_SPACE)], len(owners))
    for index in range(len(table)):
        table.set_owner(index, owners[index % len(owners)])
    moved = table.slice_at(moving % len(table))
    table.start_move(moved.index, "d")
    covered = sum(
        item.end - item.start
        for name in ("a", "b", "c")
        for item in table.ranges_owned_by(name)
    )
    assert covered == HASH_SPACE - (moved.range.end - moved.range.start)
    assert table.settled_owner(moved.range.start) is None


def test_assignment_and_home_survive_their_stored_forms():
    home = divide_homes({"b": 12, "a": 9, "c": 0})
    assert parse_home(serialize_home(home)) == home
    assert home.data_centres == ("a", "b")
    table = divide_ranges(home.ranges_of("b"), 8)
    table.set_owner(3, "one")
    table.start_move(3, "two")
    assignment = Assignment("s", "b", 2, 9, "w", table)
    assert parse_assignment(serialize_assignment(assignment)) == assignment


def test_merge_joins_only_settled_neighbours_of_one_owner():
    table = SliceTable()
    table.split(100)
    table.set_owner(0, "a")
    assert not table.merge_with_next(0)
    table.set_owner(1, "a")
    table.start_move(1, "b")
    assert not table.merge_with_next(0)
    table.set_owner(1, "a")
    assert table.merge_with_next(0)
    assert len(table) == 1


def test_removing_a_vm_changes_only_the_targets_that_it_fronted():
    vms = [f"vm{number}" for number in range(12)]
    subjects = [f"target-{number}" for number in range(500)]
    before = {s: rank_by_rendezvous(vms, s)[0] for s in subjects}
    after = {s: rank_by_rendezvous(vms[:-1], s)[0] for s in subjects}
    changed = [s for s in subjects if before[s] != after[s]]
    assert changed == [s for s in subjects if before[s] == vms[-1]]


def test_hash_of_a_key_never_changes():
    assert hash_key("grant-1") == 0x9B0A2856C5FDF0A5
