"""Tests of which instances send to an upstream that names a limit, at any size."""

from collections import Counter

import pytest

from buckthornwall.pools.limit_share import (
    USED_SHARE,
    Fleet,
    UpstreamLimit,
    local_rates,
)
from buckthornwall.utils import UpstreamId, ZoneId

UPSTREAM = UpstreamId("u")


def local_rate(upstream, per_s, age_s, fleet):
    limit = UpstreamLimit(upstream, per_s, age_s)
    return local_rates([limit], fleet)[upstream]


def fleet_of(sizes):
    """Return the views of all instances of zones of some sizes."""
    zones = tuple(ZoneId(f"z{place}") for place in range(len(sizes)))
    members = [
        tuple(f"10.{place}.0.{n}:1" for n in range(size))
        for place, size in enumerate(sizes)
    ]
    return [
        Fleet(address, zone, zones, of_zone, sum(sizes))
        for zone, of_zone in zip(zones, members, strict=True)
        for address in of_zone
    ]


SIZES = [(1,), (2, 1), (2, 3, 1), (4, 4, 4), (33, 33, 33, 32, 32, 32), (66,) * 5]


@pytest.mark.parametrize("sizes", SIZES)
@pytest.mark.parametrize("per_s", [0.3, 1.0, 2.5, 10.0, 500.0])
def test_all_together_send_no_more_than_is_named(sizes, per_s):
    rates = [local_rate(UPSTREAM, per_s, 0.0, fleet) for fleet in fleet_of(sizes)]
    assert sum(rates) <= per_s
    assert any(rates)


@pytest.mark.parametrize("sizes", SIZES)
@pytest.mark.parametrize("per_s", [1.0, 2.5, 10.0])
def test_what_may_come_at_once_stays_within_a_second_of_it(sizes, per_s):
    rates = [local_rate(UPSTREAM, per_s, 0.0, fleet) for fleet in fleet_of(sizes)]
    assert sum(1 for rate in rates if rate) <= per_s


def test_one_request_a_second_is_used_by_195_instances():
    """In equal parts none of them could send one within three minutes."""
    rates = [
        local_rate(UPSTREAM, 1.0, 0.0, fleet)
        for fleet in fleet_of((33, 33, 33, 32, 32, 32))
    ]
    assert sum(rates) == pytest.approx(USED_SHARE)
    assert Counter(rates)[0.0] == 194


def test_a_rate_for_many_is_used_by_all():
    rates = [local_rate(UPSTREAM, 60.0, 0.0, fleet) for fleet in fleet_of((2, 2, 2))]
    assert rates == [pytest.approx(9.0)] * 6


def test_upstreams_have_different_senders():
    fleets = fleet_of((4, 4, 4))
    chosen = {
        fleet.address
        for number in range(40)
        for fleet in fleets
        if local_rate(UpstreamId(f"u{number}"), 1.0, 0.0, fleet)
    }
    assert len(chosen) > 6


def test_others_are_drawn_where_nobody_hears_of_an_upstream():
    fleets = fleet_of((4, 4, 4))
    chosen = {
        fleet.address
        for seconds in range(0, 300, 10)
        for fleet in fleets
        if local_rate(UPSTREAM, 1.0, float(seconds), fleet)
    }
    assert len(chosen) > 6


def test_an_upstream_that_takes_nothing_is_asked_now_and_then():
    """Only its answer can say that it takes requests again."""
    rates = [local_rate(UPSTREAM, 0.0, 0.0, fleet) for fleet in fleet_of((2, 2))]
    assert 0 < sum(rates) <= 0.1


def test_who_is_not_counted_by_the_others_sends_nothing():
    fleet = Fleet("10.9.0.9:1", ZoneId("z0"), (ZoneId("z0"),), ("10.0.0.1:1",), 1)
    assert local_rate(UPSTREAM, 1.0, 0.0, fleet) == 0.0


@pytest.mark.parametrize("sizes", [(3, 3), (2, 3, 1), (33, 33)])
def test_where_many_have_limits_no_instance_is_left_without_a_part(sizes):
    """By hash alone one of three had a part in one of nine engines, another in six."""
    limits = [
        UpstreamLimit(UpstreamId(f"u{n}"), 2.5, 0.0) for n in range(9 * len(sizes))
    ]
    parts = Counter(
        {
            fleet.address: sum(
                1 for rate in local_rates(limits, fleet).values() if rate
            )
            for fleet in fleet_of(sizes)
        }
    )
    for place, size in enumerate(sizes):
        of_zone = [parts[f"10.{place}.0.{n}:1"] for n in range(size)]
        assert max(of_zone) - min(of_zone) <= 1


def test_a_limit_more_leaves_most_parts_as_they_are():
    fleets = fleet_of((4, 4, 4))
    limits = [UpstreamLimit(UpstreamId(f"u{n}"), 1.0, 0.0) for n in range(9)]

    def parts(limits):
        return {
            (fleet.address, upstream)
            for fleet in fleets
            for upstream, rate in local_rates(limits, fleet).items()
            if rate
        }

    before = parts(limits[1:])
    assert len(before & parts(limits)) >= len(before) / 2
