"""Guards against brittle upstreams that must reject too many requests, or stay idle."""

import pytest

from buckthornwall.pools.brittleness import (
    ASSUMED_S,
    MAX_SILENCE_S,
    NOT_BRITTLE,
    REJECTION_WINDOW_S,
    RISE_S,
    Brittleness,
)
from buckthornwall.pools.limit_share import Fleet
from buckthornwall.pools.load import Load, PeerLoad
from buckthornwall.pools.rate_limit import LimitReport
from buckthornwall.pools.slot_share import local_slots
from buckthornwall.utils import UpstreamId, ZoneId

ZONES = tuple(ZoneId(f"z{n}") for n in range(3))


def views_of(count):
    members = {
        zone: tuple(f"10.{place}.0.{n}:1" for n in range(count) if n % 3 == place)
        for place, zone in enumerate(ZONES)
    }
    zones = tuple(zone for zone in ZONES if members[zone])
    return [
        Fleet(address, zone, zones, members[zone], count)
        for zone in zones
        for address in members[zone]
    ]


def brittle(share, slots=4, now=100.0):
    state = Brittleness()
    state.slots, state.instances = slots, 6.0
    state.record_answer(3.0, now)
    state.set_share(share, now)
    return state


@pytest.mark.parametrize("instances", [1, 3, 6, 12, 24, 198])
def test_shares_of_all_instances_sum_to_the_slots(instances):
    upstreams = [(UpstreamId(f"e{n}"), 4) for n in range(9)]
    shares = [local_slots(upstreams, fleet) for fleet in views_of(instances)]
    for upstream, slots in upstreams:
        assert sum(share[upstream] for share in shares) == slots
    totals = [sum(share.values()) for share in shares]
    assert max(totals) - min(totals) <= max(3, 0.2 * max(totals))


def test_without_known_members_no_slot_is_local():
    fleet = Fleet("10.0.0.1:1", ZONES[0], ZONES, (), 1)
    assert local_slots([(UpstreamId("e"), 4)], fleet) == {"e": 0}


def test_requests_beyond_the_share_need_clear_room():
    state, load = brittle(share=1), Load()
    state.extra = 1
    state.in_flight = load.requests = 1
    assert state.may_send(load, 100.0)
    load.peers = PeerLoad(requests=3)
    assert not state.may_send(load, 100.0)


def test_a_rejection_pauses_the_requests_of_an_instance():
    state, load = brittle(share=4), Load()
    assert state.may_send(load, 100.0)
    state.record_rejection(100.0)
    assert not state.may_send(load, 100.0 + REJECTION_WINDOW_S)
    assert state.may_send(load, 100.1 + REJECTION_WINDOW_S)


def test_a_larger_share_is_used_only_after_the_former_owner_knows():
    state = brittle(share=1)
    state.set_share(2, 101.0)
    assert state.share == 1
    state.set_share(2, 101.0 + RISE_S)
    assert state.share == 2
    state.set_share(0, 103.0)
    assert state.share == 0


def test_brittleness_ends_with_an_answer_a_newer_report_or_silence():
    state = brittle(share=0)
    assert not state.receive(LimitReport(None, 5000), 101.0)
    assert state.is_in_force(101.0)
    assert not state.is_in_force(100.0 + MAX_SILENCE_S)
    assert state.receive(LimitReport(None, 100), 102.0)
    assert not state.is_in_force(102.0)
    state.record_answer(3.0, 103.0)
    state.record_answer(NOT_BRITTLE, 104.0)
    assert not state.is_in_force(104.0)
    assert state.report(104.0) == LimitReport(None, 0)


def test_a_new_upstream_is_taken_for_brittle_only_until_it_answers():
    state = Brittleness()
    state.assume(100.0)
    assert state.is_in_force(100.0)
    assert not state.is_in_force(100.0 + ASSUMED_S)
    state.record_answer(NOT_BRITTLE, 101.0)
    assert not state.is_in_force(101.0)


def test_end_is_reported_where_brittleness_was_known_from_a_peer(table, clock):
    a = UpstreamId("a")
    table.brittle.receive({a: LimitReport(3.0, 0)})
    assert table.brittle.reports() == {}
    clock.time += 1
    table.brittle.record(table.views[a], NOT_BRITTLE)
    assert table.brittle.reports() == {a: LimitReport(None, 0)}
