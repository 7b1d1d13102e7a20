"""Fixtures of the HTTP tests: raw sockets on loopback."""

import socket

import pytest
import trio

from buckthornwall.http1 import HttpServer, ServerLimits
from buckthornwall.utils import TrioClock

LIMITS = ServerLimits(2048, 4096, 0.5, 0.5)


class RawClient:
    """A client that sends and reads raw bytes."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream

    async def send(self, data: bytes) -> None:
        await self.stream.send_all(data)

    async def read_until(self, marker: bytes) -> bytes:
        """Return what arrives until `marker` is in it or the connection ends."""
        data = b""
        with trio.fail_after(3):
            while marker not in data:
                received = await self.stream.receive_some()
                if not received:
                    break
                data += received
        return data

    async def read_all(self) -> bytes:
        data = b""
        with trio.fail_after(3):
            while received := await self.stream.receive_some():
                data += received
        return data


@pytest.fixture
async def serve(nursery):
    """Return a function that starts a server and gives a function to connect to it."""

    async def serve(handler):
        sock = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        sock.close()
        server = HttpServer(TrioClock(), lambda: LIMITS, handler)
        await nursery.start(server.run, address)

        async def connect() -> RawClient:
            host, _, port = address.rpartition(":")
            return RawClient(await trio.open_tcp_stream(host, int(port)))

        return server, connect

    return serve
