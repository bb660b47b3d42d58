"""Test since when owners of slices are known to have owned them."""

from peridot_placement.assignments import Assignment
from peridot_placement.clock import boot_time
from peridot_placement.permits import LocalTables
from peridot_placement.slices import SliceTable


def make_assignment(sequence, *slices):
    """Return an assignment of slices, each given by its start and owner."""
    table = SliceTable()
    for start, owner in slices:
        table.split(start)
        if owner is not None:
            table.set_owner(table.find(start), owner)
    return Assignment("s", "dc", 1, sequence, "w", table)


def apply(tables, *assignments):
    for assignment in assignments:
        assert tables.apply(assignment.epoch, [assignment])


def tables_with(*slices):
    tables = LocalTables()
    apply(tables, make_assignment(1, *slices))
    tables.permit.extend(1, boot_time(), 60.0)
    return tables


def since(tables, *key_hashes):
    return [tables.owned_since("s", key_hash)[1] for key_hash in key_hashes]


def test_owner_has_owned_a_slice_since_it_replaced_another():
    tables = tables_with((0, "t1"), (100, "t2"))
    apply(tables, make_assignment(2, (0, "t1"), (100, "t3")))
    apply(tables, make_assignment(3, (0, "t1"), (100, "t3")))
    assert since(tables, 0, 99, 100, 2**64 - 1) == [1, 1, 2, 2]


# Guards against names that are compared by their index: each table has its own list.
def test_owners_are_compared_by_name():
    tables = tables_with((0, "t1"), (100, "t2"))
    apply(tables, make_assignment(2, (0, "t2"), (100, "t1")))
    assert since(tables, 0, 100) == [2, 2]
    apply(tables, make_assignment(3, (0, None), (50, "t2"), (100, "t1")))
    assert since(tables, 0, 50, 100) == [3, 2, 2]


def test_split_slices_keep_the_epoch_and_merged_ones_take_the_latest():
    tables = tables_with((0, "t1"), (100, "t2"))
    apply(tables, make_assignment(2, (0, "t1"), (50, "t1"), (100, "t1")))
    assert since(tables, 0, 50, 100) == [1, 1, 2]
    apply(tables, make_assignment(3, (0, "t1"), (50, "t1")))
    assert since(tables, 0, 50, 100) == [1, 2, 2]


# Guards against an owner that lost a slice and got it back unseen, while this VM had no
# permit and moves didn't wait for it.
def test_owner_of_a_table_that_follows_an_expired_permit_counts_as_new():
    tables = tables_with((0, "t1"))
    tables.permit.valid_until = boot_time() - 1.0
    apply(tables, make_assignment(6, (0, "t1")))
    assert since(tables, 0) == [6]
