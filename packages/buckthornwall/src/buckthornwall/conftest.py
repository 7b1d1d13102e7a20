"""Fixtures for the tests of several subpackages."""

import socket
import struct
from functools import partial
from hashlib import sha256

import msgspec
import pytest
import trio

from buckthornwall.records import RecordStore, parse_records

KEY = "a-key"
RESET = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: closing resets the connection


class ManualClock:
    """A clock that advances only when a test sets `time`."""

    def __init__(self) -> None:
        self.time = 100.0

    def now(self) -> float:
        """Return the time."""
        return self.time


def make_records(number: int = 1, **changes) -> dict:
    """Return a small valid set of records; `changes` replace fields by record id."""
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
        if record["kind"] != "route":  # a route has the same id as its model
            record.update(changes.get(record["id"], {}))
    return {"number": number, "records": records}


def encode(records: dict) -> bytes:
    """Return a set of records as the platform publishes it."""
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
    """Return a function that starts a server and returns its address.

    For each request that it reads, the server plays the next entries of its script:
    bytes are sent, a float is a wait in seconds before the next entry, None resets the
    connection, and ``b""`` closes it. The attribute `requests` of the function has the
    requests that were read, by address.
    """

    async def start_server(*script):
        remaining = list(script)
        requests = []

        async def handle_connection(stream):
            async with stream:
                while remaining and (request := await stream.receive_some()):
                    requests.append(request)
                    if not await play_script(stream):
                        return

        async def play_script(stream):
            """Play entries through the next bytes; return whether to go on reading."""
            while remaining:
                entry = remaining.pop(0)
                if isinstance(entry, float):
                    await trio.sleep(entry)
                elif entry is None:
                    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    return False
                elif entry:
                    await stream.send_all(entry)
                    return (
                        not remaining
                        or remaining[0] not in (b"", None)
                        or await play_script(stream)
                    )
                else:
                    return False
            return False

        serve = partial(trio.serve_tcp, handle_connection, 0, host="127.0.0.1")
        listeners = await nursery.start(serve)
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        start_server.requests[address] = requests
        return address

    start_server.requests = {}
    return start_server


@pytest.fixture
async def ending_upstream(nursery):
    """Return a function that starts a server and returns its address.

    The server ends with its first reply, whose bytes are the argument: its listener
    closes before the connection.
    """

    async def start_server(data):
        async def answer_and_end(connection):
            await connection.receive_some()
            for listener in listeners:
                await listener.aclose()
            await connection.send_all(data)
            await connection.aclose()

        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(_serve_until_closed, answer_and_end, listeners)
        return f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"

    return start_server


class EndlessServer:
    """A server that answers each request with bytes that do not end."""

    def __init__(self, first, repeated, interval_s):
        self.first = first
        self.repeated = repeated
        self.interval_s = interval_s
        self.address = ""
        self.open = 0
        self.sent_bytes = 0

    async def handle(self, stream):
        """Answer a request until the client closes the connection."""
        self.open += 1
        try:
            await stream.receive_some()
            await stream.send_all(self.first)
            while True:
                await stream.send_all(self.repeated)
                self.sent_bytes += len(self.repeated)
                await trio.sleep(self.interval_s)
        except trio.BrokenResourceError:
            pass  # the client has closed the connection
        finally:
            self.open -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    async def wait_closed(self):
        """Wait until no connection is open."""
        with trio.fail_after(1.0):
            while self.open:
                await trio.sleep(0.01)


@pytest.fixture
async def endless_server(nursery):
    """Return a function that starts a server whose answers do not end."""

    async def start_server(first, repeated, interval_s=0.0):
        server = EndlessServer(first, repeated, interval_s)
        serve = partial(trio.serve_tcp, server.handle, 0, host="127.0.0.1")
        listeners = await nursery.start(serve)
        server.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        return server

    return start_server


async def _serve_until_closed(handler, listeners):
    try:
        await trio.serve_listeners(handler, listeners)
    except* trio.ClosedResourceError:
        pass  # the handler has closed the listener
