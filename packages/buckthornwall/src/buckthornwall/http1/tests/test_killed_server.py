"""Guards against a cut response that looks complete where its server was killed."""

import socket
import subprocess
import sys

import pytest

BEGIN_AND_WAIT = """
import socket
import trio
from buckthornwall.http1 import HttpServer, ServerLimits
from buckthornwall.utils import TrioClock

async def begin(request, response):
    await response.begin(200, [], b"part")
    await trio.sleep_forever()

listener = socket.create_server(("127.0.0.1", 0))
listener.setblocking(False)
print(listener.getsockname()[1], flush=True)
limits = ServerLimits(1000, 1000, 1.0, 1.0)
trio.run(HttpServer(TrioClock(), lambda: limits, begin).run, "", listener)
"""


def test_response_without_chunks_of_killed_server_is_reset():
    command = [sys.executable, "-c", BEGIN_AND_WAIT]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as server:
        try:
            port = int(server.stdout.readline())
            client = socket.create_connection(("127.0.0.1", port), timeout=5.0)
            client.sendall(b"GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
            data = b""
            while not data.endswith(b"part"):
                data += client.recv(1000)
        finally:
            server.kill()
    with client, pytest.raises(ConnectionResetError):
        client.recv(1000)
