"""Tests of what upstreams state about themselves in their responses."""

from buckthornwall.pools import Notice

from .helpers import POOL


def names(table):
    return [view.id for view in table.usable(POOL, frozenset())]


def test_upstream_that_states_that_it_leaves_gets_no_requests(table):
    """Its registration may say ready for as long as the store does not answer."""
    table.notices.record(table.views["a"], Notice(is_leaving=True))
    assert names(table) == ["b", "c"]


def test_upstream_gets_no_requests_during_the_rest_that_it_asked_for(table, clock):
    table.notices.record(table.views["a"], Notice(rest_s=3.0))
    assert names(table) == ["b", "c"]
    clock.time += 2.9
    assert names(table) == ["b", "c"]
    clock.time += 0.2
    assert names(table) == ["a", "b", "c"]
