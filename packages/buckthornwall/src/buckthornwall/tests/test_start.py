"""Tests of the listener that is opened before an instance is imported."""

import socket
import subprocess
import sys

import pytest
import trio

from buckthornwall.http1 import HttpServer, ServerLimits
from buckthornwall.start import EarlyListeners, open_listeners
from buckthornwall.utils import TrioClock


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@pytest.fixture
def early():
    early = EarlyListeners()
    yield early
    for sock in early.sockets.values():
        sock.close()


async def test_client_that_connects_during_the_import_is_served_after_it(
    early, nursery
):
    """A client whose connection is refused gives up after its second attempt."""
    address = free_address()
    early.open(address)
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=2) as client:
        client.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")

        async def handle(request, response):
            await response.send_complete(200, [], b"served")

        limits = ServerLimits(8192, 0, 3.0, 30.0)
        server = HttpServer(TrioClock(), lambda: limits, handle)
        await nursery.start(server.run, address, early.sockets.pop(address))
        received = await trio.to_thread.run_sync(client.recv, 4096)
    assert received.endswith(b"served")


def test_listener_is_opened_at_the_address_in_the_settings(tmp_path):
    address = free_address()
    path = tmp_path / "settings.ini"
    path.write_text(f"[edge]\nlisten = {address}\n")
    early = open_listeners(["--interface", "platform", "--settings", str(path)])
    assert list(early.sockets) == [address]
    assert early.failure == ""
    early.sockets[address].close()


@pytest.mark.parametrize(
    "text", ["[edge", "[edge]\nlisten = nowhere\n", "[edge]\nlisten = 127.0.0.1:99999"]
)
def test_unreadable_settings_or_address_is_recorded_and_not_raised(tmp_path, text):
    path = tmp_path / "settings.ini"
    path.write_text(text)
    early = open_listeners(["--settings", str(path)])
    assert early.sockets == {}
    assert early.failure


@pytest.mark.parametrize("arguments", [[], ["--settings"], ["--version"]])
def test_no_listener_is_opened_without_settings_file(arguments):
    early = open_listeners(arguments)
    assert (early.sockets, early.failure) == ({}, "")


def test_start_module_does_not_import_trio():
    code = "import sys, buckthornwall.start; print('trio' in sys.modules)"
    process = subprocess.run([sys.executable, "-c", code], capture_output=True)
    assert process.stdout.strip() == b"False"


def test_reload_signal_during_the_import_ended_the_process():
    """The settings files of instances change while some of them start."""
    code = """
import os, signal, sys, types
node, main = types.ModuleType("buckthornwall.node"), types.ModuleType("main")
main.main = lambda early: os.kill(os.getpid(), signal.SIGHUP) or 0
sys.modules["buckthornwall.node"] = node
sys.modules["buckthornwall.node.main"] = main
from buckthornwall.start import main
sys.exit(main())
"""
    assert subprocess.run([sys.executable, "-c", code], timeout=30).returncode == 0
