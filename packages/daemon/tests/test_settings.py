"""Test the settings file of peridotd and its errors."""

from pathlib import Path

import pytest

from peridot_daemon.settings import (
    InvalidSettings,
    check_settings,
    describe_settings,
    load_settings,
)

EXAMPLE = Path(__file__).parents[3] / "examples" / "peridotd.jsonc"


def test_example_is_valid_and_flags_override_it():
    settings = load_settings(EXAMPLE, {"vm": "other"})
    assert settings.vm == "other"
    assert settings.log_sample == 1.0


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"vm": "Bad Name"}, "vm: 'Bad Name' has the wrong form"),
        ({"peer_listener": "host:1"}, "peer_listener"),
        ({"log_sample": 2.0}, "log_sample: must be from 0.0 to 1.0"),
        ({"log_level": "loud"}, "log_level: must be one of"),
        ({"max_body_bytes": "1"}, "max_body_bytes: must be of type int"),
        ({"colour": 1}, "unknown setting colour"),
        ({"peers": "127.0.0.1:1"}, "peers: must be a list"),
        ({"insecure_peers": False}, "set all of peer_tls_"),
    ],
)
def test_error_names_the_invalid_setting(change, message):
    with pytest.raises(InvalidSettings, match=message):
        load_settings(EXAMPLE, change)


def test_error_names_all_missing_settings():
    with pytest.raises(InvalidSettings) as caught:
        check_settings({}, "file")
    for name in ("vm", "data_centre", "object_api"):
        assert f"{name}: is missing" in str(caught.value)


def test_missing_or_malformed_file_is_rejected(tmp_path):
    with pytest.raises(InvalidSettings, match="No such file"):
        load_settings(tmp_path / "absent", {})
    broken = tmp_path / "broken"
    broken.write_text("{")
    with pytest.raises(InvalidSettings):
        load_settings(broken, {})


def test_settings_reference_is_current():
    page = EXAMPLE.parents[1] / "docs" / "operators" / "settings.md"
    assert page.read_text() == f"# Settings\n\n{describe_settings()}\n"
