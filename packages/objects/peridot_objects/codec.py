"""Serialise object changes as the object API's JSON, and parse them."""

import orjson

from peridot_objects.documents import parse_name, parse_revision, serialize_value
from peridot_objects.outcomes import Change, DeletedObject, StoredObject

# Versions are unsigned numbers of 64 bits in messages between VMs.
MAX_VERSION = 2**64 - 1


def serialize_change(change: Change) -> dict[str, object]:
    """Return a change as a JSON object."""
    data = {"kind": change.kind, "name": change.name, "version": change.version}
    if isinstance(change, StoredObject):
        data["value"] = orjson.Fragment(change.value)
    else:
        data["deleted"] = True
    return data


def parse_change(data: dict, limit: int = MAX_VERSION) -> Change:
    """Return the change that a JSON object describes, of a version up to a limit."""
    kind, name = parse_name(data["kind"]), parse_name(data["name"])
    version = parse_revision(data["version"], limit)
    if data.get("deleted"):
        return DeletedObject(kind, name, version)
    return StoredObject(kind, name, version, serialize_value(data["value"]))
