"""Tests of bytes that clients send ahead of a response."""

import pytest
import trio

from buckthornwall.capacity import CONNECTION_BYTES, REQUEST_BYTES, MemoryBudget

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
REQUEST = HEAD + b"Content-Length: 2000\r\n\r\n" + b"x" * 2000
AHEAD_BYTES = 200_000
# Room for one request with what is read ahead of it, but not for what stays unread.
LIMIT = (CONNECTION_BYTES + REQUEST_BYTES + 40_000) / 0.75


class Handler:
    """Answers once it is released, and notes who was cancelled."""

    def __init__(self):
        self.release = trio.Event()
        self.cancelled = trio.Event()

    async def __call__(self, request, response):
        try:
            await self.release.wait()
        except trio.Cancelled:
            self.cancelled.set()
            raise
        await response.send_complete(200, [], b"answered")


@pytest.fixture
def handler():
    return Handler()


async def test_requests_sent_ahead_are_answered_in_order(serve, handler):
    _, connect = await serve(handler)
    client = await connect()
    handler.release.set()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(client.send, REQUEST * 40)
        data = b""
        while data.count(b"answered") < 40:
            data += await client.read_until(b"answered")


@pytest.mark.parametrize("disconnects", [True, False])
async def test_bytes_sent_ahead_stayed_unread_without_bound(
    serve, handler, nursery, disconnects
):
    """Without room for them they are dropped, and the client is still watched."""
    server, connect = await serve(handler)
    server.memory = MemoryBudget(LIMIT, server.clock)
    client = await connect()
    with trio.fail_after(3):
        await client.send(REQUEST + b"x" * AHEAD_BYTES)
        while not any(each.is_overrun for each in server.connections):
            await trio.sleep(0.01)
        if disconnects:
            await client.stream.aclose()
            await handler.cancelled.wait()
            return
        handler.release.set()
        assert (await client.read_until(b"answered")).endswith(b"answered")
        # Nothing that follows is taken for a request.
        assert b"HTTP" not in await client.read_until(b"HTTP")
        await client.stream.aclose()
        while server.connections:
            await trio.sleep(0.01)
    assert server.memory.used_bytes == 0
