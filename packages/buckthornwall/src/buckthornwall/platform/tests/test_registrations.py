"""Tests of registrations in the platform's store, valid or not."""

import json

import pytest
from loguru import logger

from buckthornwall.platform.calls import Changes, StoredValue
from buckthornwall.platform.store import to_store_update
from buckthornwall.pools import UpstreamState
from buckthornwall.utils import StorePosition

GOOD = {
    "service": "drafts",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "ready",
}


def changes(*raws: bytes) -> Changes:
    values = [
        StoredValue(f"servers/u{place}", place + 1, raw)
        for place, raw in enumerate(raws)
    ]
    return Changes(StorePosition(1, len(raws)), values)


def written(**fields) -> bytes:
    return json.dumps(GOOD | fields).encode()


@pytest.fixture
def lines():
    found = []
    logger.remove()
    handler = logger.add(lambda text: found.append(str(text)), format="{message}")
    yield found
    logger.remove(handler)


@pytest.mark.parametrize(
    "raw",
    [
        b"\xff\xfe\x00",
        b"{",
        b"[]",
        b"{}",
        written(service=7),
        written(address=None),
        written(address="nowhere"),
        written(address="10.0.0.1:http"),
        written(address="10.0.0.1:0"),
        written(address="engine.example:80"),
        written(slots="four"),
        written(slots=0),
        written(state="resting"),
        written(cold_remaining_ms="soon"),
        written(cold_remaining_ms=-5),
        written(models=3),
    ],
)
def test_invalid_registration_is_refused_and_others_apply(raw, lines):
    update = to_store_update(
        changes(written(), raw, written(state="draining")), is_snapshot=True
    )
    assert list(update.entries) == ["u0", "u2"]
    assert update.entries["u2"].state is UpstreamState.LEAVING
    assert update.change_revision == 3
    refused = [line for line in lines if "event=registration_refused" in line]
    assert len(refused) == 1
    assert "upstream=u1" in refused[0]
    assert "code=" in refused[0]


def test_registration_replaced_by_an_invalid_one_is_removed():
    update = to_store_update(changes(written(), b"?"), is_snapshot=False)
    assert list(update.entries) == ["u0"]
    assert update.removed == {"u1"}


def test_upstream_restarted_under_its_id_has_another_incarnation():
    first = to_store_update(changes(written(born=17)), is_snapshot=True).entries["u0"]
    again = to_store_update(changes(written(born=18)), is_snapshot=True).entries["u0"]
    assert first.incarnation != again.incarnation
    assert (
        to_store_update(changes(written()), is_snapshot=True).entries["u0"].incarnation
        == ""
    )
