"""Find the line numbers of fields in JSON5, for error messages."""

import re
from collections.abc import Iterator

TOKEN = re.compile(
    r"""
    (?P<comment>//[^\n]*|/\*.*?\*/)
  | (?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
  | (?P<punctuation>[{}\[\]:,])
  | (?P<word>[^\s{}\[\]:,"'/]+)
    """,
    re.VERBOSE | re.DOTALL,
)

Path = tuple[str | int, ...]


def find_lines(text: str) -> dict[Path, int]:
    """Map the path of each value to its line, counted from 1."""
    lines: dict[Path, int] = {}
    tokens = _iterate_tokens(text)
    first = next(tokens, None)
    if first is not None:
        _read_value(tokens, first, (), lines)
    return lines


def nearest_line(lines: dict[Path, int], path: Path) -> int:
    """Return the line of a path or of its closest ancestor that has one."""
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)


def _iterate_tokens(text: str) -> Iterator[tuple[str, int]]:
    line = 1
    end = 0
    for match in TOKEN.finditer(text):
        line += text.count("\n", end, match.start())
        end = match.start()
        if match.lastgroup != "comment":
            yield match.group(), line


def _read_value(
    tokens: Iterator[tuple[str, int]],
    token: tuple[str, int],
    path: Path,
    lines: dict[Path, int],
) -> None:
    text, line = token
    lines.setdefault(path, line)
    if text == "{":
        _read_object(tokens, path, lines)
    elif text == "[":
        _read_array(tokens, path, lines)


def _read_object(
    tokens: Iterator[tuple[str, int]], path: Path, lines: dict[Path, int]
) -> None:
    for text, line in tokens:
        if text == "}":
            return
        if text == ",":
            continue
        field = (*path, text.strip("\"'"))
        lines[field] = line
        next(tokens, None)
        value = next(tokens, None)
        if value is None:
            return
        _read_value(tokens, value, field, lines)


def _read_array(
    tokens: Iterator[tuple[str, int]], path: Path, lines: dict[Path, int]
) -> None:
    index = 0
    for token in tokens:
        if token[0] == "]":
            return
        if token[0] == ",":
            continue
        _read_value(tokens, token, (*path, index), lines)
        index += 1
