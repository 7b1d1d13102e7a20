"""Tests of which requests count as the same."""

from dataclasses import replace

import pytest

from buckthornwall.quarantine import fingerprint_of
from buckthornwall.routing import RoutedRequest
from buckthornwall.utils import TeamId

REQUEST = RoutedRequest("r1", b"POST", b"/a/?b", "host", "/a/", [], b"body", 0.0)
TEAM = TeamId("one")


def test_a_request_sent_again_under_another_id_is_the_same():
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
def test_a_request_that_differs_is_another(change):
    other = replace(REQUEST, **change)
    assert fingerprint_of(other, TEAM) != fingerprint_of(REQUEST, TEAM)


def test_the_same_request_of_another_team_is_another():
    assert fingerprint_of(REQUEST, TeamId("two")) != fingerprint_of(REQUEST, TEAM)
