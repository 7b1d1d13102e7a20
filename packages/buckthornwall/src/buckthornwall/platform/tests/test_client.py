"""Tests of the client that reads records and instances of completions deployments."""

from contextlib import asynccontextmanager

import httpcore
import msgspec
import pytest

from buckthornwall.codes import PeerError
from buckthornwall.platform import InstanceKind, PlatformClient, PlatformSettings
from buckthornwall.platform.client import INSTANCES_PREFIX, RECORDS_KEY


class ScriptedPool:
    """Returns scripted responses in order, and keeps the requested targets."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.targets: list[str] = []

    @asynccontextmanager
    async def stream(self, method, url, headers, content, extensions):
        self.targets.append(url.removeprefix("http://10.0.0.1:80"))
        status, body, *era = self.answers.pop(0)
        headers = [(b"Store-Era", b"%d" % each) for each in era]
        content = _in_parts(msgspec.json.encode(body))
        yield httpcore.Response(status, headers=headers, content=content)


async def _in_parts(content):
    for start in range(0, len(content), 100):
        yield content[start : start + 100]


def client(*answers) -> PlatformClient:
    settings = PlatformSettings(address="10.0.0.1:80")
    return PlatformClient(settings, ScriptedPool(*answers))


def item(key: str, value: bytes, revision: int) -> dict:
    return {
        "key": key,
        "value": msgspec.to_builtins(value),
        "revision": revision,
    }


def page(revision: int, *items, truncated=False) -> tuple[int, dict]:
    body = {"store_revision": revision, "items": items, "truncated": truncated}
    return 200, body


def events(revision: int, *found) -> tuple[int, dict]:
    return 200, {"store_revision": revision, "events": found}


def listed(name: str, **more) -> bytes:
    entry = {"id": name, "kind": "entry", "address": "10.0.0.2:1"}
    return msgspec.json.encode(entry | more)


async def test_records_are_read_once_and_then_watched():
    watched = client(
        page(4, item(RECORDS_KEY, b"one", 3)),
        events(4),
        events(6, item(RECORDS_KEY, b"two", 6)),
    )
    assert await watched.watch_records(5.0) == b"one"
    assert await watched.watch_records(5.0) is None
    assert await watched.watch_records(5.0) == b"two"
    assert "after=4&wait_ms=5000" in watched.pool.targets[2]


async def test_records_are_read_again_after_lost_history():
    watched = client(
        page(4, item(RECORDS_KEY, b"one", 3)),
        (410, {}),
        page(9, item(RECORDS_KEY, b"two", 8)),
    )
    await watched.watch_records(5.0)
    assert await watched.watch_records(5.0) == b"two"


async def test_records_are_read_again_after_the_store_returned_from_a_copy():
    """It may have given out the watched revision again, and then answers 200."""
    watched = client(
        (*page(4, item(RECORDS_KEY, b"one", 3)), 1),
        (*events(6, item(RECORDS_KEY, b"three", 6)), 2),
        (*page(6, item(RECORDS_KEY, b"two", 4)), 2),
    )
    await watched.watch_records(5.0)
    assert await watched.watch_records(5.0) == b"two"


async def test_pages_of_two_eras_are_not_taken_for_one_list():
    watched = client(
        (*page(2, item(INSTANCES_PREFIX + "a", listed("a"), 1), truncated=True), 1),
        (*page(1, item(INSTANCES_PREFIX + "b", listed("b"), 1)), 2),
    )
    with pytest.raises(PeerError):
        await watched.watch_instances(0.0)


async def test_instance_list_follows_changes_and_removals():
    watched = client(
        page(2, item(INSTANCES_PREFIX + "a", listed("a"), 1), truncated=True),
        page(3, item(INSTANCES_PREFIX + "b", listed("b"), 2)),
        events(5, {"key": INSTANCES_PREFIX + "a", "revision": 5, "removed": True}),
        events(6, item(INSTANCES_PREFIX + "b", listed("b", leaving=True), 6)),
    )
    first = await watched.watch_instances(0.0)
    assert [each.id for each in first.instances] == ["a", "b"]
    assert first.instances[0].kind is InstanceKind.ENTRY
    assert [each.id for each in (await watched.watch_instances(1.0)).instances] == ["b"]
    last = await watched.watch_instances(1.0)
    assert (last.position.revision, last.instances[0].leaving) == (6, True)


@pytest.mark.parametrize("answer", [(503, {}), (429, {}), (200, {"items": []})])
async def test_error_response_changes_nothing(answer):
    watched = client(page(2, item(RECORDS_KEY, b"one", 1)), answer, events(2))
    await watched.watch_records(1.0)
    with pytest.raises(PeerError):
        await watched.watch_records(1.0)
    assert await watched.watch_records(1.0) is None


@pytest.mark.parametrize("text", ["a", "ü"])
async def test_value_that_is_not_base64_hid_all_others(text):
    """It alone cannot be read; the records in force stay."""
    broken = {"key": RECORDS_KEY, "value": text, "revision": 2}
    watched = client(
        page(1, item(RECORDS_KEY, b"one", 1), item("other", b"two", 1)),
        events(3, broken, item("other", b"three", 3)),
    )
    assert await watched.watch_records(1.0) == b"one"
    assert await watched.watch_records(1.0) is None
    assert watched._records.values["other"] == b"three"


async def test_instance_that_cannot_be_read_hid_all_others():
    watched = client(
        page(
            2,
            item(INSTANCES_PREFIX + "a", listed("a"), 1),
            item(INSTANCES_PREFIX + "b", b'{"x":' + b"[" * 2001, 2),
            item(INSTANCES_PREFIX + "c", listed("c", address="10.0.0.1:99999"), 2),
        )
    )
    found = await watched.watch_instances(0.0)
    assert [each.id for each in found.instances] == ["a"]


async def test_pages_without_end_were_read_for_ever():
    """A store in trouble repeats a page, or goes on naming keys."""
    for answers in ([page(1, item("k", b"", 1), truncated=True)] * 300,):
        with pytest.raises(PeerError):
            await client(*answers).watch_instances(0.0)
    numbered = [
        page(1, item(f"k{number:05}", b"", 1), truncated=True) for number in range(999)
    ]
    watched = client(*numbered)
    with pytest.raises(PeerError):
        await watched.watch_instances(0.0)
    assert len(watched.pool.targets) == 200
