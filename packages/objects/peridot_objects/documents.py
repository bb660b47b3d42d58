"""Parse a store's responses in which single objects may be unreadable."""

import json
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple, TypeVar

import orjson

ItemT = TypeVar("ItemT")
PARSE_ERRORS = (ValueError, LookupError, TypeError, AttributeError)
# Value of an object whose JSON can't be read; no kind of object has it otherwise.
UNREADABLE_VALUE = b"null"
# A string, a bracket or a separator; a single quotation mark begins a string that
# doesn't end.
TOKEN = re.compile(r'"(?:[^"\\]|\\.)*+"|[][{},:"]', re.DOTALL)
SPACE = re.compile(r"[ \t\r\n]*")
# An object's bracket and the name of its first member.
FIRST_MEMBER = re.compile(r'\{\s*"(?:[^"\\]|\\.)*+"\s*:', re.DOTALL)
METADATA_MEMBER = re.compile(r',\s*(?="metadata"\s*:)')
# Levels from an item of a list to the fields of its object's metadata: the event, the
# object, its metadata.
METADATA_LEVELS = 3
# Members that are lists of objects.
LIST_MEMBERS = frozenset(("changes", "events", "items", "objects", "vms"))
# Members that contain an object or its name; values of objects are valid or not.
DIVIDED_MEMBERS = frozenset(("metadata", "object"))
# Brackets that are tried as the end of a document's list, from the last.
MAX_LIST_ENDS = 100
# Finds where a value ends. Numbers stay text, as some are too long to convert.
DECODER = json.JSONDecoder(parse_float=str, parse_int=str, parse_constant=str)
DECODE_ERRORS = (ValueError, RecursionError)
# Longer than an item's members up to its name.
PART_LENGTH = 1024
# Longer than a keyword or an escape sequence.
MAX_TOKEN_LENGTH = 16


class Unreadable:
    """Stands for a part of a document that isn't valid JSON."""


UNREADABLE = Unreadable()


@dataclass(frozen=True)
class InvalidArray:
    """The text between the brackets of an array that isn't valid JSON."""

    text: str


class ParsedItems(NamedTuple):
    """The parsed items of a list, and why others can't be parsed."""

    items: tuple
    reasons: tuple[str, ...]
    # Whether text of an unreadable item may have been taken for another item: its end
    # shows only by the next item that can be parsed.
    ambiguous: bool


def load_document(text: bytes) -> object:
    """Return the value of JSON text; of invalid text, what can be read of it.

    Parts that can't be read are UNREADABLE, and a list of objects is an InvalidArray,
    for parse_items(). orjson refuses a whole document for one string that isn't UTF-8,
    one number that is too large, deep nesting, or one object that is cut short.
    """
    try:
        return orjson.loads(text)
    except ValueError:
        decoded = text.decode(errors="surrogateescape")
    members = _load_list(decoded)
    return _load_value(decoded) if members is None else members


def _load_list(text: str) -> dict[str, object] | None:
    """Return the members of an object of which one is a list; None if none is."""
    start = _skip_space(text, 0)
    head, start = _read_members(text, start)
    if start is None:
        return None
    name, start = _read_name(text, start)
    if name not in LIST_MEMBERS or text[start : start + 1] != "[":
        return None
    found = None
    end = len(text)
    for _ in range(MAX_LIST_ENDS):
        end = text.rfind("]", start, end)
        if end < 0:
            break
        tail = _read_tail(text[end + 1 :])
        if tail is None:
            continue
        # The last bracket may be that of a member behind the list.
        if tail or found is None:
            found = {**head, **tail, name: InvalidArray(text[start + 1 : end])}
        if tail:
            break
    return found


def _read_tail(text: str) -> dict[str, object] | None:
    """Return the members that follow in an object's text up to its end."""
    rest = text.strip()
    if rest == "}":
        return {}
    if not rest.startswith(","):
        return None
    try:
        return orjson.loads(_encode("{" + rest[1:]))
    except ValueError:
        return None


def _load_value(text: str, levels: int = METADATA_LEVELS) -> object:
    """Return a value; if it isn't valid, its members down to a number of levels."""
    try:
        return orjson.loads(_encode(text))
    except ValueError:
        if levels == 0:
            return UNREADABLE
    try:
        parts = list(_split_object(text))
    except ValueError:
        return _load_broken_object(text)
    members = {}
    for name_text, part in parts:
        name = _load_value(name_text, 0)
        if isinstance(name, str):
            members[name] = _load_value(
                part, levels - 1 if name in DIVIDED_MEMBERS else 0
            )
    return members


def _load_broken_object(text: str) -> object:
    """Return the leading members of an object and its metadata, without its values.

    Values before the place where the text can't be read may not end where they seem to.
    """
    members = _load_leading_members(text, _skip_space(text, 0))
    if members is UNREADABLE or "object" in members or "metadata" in members:
        return members
    if match := METADATA_MEMBER.search(text):
        members |= _load_leading_members(text, match.start())
    return members


def _load_leading_members(text: str, start: int) -> object:
    """Return an object's members before the one that can't be read."""
    if text[start : start + 1] not in ("{", ","):
        return UNREADABLE
    members, broken_at = _read_members(text, start)
    if broken_at is not None:
        name, value_start = _read_name(text, broken_at)
        if name == "object":
            members[name] = _load_leading_members(text, value_start)
    return {
        name: UNREADABLE
        if isinstance(value, dict | list) and name not in DIVIDED_MEMBERS
        else value
        for name, value in members.items()
    }


def _read_members(text: str, start: int) -> tuple[dict[str, object], int | None]:
    """Return members from a bracket or comma on, and where one can't be read.

    That is None if the object ends first. Lists may not end where they seem to.
    """
    members: dict[str, object] = {}
    while text[start : start + 1] in ("{", ","):
        name_start = _skip_space(text, start + 1)
        name, value_start = _read_name(text, name_start)
        if name is None or name in LIST_MEMBERS:
            return members, name_start
        end = _find_end(text, value_start, ",}")
        if end is None:
            return members, name_start
        levels = METADATA_LEVELS if name in DIVIDED_MEMBERS else 0
        members[name] = _load_value(text[value_start:end], levels)
        start = end
    return members, None if text[start : start + 1] == "}" else start


def _read_name(text: str, start: int) -> tuple[str | None, int]:
    """Return a member's name and where its value begins; None if there is no name."""
    if text[start : start + 1] != '"':
        return None, start
    end = _find_end(text, start, ":")
    if end is None:
        return None, start
    name = _load_value(text[start:end], 0)
    return (name if isinstance(name, str) else None), _skip_space(text, end + 1)


def _find_end(text: str, start: int, following: str) -> int | None:
    """Return the place of the character that follows a value; None if another does."""
    try:
        end = _find_value_end(text, start)
    except DECODE_ERRORS:
        return None
    end = _skip_space(text, end)
    return end if end < len(text) and text[end] in following else None


def _find_value_end(text: str, start: int) -> int:
    """Return the end of a valid value; raise ValueError or RecursionError.

    An error takes time in proportion to the text before it, so long texts are tried in
    parts first.
    """
    if len(text) - start > PART_LENGTH:
        part = text[start : start + PART_LENGTH]
        try:
            _, end = DECODER.raw_decode(part)
        except json.JSONDecodeError as error:
            if error.pos < len(part) - MAX_TOKEN_LENGTH and "string" not in error.msg:
                raise
        else:
            if end < len(part):
                return start + end
    _, end = DECODER.raw_decode(text, start)
    return end


def _skip_space(text: str, start: int) -> int:
    return SPACE.match(text, start).end()


def _encode(text: str) -> bytes:
    return text.encode(errors="surrogateescape")


def _split_object(text: str) -> Iterator[tuple[str, str]]:
    """Yield the texts of the names and values in an object.

    Raise ValueError if its brackets aren't balanced in number.
    """
    if not text.lstrip().startswith("{"):
        raise ValueError("not an object")
    depth = start = 0
    name = ""
    for match in TOKEN.finditer(text):
        token = match[0]
        if token == '"':
            raise ValueError("a string doesn't end")
        if token in ("{", "["):
            depth += 1
            start = match.end() if depth == 1 else start
        elif token in ("}", "]"):
            depth -= 1
            if depth == 0:
                if last := text[start : match.start()].strip():
                    yield name, last
                if text[match.end() :].strip():
                    raise ValueError("text follows the object")
                return
        elif depth == 1 and token == ":":
            name, start = text[start : match.start()].strip(), match.end()
        elif depth == 1 and token == ",":
            yield name, text[start : match.start()].strip()
            name, start = "", match.end()
    raise ValueError("an object doesn't end")


def parse_items(items: object, parse: Callable[[dict], ItemT]) -> ParsedItems:
    """Return the parsed items of a list, and why others can't be parsed."""
    ambiguous = False
    if isinstance(items, InvalidArray):
        items, ambiguous = _split_invalid_array(items.text, parse)
    if not isinstance(items, list):
        raise TypeError("not a list")
    parsed: list[ItemT] = []
    reasons: list[str] = []
    for item in items:
        try:
            parsed.append(parse(item))
        except PARSE_ERRORS as error:
            reasons.append(repr(error))
    return ParsedItems(tuple(parsed), tuple(reasons), ambiguous)


def _split_invalid_array(
    text: str, parse: Callable[[dict], object]
) -> tuple[list[object], bool]:
    """Return what can be read of an array's items, and whether it is ambiguous."""
    items: list[object] = []
    ambiguous = False
    # A sentinel, so that a comma follows each item.
    text = text.rstrip() + ","
    start = _skip_space(text, 0)
    # The objects of a list begin with the same member.
    first = FIRST_MEMBER.match(text, start)
    opening = re.escape(first[0]) if first else r"\{"
    next_item = re.compile(rf",\s*(?={opening})")
    while start < len(text):
        end = _find_end(text, start, ",")
        if end is None:
            end = _find_next_item(text, start, next_item, parse)
            # The item's own brackets show the same end.
            ambiguous |= not _is_balanced(text[start:end])
        items.append(_load_value(text[start:end]))
        start = _skip_space(text, end + 1)
    return items, ambiguous


def _find_next_item(
    text: str, start: int, next_item: re.Pattern, parse: Callable[[dict], object]
) -> int:
    """Return the place before the next item that can be parsed, else the text's end."""
    for match in next_item.finditer(text, start):
        try:
            part = text[match.end() : match.end() + PART_LENGTH]
            parse(_load_leading_members(part, 0))
        except PARSE_ERRORS:
            continue
        return match.start()
    return len(text) - 1


def _is_balanced(text: str) -> bool:
    """Return whether a text is one object or array with as many brackets closed."""
    depth = 0
    for match in TOKEN.finditer(text):
        token = match[0]
        if token == '"':
            return False
        depth += (token in ("{", "[")) - (token in ("}", "]"))
        if depth <= 0 and token not in (",", ":"):
            return depth == 0 and not text[match.end() :].strip()
    return False


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
