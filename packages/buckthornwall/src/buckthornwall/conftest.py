"""Fixtures that several subpackages' tests share."""

import socket
import struct
from functools import partial
from hashlib import sha256

import msgspec
import pytest
import trio

from buckthornwall.records import RecordStore, parse_records

KEY = "a-key"
RESET = struct.pack("ii", 1, 0)  # linger for no time: closing resets


class ManualClock:
    """A clock that stands until a test moves it."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        """Return the time."""
        return self.time


def make_records(number: int = 1, **changes) -> dict:
    """Return a small valid set; `changes` replace fields by record id."""
    targets = {"first_token_s": 2.0, "inter_token_s": 0.1, "total_s": 20.0}
    records = [
        {"kind": "class", "schema": 2, "id": "urgent", "tier": 0, "targets": targets},
        {
            "kind": "class",
            "schema": 2,
            "id": "routine",
            "tier": 1,
            "weight": 3,
            "targets": targets,
        },
        {
            "kind": "class",
            "schema": 2,
            "id": "low",
            "tier": 2,
            "weight": 1,
            "floor": 0.05,
            "targets": targets,
        },
        {
            "kind": "team",
            "schema": 2,
            "id": "one",
            "key_sha256": [sha256(KEY.encode()).hexdigest()],
            "classes": ["urgent", "routine", "low"],
        },
        {"kind": "model", "schema": 2, "id": "m"},
        {"kind": "route", "schema": 2, "id": "m", "to": "model", "target": "m"},
        {
            "kind": "route",
            "schema": 2,
            "id": "orders",
            "to": "service",
            "target": "orders",
            "repeatable": False,
        },
        {
            "kind": "upstream",
            "schema": 2,
            "id": "e1",
            "type": "engine",
            "address": "10.0.0.1:80",
            "serves": ["m"],
            "slots": 4,
        },
        {
            "kind": "upstream",
            "schema": 2,
            "id": "e2",
            "type": "engine",
            "address": "10.0.0.2:80",
            "serves": ["m"],
            "slots": 4,
        },
    ]
    for record in records:
        if record["kind"] != "route":  # which shares its id with the model
            record.update(changes.get(record["id"], {}))
    return {"number": number, "records": records}


def encode(records: dict) -> bytes:
    """Return the set as the platform publishes it."""
    return msgspec.json.encode(records)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def view():
    return parse_records(encode(make_records()))


@pytest.fixture
def store():
    store = RecordStore()
    store.offer(encode(make_records()))
    return store


@pytest.fixture
async def raw_upstream(nursery):
    """Return a function that starts a server which answers with given bytes.

    It writes the next entry of its script for each request that it reads; an
    entry of None resets the connection, b'' closes it, and a number waits for
    that many seconds before the next one. What it read is in `requests`, by
    address.
    """

    async def start(*script):
        left = list(script)
        requests = []

        async def talk(stream):
            async with stream:
                while left and (request := await stream.receive_some()):
                    requests.append(request)
                    if not await play(stream):
                        return

        async def play(stream):
            """Play entries up to the next bytes; tell whether to go on."""
            while left:
                entry = left.pop(0)
                if isinstance(entry, float):
                    await trio.sleep(entry)
                elif entry is None:
                    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    return False
                elif entry:
                    await stream.send_all(entry)
                    return not left or left[0] not in (b"", None) or await play(stream)
                else:
                    return False
            return False

        serve = partial(trio.serve_tcp, talk, 0, host="127.0.0.1")
        listeners = await nursery.start(serve)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        start.requests[address] = requests
        return address

    start.requests = {}
    return start
