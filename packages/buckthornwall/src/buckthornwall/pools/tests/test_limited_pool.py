"""Tests of a pool all of whose upstreams take only so many requests a second."""

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


def test_an_upstream_that_takes_no_more_is_not_used(pools):
    limit(pools, "a", 0.0)
    assert names(pools) == ["b"]
    assert not pools.is_limited(POOL)


def test_a_pool_is_limited_once_all_of_it_are(pools, clock):
    limit(pools, "a", 0.5)
    limit(pools, "b", 0.0)
    assert pools.is_limited(POOL)
    assert names(pools) == []
    assert pools.limit_wait_s(POOL) == pytest.approx(2.0)
    clock.time += 2.0
    assert names(pools) == ["a"]


def test_the_last_token_is_left_to_more_urgent_requests_for_a_while(pools, clock):
    """Drafts took each token as it came, and urgent requests found none."""
    limit(pools, "a", 1.0)
    limit(pools, "b", 1.0)
    clock.time += 1.1
    assert pools.has_spare_token(POOL)
    pools.views["a"].rate_limit.take(clock.now())
    assert not pools.has_spare_token(POOL)
    clock.time += 0.5
    assert pools.has_spare_token(POOL)
