"""Tests of what is sent to upstreams that are cold."""

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
    """Return a warm and a cold upstream; this instance has a part in the cold one."""
    pools = PoolTable(clock)
    pool = replace(traits(prompt()).resolution.pool, cold_s=3.0, cold_per_s=PER_S)
    pools.set_contracts([pool], [])
    pools.adopt(entry("warm"))
    pools.adopt(entry("cold", 3.0))
    return pools


def sent_to_cold(pools, clock, seconds):
    """Send to the cold upstream whenever it is allowed; return how often it was."""
    count, limit = 0, pools.views["cold"].rate_limit
    for _ in range(int(seconds / 0.01)):
        clock.time += 0.01
        if limit.may_send(clock.now()):
            limit.take(clock.now())
            count += 1
    return count


def usable(pools):
    return {view.id for view in pools.usable(POOL, frozenset())}


def test_who_has_no_part_sends_nothing_to_a_cold_upstream(pools):
    assert usable(pools) == {"warm"}


def test_who_has_a_part_sends_no_more_than_it(pools, clock):
    pools.rate_limits.update_shares(ALONE, ALONE)
    assert 0.8 * PER_S * 2 <= sent_to_cold(pools, clock, 2.0) <= PER_S * 2


def test_a_part_begins_before_a_whole_token_has_come(pools, clock):
    """Of 3 s that an upstream is cold nobody used the first one."""
    limit = pools.views["cold"].rate_limit
    limit.set_share(1.0, clock.now(), 0.9)
    clock.time += 0.2
    assert limit.may_send(clock.now())


def test_an_upstream_that_is_cold_no_longer_takes_any_number(pools, clock):
    clock.time += 3.1
    assert usable(pools) == {"warm", "cold"}


def test_a_report_that_it_is_warm_does_not_end_what_was_assumed(pools, clock):
    """Its record may be older than what is known."""
    pools.adopt(entry("cold", 0.0))
    assert usable(pools) == {"warm"}


def test_an_upstream_that_is_cold_again_is_limited_again(pools, clock):
    clock.time += 10.0
    pools.adopt(entry("cold", 2.0))
    assert usable(pools) == {"warm"}


def test_a_limit_that_it_names_holds_beside(pools, clock):
    view = pools.views["cold"]
    pools.rate_limits.record(view, 1.0)
    pools.rate_limits.update_shares(ALONE, ALONE)
    assert view.rate_limit.local_per_s < 1.0
    clock.time += 3.1
    assert view.rate_limit.is_limited(clock.now())


def test_pools_without_a_rate_are_not_limited(clock):
    pools = PoolTable(clock)
    pools.set_contracts([replace(traits(prompt()).resolution.pool, cold_s=3.0)], [])
    pools.adopt(entry("cold", 3.0))
    assert usable(pools) == {"cold"}


def test_streams_that_may_not_pause_leave_cold_upstreams_to_others(pools, clock):
    pools.rate_limits.update_shares(ALONE, ALONE)
    clock.time += 1.0
    pools.views["warm"].load.requests = 30
    stream = traits(prompt("", shared_tokens=0, own_tokens=100), pause_sensitive=True)
    choice = choose_upstream(pools, stream, frozenset(), ZONE, clock.now())
    assert choice.view.id == "warm"


# Who was live lately


@pytest.fixture
def memory():
    memory = FleetMemory([ZONE, ZoneId("other")], 0.0)
    members = tuple(f"10.0.0.{n}:1" for n in range(1, 9))
    memory.record(Fleet("10.0.0.1:1", ZONE, (ZONE,), members, 40), 10.0)
    return memory


def test_who_is_cut_off_still_counts_the_others(memory):
    memory.record(ALONE, 12.0)
    lately = memory.recent(ALONE, 12.0)
    assert len(lately.members) == 8
    assert lately.instances == 40
    assert lately.zones == ("other", "z")


def test_who_was_gone_for_long_counts_no_longer(memory):
    now = 11.0 + RETENTION_S
    memory.record(ALONE, now)
    lately = memory.recent(ALONE, now)
    assert (lately.members, lately.instances) == (ALONE.members, 1)


def test_who_starts_and_knows_of_nobody_has_no_part():
    memory = FleetMemory([ZONE], 0.0)
    memory.record(ALONE, 0.5)
    assert memory.recent(ALONE, 0.5).members == ()
    assert memory.recent(ALONE, SETTLE_S).members == ALONE.members
