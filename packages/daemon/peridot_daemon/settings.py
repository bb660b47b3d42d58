"""Settings of peridotd: JSON with comments, checked field by field."""

import re
from collections.abc import Mapping
from dataclasses import MISSING, Field, dataclass, field, fields
from pathlib import Path

import pyjson5

ADDRESS_PATTERN = re.compile(r"^(\d{1,3}(\.\d{1,3}){3}):(\d{1,5})$")
NAME_PATTERN = re.compile(r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")
URL_PATTERN = re.compile(r"^https?://\S+$")
LOG_LEVELS = ("debug", "info", "notice", "warning", "error")


class InvalidSettings(Exception):
    """Raised for settings that the daemon can't start with."""


def _setting(help_text: str, pattern: re.Pattern | None = None, **options) -> Field:
    bounds = {name: options.pop(name) for name in ("low", "high") if name in options}
    choices = options.pop("choices", None)
    metadata = {"help": help_text, "pattern": pattern, "choices": choices, **bounds}
    return field(metadata=metadata, **options)


@dataclass(frozen=True)
class Settings:
    """Settings of one daemon."""

    vm: str = _setting("Name of this VM.", NAME_PATTERN)
    data_centre: str = _setting(
        "Name of the data centre that this VM runs in.", NAME_PATTERN
    )
    caller_listener: str = _setting("IP and port for callers.", ADDRESS_PATTERN)
    peer_listener: str = _setting("IP and port for other daemons.", ADDRESS_PATTERN)
    admin_listener: str = _setting(
        "IP and port for metrics and health.", ADDRESS_PATTERN
    )
    object_api: str = _setting("URL of the platform's object API.", URL_PATTERN)
    vm_list: str = _setting("URL of the platform's VM list.", URL_PATTERN)
    peers: tuple[str, ...] = _setting(
        "Peer addresses to try if no reader VM responds.",
        ADDRESS_PATTERN,
        default=(),
    )
    log_level: str = _setting(
        "Lowest level that is logged.", default="info", choices=LOG_LEVELS
    )
    log_sample: float = _setting(
        "Fraction of routing decisions that are logged; other events always are.",
        default=1.0,
        low=0.0,
        high=1.0,
    )
    max_body_bytes: int = _setting(
        "Largest request body (bytes); a policy may set a lower limit.",
        default=8_000_000,
        low=1_000,
        high=64_000_000,
    )
    max_caller_requests: int = _setting(
        "Limit on requests in flight from one caller address.",
        default=1_000,
        low=1,
        high=1_000_000,
    )
    stop_timeout_s: float = _setting(
        "Longest wait for requests in flight when stopping (s).",
        default=15.0,
        low=0.0,
        high=600.0,
    )
    peer_tls_certificate: str = _setting(
        "PEM file of the certificate presented to peers.", default=""
    )
    peer_tls_key: str = _setting(
        "PEM file of the certificate's private key.", default=""
    )
    peer_tls_authority: str = _setting(
        "PEM file of the authority that issues peers' certificates.", default=""
    )
    insecure_peers: bool = _setting(
        "Connect to peers without TLS; required if no certificate is set.",
        default=False,
    )


def load_settings(path: Path, overrides: Mapping[str, object]) -> Settings:
    """Return the settings of a file with overrides applied; raise InvalidSettings."""
    try:
        values = pyjson5.decode(path.read_text())
    except OSError as error:
        raise InvalidSettings(f"{path}: {error.strerror}") from error
    except pyjson5.Json5Exception as error:
        raise InvalidSettings(f"{path}: {error}") from error
    if not isinstance(values, dict):
        raise InvalidSettings(f"{path}: must contain a JSON object")
    return check_settings({**values, **overrides}, str(path))


def check_settings(values: Mapping[str, object], source: str) -> Settings:
    """Return settings with valid values; raise InvalidSettings with all errors."""
    known_settings = {setting.name: setting for setting in fields(Settings)}
    errors = [
        f"unknown setting {name}" for name in values if name not in known_settings
    ]
    checked = {}
    for name, setting in known_settings.items():
        if name in values:
            problem, value = _check(setting, values[name])
            checked[name] = value
            if problem:
                errors.append(f"{name}: {problem}")
        elif setting.default is MISSING:
            errors.append(f"{name}: is missing")
    if not errors:
        settings = Settings(**checked)
        errors = _check_tls_settings(settings)
    if errors:
        raise InvalidSettings("; ".join(f"{source}: {error}" for error in errors))
    return settings


def describe_settings() -> str:
    """Return the settings reference as a Markdown table."""
    lines = ["| setting | default | meaning |", "|---|---|---|"]
    for setting in fields(Settings):
        default = "required" if setting.default is MISSING else repr(setting.default)
        lines.append(f"| `{setting.name}` | {default} | {setting.metadata['help']} |")
    return "\n".join(lines)


def _check(setting: Field, value: object) -> tuple[str, object]:
    """Return an error, empty if there is none, and the converted value."""
    if setting.type == tuple[str, ...]:
        if not isinstance(value, list):
            return "must be a list", value
        problems = [_check_text(setting, part) for part in value]
        return next((p for p in problems if p), ""), tuple(value)
    if setting.type is float and type(value) is int:
        value = float(value)
    if type(value) is not setting.type:
        return f"must be of type {setting.type.__name__}", value
    if setting.type is str:
        return _check_text(setting, value), value
    low, high = setting.metadata.get("low"), setting.metadata.get("high")
    if low is not None and not low <= value <= high:
        return f"must be from {low} to {high}", value
    return "", value


def _check_text(setting: Field, value: object) -> str:
    if not isinstance(value, str):
        return "must be a string"
    pattern, choices = setting.metadata["pattern"], setting.metadata["choices"]
    if pattern is not None and not pattern.match(value):
        return f"{value!r} has the wrong form"
    if choices is not None and value not in choices:
        return f"must be one of {', '.join(choices)}"
    return ""


def _check_tls_settings(settings: Settings) -> list[str]:
    tls = (
        settings.peer_tls_certificate,
        settings.peer_tls_key,
        settings.peer_tls_authority,
    )
    if settings.insecure_peers:
        return ["insecure_peers: can't be combined with peer_tls_*"] if any(tls) else []
    if not all(tls):
        return ["set all of peer_tls_*, or insecure_peers"]
    return []


def split_address(address: str) -> tuple[str, int]:
    """Return the IP and port of an address."""
    host, port = address.rsplit(":", 1)
    return host, int(port)
