"""Tests of who speaks for a zone, what sums reach whom, who knows more."""

import pytest

from buckthornwall.codes import PeerError
from buckthornwall.peers import Beacon, Digest, PeerState, PeerTable, PeerView, Work
from buckthornwall.peers.election import election_priority
from buckthornwall.peers.messages import PeerMessage, decode, encode
from buckthornwall.pools import UpstreamEntry, UpstreamState
from buckthornwall.routing import PoolId
from buckthornwall.utils import Incarnation, NodeId, UpstreamId, ZoneId

ENGINE = UpstreamId("e")
SILENCE_S = 0.8
STAGGER_S = 0.1
# Three addresses, the highest in the order first.
FIRST, SECOND, THIRD = sorted(
    (f"10.0.0.{n}:7340" for n in (1, 2, 3)),
    key=lambda address: election_priority(address, 1.0),
    reverse=True,
)


def beacon(
    address,
    loads=None,
    zone="z",
    state=PeerState.READY,
    number=1,
    change_revision=1,
    store_uptime_ms=0,
):
    return Beacon(
        NodeId(address),
        Incarnation(1),
        address,
        1.0,
        ZoneId(zone),
        state,
        number,
        change_revision,
        300,
        store_uptime_ms,
        loads or {},
    )


def table(address, zone="z", weight=1.0):
    return PeerTable(address, weight, ZoneId(zone), SILENCE_S, STAGGER_S)


def test_messages_come_back_as_they_were_sent():
    sent = beacon(FIRST, {ENGINE: Work(3, {5: 900}, 0)})
    digest = table(FIRST).make_digest(sent, is_fleet=True, now=0.0)
    entry = UpstreamEntry(
        ENGINE, PoolId("p"), "10.0.0.1:80", ZoneId("z"), 4, UpstreamState.LEAVING
    )
    view = PeerView(7, 6, b"raw", [entry])
    assert decode(encode(sent), Beacon | Digest) == sent
    assert decode(encode(digest), Beacon | Digest) == digest
    assert decode(encode(view), PeerView) == view
    heartbeat = table(FIRST).make_heartbeat(sent, is_fleet=True, now=0.0)
    assert decode(encode(heartbeat), PeerMessage) == heartbeat


OTHER = encode(PeerView(1, 1, b"", []))


@pytest.mark.parametrize("data", [b"", b"\xff\xff", b"\x80", OTHER])
def test_other_bytes_are_refused(data):
    with pytest.raises(PeerError):
        decode(data, Beacon | Digest)


def test_the_highest_of_a_zone_speaks_and_the_others_tell_it():
    first, second = table(FIRST), table(SECOND)
    assert first.is_speaker(0.0)
    assert second.is_speaker(0.0)
    second.receive_digest(first.make_digest(beacon(FIRST), True, now=0.0), 0.0)
    first.receive_digest(second.make_digest(beacon(SECOND), True, now=0.0), 0.0)
    assert first.is_speaker(0.1)
    assert second.speaker_address(0.1) == FIRST


def test_who_can_carry_most_speaks():
    light, heavy = table(FIRST), table(SECOND, weight=200.0)
    heavy.receive_digest(light.make_digest(beacon(FIRST), True, now=0.0), 0.0)
    light.receive_digest(heavy.make_digest(beacon(SECOND), True, now=0.0), 0.0)
    assert heavy.is_speaker(0.1)
    assert light.speaker_address(0.1) == SECOND


def test_a_silent_speaker_is_followed_one_after_the_other():
    first, second, third = table(FIRST), table(SECOND), table(THIRD)
    first.receive_beacon(beacon(SECOND), 0.0)
    first.receive_beacon(beacon(THIRD), 0.0)
    digest = first.make_digest(beacon(FIRST), True, now=0.0)
    second.receive_digest(digest, 0.0)
    third.receive_digest(digest, 0.0)
    just_silent = SILENCE_S + STAGGER_S / 2
    assert second.is_speaker(just_silent)
    assert not third.is_speaker(just_silent)
    assert third.is_speaker(SILENCE_S + 1.5 * STAGGER_S)


def test_a_lower_speaker_does_not_replace_a_higher_one_that_is_live():
    third = table(THIRD)
    third.receive_digest(table(FIRST).make_digest(beacon(FIRST), True, now=0.0), 0.0)
    third.receive_digest(table(SECOND).make_digest(beacon(SECOND), True, now=0.0), 0.1)
    assert third.speaker_address(0.2) == FIRST


def test_work_adds_up_over_a_zone_and_goes_with_its_member():
    first = table(FIRST)
    first.receive_beacon(beacon(SECOND, {ENGINE: Work(2, {0: 100, 5: 50}, 0)}), 0.0)
    first.receive_beacon(beacon(THIRD, {ENGINE: Work(1, {5: 25}, 0)}), 0.5)
    own = beacon(FIRST, {ENGINE: Work(4, {5: 5}, 0)})
    assert first.make_digest(own, False, now=0.0).loads[ENGINE] == Work(
        7, {0: 100, 5: 80}, 0
    )
    others = first.peer_work(own, 0.6)[ENGINE]
    assert (others.requests, others.pending_prefill) == (3, {0: 100, 5: 75})
    assert first.expire(1.0) == [SECOND]
    assert first.peer_work(own, 1.0)[ENGINE].requests == 1


def test_the_oldest_wait_of_any_instance_is_told():
    first = table(FIRST)
    first.receive_beacon(
        beacon(SECOND, {ENGINE: Work(1, {5: 9}, 0, {5: 700}, 90)}), 0.0
    )
    own = beacon(FIRST, {ENGINE: Work(1, {5: 9}, 0, {2: 40, 5: 300}, 50)})
    told = first.make_digest(own, True, now=0.0).loads[ENGINE]
    assert (told.oldest_wait_ms, told.memory) == ({2: 40, 5: 700}, 140)
    others = first.peer_work(own, 0.1)[ENGINE]
    assert (others.oldest_wait_s, others.memory) == ({2: 0.04, 5: 0.7}, 90)


def test_a_member_takes_its_own_part_off_the_sum():
    first, second = table(FIRST), table(SECOND)
    told = beacon(SECOND, {ENGINE: Work(2, {5: 50}, 0)})
    first.receive_beacon(told, 0.0)
    second.reported_work = told.loads
    second.receive_digest(
        first.make_digest(beacon(FIRST, {ENGINE: Work(1, {}, 0)}), True, now=0.0), 0.0
    )
    others = second.peer_work(beacon(SECOND), 0.1)[ENGINE]
    assert (others.requests, others.pending_prefill) == (1, {})


def test_zones_are_added_once_and_only_from_their_speakers():
    first = table(FIRST)
    far = table("10.1.0.1:7340", "far")
    zone_digest = far.make_digest(
        beacon(far.address, {ENGINE: Work(5, {}, 0)}, "far"), False, now=0.0
    )
    fleet_digest = far.make_digest(
        beacon(far.address, {ENGINE: Work(9, {}, 0)}, "far"), True, now=0.0
    )
    for digest in (zone_digest, fleet_digest, zone_digest):
        first.receive_digest(digest, 0.0)
    whole = first.make_digest(beacon(FIRST), True, now=0.0)
    assert whole.loads[ENGINE].requests == 5
    assert whole.count == 2
    assert whole.speakers == {"z": FIRST, "far": far.address}


def test_who_knows_most_is_named():
    first = table(FIRST)
    first.receive_beacon(beacon(SECOND, number=3, change_revision=9), 0.0)
    digest = first.make_digest(
        beacon(FIRST, number=2, change_revision=20), True, now=0.0
    )
    assert (digest.freshest_peer, digest.number) == (SECOND, 3)


def test_the_longest_unbroken_time_of_any_zone_is_told():
    first = table(FIRST)
    first.receive_beacon(beacon(SECOND, store_uptime_ms=700), 0.0)
    far = table("10.1.0.1:7340", "far")
    told = far.make_digest(
        beacon(far.address, zone="far", store_uptime_ms=9000), False, now=0.0
    )
    assert first.make_digest(beacon(FIRST), True, now=0.0).store_uptime_ms == 700
    first.receive_digest(told, 0.0)
    assert first.make_digest(beacon(FIRST), True, now=0.0).store_uptime_ms == 9000


def test_who_leaves_no_longer_counts_and_who_joins_not_yet():
    first = table(FIRST)
    first.receive_beacon(beacon(SECOND), 0.0)
    first.receive_beacon(beacon(THIRD, state=PeerState.JOINING), 0.0)
    assert first.make_digest(beacon(FIRST), True, now=0.0).count == 2
    first.receive_beacon(beacon(SECOND, state=PeerState.LEAVING), 0.1)
    assert first.make_digest(beacon(FIRST), True, now=0.0).count == 1
    assert list(first.members) == [THIRD]
    assert sorted(first.member_addresses(0.1)) == sorted([SECOND, THIRD])
    first.expire(0.1 + 1.1 * SILENCE_S)
    assert SECOND not in first.member_addresses(0.1 + 1.1 * SILENCE_S)


def test_a_speaker_that_leaves_is_followed_at_once():
    first, second = table(FIRST), table(SECOND)
    second.receive_digest(first.make_digest(beacon(FIRST), True, now=0.0), 0.0)
    second.receive_beacon(beacon(FIRST, state=PeerState.LEAVING), 0.1)
    assert second.is_speaker(0.11)


def test_a_speaker_that_says_again_that_it_leaves_is_followed_all_the_same():
    """The second in the order waited anew with each word of the one that left.

    It went by a digest that grew old, and told its work to the leaving speaker:

        news_overdue speaker=10.2.0.22:7480 word_age_ms=1245 number=172
        news_heard silent_ms=5251 number=186
    """
    first, third = table(FIRST), table(THIRD)
    first.receive_beacon(beacon(SECOND), 0.0)
    first.receive_beacon(beacon(THIRD), 0.0)
    third.receive_digest(first.make_digest(beacon(FIRST), True, now=0.0), 0.0)
    for tenth in range(10):
        now = 0.1 + tenth * 0.1
        third.receive_beacon(beacon(FIRST, state=PeerState.LEAVING), now)
    assert third.is_speaker(0.1 + 1.5 * STAGGER_S)
    assert third.is_speaker(1.1)


def test_a_pointer_to_a_speaker_never_hides_its_digest():
    first = table(FIRST)
    far = table("10.1.0.1:7340", "far")
    digest = far.make_digest(
        beacon(far.address, {ENGINE: Work(5, {}, 0)}, "far"), False, now=0.0
    )
    first.receive_digest(digest, 0.0)
    pointer = far.make_digest(beacon(far.address, {}, "far"), False, now=0.0)
    pointer.count = 0
    first.receive_digest(pointer, 0.1)
    assert first.make_digest(beacon(FIRST), True, now=0.0).loads[ENGINE].requests == 5


def test_parts_that_were_sent_to_an_engine_are_told_through_the_speaker():
    """Most prompts reach an engine that others sent their shared part to."""
    first = table(FIRST)
    own = beacon(SECOND)
    own.cached_prefixes = {ENGINE: [("s", 4000)]}
    first.receive_beacon(own, 0.0)
    mine = beacon(FIRST)
    mine.cached_prefixes = {ENGINE: [("t", 900)]}
    zone_only = first.make_digest(mine, is_fleet=False, now=0.0)
    assert sorted(zone_only.cached_prefixes[ENGINE]) == [("s", 4000), ("t", 900)]


def test_parts_told_by_another_zone_reach_the_own_and_do_not_go_back():
    first, far = table(FIRST), PeerTable("10.0.0.9:1", 1.0, "far", 0.8, 0.1)
    theirs = beacon(far.address, zone="far")
    theirs.cached_prefixes = {ENGINE: [("s", 4000)]}
    first.receive_digest(far.make_digest(theirs, is_fleet=False, now=0.0), 0.0)
    assert (
        first.make_digest(beacon(FIRST), True, 0.0).cached_prefixes
        == theirs.cached_prefixes
    )
    assert first.make_digest(beacon(FIRST), False, 0.0).cached_prefixes == {}


@pytest.mark.parametrize("interval_s", [0.1, 0.7, 2.0])
def test_parts_outlast_the_time_between_two_digests(interval_s):
    """Digests of a large fleet are up to some seconds apart, to bound their bytes."""
    first = table(FIRST)
    first.prefixes.set_interval(interval_s)
    own = beacon(SECOND)
    own.cached_prefixes = {ENGINE: [("s", 4000)]}
    first.receive_beacon(own, 0.0)
    digest = first.make_digest(beacon(FIRST), is_fleet=False, now=interval_s + 0.01)
    assert digest.cached_prefixes == own.cached_prefixes


def test_a_heartbeat_counts_as_word_of_its_sender_and_of_nobody_else():
    first, second, third = table(FIRST), table(SECOND), table(THIRD)
    third.receive_digest(first.make_digest(beacon(FIRST), True, now=0.0), 0.0)
    third.receive_heartbeat(second.make_heartbeat(beacon(SECOND), True, 0.6), 0.6)
    assert third.staleness_s(0.7) == pytest.approx(0.7)
    newer = first.make_heartbeat(beacon(FIRST, number=4, change_revision=9), True, 0.7)
    third.receive_heartbeat(newer, 0.7)
    told = third.fleet_digest(beacon(THIRD), 0.8)
    assert third.staleness_s(0.8) == pytest.approx(0.1)
    assert (told.number, told.change_revision, told.freshest_peer) == (4, 9, FIRST)


def test_what_was_heard_of_a_reading_grows_older():
    """Told on as it was heard, a reading of the store seemed newer than it was."""
    first = table(FIRST)
    told = beacon(SECOND)
    told.read_age_ms = 100
    first.receive_beacon(told, 0.0)
    own = beacon(FIRST)
    own.read_age_ms = 5000
    assert first.make_digest(own, True, now=0.7).read_age_ms == 800
