"""Split hot slices, so that their load can be spread, and merge cold ones."""

from collections.abc import Mapping

from peridot_placement.slices import SliceTable

# A slice with more than this share of a target's mean load is split.
HOT_SLICE_SHARE = 0.25
# A key with more than this share of a target's mean load gets its own slice.
HOT_KEY_SHARE = 0.1
MAX_SPLITS = 64
# Two neighbours are merged if both together have at most this share of a target's
# mean load.
COLD_PAIR_SHARE = 0.02
# Tables with fewer slices per target aren't merged.
MIN_SLICES_PER_TARGET = 32
MAX_MERGES = 64
MAX_SLICES = 20_000


def split_hot_slices(
    table: SliceTable,
    loads: Mapping[int, float],
    hot_keys: Mapping[int, float],
    targets: int,
) -> int:
    """Split hot slices in place and return the number of splits."""
    if not targets:
        return 0
    mean = sum(loads.values()) / targets
    cuts = _cuts_isolating_keys(table, hot_keys, mean * HOT_KEY_SHARE)
    for index, load in loads.items():
        hash_range = table.range_at(index)
        if load > mean * HOT_SLICE_SHARE and hash_range.end - hash_range.start > 1:
            cuts.append((load, (hash_range.start + hash_range.end) // 2))
    cuts.sort(reverse=True)
    done = 0
    for _, at in cuts[:MAX_SPLITS]:
        index = table.find(at)
        if len(table) >= MAX_SLICES or table.slice_at(index).next_owner is not None:
            continue
        if table.starts[index] != at:
            table.split(at)
            done += 1
    return done


def _cuts_isolating_keys(
    table: SliceTable, hot_keys: Mapping[int, float], threshold: float
) -> list[tuple[float, int]]:
    cuts = []
    for key_hash, rate in hot_keys.items():
        if rate <= threshold:
            continue
        cuts.append((rate, key_hash))
        if key_hash + 1 < table.range_at(table.find(key_hash)).end:
            cuts.append((rate, key_hash + 1))
    return cuts


def merge_cold_slices(
    table: SliceTable, loads: Mapping[int, float], targets: int
) -> int:
    """Merge cold neighbours of one owner in place; return the number of merges."""
    if not targets or len(loads) <= targets * MIN_SLICES_PER_TARGET:
        return 0
    limit = COLD_PAIR_SHARE * sum(loads.values()) / targets
    done = 0
    for index in sorted(loads, reverse=True):
        next_index = index + 1
        if done >= MAX_MERGES or next_index not in loads:
            continue
        if loads[index] + loads[next_index] <= limit:
            done += table.merge_with_next(index)
    return done
