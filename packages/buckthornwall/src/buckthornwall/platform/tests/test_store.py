"""Tests of the store client over connections that fail."""

import json

import pytest
import trio

from buckthornwall.codes import PeerError
from buckthornwall.discovery import HistoryLost
from buckthornwall.platform import StoreClient, StoreSettings
from buckthornwall.platform.calls import StoreAnswer, StoreCalls
from buckthornwall.utils import StorePosition

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
        await client.watch(StorePosition(0, 1), wait_s=0.2)


def calls(*answers):
    """Return calls that get answers of a status, an era and a body."""
    remaining = list(answers)

    async def transport(target, wait_s):
        status, era, body = remaining.pop(0)
        return StoreAnswer(status, json.dumps(body).encode(), era)

    return StoreCalls(transport)


def events(revision):
    return {"store_revision": revision, "events": []}


def page(revision, *keys, truncated=False):
    items = [{"key": key, "revision": revision, "value": ""} for key in keys]
    return {"store_revision": revision, "items": items, "truncated": truncated}


async def test_watch_from_a_former_era_has_lost_its_history():
    """The store may have passed the revision again, so that it answers 200."""
    store = calls((200, 2, events(31)))
    with pytest.raises(HistoryLost):
        await store.watch("", StorePosition(1, 30), 1.0)


async def test_watch_answered_by_a_former_era_fails():
    store = calls((200, 1, events(31)))
    with pytest.raises(PeerError):
        await store.watch("", StorePosition(2, 12), 1.0)


@pytest.mark.parametrize(("known", "named"), [(0, 2), (2, 0), (2, 2)])
async def test_watch_goes_on_where_no_other_era_is_known(known, named):
    store = calls((200, named, events(31)))
    changes = await store.watch("", StorePosition(known, 30), 1.0)
    assert changes.position == StorePosition(named, 31)


async def test_pages_of_two_eras_are_no_snapshot():
    store = calls((200, 1, page(30, "a", truncated=True)), (200, 2, page(12, "b")))
    with pytest.raises(HistoryLost):
        await store.read_all("")


@pytest.mark.parametrize(
    ("value", "era"),
    [(b"7", 7), (b"", 0), (b"-1", 0), (b"x", 0), (b"9" * 99, 0), (b"1.5", 0)],
)
def test_era_of_an_answer_is_decoded(value, era):
    headers = [(b"content-type", b"application/json"), (b"Store-Era", value)]
    assert StoreAnswer.from_response(200, headers, b"").era == era
