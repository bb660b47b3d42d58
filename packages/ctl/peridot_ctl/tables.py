"""Plain tables and JSON for the command line."""

from collections.abc import Iterable, Sequence

import orjson

from peridot_ctl.porcelain import StatusView
from peridot_objects.outcomes import Change, DeletedObject, StoredObject


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return rows as columns, as wide as their widest cell."""
    lines = [list(header)] + [[str(cell) for cell in row] for row in rows]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def format_objects(objects: Iterable[StoredObject], view: StatusView) -> str:
    """Return a table of stored resources with their status."""
    rows = [
        (item.kind, item.name, item.version, view.describe(item), _summary(item))
        for item in objects
    ]
    return format_table(("KIND", "NAME", "VERSION", "STATUS", "SUMMARY"), rows)


def format_json(objects: Iterable[StoredObject], view: StatusView) -> str:
    """Return stored resources with their status as a JSON list."""
    items = [
        {
            "kind": item.kind,
            "name": item.name,
            "version": item.version,
            "status": view.describe(item),
            **orjson.loads(item.value),
        }
        for item in objects
    ]
    return orjson.dumps(items, option=orjson.OPT_INDENT_2).decode()


def format_change(change: Change) -> str:
    """Return a change as one line."""
    word = "deleted" if isinstance(change, DeletedObject) else "stored"
    return f"{change.version}  {word}  {change.kind}/{change.name}"


def format_status(view: StatusView) -> str:
    """Return a status as tables: data centres, conditions, targets."""
    centres = [
        (
            item.name,
            item.status["term"],
            item.status["placer"],
            item.status["revision_in_force"],
            len(item.status["vm_revisions"]),
        )
        for item in view.data_centres
    ]
    conditions = [
        (item.name, c["type"], "yes" if c["holds"] else "no", c["reason"], c["since"])
        for item in view.data_centres
        for c in item.status["conditions"]
    ]
    targets = [
        (item.name, name, t["state"], t["owned_slices"], t["moving_slices"])
        for item in view.data_centres
        for name, t in item.status["targets"].items()
    ]
    return "\n\n".join(
        (
            f"accepted revision: {view.accepted_revision}",
            format_table(("DATA CENTRE", "TERM", "PLACER", "IN FORCE", "VMS"), centres),
            format_table(
                ("DATA CENTRE", "CONDITION", "HOLDS", "REASON", "SINCE"), conditions
            ),
            format_table(
                ("DATA CENTRE", "TARGET", "STATE", "SLICES", "MOVING"), targets
            ),
        )
    )


def _summary(item: StoredObject) -> str:
    spec = orjson.loads(item.value).get("spec", {})
    parts = [f"{k}={v}" for k, v in spec.items() if isinstance(v, str | int | bool)]
    return " ".join(parts[:4])
