"""Tests of zone evacuations with records in any order."""

import pytest

from buckthornwall.pools import PoolTable, UpstreamEntry, UpstreamState
from buckthornwall.pools.evacuation import Evacuations
from buckthornwall.routing import PoolId
from buckthornwall.utils import StorePosition, UpstreamId, ZoneId

ZONE, OTHER = ZoneId("z"), ZoneId("other")
POOL = PoolId("p")


def at(revision, era=1):
    return StorePosition(era, revision)


@pytest.fixture
def evacuations():
    evacuations = Evacuations()
    evacuations.record(ZONE, at(10), True)
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


def test_old_record_does_not_reopen_zone(evacuations):
    assert not evacuations.record(ZONE, at(9), False)
    assert evacuations.is_evacuated(ZONE)


def test_removed_record_reopens_zone(evacuations):
    assert evacuations.record(ZONE, at(11), False)
    assert not evacuations.record(ZONE, at(10), True)
    assert evacuations.zones() == {}


def test_snapshot_older_than_evacuation_does_not_end_it(evacuations):
    assert evacuations.record_absent(set(), at(9)) == []
    assert evacuations.is_evacuated(ZONE)


def test_newer_snapshot_without_record_reopens_zone(evacuations):
    evacuations.record(OTHER, at(11), True)
    assert evacuations.record_absent({OTHER}, at(12)) == [ZONE]
    assert evacuations.zones() == {OTHER: at(11)}


def test_upstreams_of_evacuated_zone_get_no_new_requests(pools):
    pools.evacuations.record(ZONE, at(1), True)
    assert usable(pools) == ["b"]
    assert not pools.is_evacuated(POOL)


def test_evacuated_zone_is_not_used_when_all_others_are_ejected(pools):
    pools.evacuations.record(ZONE, at(1), True)
    pools.views["b"].health.ejected_until = pools.clock.now() + 9
    pools.views["b"].health.ejection_s = 9.0
    assert usable(pools) == ["b"]


def test_no_upstream_is_usable_with_all_zones_evacuated(pools):
    pools.evacuations.record(ZONE, at(1), True)
    pools.evacuations.record(OTHER, at(2), True)
    assert usable(pools) == []
    assert pools.is_evacuated(POOL)


def test_record_of_a_later_era_holds_although_its_revision_is_lower(evacuations):
    assert evacuations.record(ZONE, at(3, era=2), False)
    assert not evacuations.record(ZONE, at(99, era=1), True)
    assert evacuations.record(ZONE, at(4, era=2), True)


def test_record_without_an_era_counts_as_of_the_known_one(evacuations):
    assert not evacuations.record(ZONE, at(9, era=0), False)
    assert evacuations.record(ZONE, at(11, era=0), False)
