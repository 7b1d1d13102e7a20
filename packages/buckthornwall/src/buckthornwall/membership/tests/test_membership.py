"""Tests of the table of members, of freezes and of delays."""

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


def heard(table, node, now, state=NodeState.READY, incarnation=1):
    return table.record_heartbeat(node, incarnation, state, "z", now)


def test_a_listed_member_is_live_once_it_is_heard(table):
    assert table.live() == ["a"]
    assert heard(table, "b", 1.0)
    assert sorted(table.live()) == ["a", "b"]
    assert table.share_count() == 3


def test_a_silent_member_is_suspected_but_keeps_its_part_while_listed(table):
    heard(table, "b", 0.0)
    assert table.expire(1.0) == []
    assert table.expire(3.0) == ["b"]
    assert table.live() == ["a"]
    assert table.share_count() == 3


def test_a_member_that_the_list_drops_and_nobody_hears_is_forgotten(table):
    table.apply_list({"a": PeerAddress("a", "127.0.0.1:1", "z")}, 100.0)
    assert table.share_count() == 1


def test_leaving_is_believed_at_once(table):
    heard(table, "b", 0.0)
    heard(table, "c", 0.0)
    winner = next(role for role in map(str, range(50)) if table.winner(role) == "b")
    heard(table, "b", 0.1, NodeState.LEAVING)
    assert table.winner(winner) != "b"


def test_after_a_freeze_nobody_counts_as_heard(table):
    heard(table, "b", 0.0)
    table.suspect_all(0.1)
    assert table.live() == ["a"]


def test_second_hand_news_of_a_leaving_upstream_is_not_passed_on(table):
    table.mark_leaving("e1", 0.0, first_hand=True)
    table.mark_leaving("e2", 0.0, first_hand=False)
    assert table.is_leaving("e1", 1.0)
    assert table.is_leaving("e2", 1.0)
    assert table.leaving_upstreams(1.0) == ["e1"]
    assert not table.is_leaving("e2", 100.0)


def test_a_gap_between_looks_is_a_freeze(clock):
    woken = []
    detector = FreezeDetector(clock, 1.0)
    detector.listeners.append(lambda: woken.append(clock.now()))
    clock.time += 0.9
    assert not detector.check()
    clock.time += 5.0
    assert detector.check()
    assert woken == [clock.now()]
    assert not detector.check()


def test_lateness_is_what_a_message_took_beyond_the_quickest():
    delays = DelayEstimator()
    assert delays.excess_delay_s("b", 1, sent_at=1000.0, now=10.0) == 0
    assert delays.excess_delay_s("b", 1, sent_at=1001.0, now=14.0) == 3.0
    assert delays.excess_delay_s("b", 1, sent_at=1002.0, now=11.5) == 0
    assert delays.excess_delay_s("b", 1, sent_at=1003.0, now=13.0) == 0.5


def test_another_incarnation_has_another_clock():
    delays = DelayEstimator()
    delays.excess_delay_s("b", 1, sent_at=1000.0, now=10.0)
    assert delays.excess_delay_s("b", 2, sent_at=5.0, now=11.0) == 0
