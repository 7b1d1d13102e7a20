"""Tests of one exchange: whole, cut off, foreign and unasked replies."""

import pytest
import trio

from buckthornwall.http1 import ClientConnection, ExchangeError, ExchangeFailure

HEADERS = [(b"host", b"h")]
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def exchange(address):
    """Make one exchange; return its connection, head and body."""
    connection = await ClientConnection.connect(address, 1.0)
    await connection.send(b"GET", b"/", HEADERS, b"")
    head = await connection.receive_head()
    body = b""
    while data := await connection.receive_data():
        body += data
    return connection, head, body


async def test_a_whole_reply_leaves_the_connection_usable(raw_upstream):
    connection, head, body = await exchange(await raw_upstream(WHOLE, WHOLE))
    assert (head.status, body) == (200, b"ok")
    assert connection.is_reusable()
    assert connection.is_healthy()


async def test_bytes_after_a_reply_belong_to_nobody(raw_upstream):
    connection, _, body = await exchange(await raw_upstream(WHOLE + WHOLE))
    assert body == b"ok"
    assert not connection.is_reusable()


async def test_bytes_on_an_idle_connection_make_it_unusable(raw_upstream):
    connection, _, _ = await exchange(await raw_upstream(WHOLE))
    await trio.sleep(0.05)  # the script is at its end, so the server closes
    assert not connection.is_healthy()


async def test_a_foreign_reply_is_skipped_and_the_own_one_read(raw_upstream):
    foreign = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
    connection = await ClientConnection.connect(
        await raw_upstream(foreign + WHOLE), 1.0
    )
    await connection.send(b"GET", b"/", HEADERS, b"")
    await connection.receive_head()
    await connection.skip_response()
    await connection.receive_head()
    assert await connection.receive_data() == b"ok"


async def test_a_reply_without_a_length_ends_with_its_connection(raw_upstream):
    _, _, body = await exchange(await raw_upstream(b"HTTP/1.1 200 OK\r\n\r\nok", b""))
    assert body == b"ok"


@pytest.mark.parametrize(
    ("reply", "failure"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", ExchangeFailure.CLOSED),
        (b"\x00\x01\x02 nonsense\r\n\r\n", ExchangeFailure.MALFORMED),
        (None, ExchangeFailure.RESET),
    ],
)
async def test_a_reply_that_is_not_whole_says_so(raw_upstream, reply, failure):
    address = await raw_upstream(reply)
    with pytest.raises(ExchangeError) as caught:
        await exchange(address)
    assert caught.value.failure is failure
    assert caught.value.sent


async def test_nobody_there_means_that_nothing_was_sent():
    with pytest.raises(ExchangeError) as caught:
        await ClientConnection.connect("127.0.0.1:1", 1.0)
    assert not caught.value.sent
