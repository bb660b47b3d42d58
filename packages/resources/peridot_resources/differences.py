"""Compare declared resources with the stored ones, field by field."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

# JSON values of resources by kind and name.
Documents = Mapping[tuple[str, str], object]


@dataclass(frozen=True)
class Difference:
    """A resource that is added, changed or removed, with the fields that differ."""

    action: str
    kind: str
    name: str
    # Stored and declared values by path; a field that is absent has none.
    before: dict[str, object]
    after: dict[str, object]


def compare(stored: Documents, declared: Documents) -> list[Difference]:
    """Return the resources that differ, ordered by kind and name."""
    differences = []
    for key in sorted({*stored, *declared}):
        before = dict(_iterate_fields(stored[key])) if key in stored else {}
        after = dict(_iterate_fields(declared[key])) if key in declared else {}
        old = {f: v for f, v in before.items() if f not in after or after[f] != v}
        new = {f: v for f, v in after.items() if f not in before or before[f] != v}
        if old or new:
            action = "changed" if before and after else "added" if after else "removed"
            differences.append(Difference(action, *key, old, new))
    return differences


def _iterate_fields(value: object, path: str = "") -> Iterator[tuple[str, object]]:
    """Yield the path and value of each field; lists are values as a whole."""
    if not isinstance(value, Mapping) or not value:
        yield path, value
        return
    for name, item in value.items():
        yield from _iterate_fields(item, f"{path}.{name}".lstrip("."))
