"""Tests of who reads the store, and when a peer is asked."""

import pytest

from buckthornwall.discovery import DiscoveryAgent, DiscoverySettings, StoreUpdate
from buckthornwall.peers import Beacon, PeerState, PeerTable, ViewClient
from buckthornwall.pools import PoolTable, UpstreamEntry, UpstreamState
from buckthornwall.router.state_sync import UNHEARD_S, StateSync, view_pause_s
from buckthornwall.routing import PoolId, PublishedConfig, RoutingTable
from buckthornwall.utils import Incarnation, NodeId, UpstreamId, ZoneId

ZONE = ZoneId("z")
OWN, OTHER = "10.0.0.1:7340", "10.0.0.2:7340"
COLD = UpstreamEntry(
    UpstreamId("u"), PoolId("p"), "h:1", ZONE, 4, UpstreamState.READY, cold_s=3.0
)


def beacon(address: str, number: int = 1, read_age_ms: int = 100) -> Beacon:
    return Beacon(
        NodeId(address),
        Incarnation(1),
        address,
        1.0,
        ZONE,
        PeerState.READY,
        number,
        number,
        read_age_ms,
        0,
        {},
    )


def decode(raw: bytes) -> PublishedConfig:
    return PublishedConfig(number=int(raw))


@pytest.fixture
def exchange(clock):
    """Return a member with version 1 whose speaker, far above it, has just spoken."""
    discovery = DiscoveryAgent(
        DiscoverySettings(), None, decode, RoutingTable(), PoolTable(clock), clock
    )
    discovery.adopt(
        StoreUpdate(revision=1, is_snapshot=True, change_revision=1, published=b"1")
    )
    peers = PeerTable(OWN, 1.0, ZONE, 0.8, 0.1)
    exchange = StateSync(discovery, peers, lambda: beacon(OWN), ViewClient(), clock)
    hear(exchange, clock)
    return exchange


def hear(exchange, clock, number=1, read_age_ms=100) -> None:
    speaker = PeerTable(OTHER, 9.0, ZONE, 0.8, 0.1)
    own = beacon(OTHER, number, read_age_ms)
    digest = speaker.make_digest(own, True, clock.now())
    exchange.peers.receive_digest(digest, clock.now())


def test_a_member_that_is_told_does_not_read(exchange):
    assert not exchange.may_read()


def test_who_hears_nothing_reads_whoever_speaks(exchange, clock, monkeypatch):
    """Held as a member by a speaker that told nothing, one kept a version for 5 s."""
    monkeypatch.setattr(exchange.peers, "is_speaker", lambda now: False)
    clock.time += UNHEARD_S - 0.1
    assert not exchange.may_read()
    clock.time += 0.2
    assert exchange.may_read()


def test_everyone_reads_when_the_store_has_answered_nobody(exchange, clock):
    hear(exchange, clock, read_age_ms=int(exchange.unread_limit_ms) - 300)
    assert not exchange.may_read()
    clock.time += 0.5
    assert exchange.may_read()


def test_a_member_asks_at_once_and_a_reader_only_when_its_watch_is_late(
    exchange, clock, monkeypatch
):
    hear(exchange, clock, number=2)
    fleet = exchange.peers.fleet_digest(beacon(OWN), clock.now())
    assert exchange.should_ask(fleet)
    monkeypatch.setattr(exchange, "may_read", lambda: True)
    assert not exchange.should_ask(fleet)
    clock.time += 1.0
    assert exchange.should_ask(fleet)
    exchange.discovery.adopt(
        StoreUpdate(revision=2, is_snapshot=False, change_revision=2, published=b"2")
    )
    assert not exchange.should_ask(fleet)


async def test_what_no_peer_hands_over_is_read(exchange, clock):
    """Named as best informed, an instance that had died was asked again and again."""
    hear(exchange, clock, number=2)
    fleet = exchange.peers.fleet_digest(beacon(OWN), clock.now())
    assert exchange.should_ask(fleet)
    assert not exchange.may_read()
    await exchange.take_view("127.0.0.1:1")
    assert exchange.may_read()
    exchange.discovery.adopt(
        StoreUpdate(revision=2, is_snapshot=False, change_revision=2, published=b"2")
    )
    assert not exchange.should_ask(fleet)
    assert not exchange.may_read()


@pytest.mark.parametrize(
    ("took_s", "pause_s"), [(0.003, 0.012), (0.1, 0.4), (0.25, 0.8), (1.0, 0.8)]
)
def test_views_that_take_long_are_asked_for_less_often(took_s, pause_s):
    """They take the link from the callers' answers: 150 KB over 5 Mbit/s, 0.25 s."""
    assert view_pause_s(took_s) == pytest.approx(pause_s)


def test_a_view_tells_for_how_much_longer_an_upstream_is_cold(exchange, clock):
    """Told as it was read, it began anew with each view that was taken."""
    exchange.discovery.pools.adopt(COLD)
    clock.time += 2.0
    assert [entry.cold_s for entry in exchange.view().entries] == [1.0]
