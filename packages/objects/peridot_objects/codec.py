"""Serialise object changes as the object API's JSON, and parse them."""

import orjson

from peridot_objects.outcomes import Change, DeletedObject, StoredObject


def serialize_change(change: Change) -> dict[str, object]:
    """Return a change as a JSON object."""
    data = {"kind": change.kind, "name": change.name, "version": change.version}
    if isinstance(change, StoredObject):
        data["value"] = orjson.Fragment(change.value)
    else:
        data["deleted"] = True
    return data


def parse_change(data: dict) -> Change:
    """Return the change that a JSON object describes."""
    if data.get("deleted"):
        return DeletedObject(data["kind"], data["name"], data["version"])
    value = orjson.dumps(data["value"])
    return StoredObject(data["kind"], data["name"], data["version"], value)
