"""Parse a store's responses in which single objects may be unreadable."""

import re
from collections.abc import Callable, Iterator
from typing import TypeVar

import orjson

ItemT = TypeVar("ItemT")
PARSE_ERRORS = (ValueError, LookupError, TypeError, AttributeError)
# Value of an object whose JSON can't be read; no kind of object has it otherwise.
UNREADABLE_VALUE = b"null"
# A string, a bracket or a separator; a single quotation mark begins a string that
# doesn't end.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*+"|[][{},:"]', re.DOTALL)
# Levels from a response to the fields of an object's metadata: the response, its list,
# the event, the object, its metadata.
METADATA_LEVELS = 5
# Members in which objects or their names are; values of objects are valid or not.
DIVIDED_MEMBERS = frozenset(
    ("changes", "events", "items", "metadata", "object", "objects", "vms")
)


class Unreadable:
    """Stands for a part of a document that isn't valid JSON."""


UNREADABLE = Unreadable()


def load_document(text: bytes, levels: int = METADATA_LEVELS) -> object:
    """Return the value of JSON text, with UNREADABLE in place of invalid parts.

    Invalid text is divided down to a number of levels. orjson refuses a whole document
    for one string that isn't UTF-8, one number that is too large, or deep nesting.
    Strings must end and brackets be balanced in number.
    """
    try:
        return orjson.loads(text)
    except ValueError:
        if levels == 0:
            return UNREADABLE
    try:
        parts = list(_split_container(text))
    except ValueError:
        return UNREADABLE
    if text.lstrip().startswith(b"["):
        return [load_document(part, levels - 1) for _, part in parts]
    members = {}
    for name_text, part in parts:
        name = load_document(name_text, 0)
        if isinstance(name, str):
            members[name] = load_document(
                part, levels - 1 if name in DIVIDED_MEMBERS else 0
            )
    return members


def _split_container(text: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield the texts of the names and values in an object, or in an array."""
    if not text.lstrip().startswith((b"{", b"[")):
        raise ValueError("neither an object nor an array")
    depth = start = 0
    name = b""
    for match in TOKEN.finditer(text):
        token = match[0]
        if token == b'"':
            raise ValueError("a string doesn't end")
        if token in (b"{", b"["):
            depth += 1
            start = match.end() if depth == 1 else start
        elif token in (b"}", b"]"):
            depth -= 1
            if depth == 0:
                if last := text[start : match.start()].strip():
                    yield name, last
                return
        elif depth == 1 and token == b":":
            name, start = text[start : match.start()].strip(), match.end()
        elif depth == 1 and token == b",":
            yield name, text[start : match.start()].strip()
            name, start = b"", match.end()
    raise ValueError("an object or array doesn't end")


def parse_items(
    items: object, parse: Callable[[dict], ItemT]
) -> tuple[tuple[ItemT, ...], tuple[str, ...]]:
    """Return the parsed items of a list, and why others can't be parsed."""
    if not isinstance(items, list):
        raise TypeError("not a list")
    parsed: list[ItemT] = []
    reasons: list[str] = []
    for item in items:
        try:
            parsed.append(parse(item))
        except PARSE_ERRORS as error:
            reasons.append(repr(error))
    return tuple(parsed), tuple(reasons)


def parse_name(value: object) -> str:
    """Return the name of an object; raise TypeError if it isn't one."""
    if not isinstance(value, str) or not value:
        raise TypeError("name is not a string")
    return value


def parse_revision(value: object, limit: int) -> int:
    """Return a revision up to a limit; raise TypeError or ValueError.

    A revision beyond that of the response would make all others look outdated.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError("revision is not a whole number")
    if not 0 <= value <= limit:
        raise ValueError(f"revision {value} is not from 0 to {limit}")
    return value


def serialize_value(value: object) -> bytes:
    """Return an object's value as JSON, UNREADABLE_VALUE if there are invalid parts.

    orjson reads deeper nesting than it writes.
    """
    try:
        return orjson.dumps(value)
    except TypeError:
        return UNREADABLE_VALUE
