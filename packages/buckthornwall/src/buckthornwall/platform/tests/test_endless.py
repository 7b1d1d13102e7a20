"""A store, and peers, in trouble whose answers do not end."""

import pytest
import trio

from buckthornwall.codes import PeerError
from buckthornwall.peers import ViewClient
from buckthornwall.platform import StoreClient, StoreSettings
from buckthornwall.utils import StorePosition

HEAD = b"HTTP/1.1 200 OK\r\n"
ENDLESS = [
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    (b"", b"\x00" * 512),
    (HEAD, b"A: b\r\n"),
    (HEAD + b"\r\n", b"x" * 65536),
    (HEAD + b"\r\n", b"[" * 65536),
    (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"ffff\r\n" + b" " * 65535 + b"\r\n",
    ),
]
LIMIT_S = 1.2
# Two answers of the largest size, and what sockets hold.
MAX_SENT_BYTES = 32 * 2**20


@pytest.mark.parametrize(("first", "repeated"), ENDLESS, ids=range(len(ENDLESS)))
async def test_store_whose_answer_does_not_end_is_left(endless_server, first, repeated):
    """The bytes that are kept are bounded, and the connection is closed."""
    server = await endless_server(first, repeated)
    client = StoreClient(
        StoreSettings(address=server.address, answer_timeout_ms=1000.0)
    )
    for call in (client.read_all(), client.watch(StorePosition(0, 1), 0.0)):
        with trio.fail_after(LIMIT_S), pytest.raises(PeerError):
            await call
        await server.wait_closed()
    assert server.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize(("first", "repeated"), ENDLESS, ids=range(len(ENDLESS)))
async def test_peer_whose_view_does_not_end_is_left(endless_server, first, repeated):
    server = await endless_server(first, repeated)
    with trio.fail_after(LIMIT_S), pytest.raises(PeerError):
        await ViewClient().ask(server.address, 0)
    await server.wait_closed()
    assert server.sent_bytes < MAX_SENT_BYTES


async def test_store_that_sends_slowly_without_end_is_left(endless_server):
    server = await endless_server(HEAD + b"\r\n{", b" ", interval_s=0.01)
    client = StoreClient(StoreSettings(address=server.address, answer_timeout_ms=300.0))
    with trio.fail_after(LIMIT_S), pytest.raises(PeerError):
        await client.read_all()
    await server.wait_closed()
