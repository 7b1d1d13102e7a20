"""Tests of the settings file."""

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornwall.codes import ResultCode, SettingsError
from buckthornwall.settings import Settings
from buckthornwall.settings.core import render_table

GOOD = """
[node]
id = centro-1
zone = centro
[gateway]
listen = 127.0.0.1:8080
[operators]
listen = 127.0.0.1:8081
[platform]
address = 127.0.0.1:8070
[links]
listen = 127.0.0.1:8082
peer_secret = s
seeds = centro-2=127.0.0.2:8082
"""


PAGE = Path(__file__).parents[6] / "docs" / "settings.md"


def test_docs_page_matches_the_declared_settings():
    assert PAGE.read_text(encoding="utf-8") == render_table()


def test_missing_settings_get_their_defaults():
    settings = Settings.from_config(GOOD)
    assert settings.membership.heartbeat_s == 0.5
    assert settings.links.seeds == ["centro-2=127.0.0.2:8082"]


@pytest.mark.parametrize(
    ("old", "new", "code", "where"),
    [
        ("zone = centro", "zona = centro", ResultCode.SETTING_UNKNOWN, "[node] zona"),
        ("zone = centro", "", ResultCode.SETTING_MISSING, "[node] zone"),
        ("[platform]", "[plattform]", ResultCode.SETTING_UNKNOWN, "[plattform]"),
        ("127.0.0.1:8081", "localhost:1", ResultCode.SETTING_INVALID, "[operators]"),
        ("id = centro-1", "id = a b", ResultCode.SETTING_INVALID, "[node] id"),
        (
            "[links]",
            "[telemetry]\ntrace_ratio = 2\n[links]",
            ResultCode.SETTING_INVALID,
            "[telemetry] trace_ratio",
        ),
        (
            "[links]",
            "[membership]\nsuspect_after_s = 0.6\n[links]",
            ResultCode.SETTING_INVALID,
            "[membership] suspect_after_s",
        ),
        (
            "peer_secret = s",
            "peer_secret = s\ntls_key = k",
            ResultCode.SETTING_MISSING,
            "[links] tls_certificate",
        ),
        ("[node]", "[node", ResultCode.SETTINGS_UNREADABLE, "settings"),
    ],
)
def test_invalid_setting_error_names_section_and_key(old, new, code, where):
    with pytest.raises(SettingsError) as caught:
        Settings.from_config(GOOD.replace(old, new), "settings")
    assert caught.value.code is code
    assert where in caught.value.detail


@given(st.text(max_size=300))
def test_arbitrary_text_raises_settings_error(text):
    with pytest.raises(SettingsError):
        Settings.from_config(text)
