"""Tests of connections to upstreams that are reused or closed."""

import pytest
import trio
import trio.testing

from buckthornwall.forwarding.connections import ConnectionCache
from buckthornwall.http1 import ExchangeError
from buckthornwall.utils import UpstreamId

ENGINE = UpstreamId("e")


async def test_exchange_fails_at_once_when_upstream_restarts(
    raw_upstream, clock, nursery
):
    address = await raw_upstream(60.0, b"")
    cache = ConnectionCache(clock, 1.0)
    connection = await cache.acquire(ENGINE, address, 1.0)
    await connection.send(b"GET", b"/", [(b"host", b"h")], b"")
    failed = trio.Event()

    async def receive():
        with pytest.raises(ExchangeError):
            await connection.receive_head()
        failed.set()

    nursery.start_soon(receive)
    await trio.testing.wait_all_tasks_blocked()
    cache.close_all(ENGINE)
    with trio.fail_after(1.0):
        await failed.wait()


async def test_released_connection_is_reused(raw_upstream, clock):
    address = await raw_upstream(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 60.0)
    cache = ConnectionCache(clock, 1.0)
    connection = await cache.acquire(ENGINE, address, 1.0)
    await connection.send(b"GET", b"/", [(b"host", b"h")], b"")
    await connection.receive_head()
    assert await connection.receive_data() == b""
    cache.release(ENGINE, connection, None)
    assert await cache.acquire(ENGINE, address, 1.0) is connection


async def test_bytes_on_a_connection_that_a_probe_opened_kept_it_open(
    endless_server, clock
):
    """A server may send bytes that nobody asked for until the connection closes."""
    server = await endless_server(b"", b"x" * 4096)
    cache = ConnectionCache(clock, 1.0)
    await cache.open_idle(ENGINE, server.address)
    await cache._idle[ENGINE][0].sock.send(b"any")  # the server waits for bytes
    await trio.sleep(0.05)
    cache.expire()
    await server.wait_closed()


async def test_sound_idle_connection_is_kept(raw_upstream, clock):
    address = await raw_upstream(60.0, b"")
    cache = ConnectionCache(clock, 1.0)
    await cache.open_idle(ENGINE, address)
    cache.expire()
    assert cache._idle[ENGINE][0].is_healthy()
