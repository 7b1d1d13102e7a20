"""Tests of changes of registrations."""

import pytest

from buckthornwall.pools import PoolTable, UpstreamEntry, UpstreamState, Verdict
from buckthornwall.pools.load import PeerLoad
from buckthornwall.routing import PoolId, PromptSegment, PromptShape
from buckthornwall.utils import ModelId, UpstreamId, ZoneId

POOL = PoolId("drafts")
PROMPT = PromptShape(ModelId("m"), 900, 10, (PromptSegment("s", 600),))


def entry(incarnation: str) -> UpstreamEntry:
    return UpstreamEntry(
        UpstreamId("a"),
        POOL,
        "10.0.0.1:80",
        ZoneId("z"),
        4,
        UpstreamState.READY,
        incarnation=incarnation,
    )


@pytest.fixture
def table(clock):
    table = PoolTable(clock)
    table.adopt(entry("1"))
    view = table.views["a"]
    view.load.requests = 3
    view.load.peers = PeerLoad(2, {0: 900})
    view.prefixes.record(PROMPT)
    table.record_outcome(view, Verdict.UNREACHABLE)
    return table


def test_restart_discards_state_of_upstream(table, clock):
    assert table.adopt(entry("2"))
    view = table.views["a"]
    assert view.load.in_flight(clock.now()) == 0
    assert view.load.total_pending_prefill() == 0
    assert view.prefixes.cached_tokens(PROMPT) == 0
    assert not view.health.ejected
    assert list(table.members(POOL)) == [view]


@pytest.mark.parametrize("incarnation", ["1", ""])
def test_state_is_kept_without_a_new_incarnation(table, incarnation):
    view = table.views["a"]
    assert not table.adopt(entry(incarnation))
    assert table.views["a"] is view
