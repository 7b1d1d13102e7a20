"""Fixtures of the HTTP tests: raw sockets on loopback."""

import socket

import pytest
import trio

from buckthornwall.http1 import HttpServer, ServerLimits
from buckthornwall.utils import TrioClock

LIMITS = ServerLimits(2048, 4096, 0.5, 0.5)


class RawCaller:
    """A caller that sends bytes and reads bytes."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream

    async def send(self, data: bytes) -> None:
        await self.stream.send_all(data)

    async def read_until(self, mark: bytes) -> bytes:
        """Return what comes up to `mark`, or up to the end of the connection."""
        data = b""
        with trio.fail_after(3):
            while mark not in data:
                part = await self.stream.receive_some()
                if not part:
                    break
                data += part
        return data

    async def read_all(self) -> bytes:
        data = b""
        with trio.fail_after(3):
            while part := await self.stream.receive_some():
                data += part
        return data


@pytest.fixture
async def serve(nursery):
    """Return a function that starts a server and connects callers to it."""

    async def serve(handler):
        sock = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        sock.close()
        server = HttpServer(TrioClock(), lambda: LIMITS, handler)
        await nursery.start(server.run, address)

        async def call() -> RawCaller:
            host, _, port = address.rpartition(":")
            return RawCaller(await trio.open_tcp_stream(host, int(port)))

        return server, call

    return serve
