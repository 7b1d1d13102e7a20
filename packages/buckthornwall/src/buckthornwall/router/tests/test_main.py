"""Tests of what happens when the settings file changes."""

import pytest

from buckthornwall.router.core import Router
from buckthornwall.router.main import reload_settings
from buckthornwall.settings import RouterSettings

TEXT = """
[node]
id = n1
zone = z
[edge]
listen = 127.0.0.1:1
ready = 127.0.0.1:2
metrics = 127.0.0.1:3
[store]
address = 127.0.0.1:4
[peers]
listen = 127.0.0.1:5
seeds = 127.0.0.2:9
"""


@pytest.fixture
def path(tmp_path):
    path = tmp_path / "settings.ini"
    path.write_text(TEXT)
    return path


async def test_seeds_and_grace_are_taken_while_running(path):
    router = Router.from_config(RouterSettings.from_file(path))
    path.write_text(TEXT.replace("127.0.0.2:9", "127.0.0.3:9") + "[stop]\ngrace_s=5\n")
    reload_settings(router, path, "signal")
    assert router.peer_agent.settings.seeds == ["127.0.0.3:9"]
    assert router.settings.stop.grace_s == 5


@pytest.mark.parametrize("text", ["", "[node", TEXT + "[unknown]\n"])
async def test_a_bad_file_changes_nothing(path, text):
    router = Router.from_config(RouterSettings.from_file(path))
    path.write_text(text)
    reload_settings(router, path, "file")
    assert router.peer_agent.settings.seeds == ["127.0.0.2:9"]
