"""Tests of the election of speakers and of the aggregation of reports."""

import cbor2
import msgspec
import pytest

from buckthornwall.codes import PeerError
from buckthornwall.peers import Beacon, Digest, PeerState, PeerTable, PeerView, Work
from buckthornwall.peers.election import election_priority
from buckthornwall.peers.messages import PeerMessage, decode, encode
from buckthornwall.pools import LimitReport, UpstreamEntry, UpstreamState
from buckthornwall.routing import PoolId
from buckthornwall.utils import Incarnation, NodeId, UpstreamId, ZoneId

ENGINE = UpstreamId("e")
SILENCE_S = 0.8
STAGGER_S = 0.1
# Three addresses, that of the highest priority first.
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
    config_number=1,
    change_revision=1,
    store_uptime_ms=0,
    rank_tokens=None,
    leaving=None,
):
    return Beacon(
        NodeId(address),
        Incarnation(1),
        address,
        1.0,
        ZoneId(zone),
        state,
        config_number,
        change_revision,
        300,
        store_uptime_ms,
        loads or {},
        rank_tokens=rank_tokens or {},
        leaving=leaving or {},
        keeps_origins=True,
    )


def table(address, zone="z", weight=1.0):
    return PeerTable(address, weight, ZoneId(zone), SILENCE_S, STAGGER_S)


def test_messages_round_trip():
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
def test_malformed_messages_are_refused(data):
    with pytest.raises(PeerError):
        decode(data, Beacon | Digest)


def test_instance_with_highest_priority_becomes_speaker():
    first, second = table(FIRST), table(SECOND)
    assert first.is_speaker(0.0)
    assert second.is_speaker(0.0)
    second.receive_digest(first.make_digest(beacon(FIRST), True, now=0.0), 0.0)
    first.receive_digest(second.make_digest(beacon(SECOND), True, now=0.0), 0.0)
    assert first.is_speaker(0.1)
    assert second.speaker_address(0.1) == FIRST


def test_instance_with_highest_weight_becomes_speaker():
    light, heavy = table(FIRST), table(SECOND, weight=200.0)
    heavy.receive_digest(light.make_digest(beacon(FIRST), True, now=0.0), 0.0)
    light.receive_digest(heavy.make_digest(beacon(SECOND), True, now=0.0), 0.0)
    assert heavy.is_speaker(0.1)
    assert light.speaker_address(0.1) == SECOND


def test_take_over_from_silent_speaker_is_staggered():
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


def test_speaker_of_lower_priority_does_not_replace_live_one():
    third = table(THIRD)
    third.receive_digest(table(FIRST).make_digest(beacon(FIRST), True, now=0.0), 0.0)
    third.receive_digest(table(SECOND).make_digest(beacon(SECOND), True, now=0.0), 0.1)
    assert third.speaker_address(0.2) == FIRST


def test_work_is_summed_over_zone_and_dropped_with_its_member():
    first = table(FIRST)
    first.receive_beacon(beacon(SECOND, {ENGINE: Work(2, {0: 100, 5: 50}, 0)}), 0.0)
    first.receive_beacon(beacon(THIRD, {ENGINE: Work(1, {5: 25}, 0)}), 0.5)
    local_beacon = beacon(FIRST, {ENGINE: Work(4, {5: 5}, 0)})
    assert first.make_digest(local_beacon, False, now=0.0).loads[ENGINE] == Work(
        7, {0: 100, 5: 80}, 0
    )
    peers = first.totals.peer_work(local_beacon, 0.6)[ENGINE]
    assert (peers.requests, peers.pending_prefill) == (3, {0: 100, 5: 75})
    assert first.expire(1.0) == [SECOND]
    assert first.totals.peer_work(local_beacon, 1.0)[ENGINE].requests == 1


def test_digest_holds_oldest_wait_of_any_instance():
    first = table(FIRST)
    first.receive_beacon(
        beacon(SECOND, {ENGINE: Work(1, {5: 9}, 0, {5: 700}, 90)}), 0.0
    )
    local_beacon = beacon(FIRST, {ENGINE: Work(1, {5: 9}, 0, {2: 40, 5: 300}, 50)})
    reported = first.make_digest(local_beacon, True, now=0.0).loads[ENGINE]
    assert (reported.oldest_wait_ms, reported.memory) == ({2: 40, 5: 700}, 140)
    peers = first.totals.peer_work(local_beacon, 0.1)[ENGINE]
    assert (peers.oldest_wait_s, peers.memory) == ({2: 0.04, 5: 0.7}, 90)


def test_member_subtracts_its_reported_work_from_sum():
    first, second = table(FIRST), table(SECOND)
    reported = beacon(SECOND, {ENGINE: Work(2, {5: 50}, 0)})
    first.receive_beacon(reported, 0.0)
    second.reported_work = reported.loads
    second.receive_digest(
        first.make_digest(beacon(FIRST, {ENGINE: Work(1, {}, 0)}), True, now=0.0), 0.0
    )
    peers = second.totals.peer_work(beacon(SECOND), 0.1)[ENGINE]
    assert (peers.requests, peers.pending_prefill) == (1, {})


@pytest.mark.parametrize("is_heartbeat", [False, True])
def test_instances_know_what_all_others_admitted_and_refused(is_heartbeat):
    first, second = table(FIRST), table(SECOND)
    remote = table("10.1.0.1:7340", "far")
    pool = PoolId("p")
    local = beacon(FIRST, rank_tokens={pool: {4: (10, 1)}})
    reported = beacon(SECOND, rank_tokens={pool: {4: (20, 2), 7: (5, 0)}})
    far = beacon(remote.address, zone="far", rank_tokens={pool: {4: (40, 4)}})
    first.receive_beacon(reported, 0.0)
    first.receive_digest(remote.make_digest(far, is_fleet=False, now=0.0), 0.0)
    second.reported_rank_tokens = reported.rank_tokens
    if is_heartbeat:
        digest = first.make_digest(beacon(FIRST), is_fleet=True, now=0.0)
        first.assign_sequence(digest)
        second.receive_digest(digest, 0.0)
        heartbeat = first.make_heartbeat(local, is_fleet=True, now=0.0)
        first.add_counts(heartbeat, local, 0.0)
        second.receive_heartbeat(decode(encode(heartbeat), PeerMessage), 0.0)
    else:
        second.receive_digest(first.make_digest(local, is_fleet=True, now=0.0), 0.0)
    assert first.totals.rank_tokens(local, 0.1) == {pool: {4: (60, 6), 7: (5, 0)}}
    assert second.totals.rank_tokens(reported, 0.1) == {pool: {4: (50, 5), 7: (0, 0)}}


def test_remote_zone_is_added_once_and_not_from_fleet_digest():
    first = table(FIRST)
    remote = table("10.1.0.1:7340", "far")
    zone_digest = remote.make_digest(
        beacon(remote.address, {ENGINE: Work(5, {}, 0)}, "far"), False, now=0.0
    )
    fleet_digest = remote.make_digest(
        beacon(remote.address, {ENGINE: Work(9, {}, 0)}, "far"), True, now=0.0
    )
    for digest in (zone_digest, fleet_digest, zone_digest):
        first.receive_digest(digest, 0.0)
    digest = first.make_digest(beacon(FIRST), True, now=0.0)
    assert digest.loads[ENGINE].requests == 5
    assert digest.count == 2
    assert digest.speakers == {"z": FIRST, "far": remote.address}


def test_digest_names_freshest_peer():
    first = table(FIRST)
    first.receive_beacon(beacon(SECOND, config_number=3, change_revision=9), 0.0)
    digest = first.make_digest(
        beacon(FIRST, config_number=2, change_revision=20), True, now=0.0
    )
    assert (digest.freshest_peer, digest.config_number) == (SECOND, 3)


def test_digest_holds_longest_store_uptime_of_any_zone():
    first = table(FIRST)
    first.receive_beacon(beacon(SECOND, store_uptime_ms=700), 0.0)
    remote = table("10.1.0.1:7340", "far")
    reported = remote.make_digest(
        beacon(remote.address, zone="far", store_uptime_ms=9000), False, now=0.0
    )
    assert first.make_digest(beacon(FIRST), True, now=0.0).store_uptime_ms == 700
    first.receive_digest(reported, 0.0)
    assert first.make_digest(beacon(FIRST), True, now=0.0).store_uptime_ms == 9000


def test_departing_and_joining_instances_are_not_counted():
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


def test_departing_speaker_is_replaced_at_once():
    first, second = table(FIRST), table(SECOND)
    second.receive_digest(first.make_digest(beacon(FIRST), True, now=0.0), 0.0)
    second.receive_beacon(beacon(FIRST, state=PeerState.LEAVING), 0.1)
    assert second.is_speaker(0.11)


def test_repeated_departure_does_not_delay_take_over():
    """Each repeated departure restarted the wait of the instance next in priority.

    It followed an outdated digest, and reported its work to the departing speaker:

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


def test_pointer_does_not_replace_digest():
    first = table(FIRST)
    remote = table("10.1.0.1:7340", "far")
    digest = remote.make_digest(
        beacon(remote.address, {ENGINE: Work(5, {}, 0)}, "far"), False, now=0.0
    )
    first.receive_digest(digest, 0.0)
    pointer = remote.make_digest(beacon(remote.address, {}, "far"), False, now=0.0)
    pointer.count = 0
    first.receive_digest(pointer, 0.1)
    assert first.make_digest(beacon(FIRST), True, now=0.0).loads[ENGINE].requests == 5


def joining_digest(address):
    local = beacon(address, state=PeerState.JOINING, config_number=0, change_revision=0)
    return table(address).make_digest(local, is_fleet=True, now=0.0)


def test_instances_that_all_start_follow_the_one_of_highest_priority():
    """They followed whichever answered first, and most took themselves for speakers."""
    third = table(THIRD)
    third.receive_digest(joining_digest(SECOND), 0.0)
    third.receive_digest(joining_digest(FIRST), 0.1)
    assert third.speaker_address(0.1) == FIRST
    third.receive_digest(joining_digest(SECOND), 0.2)
    assert third.speaker_address(0.2) == FIRST


def test_starting_instance_does_not_replace_a_speaker_that_serves():
    third = table(THIRD)
    serving = table(SECOND).make_digest(beacon(SECOND), is_fleet=True, now=0.0)
    third.receive_digest(serving, 0.0)
    third.receive_digest(joining_digest(FIRST), 0.1)
    assert third.speaker_address(0.1) == SECOND


def test_serving_instance_of_lower_priority_does_not_split_those_that_start():
    third = table(THIRD)
    third.receive_digest(joining_digest(FIRST), 0.0)
    serving = table(SECOND).make_digest(beacon(SECOND), is_fleet=True, now=0.0)
    third.receive_digest(serving, 0.1)
    assert third.speaker_address(0.1) == FIRST


def test_zone_size_counts_instances_that_start():
    first = table(FIRST)
    assert first.zone_size() == 1
    first.receive_beacon(beacon(SECOND, state=PeerState.JOINING), 0.0)
    assert first.zone_size() == 2
    third = table(THIRD)
    third.receive_digest(first.make_digest(beacon(FIRST), True, 0.0), 0.0)
    assert third.zone_size() == 3


def test_prefixes_of_members_are_in_zone_digest():
    """Most prompts reach an engine to which other instances sent their prefix."""
    first = table(FIRST)
    member_beacon = beacon(SECOND)
    member_beacon.cached_prefixes = {ENGINE: [("s", 4000)]}
    first.receive_beacon(member_beacon, 0.0)
    local_beacon = beacon(FIRST)
    local_beacon.cached_prefixes = {ENGINE: [("t", 900)]}
    zone_only = first.make_digest(local_beacon, is_fleet=False, now=0.0)
    assert sorted(zone_only.cached_prefixes[ENGINE]) == [("s", 4000), ("t", 900)]


def test_prefixes_of_remote_zone_are_relayed_to_members_only():
    first, remote = table(FIRST), PeerTable("10.0.0.9:1", 1.0, "far", 0.8, 0.1)
    remote_beacon = beacon(remote.address, zone="far")
    remote_beacon.cached_prefixes = {ENGINE: [("s", 4000)]}
    first.receive_digest(
        remote.make_digest(remote_beacon, is_fleet=False, now=0.0), 0.0
    )
    assert (
        first.make_digest(beacon(FIRST), True, 0.0).cached_prefixes
        == remote_beacon.cached_prefixes
    )
    assert first.make_digest(beacon(FIRST), False, 0.0).cached_prefixes == {}


@pytest.mark.parametrize("interval_s", [0.1, 0.7, 2.0])
def test_prefixes_are_relayed_for_longer_than_digest_interval(interval_s):
    """Digests of a large fleet are up to seconds apart, to limit their bytes."""
    first = table(FIRST)
    first.prefixes.set_interval(interval_s)
    member_beacon = beacon(SECOND)
    member_beacon.cached_prefixes = {ENGINE: [("s", 4000)]}
    first.receive_beacon(member_beacon, 0.0)
    digest = first.make_digest(beacon(FIRST), is_fleet=False, now=interval_s + 0.01)
    assert digest.cached_prefixes == member_beacon.cached_prefixes


def test_heartbeat_refreshes_only_its_sender():
    first, second, third = table(FIRST), table(SECOND), table(THIRD)
    third.receive_digest(first.make_digest(beacon(FIRST), True, now=0.0), 0.0)
    third.receive_heartbeat(second.make_heartbeat(beacon(SECOND), True, 0.6), 0.6)
    assert third.staleness_s(0.7) == pytest.approx(0.7)
    newer = first.make_heartbeat(
        beacon(FIRST, config_number=4, change_revision=9), True, 0.7
    )
    third.receive_heartbeat(newer, 0.7)
    reported = third.fleet_digest(beacon(THIRD), 0.8)
    assert third.staleness_s(0.8) == pytest.approx(0.1)
    assert (
        reported.config_number,
        reported.change_revision,
        reported.freshest_peer,
    ) == (
        4,
        9,
        FIRST,
    )


def test_received_read_age_increases_with_time():
    """Relayed without its age, a read of the store seemed newer than it was."""
    first = table(FIRST)
    reported = beacon(SECOND)
    reported.read_age_ms = 100
    first.receive_beacon(reported, 0.0)
    local_beacon = beacon(FIRST)
    local_beacon.read_age_ms = 5000
    assert first.make_digest(local_beacon, True, now=0.7).read_age_ms == 800


def test_leaving_upstreams_reach_other_zones_and_are_passed_on():
    """A heartbeat replaces what the digest before it said."""
    speaker, remote, member = table(FIRST), table(SECOND, "y"), table(THIRD, "y")
    remote.receive_digest(
        speaker.make_digest(beacon(FIRST, leaving={ENGINE: "1"}), False, 0.0), 0.0
    )
    local_beacon = beacon(SECOND, zone="y", leaving={UpstreamId("f"): ""})
    member.receive_digest(remote.make_digest(local_beacon, True, 0.0), 0.0)
    known = {ENGINE: "1", UpstreamId("f"): ""}
    assert remote.totals.leaving(local_beacon, 0.1) == known
    assert member.totals.leaving(beacon(THIRD, zone="y"), 0.1) == known
    remote.receive_heartbeat(speaker.make_heartbeat(beacon(FIRST), False, 0.1), 0.1)
    member.receive_heartbeat(remote.make_heartbeat(local_beacon, True, 0.1), 0.1)
    assert member.totals.leaving(beacon(THIRD, zone="y"), 0.1) == {UpstreamId("f"): ""}


def test_message_of_an_older_build_lacks_leaving_upstreams():
    older = cbor2.loads(encode(beacon(FIRST)))[:-1]
    assert decode(cbor2.dumps(older), PeerMessage).leaving == {}


def test_the_newest_report_of_brittleness_reaches_members_of_other_zones():
    speaker, remote, member = table(FIRST), table(SECOND, "y"), table(THIRD, "y")
    informed = msgspec.structs.replace(
        beacon(FIRST), brittle={ENGINE: LimitReport(3.0, 100)}
    )
    remote.receive_digest(speaker.make_digest(informed, False, 0.0), 0.0)
    local_beacon = beacon(SECOND, zone="y")
    member.receive_digest(remote.make_digest(local_beacon, True, 0.5), 0.5)
    known = member.totals.brittle(beacon(THIRD, zone="y"), 1.0)
    assert known == {ENGINE: LimitReport(3.0, 1100)}
    ended = msgspec.structs.replace(
        beacon(FIRST), brittle={ENGINE: LimitReport(None, 0)}
    )
    remote.receive_heartbeat(speaker.make_heartbeat(ended, False, 1.0), 1.0)
    member.receive_heartbeat(remote.make_heartbeat(local_beacon, True, 1.0), 1.0)
    known = member.totals.brittle(beacon(THIRD, zone="y"), 1.0)
    assert known == {ENGINE: LimitReport(None, 0)}
