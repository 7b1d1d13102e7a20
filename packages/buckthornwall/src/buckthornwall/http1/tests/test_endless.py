"""Servers in trouble that send bytes without end, until their client closes."""

import pytest
import trio

from buckthornwall.http1 import ClientConnection, ExchangeError, ExchangeFailure

HEADERS = [(b"host", b"h")]
LIMIT_S = 2.0
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


async def exchange(address):
    connection = await ClientConnection.connect(address, 1.0)
    try:
        await connection.send(b"GET", b"/", HEADERS, b"")
        with trio.fail_after(LIMIT_S):
            await connection.receive_head()
            while await connection.receive_data():
                pass
    finally:
        connection.close()


@pytest.mark.parametrize(
    "repeated",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
        b"X-Name: value\r\n",
        b"\x00" * 512,
        b"x" * 512,
    ],
)
@pytest.mark.parametrize("first", [b"", OK])
async def test_head_without_end_was_read_until_a_timeout(
    endless_server, first, repeated
):
    server = await endless_server(first, repeated)
    with pytest.raises(ExchangeError) as caught:
        await exchange(server.address)
    assert caught.value.failure is ExchangeFailure.MALFORMED
    await server.wait_closed()


@pytest.mark.parametrize(
    "first", [b"x", b"\r\n\r\n", b"GET / HTTP/1.1\r\n", b"\x00", b"\r\nHTTP"]
)
async def test_slow_bytes_that_begin_no_head_were_waited_for(endless_server, first):
    """They arrive too slowly to reach the limit of a head's size."""
    server = await endless_server(first, b"y", interval_s=0.05)
    with pytest.raises(ExchangeError) as caught:
        await exchange(server.address)
    assert caught.value.failure is ExchangeFailure.MALFORMED
    await server.wait_closed()


@pytest.mark.parametrize(
    "first",
    [
        CHUNKED,
        CHUNKED + b"5;",
        CHUNKED + b"2\r\nok",
        CHUNKED + b"0\r\n",
    ],
)
@pytest.mark.parametrize("repeated", [b"\x00\xff" * 256, b"z" * 512])
async def test_chunks_without_end_are_refused(endless_server, first, repeated):
    server = await endless_server(first, repeated)
    with pytest.raises(ExchangeError) as caught:
        await exchange(server.address)
    assert caught.value.failure is ExchangeFailure.MALFORMED
    await server.wait_closed()
