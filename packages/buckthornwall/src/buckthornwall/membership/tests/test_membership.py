"""Tests of the member table, freeze detection and delay estimation."""

import pytest

from buckthornwall.links import NodeState, PeerAddress
from buckthornwall.membership import (
    DelayEstimator,
    FreezeDetector,
    MembershipSettings,
    MemberTable,
)


@pytest.fixture
def table():
    table = MemberTable("a", MembershipSettings())
    table.set_local_state(NodeState.READY)
    peers = {name: PeerAddress(name, "127.0.0.1:1", "z") for name in "abc"}
    table.apply_list(peers, 0.0)
    return table


def record_heartbeat(table, node, now, state=NodeState.READY, incarnation=1):
    return table.record_heartbeat(node, incarnation, state, "z", now)


def test_listed_member_is_not_live_before_its_first_heartbeat(table):
    assert table.live() == ["a"]
    assert record_heartbeat(table, "b", 1.0)
    assert sorted(table.live()) == ["a", "b"]
    assert table.share_count() == 3


def test_suspected_member_keeps_its_share_while_listed(table):
    record_heartbeat(table, "b", 0.0)
    assert table.expire(1.0) == []
    assert table.expire(3.0) == ["b"]
    assert table.live() == ["a"]
    assert table.share_count() == 3


def test_unlisted_member_without_heartbeats_is_removed(table):
    table.apply_list({"a": PeerAddress("a", "127.0.0.1:1", "z")}, 100.0)
    assert table.share_count() == 1


def test_leaving_member_holds_no_role(table):
    record_heartbeat(table, "b", 0.0)
    record_heartbeat(table, "c", 0.0)
    winner = next(role for role in map(str, range(50)) if table.winner(role) == "b")
    record_heartbeat(table, "b", 0.1, NodeState.LEAVING)
    assert table.winner(winner) != "b"


def test_no_member_is_live_after_freeze(table):
    record_heartbeat(table, "b", 0.0)
    table.suspect_all(0.1)
    assert table.live() == ["a"]


def test_upstream_that_asked_for_rest_is_unavailable_until_its_end(table):
    table.mark_resting("e1", 3.0)
    table.mark_resting("e1", 2.0)
    assert table.is_unavailable("e1", 2.9)
    assert not table.is_unavailable("e1", 3.1)
    assert not table.is_leaving("e1", 2.9)
    table.mark_leaving("e2", 0.0, first_hand=False)
    assert table.is_unavailable("e2", 1.0)


def test_second_hand_report_of_leaving_upstream_is_not_relayed(table):
    table.mark_leaving("e1", 0.0, first_hand=True)
    table.mark_leaving("e2", 0.0, first_hand=False)
    assert table.is_leaving("e1", 1.0)
    assert table.is_leaving("e2", 1.0)
    assert table.leaving_upstreams(1.0) == ["e1"]
    assert not table.is_leaving("e2", 100.0)


def test_gap_between_checks_is_a_freeze(clock):
    freezes_at = []
    detector = FreezeDetector(clock, 1.0)
    detector.listeners.append(lambda: freezes_at.append(clock.now()))
    clock.time += 0.9
    assert not detector.check()
    clock.time += 5.0
    assert detector.check()
    assert freezes_at == [clock.now()]
    assert not detector.check()


def test_excess_delay_is_relative_to_quickest_message():
    delays = DelayEstimator()
    assert delays.excess_delay_s("b", 1, sent_at=1000.0, now=10.0) == 0
    assert delays.excess_delay_s("b", 1, sent_at=1001.0, now=14.0) == 3.0
    assert delays.excess_delay_s("b", 1, sent_at=1002.0, now=11.5) == 0
    assert delays.excess_delay_s("b", 1, sent_at=1003.0, now=13.0) == 0.5


def test_excess_delay_of_new_incarnation_starts_anew():
    delays = DelayEstimator()
    delays.excess_delay_s("b", 1, sent_at=1000.0, now=10.0)
    assert delays.excess_delay_s("b", 2, sent_at=5.0, now=11.0) == 0
