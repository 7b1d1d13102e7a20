"""Tests of beacons: who is live, what work they tell, who knows more."""

import pytest

from buckthornwall.codes import PeerError
from buckthornwall.peers import Beacon, PeerState, PeerTable, PeerView
from buckthornwall.peers.messages import decode, encode
from buckthornwall.pools import UpstreamEntry, UpstreamState
from buckthornwall.routing import PoolId
from buckthornwall.utils import Incarnation, NodeId, UpstreamId, ZoneId

ENGINE = UpstreamId("e")


def beacon(node, loads=None, revision=1, zone="z", known=(), state=PeerState.READY):
    return Beacon(
        NodeId(node),
        Incarnation(1),
        f"10.0.0.{ord(node[0])}:7340",
        ZoneId(zone),
        state,
        1,
        revision,
        loads or {},
        list(known),
    )


@pytest.fixture
def table():
    return PeerTable(NodeId("me"), "10.0.0.1:7340")


def test_a_beacon_comes_back_as_it_was_sent():
    sent = beacon("a", {ENGINE: (3, {5: 900})}, known=["10.0.0.7:7340"])
    assert decode(encode(sent), Beacon) == sent


def test_a_view_comes_back_as_it_was_sent():
    entry = UpstreamEntry(
        ENGINE, PoolId("p"), "10.0.0.1:80", ZoneId("z"), 4, UpstreamState.LEAVING
    )
    sent = PeerView(7, b"raw", [entry])
    assert decode(encode(sent), PeerView) == sent


@pytest.mark.parametrize(
    "data", [b"", b"\xff\xff", b"\x80", encode(PeerView(1, b"", []))]
)
def test_other_bytes_are_refused(data):
    with pytest.raises(PeerError):
        decode(data, Beacon)


def test_loads_add_up_and_go_with_their_peer(table):
    table.hear(beacon("a", {ENGINE: (2, {0: 100, 5: 50})}), 0.0)
    table.hear(beacon("b", {ENGINE: (1, {5: 25})}), 0.9)
    assert table.loads[ENGINE].requests == 3
    assert table.loads[ENGINE].unread == {0: 100, 5: 75}
    table.hear(beacon("b"), 0.95)
    assert table.loads[ENGINE].requests == 2
    gone, changed = table.expire(1.5, 0.1)
    assert gone == ["a"]
    assert changed == {ENGINE}
    assert table.loads[ENGINE].requests == 0
    assert table.loads[ENGINE].unread == {}


def test_own_beacons_are_ignored(table):
    assert table.hear(beacon("me"), 0.0) == (False, set())
    assert not table.live


def test_addresses_that_others_name_are_greeted(table):
    table.hear(beacon("a", known=["10.0.0.7:7340", "10.0.0.1:7340"]), 0.0)
    assert table.to_greet(0.1) == ["10.0.0.7:7340"]


def test_a_greeted_address_that_never_answers_is_given_up(table):
    table.learn("10.0.0.7:7340", 0.0)
    assert table.to_greet(100.0) == []


def test_who_knows_more_is_asked_and_near_ones_first(table):
    table.hear(beacon("a", revision=9, zone="far"), 0.0)
    table.hear(beacon("b", revision=9), 0.0)
    table.hear(beacon("c", revision=3), 0.0)
    assert table.best_informed(5, ZoneId("z")).node == "b"
    assert table.best_informed(9, ZoneId("z")) is None


def test_who_is_joining_does_not_count_as_serving(table):
    table.hear(beacon("a", state=PeerState.JOINING), 0.0)
    table.hear(beacon("b"), 0.0)
    assert table.serving() == 1
