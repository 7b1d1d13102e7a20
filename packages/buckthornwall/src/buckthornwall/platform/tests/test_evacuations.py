"""Tests of the records of evacuated zones in the platform's store."""

import pytest

from buckthornwall.platform.calls import Changes, StoredValue
from buckthornwall.platform.store import to_store_update
from buckthornwall.utils import StorePosition


def at(revision):
    return StorePosition(3, revision)


def update(*values, is_snapshot=False):
    changes = [
        StoredValue(f"op/evacuate/{zone}", place, raw)
        for place, (zone, raw) in enumerate(values, 1)
    ]
    return to_store_update(Changes(at(len(changes)), changes), is_snapshot)


def test_key_of_a_record_contains_its_zone():
    found = update(("north", b"{}"), ("south", b'{"since": 3}'))
    assert found.evacuated == {"north": at(1), "south": at(2)}
    assert found.change_revision == 2


def test_last_change_in_the_same_response_applies():
    found = update(("north", b"{}"), ("north", None))
    assert (found.evacuated, found.reopened) == ({}, {"north": at(2)})
    again = update(("north", None), ("north", b"{}"))
    assert (again.evacuated, again.reopened) == ({"north": at(2)}, {})


@pytest.mark.parametrize("raw", [b"\xff\xfe", b"{", b"[]", b"7", b'"north"', b""])
def test_invalid_record_changes_nothing(raw):
    found = update(("north", raw), ("south", b"{}"), is_snapshot=True)
    assert found.evacuated == {"south": at(2)}
    assert found.reopened == {}
    assert found.unreadable_zones == {"north"}
