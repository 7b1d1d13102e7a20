"""Tests of the order in which peers are asked to forward a request."""

from buckthornwall.forwarding.relay_order import choose_peer
from buckthornwall.peers.relay_candidates import RelayCandidate
from buckthornwall.utils import ZoneId

LOCAL, FAR = ZoneId("local"), ZoneId("far")
PEERS = [RelayCandidate(f"p{each}", LOCAL) for each in range(4)]
PEERS.append(RelayCandidate("far", FAR))


def order(request_id="r", failed=()):
    tried = []
    while peer := choose_peer(request_id, LOCAL, PEERS, tried, failed):
        tried.append(peer.address)
    return tried


def test_peers_of_this_zone_come_first_and_failed_ones_last():
    assert order()[-1] == "far"
    assert order(failed={"p1"})[-2:] == ["far", "p1"]


def test_last_instance_of_an_isolated_zone_is_not_asked_for_all_requests():
    peers = [RelayCandidate("local", LOCAL)]
    peers += [RelayCandidate(f"far{each}", FAR) for each in range(9)]
    first = [choose_peer(f"r{each}", LOCAL, peers, [], []) for each in range(400)]
    assert 10 < first.count(peers[0]) < 80


def test_requests_are_spread_over_the_peers_of_a_zone():
    first = [order(f"r{each}")[0] for each in range(400)]
    assert all(60 < first.count(f"p{each}") < 140 for each in range(4))
