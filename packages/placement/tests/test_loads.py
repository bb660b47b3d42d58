"""Test load reports, hot keys, splits and merges."""

from peridot_placement.hashing import HASH_SPACE
from peridot_placement.loads import KeySketch, LoadAggregator, LoadMeter, LoadReport
from peridot_placement.slices import HashRange, SliceTable, divide_ranges
from peridot_placement.splits import merge_cold_slices, split_hot_slices

WHOLE = [HashRange(0, HASH_SPACE)]


def test_sketch_keeps_hot_keys_among_many_cold_ones():
    sketch = KeySketch()
    for number in range(5000):
        sketch.add(1 if number % 3 == 0 else 10 + number)
    hottest = sketch.hottest()
    assert hottest[0][0] == 1
    assert len(sketch.counts) <= 400


def test_meter_rates_decay_by_half_lives():
    meter = LoadMeter(decayed_at=100.0)
    for _ in range(100):
        meter.add(0, 5)
    meter.decay(105.0)
    assert 6.0 < meter.rates()[0] < 7.5
    meter.decay(200.0)
    assert meter.rates() == {}


def test_hot_key_gets_its_own_slice_and_that_slice_its_load():
    table = SliceTable()
    table.set_owner(0, "a")
    aggregator = LoadAggregator()
    aggregator.record("vm", "s", LoadReport(0.0, {0: 1000.0}, {500: 900.0}))
    loads = aggregator.slice_loads("s", table, WHOLE, 0.0)
    assert split_hot_slices(table, loads, aggregator.hot_keys("s", 0.0), 4) >= 2
    index = table.find(500)
    assert table.range_at(index) == HashRange(500, 501)
    assert aggregator.slice_loads("s", table, WHOLE, 0.0)[index] >= 900.0


def test_moving_slices_are_not_split():
    table = SliceTable()
    table.set_owner(0, "a")
    table.start_move(0, "b")
    assert split_hot_slices(table, {0: 1000.0}, {500: 900.0}, 4) == 0


def test_old_reports_do_not_count():
    table = SliceTable()
    aggregator = LoadAggregator()
    aggregator.record("vm", "s", LoadReport(0.0, {0: 1000.0}, {}))
    assert aggregator.slice_loads("s", table, WHOLE, 10.0)[0] < 100.0


def test_cold_neighbours_of_one_owner_are_merged_and_hot_ones_are_not():
    table = divide_ranges(WHOLE, 200)
    for index in range(len(table)):
        table.set_owner(index, "a" if index < 100 else "b")
    loads = dict.fromkeys(range(len(table)), 0.01)
    loads[50] = 100.0
    hot = table.range_at(50)
    before = len(table)
    merges = 0
    while found := merge_cold_slices(table, loads, 2):
        merges += found
        loads = {i: 100.0 * (table.starts[i] == hot.start) for i in range(len(table))}
    assert 64 <= merges == before - len(table)
    assert table.range_at(table.find(hot.start)) == hot
