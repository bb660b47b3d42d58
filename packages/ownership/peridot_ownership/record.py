"""The stored placement record (gateway mode): placer, term and owners of all keys."""

from dataclasses import dataclass, field
from enum import IntEnum

import orjson

from peridot_objects.documents import PARSE_ERRORS
from peridot_ownership.errors import InvalidRecord
from peridot_ownership.ranges import KEY_SPACE, KeyRange, OwnedRange, RangeTable

RECORD_KIND = "placements"
RECORD_NAME = "current"
# The fencing tokens of a term start at the term times this, so that they rise from term
# to term and within a term.
FENCES_PER_TERM = 1 << 24
# The terms of an era of the store start at the era times this: a record of an earlier
# era may have lost terms, whose numbers must not be issued again.
TERMS_PER_ERA = 1 << 18
# Terms and fencing tokens are unsigned numbers of 64 bits in messages between VMs.
MAX_WHOLE = 2**63 - 1


@dataclass(frozen=True)
class DaemonInstance:
    """A daemon process, which may hold the term, and its peer address."""

    vm: str
    instance: str
    address: str
    # Processor capacity of its VM in cores, not stored.
    cores: float = field(default=1.0, compare=False)


class Certainty(IntEnum):
    """What is known of the owners and leases in a record after a restore of the store.

    The store may have lost a term, whose leases run until a bound has passed.
    """

    CERTAIN = 0
    # The owners are known, but a lost term may have granted leases on their keys, and
    # on unowned ones.
    LEASES_UNCERTAIN = 1
    # A lost term may have moved keys to other owners.
    OWNERS_UNCERTAIN = 2


@dataclass
class PlacementRecord:
    """What a placer needs to take over after any failure."""

    term: int
    holder: DaemonInstance
    # Number of writes in the term: each changes the record and shows that the placer
    # is alive.
    heartbeat: int = 0
    last_fence: int = 0
    tables: dict[str, RangeTable] = field(default_factory=dict)
    certainty: Certainty = Certainty.CERTAIN

    def next_fence(self) -> int:
        """Return a fencing token above all that were issued before."""
        self.last_fence = max(self.last_fence, self.term * FENCES_PER_TERM) + 1
        return self.last_fence


def next_term_record(
    found: PlacementRecord | None,
    holder: DaemonInstance,
    era: int = 0,
    known_term: int = 0,
) -> PlacementRecord:
    """Return the next term's record in an era: same owners, higher fencing tokens.

    Its term is above a known one, which the store may have lost.
    """
    found_term = found.term if found is not None else 0
    last_term = max(found_term, known_term, era * TERMS_PER_ERA)
    record = PlacementRecord(last_term + 1, holder)
    if found is not None:
        record.certainty = found.certainty
    for service, table in found.tables.items() if found is not None else ():
        record.tables[service] = RangeTable(
            [
                OwnedRange(item.keys, item.owner, record.next_fence())
                for item in table.ranges
            ]
        )
    return record


def precedes_restore(record: PlacementRecord, era: int) -> bool:
    """Return whether a record is from before the restore that began an era.

    Later records may be lost, and so their owners unknown.
    """
    return record.term < era * TERMS_PER_ERA


def serialize_record(record: PlacementRecord) -> bytes:
    """Return a record as JSON."""
    holder = record.holder
    return orjson.dumps(
        {
            "term": record.term,
            "vm": holder.vm,
            "instance": holder.instance,
            "address": holder.address,
            "beat": record.heartbeat,
            "lastFence": record.last_fence,
            "certainty": record.certainty,
            "tables": {
                service: [
                    [item.keys.start, item.owner, item.fence] for item in table.ranges
                ]
                for service, table in record.tables.items()
            },
        }
    )


def parse_record(text: bytes) -> PlacementRecord:
    """Return the record that JSON text describes; raise InvalidRecord."""
    try:
        data = orjson.loads(text)
        return PlacementRecord(
            _check_whole(data["term"]),
            DaemonInstance(
                *(_check_text(data[name]) for name in ("vm", "instance", "address"))
            ),
            _check_whole(data["beat"]),
            _check_whole(data["lastFence"]),
            {name: _parse_table(rows) for name, rows in data["tables"].items()},
            Certainty(data.get("certainty", Certainty.CERTAIN)),
        )
    except PARSE_ERRORS as error:
        raise InvalidRecord(repr(error)) from error


def _parse_table(rows: list) -> RangeTable:
    starts = [_check_whole(row[0], KEY_SPACE - 1) for row in rows]
    if not starts or starts[0] != 0 or starts != sorted(set(starts)):
        raise ValueError("the ranges don't start at 0 or aren't sorted")
    ends = [*starts[1:], KEY_SPACE]
    return RangeTable(
        [
            OwnedRange(
                KeyRange(start, end),
                None if row[1] is None else _check_text(row[1]),
                _check_whole(row[2]),
            )
            for start, end, row in zip(starts, ends, rows, strict=True)
        ]
    )


def _check_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError("not text")
    return value


def _check_whole(value: object, limit: int = MAX_WHOLE) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError("not a whole number")
    if not 0 <= value <= limit:
        raise ValueError(f"not from 0 to {limit}")
    return value
