"""Tests of a pool all of whose upstreams have a rate limit."""

from dataclasses import replace

import pytest

from buckthornwall.pools import Fleet, PoolTable, UpstreamEntry, UpstreamState
from buckthornwall.pools.brittleness import NOT_BRITTLE
from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId, ZoneId

POOL = PoolId("p")


@pytest.fixture
def pools(clock):
    pools = PoolTable(clock)
    for name in ("a", "b"):
        pools.adopt(
            UpstreamEntry(
                UpstreamId(name), POOL, "h:1", ZoneId("z"), 8, UpstreamState.READY
            )
        )
    return pools


def limit(pools, name, local_per_s):
    view = pools.views[name]
    pools.rate_limits.record(view, 1.0)
    view.rate_limit.set_share(local_per_s, pools.clock.now())


def names(pools):
    return [view.id for view in pools.usable(POOL, frozenset())]


def test_upstream_without_share_is_not_used(pools):
    limit(pools, "a", 0.0)
    assert names(pools) == ["b"]
    assert not pools.is_limited(POOL)


def test_pool_is_limited_once_all_its_upstreams_are(pools, clock):
    limit(pools, "a", 0.5)
    limit(pools, "b", 0.0)
    assert pools.is_limited(POOL)
    assert names(pools) == []
    assert pools.limit_wait_s(POOL) == pytest.approx(2.0)
    clock.time += 2.0
    assert names(pools) == ["a"]


def test_last_token_is_reserved_for_more_urgent_requests(pools, clock):
    """Otherwise drafts take each token at once, and urgent requests find none."""
    limit(pools, "a", 1.0)
    limit(pools, "b", 1.0)
    clock.time += 1.1
    assert pools.has_spare_token(POOL)
    pools.views["a"].rate_limit.take(clock.now())
    assert not pools.has_spare_token(POOL)
    clock.time += 0.5
    assert pools.has_spare_token(POOL)


def test_brittle_pool_is_queued_for_and_its_new_upstreams_are_brittle(pools, clock):
    fleet = Fleet("h:9", ZoneId("z"), (ZoneId("z"),), ("h:9",), 1)
    for name in ("a", "b"):
        pools.brittle.record(pools.views[name], 3.0)
    pools.brittle.update_shares(fleet, 0.0)
    assert pools.is_limited(POOL)
    assert pools.is_brittle(POOL)
    assert names(pools) == ["a", "b"]
    for view in pools.views.values():
        view.brittleness.in_flight = view.load.requests = 8
    assert names(pools) == []
    entry = UpstreamEntry(
        UpstreamId("c"), POOL, "h:2", ZoneId("z"), 8, UpstreamState.READY
    )
    pools.adopt(entry)
    assert pools.views["c"].brittleness.is_in_force(clock.time)
    assert names(pools) == ["c"]
    assert pools.views["c"].brittleness.share == 8


def test_an_upstream_that_restarted_is_not_held_to_its_former_value(pools):
    entry = replace(pools.views["a"].entry, incarnation="1")
    pools.adopt(entry)
    pools.brittle.record(pools.views["a"], 3.0)
    pools.adopt(replace(entry, incarnation="2"))
    assert pools.views["a"].brittleness.per_s == NOT_BRITTLE
