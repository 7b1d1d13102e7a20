"""Tests of the listener that is open before an instance is imported."""

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


async def test_a_caller_that_connects_before_the_start_is_served_after_it(
    early, nursery
):
    """Refused a connection, it asked once more and gave up."""
    address = free_address()
    early.open(address)
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=2) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")

        async def handle(request, answer):
            await answer.send_complete(200, [], b"served")

        limits = ServerLimits(8192, 0, 3.0, 30.0)
        server = HttpServer(TrioClock(), lambda: limits, handle)
        await nursery.start(server.run, address, early.sockets.pop(address))
        reply = await trio.to_thread.run_sync(caller.recv, 4096)
    assert reply.endswith(b"served")


def test_the_listener_is_the_one_that_the_settings_name(tmp_path):
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
def test_what_cannot_be_opened_is_left_to_the_check_of_the_settings(tmp_path, text):
    path = tmp_path / "settings.ini"
    path.write_text(text)
    early = open_listeners(["--settings", str(path)])
    assert early.sockets == {}
    assert early.failure


@pytest.mark.parametrize("arguments", [[], ["--settings"], ["--version"]])
def test_without_a_settings_file_nothing_is_opened(arguments):
    early = open_listeners(arguments)
    assert (early.sockets, early.failure) == ({}, "")


def test_little_is_imported_before_the_listener_is_open():
    code = "import sys, buckthornwall.start; print('trio' in sys.modules)"
    ended = subprocess.run([sys.executable, "-c", code], capture_output=True)
    assert ended.stdout.strip() == b"False"
