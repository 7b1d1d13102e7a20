"""Fixtures that several subpackages' tests share."""

from hashlib import sha256

import msgspec
import pytest

from buckthornwall.records import RecordStore, parse_records

KEY = "a-key"


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
