"""Read manifests in JSON5 and validate them, alone and as a set."""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path as FilePath

import pyjson5
from pydantic import ValidationError

from peridot_resources.errors import InvalidManifests, ManifestError
from peridot_resources.models import (
    MANIFEST_MODELS,
    Manifest,
    ServiceManifest,
    TargetManifest,
)
from peridot_resources.positions import Path, find_lines, nearest_line

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True)
class Declaration:
    """A valid manifest, its file, its path there and the lines of the file's fields."""

    manifest: Manifest
    file: str
    path: Path
    lines: dict[Path, int]

    @property
    def identity(self) -> tuple[str, str]:
        """Return the kind and name."""
        return self.manifest.kind, self.manifest.name

    def line_of(self, field: Path) -> int:
        """Return the line of a field, 1 if the lines aren't known."""
        return nearest_line(self.lines, (*self.path, *field))


def read_manifests(files: Iterable[FilePath]) -> list[Manifest]:
    """Return the validated manifests of all files.

    Raises InvalidManifests with the errors of all files if there are any.
    """
    declarations, errors = read_declarations(files)
    manifests = [declaration.manifest for declaration in declarations]
    errors.extend(check_duplicates(manifests))
    if errors:
        raise InvalidManifests(errors)
    return manifests


def read_declarations(
    files: Iterable[FilePath],
) -> tuple[list[Declaration], list[ManifestError]]:
    """Return the valid declarations of all files and the errors of the others."""
    declarations: list[Declaration] = []
    errors: list[ManifestError] = []
    for file in files:
        try:
            text = file.read_text()
        except (OSError, UnicodeDecodeError) as error:
            errors.append(ManifestError(str(file), 1, "file", str(error)))
            continue
        parsed, parse_errors = parse_declarations(text, str(file))
        declarations.extend(parsed)
        errors.extend(parse_errors)
    return declarations, errors


def parse_manifests(text: str, file: str) -> tuple[list[Manifest], list[ManifestError]]:
    """Return the valid manifests of a text and the errors of the others."""
    declarations, errors = parse_declarations(text, file)
    return [declaration.manifest for declaration in declarations], errors


def parse_declarations(
    text: str, file: str
) -> tuple[list[Declaration], list[ManifestError]]:
    """Return the valid declarations of a text and the errors of the others."""
    try:
        document = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        line = _line_of_syntax_error(text, str(error))
        return [], [ManifestError(file, line, "syntax", str(error))]
    lines = find_lines(text)
    if isinstance(document, list):
        items = [((index,), item) for index, item in enumerate(document)]
    else:
        items = [((), document)]
    declarations: list[Declaration] = []
    errors: list[ManifestError] = []
    for path, item in items:
        parsed = parse_manifest(item, file, path, lines)
        if isinstance(parsed, list):
            errors.extend(parsed)
        else:
            declarations.append(Declaration(parsed, file, path, lines))
    return declarations, errors


def check_duplicates(manifests: Iterable[Manifest]) -> list[ManifestError]:
    """Return an error for each repeated declaration of a kind and name."""
    declared: set[tuple[str, str]] = set()
    errors = []
    for manifest in manifests:
        identity = (manifest.kind, manifest.name)
        if identity in declared:
            where = f"{manifest.kind}/{manifest.name}"
            errors.append(ManifestError("-", 1, where, "is declared twice"))
        declared.add(identity)
    return errors


def check_references(
    manifests: Iterable[Manifest], exists: Callable[[str, str], bool]
) -> list[ManifestError]:
    """Return an error for each reference to an undeclared object that isn't stored."""
    manifests = list(manifests)
    declared = {(manifest.kind, manifest.name) for manifest in manifests}
    errors = []
    for manifest in manifests:
        for field, kind, name in list_references(manifest):
            if (kind, name) in declared or exists(kind, name):
                continue
            where = f"{manifest.kind}/{manifest.name} {field}"
            errors.append(ManifestError("-", 1, where, f"no {kind} named {name}"))
    return errors


def list_references(manifest: Manifest) -> list[tuple[str, str, str]]:
    """Return the field, kind and name of each reference to another resource."""
    if isinstance(manifest, ServiceManifest):
        return [("spec.policy", "RoutingPolicy", manifest.spec.policy)]
    if isinstance(manifest, TargetManifest):
        return [("spec.service", "Service", manifest.spec.service)]
    return []


def parse_manifest(
    item: object, file: str, path: Path, lines: dict[Path, int]
) -> Manifest | list[ManifestError]:
    """Return the manifest at a path of a file, or its errors."""
    line = nearest_line(lines, path)
    if not isinstance(item, dict):
        return [ManifestError(file, line, "-", "a manifest must be a JSON object")]
    model = MANIFEST_MODELS.get(item.get("kind"))
    if model is None:
        line = nearest_line(lines, (*path, "kind"))
        kinds = ", ".join(MANIFEST_MODELS)
        return [ManifestError(file, line, "kind", f"must be one of {kinds}")]
    try:
        return model.model_validate(item)
    except ValidationError as error:
        return [
            ManifestError(
                file,
                nearest_line(lines, (*path, *detail["loc"])),
                ".".join(str(part) for part in detail["loc"]) or "-",
                detail["msg"],
            )
            for detail in error.errors()
        ]


def _line_of_syntax_error(text: str, message: str) -> int:
    position = re.search(r"near (\d+)", message)
    if position is None:
        return 1
    return text.count("\n", 0, int(position.group(1))) + 1
