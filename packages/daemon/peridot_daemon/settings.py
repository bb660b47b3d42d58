"""Settings of the daemon: JSON with comments, checked field by field."""

import re
from collections.abc import Mapping
from dataclasses import MISSING, Field, dataclass, field, fields
from pathlib import Path

import pyjson5

ADDRESS = re.compile(r"^(\d{1,3}(\.\d{1,3}){3}):(\d{1,5})$")
NAME = re.compile(r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")
URL = re.compile(r"^https?://\S+$")
LOG_LEVELS = ("debug", "info", "notice", "warning", "error")


class InvalidSettings(Exception):
    """Report settings that the daemon can't start with."""


def _setting(help_text: str, pattern: re.Pattern | None = None, **options) -> Field:
    bounds = {name: options.pop(name) for name in ("low", "high") if name in options}
    choices = options.pop("choices", None)
    metadata = {"help": help_text, "pattern": pattern, "choices": choices, **bounds}
    return field(metadata=metadata, **options)


@dataclass(frozen=True)
class Settings:
    """Hold what one daemon is told about itself and its surroundings."""

    vm: str = _setting("Name of this daemon among its peers.", NAME)
    data_centre: str = _setting("Name of the data centre it runs in.", NAME)
    caller_listener: str = _setting("IP and port for callers.", ADDRESS)
    peer_listener: str = _setting("IP and port for other daemons.", ADDRESS)
    admin_listener: str = _setting("IP and port for metrics and health.", ADDRESS)
    object_api: str = _setting("URL of the platform's object API.", URL)
    vm_list: str = _setting("URL of the platform's VM list.", URL)
    peers: tuple[str, ...] = _setting(
        "Peer addresses to start from while the VM list is away.", ADDRESS, default=()
    )
    log_level: str = _setting(
        "Lowest level logged.", default="info", choices=LOG_LEVELS
    )
    log_sample: float = _setting(
        "Share of routing decisions logged; placement is always logged.",
        default=1.0,
        low=0.0,
        high=1.0,
    )
    max_body_bytes: int = _setting(
        "Largest request body that is read at all.",
        default=8_000_000,
        low=1_000,
        high=64_000_000,
    )
    max_caller_requests: int = _setting(
        "Requests in flight from one caller address.",
        default=1_000,
        low=1,
        high=1_000_000,
    )
    stop_timeout_s: float = _setting(
        "Longest wait for requests in flight when stopping.",
        default=15.0,
        low=0.0,
        high=600.0,
    )
    peer_tls_certificate: str = _setting("PEM file shown to peers.", default="")
    peer_tls_key: str = _setting("PEM file of its private key.", default="")
    peer_tls_authority: str = _setting("PEM file that peers must chain to.", default="")
    insecure_peers: bool = _setting(
        "Talk to peers without TLS; must be set if no certificate is.", default=False
    )


def load_settings(path: Path, overrides: Mapping[str, object]) -> Settings:
    """Return checked settings from a file, flags first; raise InvalidSettings."""
    try:
        values = pyjson5.decode(path.read_text())
    except OSError as error:
        raise InvalidSettings(f"{path}: {error.strerror}") from error
    except pyjson5.Json5Exception as error:
        raise InvalidSettings(f"{path}: {error}") from error
    if not isinstance(values, dict):
        raise InvalidSettings(f"{path}: must hold one object")
    return check_settings({**values, **overrides}, str(path))


def check_settings(values: Mapping[str, object], source: str) -> Settings:
    """Return settings if every value is of its type and in its bounds."""
    known = {item.name: item for item in fields(Settings)}
    errors = [f"unknown setting {name}" for name in values if name not in known]
    checked = {}
    for name, item in known.items():
        if name in values:
            problem, value = _check(item, values[name])
            checked[name] = value
            if problem:
                errors.append(f"{name}: {problem}")
        elif item.default is MISSING:
            errors.append(f"{name}: is missing")
    if not errors:
        settings = Settings(**checked)
        errors = _check_together(settings)
    if errors:
        raise InvalidSettings("; ".join(f"{source}: {error}" for error in errors))
    return settings


def describe_settings() -> str:
    """Return the settings reference as a Markdown table."""
    lines = ["| setting | default | meaning |", "|---|---|---|"]
    for item in fields(Settings):
        default = "required" if item.default is MISSING else repr(item.default)
        lines.append(f"| `{item.name}` | {default} | {item.metadata['help']} |")
    return "\n".join(lines)


def _check(item: Field, value: object) -> tuple[str, object]:
    """Return a problem, empty if there is none, and the value to use."""
    if item.type == tuple[str, ...]:
        if not isinstance(value, list):
            return "must be a list", value
        problems = [_check_text(item, part) for part in value]
        return next((p for p in problems if p), ""), tuple(value)
    if item.type is float and type(value) is int:
        value = float(value)
    if type(value) is not item.type:
        return f"must be of type {item.type.__name__}", value
    if item.type is str:
        return _check_text(item, value), value
    low, high = item.metadata.get("low"), item.metadata.get("high")
    if low is not None and not low <= value <= high:
        return f"must be from {low} to {high}", value
    return "", value


def _check_text(item: Field, value: object) -> str:
    if not isinstance(value, str):
        return "must be text"
    pattern, choices = item.metadata["pattern"], item.metadata["choices"]
    if pattern is not None and not pattern.match(value):
        return f"{value!r} has the wrong form"
    if choices is not None and value not in choices:
        return f"must be one of {', '.join(choices)}"
    return ""


def _check_together(settings: Settings) -> list[str]:
    tls = (
        settings.peer_tls_certificate,
        settings.peer_tls_key,
        settings.peer_tls_authority,
    )
    if settings.insecure_peers:
        return ["insecure_peers: excludes the peer_tls settings"] if any(tls) else []
    if not all(tls):
        return ["set all of peer_tls_*, or insecure_peers"]
    return []


def split_address(address: str) -> tuple[str, int]:
    """Return the IP and port of an address."""
    host, port = address.rsplit(":", 1)
    return host, int(port)
