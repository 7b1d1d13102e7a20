"""Tests of waits for the first token at one upstream."""

import pytest

from buckthornwall.engine_model import EngineModel
from buckthornwall.pools import (
    PlacementRequest,
    PoolTable,
    UpstreamEntry,
    UpstreamState,
    choose_engine,
)
from buckthornwall.pools.load import PeerLoad
from buckthornwall.pools.waits import Waits
from buckthornwall.routing import PoolId, PromptSegment, PromptShape
from buckthornwall.utils import ModelId, UpstreamId, ZoneId

POOL = PoolId("drafts")
ZONE = ZoneId("z")
PROMPT = PromptShape(ModelId("m"), 1000, 100, (PromptSegment("s", 900),))


def test_oldest_wait_is_returned_by_rank():
    waits = Waits()
    waits.begin(2, "a", 1.0)
    waits.begin(5, "b", 2.0)
    waits.begin(5, "c", 3.0)
    assert waits.oldest_wait_s(4.0) == {2: 3.0, 5: 2.0}
    waits.end(5, "b", is_served=True)
    waits.end(2, "a", is_served=False)
    assert waits.oldest_wait_s(4.0) == {5: 1.0}


def test_overtaken_request_does_not_count():
    """Its response may be lost, which does not mean that the engine is slow."""
    waits = Waits()
    waits.begin(5, "lost", 0.0)
    waits.begin(5, "b", 1.0)
    waits.begin(5, "c", 2.0)
    waits.end(5, "b", is_served=True)
    assert waits.oldest_wait_s(9.0) == {5: 7.0}
    waits.end(5, "c", is_served=True)
    assert waits.oldest_wait_s(9.0) == {}
    waits.end(5, "lost", is_served=False)


def test_failed_request_does_not_overtake_earlier_ones():
    waits = Waits()
    waits.begin(5, "a", 0.0)
    waits.begin(5, "b", 1.0)
    waits.end(5, "b", is_served=False)
    assert waits.oldest_wait_s(2.0) == {5: 2.0}


@pytest.fixture
def table(clock):
    table = PoolTable(clock)
    for name in ("a", "b"):
        table.adopt(
            UpstreamEntry(
                UpstreamId(name), POOL, "10.0.0.1:80", ZONE, 4, UpstreamState.READY
            )
        )
    return table


def choose(table, clock, rank):
    views = table.usable(POOL, set())
    request = PlacementRequest(PROMPT, rank, ZONE, 0.0, 1.0, "r", EngineModel())
    return choose_engine(views, request, clock.now())


def test_choice_includes_oldest_wait_of_peers(table, clock):
    preferred = choose(table, clock, 5).view
    preferred.load.peers = PeerLoad(oldest_wait_s={5: 2.0})
    choice = choose(table, clock, 5)
    assert (choice.view, choice.oldest_wait_s) == (preferred, 2.0)


def test_less_urgent_wait_does_not_count_for_more_urgent_request(table, clock):
    preferred = choose(table, clock, 0).view
    preferred.load.waits.begin(5, "r", clock.now())
    clock.time += 3.0
    choice = choose(table, clock, 0)
    assert choice.view is preferred
    assert choice.oldest_wait_s == 0.0
    assert preferred.load.oldest_wait_before_s(5, clock.now()) == 3.0
