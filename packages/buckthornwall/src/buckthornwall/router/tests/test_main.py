"""Tests of changes of the settings file and of early signals."""

import os
import signal

import pytest

from buckthornwall.node import main as daemon
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


async def test_seeds_and_grace_are_reloaded_while_running(path):
    router = Router.from_config(RouterSettings.from_file(path))
    path.write_text(TEXT.replace("127.0.0.2:9", "127.0.0.3:9") + "[stop]\ngrace_s=5\n")
    reload_settings(router, path, "signal")
    assert router.peer_agent.settings.seeds == ["127.0.0.3:9"]
    assert router.settings.stop.grace_s == 5


@pytest.mark.parametrize("text", ["", "[node", TEXT + "[unknown]\n"])
async def test_invalid_file_changes_nothing(path, text):
    router = Router.from_config(RouterSettings.from_file(path))
    path.write_text(text)
    reload_settings(router, path, "file")
    assert router.peer_agent.settings.seeds == ["127.0.0.2:9"]


@pytest.fixture
def handlers():
    """Restore the signal handlers of the process after a test."""
    before = {number: signal.getsignal(number) for number in daemon.STOP_SIGNALS}
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


def test_stop_signal_before_the_start_exits_with_status_0(handlers, monkeypatch, path):
    """Without a handler the signal ends the process with status -15."""

    def run(settings_path, early):
        os.kill(os.getpid(), signal.SIGTERM)

    monkeypatch.setattr(daemon, "_run_platform", run)
    with pytest.raises(SystemExit) as ended:
        daemon.main(["--interface", "platform", "--settings", str(path)])
    assert ended.value.code == 0
