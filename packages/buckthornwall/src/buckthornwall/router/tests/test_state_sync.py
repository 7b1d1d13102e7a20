"""Tests of when an instance reads the store, and when it fetches a peer's view."""

import pytest

from buckthornwall.discovery import DiscoveryAgent, DiscoverySettings, StoreUpdate
from buckthornwall.peers import (
    Beacon,
    PeerSettings,
    PeerState,
    PeerTable,
    ViewClient,
)
from buckthornwall.pools import PoolTable, UpstreamEntry, UpstreamState
from buckthornwall.router.state_sync import (
    MAX_DIGEST_AGE_S,
    StateSync,
    view_pause_s,
)
from buckthornwall.routing import PoolId, PublishedConfig, RoutingTable
from buckthornwall.settings import MAX_SUBSTITUTES, ReadBudget
from buckthornwall.utils import (
    Incarnation,
    NodeId,
    StorePosition,
    UpstreamId,
    ZoneId,
)

ZONE = ZoneId("z")
LOCAL, OTHER = "10.0.0.1:7340", "10.0.0.2:7340"
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
def sync(clock):
    """Return a member with version 1 and a recent digest of a far heavier speaker."""
    discovery = DiscoveryAgent(
        DiscoverySettings(), None, decode, RoutingTable(), PoolTable(clock), clock
    )
    discovery.adopt(
        StoreUpdate(revision=1, is_snapshot=True, change_revision=1, published=b"1")
    )
    peers = PeerTable(LOCAL, 1.0, ZONE, 0.8, 0.1)
    budget = ReadBudget(discovery.settings, PeerSettings())
    sync = StateSync(
        discovery, peers, lambda: beacon(LOCAL), ViewClient(), clock, budget
    )
    receive_digest(sync, clock)
    return sync


def receive_digest(sync, clock, number=1, read_age_ms=100) -> None:
    speaker = PeerTable(OTHER, 9.0, ZONE, 0.8, 0.1)
    local = beacon(OTHER, number, read_age_ms)
    digest = speaker.make_digest(local, True, clock.now())
    sync.peers.receive_digest(digest, clock.now())


def test_member_with_a_recent_digest_does_not_read(sync):
    assert not sync.may_read()


def test_instance_without_digests_reads_the_store(sync, clock, monkeypatch):
    """A speaker that sent no digests left a member with an old version for 5 s."""
    monkeypatch.setattr(sync.peers, "is_speaker", lambda now: False)
    monkeypatch.setattr(sync.peers, "succession_place", lambda: MAX_SUBSTITUTES)
    clock.time += MAX_DIGEST_AGE_S - 0.1
    assert not sync.may_read()
    clock.time += 0.2
    assert sync.may_read()


@pytest.mark.parametrize("place", range(MAX_SUBSTITUTES))
def test_member_reads_while_the_reads_of_its_speaker_are_overdue(
    sync, clock, monkeypatch, place
):
    """The speaker is cut off from the store, and its digests go on."""
    monkeypatch.setattr(sync.peers, "succession_place", lambda: place)
    cycle_ms = int(sync.budget.overdue_s * 1000)
    receive_digest(sync, clock, read_age_ms=cycle_ms + 100 * place - 20)
    assert not sync.may_read()
    receive_digest(sync, clock, read_age_ms=cycle_ms + 100 * place + 20)
    assert sync.may_read()
    receive_digest(sync, clock, read_age_ms=50)  # its own read
    clock.time += 1.9
    receive_digest(sync, clock, read_age_ms=50)
    assert sync.may_read()
    clock.time += 0.2
    receive_digest(sync, clock, read_age_ms=50)
    assert not sync.may_read()


def test_all_instances_read_when_the_store_has_answered_none(sync, clock, monkeypatch):
    monkeypatch.setattr(sync.peers, "succession_place", lambda: MAX_SUBSTITUTES)
    receive_digest(sync, clock, read_age_ms=int(sync.max_read_age_ms) - 300)
    assert not sync.may_read()
    clock.time += 0.5
    assert sync.may_read()


def test_member_fetches_a_view_at_once_and_a_reader_only_if_its_watch_is_late(
    sync, clock, monkeypatch
):
    receive_digest(sync, clock, number=2)
    fleet = sync.peers.fleet_digest(beacon(LOCAL), clock.now())
    assert sync.should_fetch_view(fleet)
    monkeypatch.setattr(sync, "may_read", lambda: True)
    assert not sync.should_fetch_view(fleet)
    clock.time += 1.0
    assert sync.should_fetch_view(fleet)
    sync.discovery.adopt(
        StoreUpdate(revision=2, is_snapshot=False, change_revision=2, published=b"2")
    )
    assert not sync.should_fetch_view(fleet)


async def test_store_is_read_when_no_peer_returns_its_view(sync, clock):
    """A dead peer that had the newest state would be requested again and again."""
    receive_digest(sync, clock, number=2)
    fleet = sync.peers.fleet_digest(beacon(LOCAL), clock.now())
    assert sync.should_fetch_view(fleet)
    assert not sync.may_read()
    await sync.fetch_view("127.0.0.1:1")
    assert sync.may_read()
    sync.discovery.adopt(
        StoreUpdate(revision=2, is_snapshot=False, change_revision=2, published=b"2")
    )
    assert not sync.should_fetch_view(fleet)
    assert not sync.may_read()


@pytest.mark.parametrize(
    ("took_s", "pause_s"), [(0.003, 0.012), (0.1, 0.4), (0.25, 0.8), (1.0, 0.8)]
)
def test_slow_views_are_fetched_less_often(took_s, pause_s):
    """They delay callers' responses on the link: 150 KB over 5 Mbit/s take 0.25 s."""
    assert view_pause_s(took_s) == pytest.approx(pause_s)


def test_view_gives_the_remaining_cold_time_of_an_upstream(sync, clock):
    """Sent as it was read, the cold time began anew with each view that was fetched."""
    sync.discovery.pools.adopt(COLD)
    clock.time += 2.0
    assert [entry.cold_s for entry in sync.view().entries] == [1.0]


def adopt(sync, era, revision, number):
    sync.discovery.adopt(
        StoreUpdate(
            revision,
            is_snapshot=True,
            change_revision=revision,
            published=b"%d" % number,
            era=era,
        )
    )


def hears_of_newer(sync, clock, era, revision, number) -> bool:
    """Return whether a view is fetched from an instance that reports its state."""
    speaker = PeerTable(OTHER, 9.0, ZONE, 0.8, 0.1)
    local = beacon(OTHER, number)
    local.change_revision, local.store_era = revision, era
    digest = speaker.make_digest(local, True, clock.now())
    sync.peers.receive_digest(digest, clock.now())
    return sync.should_fetch_view(digest)


@pytest.mark.parametrize(
    ("era", "revision", "number", "is_newer"),
    [
        (2, 3, 7, True),  # read since the store returned
        (1, 99, 9, False),  # it will name the later era too, and then be newer
        (2, 30, 9, True),
        (1, 99, 7, False),  # more changes, but of the lost history
        (0, 31, 7, True),  # an earlier build
        (0, 30, 7, False),
    ],
)
def test_view_of_a_later_era_is_newer_than_one_of_a_higher_revision(
    sync, clock, era, revision, number, is_newer
):
    adopt(sync, 1 if (era, revision) == (2, 3) or not era else 2, 30, 7)
    assert hears_of_newer(sync, clock, era, revision, number) == is_newer


def test_view_keeps_the_era_of_each_evacuation(sync):
    evacuations = sync.discovery.pools.evacuations
    adopt(sync, 2, 12, 7)
    evacuations.record(ZoneId("kept"), StorePosition(1, 30), True)
    evacuations.record(ZoneId("new"), StorePosition(2, 11), True)
    view = sync.view()
    assert (view.store_era, view.evacuated_eras) == (2, {"kept": 1, "new": 2})
    assert view.evacuated == {"kept": 30, "new": 11}


def test_uptime_of_a_former_era_does_not_end_deferrals(clock):
    speaker = PeerTable(OTHER, 9.0, ZONE, 0.8, 0.1)
    member, local = beacon(LOCAL), beacon(OTHER)
    member.store_uptime_ms, member.store_era = 90_000, 1
    local.store_uptime_ms, local.store_era = 700, 2
    speaker.receive_beacon(member, clock.now())
    assert speaker.make_digest(local, True, clock.now()).store_uptime_ms == 700
