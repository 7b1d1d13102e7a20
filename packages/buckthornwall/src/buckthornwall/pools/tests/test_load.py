"""Tests of load, the prefix cache estimate, wait calibration and overload."""

import pytest

from buckthornwall.pools import (
    LoadReport,
    UpstreamEntry,
    UpstreamState,
)
from buckthornwall.pools.overload import is_overloaded
from buckthornwall.pools.prefixes import PrefixCacheEstimate
from buckthornwall.pools.wait_calibration import WaitCalibration

from .helpers import POOL, ZONE, prompt


def test_old_report_gives_way_to_counts(table, clock):
    load = table.views["a"].load
    load.record_report(LoadReport(4, 9, 4), clock.now())
    assert load.in_flight(clock.now()) == 13
    clock.time += 5
    assert load.in_flight(clock.now()) == 0


def test_leaving_upstream_is_not_usable(table):
    entry = table.views["a"].entry
    table.adopt(
        UpstreamEntry(entry.id, POOL, entry.address, ZONE, 4, UpstreamState.LEAVING)
    )
    assert {view.id for view in table.usable(POOL, set())} == {"b", "c"}


def test_least_recently_used_segments_are_evicted():
    cache = PrefixCacheEstimate(12_000)
    cache.record(prompt("s", "x"))
    assert cache.cached_tokens(prompt("s", "y")) == 4000
    cache.record(prompt("t", "z"))
    assert cache.cached_tokens(prompt("s", "y")) == 0


def test_calibration_converges_to_observed_ratio():
    calibration = WaitCalibration()
    for _ in range(200):
        calibration.record(5, 0.1, 0.3)
    assert calibration.factor(5) == pytest.approx(3.0, abs=0.1)


def test_pool_is_not_overloaded_while_half_of_its_slots_are_free(table, clock):
    views = table.members(POOL)
    assert not is_overloaded(9.0, 0.1, 1.0, views, clock.now())
    for view in views:
        view.load.requests = 4
    assert is_overloaded(9.0, 0.1, 1.0, views, clock.now())
    assert not is_overloaded(0.8, 0.1, 1.0, views, clock.now())
    assert is_overloaded(0.9, 0.1, 1.0, views, clock.now())


def test_request_is_not_refused_for_its_own_prefill(table, clock):
    views = table.members(POOL)
    for view in views:
        view.load.requests = 4
    assert not is_overloaded(2.0, 1.7, 1.0, views, clock.now())
    assert is_overloaded(2.2, 1.7, 1.0, views, clock.now())
