"""Convert the gateway fleet's protobuf messages to its types and back."""

from collections import Counter
from collections.abc import Iterable, Mapping
from math import ceil

from peridot_gateway.owners import OwnerChange, OwnerTable
from peridot_objects.outcomes import Change, DeletedObject, StoredObject
from peridot_ownership.holds import KeyLease
from peridot_ownership.ranges import KeyRange
from peridot_ownership.rights import EarlierLeases
from peridot_wire import peridot_pb2 as pb

# Upper bound of ages in messages (s); larger ones make no difference.
MAX_AGE_S = 3600.0


def serialize_tables(
    tables: Mapping[str, list[tuple[int, str]]],
) -> list[pb.OwnerTable]:
    """Return the owner table messages of all services."""
    return [_serialize_table(service, rows) for service, rows in tables.items()]


def _serialize_table(service: str, rows: list[tuple[int, str]]) -> pb.OwnerTable:
    indexes = {"": 0}
    owners = [indexes.setdefault(owner, len(indexes)) for _, owner in rows]
    return pb.OwnerTable(
        service=service,
        starts=[start for start, _ in rows],
        names=indexes,
        owners=owners,
    )


def parse_tables(messages: Iterable[pb.OwnerTable]) -> dict[str, OwnerTable]:
    """Return owner tables from their messages, by service."""
    return {
        message.service: OwnerTable(
            tuple(message.starts),
            tuple(message.names[index] for index in message.owners),
        )
        for message in messages
    }


def serialize_patch(service: str, changes: list[OwnerChange]) -> pb.OwnerPatch:
    """Return the message of the changes of a service's owner table."""
    indexes: dict[str, int] = {}
    owners = [indexes.setdefault(item.owner, len(indexes)) for item in changes]
    return pb.OwnerPatch(
        service=service,
        starts=[item.start for item in changes],
        ends=[item.end for item in changes],
        names=indexes,
        owners=owners,
    )


def parse_patches(
    messages: Iterable[pb.OwnerPatch],
) -> dict[str, list[OwnerChange]]:
    """Return the changes of owner tables by service."""
    return {
        message.service: [
            OwnerChange(start, end, message.names[index])
            for start, end, index in zip(
                message.starts, message.ends, message.owners, strict=True
            )
        ]
        for message in messages
    }


def serialize_resignation(
    term: int, earlier_leases: EarlierLeases, now: float
) -> pb.FleetState:
    """Return the last state of a placer that resigned at a time (s)."""
    return pb.FleetState(
        term=term,
        leading=False,
        resigned=True,
        earlier_left_ms=ceil(earlier_leases.unknown_remaining_s * 1000),
        late_left_ms=ceil(earlier_leases.unanswered_remaining_s * 1000),
        holds=[
            pb.HoldLeft(
                target=target,
                start=part.start,
                end=part.end,
                left_ms=max(0, ceil((lease.expires_at - now) * 1000)),
                answered=lease.answered,
            )
            for target, lease in earlier_leases.leases
            for part in lease.ranges
        ],
    )


def parse_resignation(state: pb.FleetState, now: float) -> EarlierLeases:
    """Return the leases of a placer that resigned, by the receiver's clock (s)."""
    return EarlierLeases(
        state.earlier_left_ms / 1000,
        state.late_left_ms / 1000,
        tuple(
            (
                item.target,
                KeyLease(
                    [KeyRange(item.start, item.end)],
                    now + item.left_ms / 1000,
                    item.answered,
                ),
            )
            for item in state.holds
        ),
    )


def serialize_entry(change: Change, leaving_for_s: float) -> pb.TargetEntry:
    """Return the message of a target's entry or its removal."""
    return pb.TargetEntry(
        name=change.name,
        version=change.version,
        value=b"" if isinstance(change, DeletedObject) else change.value,
        leaving_ms=serialize_age(leaving_for_s),
    )


def serialize_age(age_s: float) -> int:
    """Return an age in ms, at most MAX_AGE_S; an unknown age is infinite."""
    return ceil(min(age_s, MAX_AGE_S) * 1000)


def parse_leaving_times(messages: Iterable[pb.TargetEntry]) -> dict[str, float]:
    """Return for how long leaving targets may have been leaving (s), by name."""
    return {item.name: item.leaving_ms / 1000 for item in messages if item.leaving_ms}


def parse_entry(kind: str, message: pb.TargetEntry) -> Change:
    """Return the change of an object of a kind from its message."""
    if not message.value:
        return DeletedObject(kind, message.name, message.version)
    return StoredObject(kind, message.name, message.version, message.value)


def serialize_keys(
    counts: Mapping[str, Counter[int]],
    work_s: Mapping[str, Mapping[int, float]] | None = None,
) -> list[pb.KeyCounts]:
    """Return the messages of request counts by key, with their work (s) if known."""
    return [
        pb.KeyCounts(
            service=service,
            keys=by_key.keys(),
            counts=by_key.values(),
            work_ms=_serialize_key_work(by_key, (work_s or {}).get(service, {})),
        )
        for service, by_key in counts.items()
    ]


def _serialize_key_work(counts: Counter[int], work_s: Mapping[int, float]) -> list[int]:
    """Return the work (ms) in the order of the counts; empty if some is unknown."""
    if not counts.keys() <= work_s.keys():
        return []
    return [max(1, round(1000 * work_s[key])) for key in counts]
