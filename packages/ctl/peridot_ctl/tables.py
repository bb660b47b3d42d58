"""Format resources, changes and status as text tables or JSON."""

from collections.abc import Iterable, Sequence

import orjson

from peridot_ctl.porcelain import StatusView
from peridot_objects.outcomes import Change, DeletedObject, StoredObject
from peridot_resources.findings import CheckResult


def format_table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a text table whose columns are as wide as their widest cells."""
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
        (item.kind, item.name, item.version, view.describe(item), _summarize_spec(item))
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
    action = "deleted" if isinstance(change, DeletedObject) else "stored"
    return f"{change.version}  {action}  {change.kind}/{change.name}"


def format_status(view: StatusView) -> str:
    """Return a status as tables: data centres, conditions, targets."""
    centre_rows = [
        (
            centre.name,
            centre.status["term"],
            centre.status["placer"],
            centre.status["revision_in_force"],
            len(centre.status["vm_revisions"]),
        )
        for centre in view.data_centres
    ]
    condition_rows = [
        (centre.name, c["type"], "yes" if c["holds"] else "no", c["reason"], c["since"])
        for centre in view.data_centres
        for c in centre.status["conditions"]
    ]
    target_rows = [
        (centre.name, name, t["state"], t["owned_slices"], t["moving_slices"])
        for centre in view.data_centres
        for name, t in centre.status["targets"].items()
    ]
    return "\n\n".join(
        (
            f"accepted revision: {view.accepted_revision}",
            format_table(
                ("DATA CENTRE", "TERM", "PLACER", "IN FORCE", "VMS"), centre_rows
            ),
            format_table(
                ("DATA CENTRE", "CONDITION", "HOLDS", "REASON", "SINCE"), condition_rows
            ),
            format_table(
                ("DATA CENTRE", "TARGET", "STATE", "SLICES", "MOVING"), target_rows
            ),
        )
    )


def format_check(result: CheckResult) -> str:
    """Return findings and differences as lines; changed fields are indented."""
    lines = [str(finding) for finding in result.findings]
    for item in result.differences or ():
        lines.append(f"{item.action}: {item.kind}/{item.name}")
        for field in sorted({*item.before, *item.after}):
            values = [
                orjson.dumps(side[field]).decode() if field in side else "absent"
                for side in (item.before, item.after)
            ]
            if item.action == "changed":
                lines.append(f"  {field}: {' -> '.join(values)}")
    return "\n".join(lines) or "nothing found"


def _summarize_spec(item: StoredObject) -> str:
    spec = orjson.loads(item.value).get("spec", {})
    parts = [f"{k}={v}" for k, v in spec.items() if isinstance(v, str | int | bool)]
    return " ".join(parts[:4])
