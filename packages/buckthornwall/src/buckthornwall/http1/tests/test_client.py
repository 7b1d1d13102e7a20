"""Tests of an exchange: complete, truncated, misdirected and unsolicited responses."""

import errno
import socket

import pytest
import trio

from buckthornwall.http1 import ClientConnection, ExchangeError, ExchangeFailure
from buckthornwall.http1 import client as constants

HEADERS = [(b"host", b"h")]
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def exchange(address):
    """Make one exchange; return its connection, head and body."""
    connection = await ClientConnection.connect(address, 1.0)
    await connection.send(b"GET", b"/", HEADERS, b"")
    head = await connection.receive_head()
    body = b""
    while data := await connection.receive_data():
        body += data
    return connection, head, body


@pytest.mark.parametrize(
    "address", ["127.0.0.1:70000", "127.0.0.1:x", "nowhere:80", ""]
)
async def test_address_that_is_none_raised_an_unexpected_error(address):
    with pytest.raises(ExchangeError) as caught:
        await ClientConnection.connect(address, 1.0)
    assert caught.value.failure is ExchangeFailure.UNREACHABLE
    assert not caught.value.sent


async def test_lack_of_descriptors_raised_an_unexpected_error(monkeypatch):
    def fail(*args):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(trio.socket, "socket", fail)
    with pytest.raises(ExchangeError) as caught:
        await ClientConnection.connect("127.0.0.1:80", 1.0)
    assert caught.value.failure is ExchangeFailure.UNREACHABLE


async def test_header_that_is_not_valid_raised_an_unexpected_error(raw_upstream):
    connection = await ClientConnection.connect(await raw_upstream(COMPLETE), 1.0)
    with pytest.raises(ExchangeError) as caught:
        await connection.send(b"GET", b"/", [*HEADERS, (b"a", b"b\nc")], b"")
    assert not caught.value.sent


async def test_connection_is_reusable_after_complete_response(raw_upstream):
    connection, head, body = await exchange(await raw_upstream(COMPLETE, COMPLETE))
    assert (head.status, body) == (200, b"ok")
    assert connection.is_reusable()
    assert connection.is_healthy()


async def test_bytes_after_response_make_connection_unusable(raw_upstream):
    connection, _, body = await exchange(await raw_upstream(COMPLETE + COMPLETE))
    assert body == b"ok"
    assert not connection.is_reusable()


async def test_idle_connection_closed_by_server_is_unhealthy(raw_upstream):
    connection, _, _ = await exchange(await raw_upstream(COMPLETE))
    await trio.sleep(0.05)  # the script has ended, so the server closes
    assert not connection.is_healthy()


async def test_response_to_another_request_is_skipped(raw_upstream):
    foreign = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
    connection = await ClientConnection.connect(
        await raw_upstream(foreign + COMPLETE), 1.0
    )
    await connection.send(b"GET", b"/", HEADERS, b"")
    await connection.receive_head()
    await connection.skip_response(1000)
    await connection.receive_head()
    assert await connection.receive_data() == b"ok"


async def test_response_without_length_ends_with_its_connection(raw_upstream):
    _, _, body = await exchange(await raw_upstream(b"HTTP/1.1 200 OK\r\n\r\nok", b""))
    assert body == b"ok"


@pytest.mark.parametrize(
    ("response", "failure"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", ExchangeFailure.CLOSED),
        (b"\x00\x01\x02 nonsense\r\n\r\n", ExchangeFailure.MALFORMED),
        (None, ExchangeFailure.RESET),
    ],
)
async def test_incomplete_response_raises_its_failure(raw_upstream, response, failure):
    address = await raw_upstream(response)
    with pytest.raises(ExchangeError) as caught:
        await exchange(address)
    assert caught.value.failure is failure
    assert caught.value.sent


async def test_failed_connect_reports_that_nothing_was_sent():
    with pytest.raises(ExchangeError) as caught:
        await ClientConnection.connect("127.0.0.1:1", 1.0)
    assert not caught.value.sent


def test_silence_of_two_seconds_at_any_moment_leaves_a_keepalive_probe():
    idle_s, interval_s = constants.KEEPALIVE_IDLE_S, constants.KEEPALIVE_INTERVAL_S
    end_s = constants.USER_TIMEOUT_MS / 1000
    probes = [idle_s + n * interval_s for n in range(constants.KEEPALIVE_PROBES)]
    assert end_s == probes[-1] + interval_s
    assert probes[-1] - probes[0] >= 2.0
    assert end_s <= 4.0


async def test_connection_has_the_options_that_find_a_dead_path(raw_upstream):
    connection = await ClientConnection.connect(await raw_upstream(b""), 1.0)
    options = {
        name: connection.sock.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
        for name in (
            "TCP_KEEPIDLE",
            "TCP_KEEPINTVL",
            "TCP_KEEPCNT",
            "TCP_USER_TIMEOUT",
        )
    }
    assert options == {
        "TCP_KEEPIDLE": constants.KEEPALIVE_IDLE_S,
        "TCP_KEEPINTVL": constants.KEEPALIVE_INTERVAL_S,
        "TCP_KEEPCNT": constants.KEEPALIVE_PROBES,
        "TCP_USER_TIMEOUT": constants.USER_TIMEOUT_MS,
    }
    assert connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
    connection.close()
