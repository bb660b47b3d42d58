"""The placement's stored record: the placer, its term, and all owners."""

from dataclasses import dataclass, field

import orjson

from peridot_ownership.errors import InvalidRecord
from peridot_ownership.ranges import KEY_SPACE, KeyRange, OwnedRange, RangeTable

RECORD_KIND = "placements"
RECORD_NAME = "current"
# Fences of a term start here, so that they rise over terms and within one.
FENCES_PER_TERM = 1 << 24


@dataclass(frozen=True)
class Holder:
    """Name the daemon that holds a term."""

    vm: str
    instance: str
    address: str


@dataclass
class PlacementRecord:
    """Hold what a placer must find after any loss."""

    term: int
    holder: Holder
    # Counts the writes of the term, so that each proves the holder alive.
    beat: int = 0
    last_fence: int = 0
    tables: dict[str, RangeTable] = field(default_factory=dict)

    def next_fence(self) -> int:
        """Return a fence above all that were given before."""
        self.last_fence = max(self.last_fence, self.term * FENCES_PER_TERM) + 1
        return self.last_fence


def take_over(found: PlacementRecord | None, holder: Holder) -> PlacementRecord:
    """Return the record of the next term: same owners, higher fences."""
    if found is None:
        return PlacementRecord(1, holder)
    record = PlacementRecord(found.term + 1, holder)
    for service, table in found.tables.items():
        record.tables[service] = RangeTable(
            [
                OwnedRange(item.keys, item.owner, record.next_fence())
                for item in table.ranges
            ]
        )
    return record


def serialize_record(record: PlacementRecord) -> bytes:
    """Return the JSON form of a record."""
    holder = record.holder
    return orjson.dumps(
        {
            "term": record.term,
            "vm": holder.vm,
            "instance": holder.instance,
            "address": holder.address,
            "beat": record.beat,
            "lastFence": record.last_fence,
            "tables": {
                service: [
                    [item.keys.start, item.owner, item.fence] for item in table.ranges
                ]
                for service, table in record.tables.items()
            },
        }
    )


def parse_record(text: bytes) -> PlacementRecord:
    """Return the record that a JSON form describes; raise InvalidRecord."""
    try:
        form = orjson.loads(text)
        return PlacementRecord(
            int(form["term"]),
            Holder(form["vm"], form["instance"], form["address"]),
            int(form["beat"]),
            int(form["lastFence"]),
            {name: _parse_table(rows) for name, rows in form["tables"].items()},
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidRecord(repr(error)) from error


def _parse_table(rows: list) -> RangeTable:
    starts = [int(row[0]) for row in rows]
    if not starts or starts[0] != 0 or starts != sorted(set(starts)):
        raise ValueError("the ranges don't start at 0 or aren't sorted")
    ends = [*starts[1:], KEY_SPACE]
    return RangeTable(
        [
            OwnedRange(KeyRange(start, end), row[1], int(row[2]))
            for start, end, row in zip(starts, ends, rows, strict=True)
        ]
    )
