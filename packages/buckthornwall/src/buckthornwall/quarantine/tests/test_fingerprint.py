"""Tests of the fingerprints of requests."""

from dataclasses import replace

import pytest

from buckthornwall.quarantine import fingerprint_of
from buckthornwall.routing import RoutedRequest
from buckthornwall.utils import TeamId

REQUEST = RoutedRequest("r1", b"POST", b"/a/?b", "host", "/a/", [], b"body", 0.0)
TEAM = TeamId("one")


def test_repeat_under_another_id_has_same_fingerprint():
    again = replace(REQUEST, id="r2", received_at=5.0, client_timeout_s=1.0)
    assert fingerprint_of(again, TEAM) == fingerprint_of(REQUEST, TEAM)


@pytest.mark.parametrize(
    "change",
    [
        {"method": b"PUT"},
        {"host": "other"},
        {"target": b"/a/?c"},
        {"body": b"other"},
        {"host": "hos", "target": b"t/a/?b"},
    ],
)
def test_different_request_has_different_fingerprint(change):
    other = replace(REQUEST, **change)
    assert fingerprint_of(other, TEAM) != fingerprint_of(REQUEST, TEAM)


def test_same_request_of_another_team_has_different_fingerprint():
    assert fingerprint_of(REQUEST, TeamId("two")) != fingerprint_of(REQUEST, TEAM)
