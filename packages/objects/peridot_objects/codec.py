"""Turn objects, listings and batches into the object API's JSON and back."""

import orjson

from peridot_objects.outcomes import Change, DeletedObject, StoredObject


def serialize_change(change: Change) -> dict[str, object]:
    """Return the JSON form of a change."""
    form = {"kind": change.kind, "name": change.name, "version": change.version}
    if isinstance(change, StoredObject):
        form["value"] = orjson.Fragment(change.value)
    else:
        form["deleted"] = True
    return form


def parse_change(form: dict) -> Change:
    """Return the change that a JSON form describes."""
    if form.get("deleted"):
        return DeletedObject(form["kind"], form["name"], form["version"])
    value = orjson.dumps(form["value"])
    return StoredObject(form["kind"], form["name"], form["version"], value)
