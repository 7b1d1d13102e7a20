"""Tests of the store client over connections that fail."""

import json

import pytest
import trio

from buckthornwall.codes import PeerError
from buckthornwall.platform import StoreClient, StoreSettings

BODY = json.dumps({"store_revision": 7, "items": [], "truncated": False}).encode()
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)


async def test_silent_connection_is_replaced(raw_upstream):
    """Without a reset, only the answer timeout detects it."""
    address = await raw_upstream(ANSWER, 60.0, ANSWER)
    client = StoreClient(StoreSettings(address=address, answer_timeout_ms=100.0))
    assert (await client.read_all()).revision == 7
    with trio.fail_after(2.0):
        with pytest.raises(PeerError):
            await client.read_all()
        assert (await client.read_all()).revision == 7


async def test_silent_watch_fails_soon_after_its_wait(raw_upstream):
    address = await raw_upstream(60.0, ANSWER)
    client = StoreClient(StoreSettings(address=address, answer_timeout_ms=100.0))
    with trio.fail_after(2.0), pytest.raises(PeerError):
        await client.watch(1, wait_s=0.2)
