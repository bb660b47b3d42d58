"""Turn the fleet's messages into the gateway's types and back."""

from collections import Counter
from collections.abc import Mapping

from peridot_gateway.owners import OwnerTable
from peridot_wire import peridot_pb2 as pb


def serialize_tables(
    tables: Mapping[str, list[tuple[int, str]]],
) -> list[pb.OwnerTable]:
    """Return the messages of all services' owners."""
    return [
        pb.OwnerTable(
            service=service,
            starts=[start for start, _ in rows],
            owners=[owner for _, owner in rows],
        )
        for service, rows in tables.items()
    ]


def parse_tables(messages) -> dict[str, OwnerTable]:
    """Return the owner tables that messages hold."""
    return {
        message.service: OwnerTable(tuple(message.starts), tuple(message.owners))
        for message in messages
    }


def serialize_keys(counts: Mapping[str, Counter[int]]) -> list[pb.KeyCounts]:
    """Return the messages of requests by key."""
    return [
        pb.KeyCounts(service=service, keys=by_key.keys(), counts=by_key.values())
        for service, by_key in counts.items()
    ]
