"""Tests of the rate limits of cold upstreams."""

from dataclasses import replace

import pytest

from buckthornwall.pools import (
    Fleet,
    FleetMemory,
    PoolTable,
    UpstreamEntry,
    UpstreamState,
    choose_upstream,
)
from buckthornwall.pools.fleet_memory import RETENTION_S, SETTLE_S
from buckthornwall.utils import UpstreamId, ZoneId

from .helpers import POOL, prompt, traits

ZONE = ZoneId("z")
PER_S = 9.7
ALONE = Fleet("10.0.0.1:1", ZONE, (ZONE,), ("10.0.0.1:1",), 1)


def entry(name, cold_s=0.0):
    state = UpstreamState.READY
    return UpstreamEntry(UpstreamId(name), POOL, f"{name}:1", ZONE, 32, state, cold_s)


@pytest.fixture
def pools(clock):
    """Return a warm and a cold upstream, in which this instance may get a share."""
    pools = PoolTable(clock)
    pool = replace(traits(prompt()).resolution.pool, cold_s=3.0, cold_per_s=PER_S)
    pools.set_contracts([pool], [])
    pools.adopt(entry("warm"))
    pools.adopt(entry("cold", 3.0))
    return pools


def count_sent_to_cold(pools, clock, seconds):
    """Send to the cold upstream whenever allowed; return the number of requests."""
    count, limit = 0, pools.views["cold"].rate_limit
    for _ in range(int(seconds / 0.01)):
        clock.time += 0.01
        if limit.may_send(clock.now()):
            limit.take(clock.now())
            count += 1
    return count


def usable(pools):
    return {view.id for view in pools.usable(POOL, frozenset())}


def test_instance_without_share_sends_nothing_to_cold_upstream(pools):
    assert usable(pools) == {"warm"}


def test_instance_sends_no_more_than_its_share(pools, clock):
    pools.rate_limits.update_shares(ALONE, ALONE)
    assert 0.8 * PER_S * 2 <= count_sent_to_cold(pools, clock, 2.0) <= PER_S * 2


def test_initial_tokens_let_share_start_early(pools, clock):
    """Otherwise no instance uses the first of 3 s of a cold start."""
    limit = pools.views["cold"].rate_limit
    limit.set_share(1.0, clock.now(), 0.9)
    clock.time += 0.2
    assert limit.may_send(clock.now())


def test_limit_ends_with_the_cold_start(pools, clock):
    clock.time += 3.1
    assert usable(pools) == {"warm", "cold"}


def test_registration_without_cold_start_does_not_end_assumed_one(pools, clock):
    """The registration may be older than the assumption."""
    pools.adopt(entry("cold", 0.0))
    assert usable(pools) == {"warm"}


def test_second_cold_start_limits_upstream_again(pools, clock):
    clock.time += 10.0
    pools.adopt(entry("cold", 2.0))
    assert usable(pools) == {"warm"}


def test_advertised_limit_applies_in_addition_to_cold_limit(pools, clock):
    view = pools.views["cold"]
    pools.rate_limits.record(view, 1.0)
    pools.rate_limits.update_shares(ALONE, ALONE)
    assert view.rate_limit.local_per_s < 1.0
    clock.time += 3.1
    assert view.rate_limit.is_limited(clock.now())


def test_pool_without_cold_rate_is_not_limited(clock):
    pools = PoolTable(clock)
    pools.set_contracts([replace(traits(prompt()).resolution.pool, cold_s=3.0)], [])
    pools.adopt(entry("cold", 3.0))
    assert usable(pools) == {"cold"}


def test_pause_sensitive_stream_avoids_cold_upstream(pools, clock):
    pools.rate_limits.update_shares(ALONE, ALONE)
    clock.time += 1.0
    pools.views["warm"].load.requests = 30
    stream = traits(prompt("", shared_tokens=0, own_tokens=100), pause_sensitive=True)
    choice = choose_upstream(pools, stream, frozenset(), ZONE, clock.now())
    assert choice.view.id == "warm"


# Recently live instances


@pytest.fixture
def memory():
    memory = FleetMemory([ZONE, ZoneId("other")], 0.0)
    members = tuple(f"10.0.0.{n}:1" for n in range(1, 9))
    memory.record(Fleet("10.0.0.1:1", ZONE, (ZONE,), members, 40), 10.0)
    return memory


def test_isolated_instance_still_counts_its_peers(memory):
    memory.record(ALONE, 12.0)
    recent = memory.recent(ALONE, 12.0)
    assert len(recent.members) == 8
    assert recent.instances == 40
    assert recent.zones == ("other", "z")


def test_long_absent_instances_are_not_counted(memory):
    now = 11.0 + RETENTION_S
    memory.record(ALONE, now)
    recent = memory.recent(ALONE, now)
    assert (recent.members, recent.instances) == (ALONE.members, 1)


def test_starting_instance_without_known_peers_has_no_share():
    memory = FleetMemory([ZONE], 0.0)
    memory.record(ALONE, 0.5)
    assert memory.recent(ALONE, 0.5).members == ()
    assert memory.recent(ALONE, SETTLE_S).members == ALONE.members
