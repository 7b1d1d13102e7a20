"""Tests of which zones are evacuated, whatever order records arrive in."""

import pytest

from buckthornwall.pools import PoolTable, UpstreamEntry, UpstreamState
from buckthornwall.pools.evacuation import Evacuations
from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId, ZoneId

ZONE, OTHER = ZoneId("z"), ZoneId("other")
POOL = PoolId("p")


@pytest.fixture
def evacuations():
    evacuations = Evacuations()
    evacuations.record(ZONE, 10, True)
    return evacuations


@pytest.fixture
def pools(clock):
    pools = PoolTable(clock)
    for name, zone in (("a", ZONE), ("b", OTHER)):
        pools.adopt(
            UpstreamEntry(UpstreamId(name), POOL, "h:1", zone, 8, UpstreamState.READY)
        )
    return pools


def usable(pools):
    return [view.id for view in pools.usable(POOL, frozenset())]


def test_an_old_record_does_not_reopen_a_zone(evacuations):
    assert not evacuations.record(ZONE, 9, False)
    assert evacuations.is_evacuated(ZONE)


def test_a_removed_record_reopens_a_zone(evacuations):
    assert evacuations.record(ZONE, 11, False)
    assert not evacuations.record(ZONE, 10, True)
    assert evacuations.zones() == {}


def test_a_snapshot_from_before_an_evacuation_does_not_end_it(evacuations):
    assert evacuations.record_absent(set(), 9) == []
    assert evacuations.is_evacuated(ZONE)


def test_a_later_snapshot_without_a_zone_reopens_it(evacuations):
    evacuations.record(OTHER, 11, True)
    assert evacuations.record_absent({OTHER}, 12) == [ZONE]
    assert evacuations.zones() == {OTHER: 11}


def test_upstreams_of_an_evacuated_zone_get_no_new_requests(pools):
    pools.evacuations.record(ZONE, 1, True)
    assert usable(pools) == ["b"]
    assert not pools.is_evacuated(POOL)


def test_an_evacuated_zone_is_not_used_where_everybody_else_fails(pools):
    pools.evacuations.record(ZONE, 1, True)
    pools.views["b"].health.ejected_until = pools.clock.now() + 9
    pools.views["b"].health.ejection_s = 9.0
    assert usable(pools) == ["b"]


def test_with_all_zones_evacuated_nobody_is_left(pools):
    pools.evacuations.record(ZONE, 1, True)
    pools.evacuations.record(OTHER, 2, True)
    assert usable(pools) == []
    assert pools.is_evacuated(POOL)
