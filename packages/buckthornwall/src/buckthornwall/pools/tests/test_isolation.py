"""Tests of the evidence that this instance is isolated."""

import random

import pytest

from buckthornwall.pools import (
    Isolation,
    UpstreamEntry,
    UpstreamState,
    UpstreamView,
    Verdict,
    probe_order,
)
from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId, ZoneId

A, B = UpstreamId("a"), UpstreamId("b")


@pytest.fixture
def isolation():
    return Isolation()


def view(name, pool="p", zone="z", state=UpstreamState.READY):
    return UpstreamView(
        UpstreamEntry(
            UpstreamId(name), PoolId(pool), "127.0.0.1:1", ZoneId(zone), 4, state
        )
    )


def test_isolation_begins_once_all_probes_failed_and_ends_with_a_connection(isolation):
    begun, regained = [], []
    isolation.on_isolated = lambda: begun.append(True)
    isolation.on_regained = regained.append
    isolation.record_connected(A, 1.0)
    isolation.record_failed(A, 10.0)
    assert isolation.is_in_doubt
    isolation.begin_round(10.0)
    assert isolation.end_round(6, 10.5)
    assert isolation.is_isolated
    assert not isolation.is_probe_due(True, 20.0)
    isolation.record_connected(B, 13.0)
    assert not isolation.is_in_doubt
    assert (begun, regained) == ([True], [8.5])


@pytest.mark.parametrize(("failed", "connects"), [(0, False), (1, False), (6, True)])
def test_instance_that_may_reach_upstreams_is_not_isolated(isolation, failed, connects):
    isolation.record_failed(A, 10.0)
    isolation.begin_round(10.0)
    if connects:
        isolation.record_connected(B, 10.1)
    isolation.record_failed(A, 10.2)
    assert not isolation.end_round(failed, 10.5)
    assert not isolation.is_in_doubt


def test_probes_are_limited_and_need_a_reason(isolation):
    assert not isolation.is_probe_due(False, 10.0)
    assert isolation.is_probe_due(True, 10.0)
    isolation.begin_round(10.0)
    isolation.end_round(0, 10.0)
    assert not isolation.is_probe_due(True, 10.9)
    assert isolation.is_probe_due(True, 11.0)
    isolation.record_failed(A, 10.1)
    assert not isolation.is_probe_due(False, 10.2)
    assert isolation.is_probe_due(False, 10.3)


def test_probes_cover_each_pool_and_zone_and_prefer_those_that_did_not_fail():
    views = [view(f"{n}", f"p{n % 8}", f"z{n % 3}") for n in range(48)]
    views.append(view("leaving", "p9", state=UpstreamState.LEAVING))
    failed = {v.id for v in views if v.entry.pool == "p0"}
    order = probe_order(views, failed, random.Random(1))
    assert {v.entry.pool for v in order} == {f"p{n}" for n in range(8)}
    assert {v.entry.zone for v in order} == {"z0", "z1", "z2"}
    assert len(order) == 8
    assert order[-1].id in failed
    assert len(probe_order(views[:5], (), random.Random(1))) == 5
    one_pool = [view(f"{n}", zone=f"z{n % 3}") for n in range(30)]
    zones = [v.entry.zone for v in probe_order(one_pool, (), random.Random(1))]
    assert sorted(zones) == ["z0", "z0", "z1", "z1", "z2", "z2"]


def isolate(table, clock):
    table.isolation.record_failed(A, clock.now())
    table.isolation.begin_round(clock.now())
    table.isolation.end_round(3, clock.now())


def test_isolated_instance_reports_and_ejects_nothing(table, clock):
    before, during, after = list(table.views.values())[:3]
    table.record_outcome(before, Verdict.UNREACHABLE)
    assert table.unreachable() == [before.id]
    clock.time += 0.3
    isolate(table, clock)
    table.record_outcome(during, Verdict.UNREACHABLE)
    assert table.unreachable() == []
    assert not during.health.ejected
    table.isolation.record_connected(A, clock.now())
    assert table.unreachable() == []
    assert not before.health.ejected
    table.record_outcome(after, Verdict.UNREACHABLE)
    assert table.unreachable() == [after.id]


def test_ejection_before_the_cut_outlasts_it(table, clock):
    view = next(iter(table.views.values()))
    table.record_outcome(view, Verdict.UNREACHABLE)
    clock.time += 10.0
    table.record_outcome(view, Verdict.UNREACHABLE)
    isolate(table, clock)
    table.isolation.record_connected(A, clock.now())
    assert view.health.ejected


def test_nothing_is_reported_until_probes_have_refuted_an_isolation(table, clock):
    view = next(iter(table.views.values()))
    table.isolation.record_failed(view.id, clock.now())
    table.record_outcome(view, Verdict.UNREACHABLE)
    assert table.unreachable() == []
    table.isolation.record_connected(A, clock.now())
    assert table.unreachable() == [view.id]
