"""Tests of a pool all of whose upstreams have a rate limit."""

import pytest

from buckthornwall.pools import PoolTable, UpstreamEntry, UpstreamState
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
