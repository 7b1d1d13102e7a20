"""Tests of requests that may only go to some regions."""

from dataclasses import replace

import pytest

from buckthornwall.pools import (
    PoolTable,
    UpstreamEntry,
    UpstreamState,
    choose_upstream,
)
from buckthornwall.utils import UpstreamId, ZoneId

from .helpers import POOL, prompt, traits

REGIONS = {ZoneId("e1"): "east", ZoneId("w1"): "west"}


@pytest.fixture
def pools(clock):
    """Return upstreams in two regions, and one in a zone that nobody knows."""
    pools = PoolTable(clock, REGIONS)
    for name, zone in (("a", "e1"), ("b", "w1"), ("c", "lost")):
        name, zone = UpstreamId(name), ZoneId(zone)
        state = UpstreamState.READY
        pools.adopt(UpstreamEntry(name, POOL, f"{name}:1", zone, 8, state))
    return pools


def chosen(pools, regions, tried=frozenset()):
    asked = traits(prompt())
    resolution = replace(asked.resolution, regions=regions)
    asked = replace(asked, resolution=resolution)
    return choose_upstream(pools, asked, tried, ZoneId("w1"), pools.clock.now())


def test_a_request_stays_in_its_regions(pools):
    assert chosen(pools, frozenset({"east"})).view.id == "a"


def test_a_repeat_stays_in_its_regions(pools):
    assert chosen(pools, frozenset({"east"}), {"a"}) is None


def test_memory_is_not_copied_from_another_region(pools):
    pools.views["b"].prefixes.record(prompt())
    choice = chosen(pools, frozenset({"east"}))
    assert choice.copy_from == ""


def test_where_no_region_is_allowed_nobody_is_chosen(pools):
    assert chosen(pools, frozenset()) is None
    assert not pools.has_ready_in(POOL, frozenset())
    assert not pools.has_ready_in(POOL, frozenset({"south"}))


def test_an_evacuation_of_all_that_is_allowed_is_told_apart(pools):
    pools.evacuations.record(ZoneId("e1"), 1, True)
    assert chosen(pools, frozenset({"east"})) is None
    assert pools.is_evacuated(POOL, frozenset({"east"}))
    assert not pools.is_evacuated(POOL)
