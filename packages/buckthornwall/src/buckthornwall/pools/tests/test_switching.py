"""Tests of which silent requests are sent to another engine."""

import pytest

from buckthornwall.pools import Verdict, choose_upstream, is_served_in_order
from buckthornwall.pools.load import PeerLoad

from .helpers import POOL, ZONE, prompt, traits

RANK, LESS_URGENT_RANK = 4, 7


@pytest.fixture
def decide(table, clock):
    """Return a function that decides on a request, given pending tokens elsewhere."""

    def decide(ahead, elsewhere, rank=RANK, current_is_lost=False):
        request = traits(prompt())
        current = choose_upstream(table, request, set(), ZONE, clock.now())
        current.view.load.add_pending_prefill(RANK, current.uncached_tokens)
        for view in table.members(POOL):
            tokens = ahead if view is current.view else elsewhere
            view.load.peers = PeerLoad(1, {rank: tokens})
        if current_is_lost:
            table.record_outcome(current.view, Verdict.UNREACHABLE)
        tried = {current.view.id}
        alternative = choose_upstream(table, request, tried, ZONE, clock.now())
        return is_served_in_order(table, request, current, alternative, clock.now())

    return decide


def test_request_waits_where_others_are_ahead_and_no_engine_is_in_time(decide):
    assert decide(ahead=40_000, elsewhere=90_000)


def test_request_leaves_for_an_engine_that_is_in_time(decide):
    assert not decide(ahead=40_000, elsewhere=0)


def test_request_leaves_an_engine_that_has_nothing_to_serve_before_it(decide):
    assert not decide(ahead=0, elsewhere=90_000)
    assert not decide(ahead=40_000, elsewhere=90_000, rank=LESS_URGENT_RANK)


def test_request_leaves_an_engine_that_cannot_be_reached(decide):
    assert not decide(ahead=40_000, elsewhere=90_000, current_is_lost=True)
