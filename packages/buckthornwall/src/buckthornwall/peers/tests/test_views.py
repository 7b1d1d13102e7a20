"""Tests of views that many peers fetch at once."""

import pytest

from buckthornwall.peers import PeerView, ViewEncoder, views
from buckthornwall.peers.messages import decode, encode
from buckthornwall.pools import UpstreamEntry, UpstreamState
from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId, ZoneId

ENTRY = UpstreamEntry(
    UpstreamId("u"), PoolId("p"), "10.0.0.9:1", ZoneId("z"), 4, UpstreamState.READY
)
MEMBERS = 30


@pytest.fixture
def encoded(monkeypatch):
    """Return the list of views that were encoded."""
    done = []

    def record(view):
        done.append(view)
        return encode(view)

    monkeypatch.setattr(views, "encode", record)
    return done


def view(revision=1, published=b"config", entries=(ENTRY,)):
    return PeerView(revision, revision, published, list(entries))


def test_view_is_encoded_once_for_members_that_start_together(clock, encoded):
    """A speaker compressed the configuration for each, and served nobody meanwhile."""
    encoder = ViewEncoder(clock)
    for _ in range(MEMBERS):
        clock.time += 0.001
        assert decode(encoder(view()), PeerView) == view()
    assert len(encoded) == 1


@pytest.mark.parametrize(
    "changed", [view(revision=2), view(published=b""), view(entries=())]
)
def test_changed_view_is_encoded_anew(clock, encoded, changed):
    encoder = ViewEncoder(clock)
    encoder(view())
    assert decode(encoder(changed), PeerView) == changed


@pytest.mark.parametrize("step_s", [0.2, -5.0])
def test_old_view_is_encoded_anew(clock, encoded, step_s):
    """The cold time left of its upstreams is older by as much; clocks may be set."""
    encoder = ViewEncoder(clock)
    encoder(view())
    clock.time += step_s
    encoder(view())
    assert len(encoded) == 2
