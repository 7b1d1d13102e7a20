"""Tests of what instances learn of isolated peers, and of whom they may ask."""

import zlib

import cbor2
import pytest

from buckthornwall.peers import PeerState, relay_candidates
from buckthornwall.peers.aggregation import MAX_RELAYS_PER_ZONE
from buckthornwall.peers.messages import PeerMessage, decode, encode
from buckthornwall.pools import LimitNeed, PoolReports, SpeedSamples

from .test_peers import SILENCE_S, beacon, table


def isolated_beacon(address, zone="z"):
    message = beacon(address, zone=zone)
    message.is_isolated = True
    return message


def exchange(zones, now, isolated=(), members=3):
    """Send the speakers their members' and each other's messages; return tables."""
    speakers, beacons = {}, {}
    for zone in zones:
        first = f"10.{zone}.0.1:7340"
        speakers[zone], beacons[zone] = (
            table(first, zone, 9.0),
            beacon(first, zone=zone),
        )
        beacons[zone].is_isolated = first in isolated
        for n in range(2, members + 1):
            address = f"10.{zone}.0.{n}:7340"
            make = isolated_beacon if address in isolated else beacon
            speakers[zone].receive_beacon(make(address, zone=zone), now)
    for _ in range(2):
        for zone, speaker in speakers.items():
            digest = speaker.make_digest(beacons[zone], False, now)
            for other in speakers.values():
                other.receive_digest(decode(encode(digest), PeerMessage), now)
    return speakers, beacons


def addresses(peers, now=0.0):
    return {(each.address, each.zone) for each in relay_candidates(peers, now)}


@pytest.mark.parametrize("members", [2, 20])
def test_isolated_zone_finds_instances_of_other_zones(members):
    """6 and 60 instances."""
    gone = [f"10.1.0.{n}:7340" for n in range(1, members + 1)]
    speakers, beacons = exchange("123", 0.0, gone, members)
    member = table(gone[1], "1")
    digest = speakers["1"].make_digest(beacons["1"], True, 0.0)
    member.receive_digest(decode(encode(digest), PeerMessage), 0.0)
    expected = {
        (f"10.{zone}.0.{n}:7340", zone)
        for zone in "23"
        for n in range(1, min(members, MAX_RELAYS_PER_ZONE) + 1)
    }
    assert addresses(member) == addresses(speakers["1"]) == expected
    assert len(encode(digest)) < 1000


def test_instances_of_the_zone_are_candidates_unless_isolated_leaving_or_joining():
    speakers, beacons = exchange("1", 0.0, ["10.1.0.2:7340"], members=4)
    speaker = speakers["1"]
    speaker.receive_beacon(
        beacon("10.1.0.9:7340", zone="1", state=PeerState.JOINING), 0.0
    )
    member = table("10.1.0.2:7340", "1")
    member.receive_digest(speaker.make_digest(beacons["1"], True, 0.0), 0.0)
    leaving = beacon("10.1.0.4:7340", zone="1", state=PeerState.LEAVING)
    speaker.receive_beacon(leaving, 0.1)
    member.receive_digest(speaker.make_digest(beacons["1"], True, 0.1), 0.1)
    member.receive_beacon(leaving, 0.1)
    assert addresses(speaker, 0.1) == {("10.1.0.3:7340", "1")}
    assert ("10.1.0.3:7340", "1") in addresses(member, 0.1)
    assert not {("10.1.0.2:7340", "1"), ("10.1.0.4:7340", "1")} & addresses(member, 0.1)


def test_heartbeat_replaces_isolated_instances_and_relays():
    speakers, beacons = exchange("12", 0.0)
    member = table("10.1.0.2:7340", "1")
    member.receive_digest(speakers["1"].make_digest(beacons["1"], True, 0.0), 0.0)
    assert member.speaker.message.relays == {}
    speakers["1"].receive_beacon(isolated_beacon("10.1.0.3:7340", "1"), 0.1)
    heartbeat = speakers["1"].make_heartbeat(beacons["1"], True, 0.1)
    member.receive_heartbeat(decode(encode(heartbeat), PeerMessage), 0.1)
    assert member.speaker.message.isolated == ["10.1.0.3:7340"]
    assert ("10.1.0.3:7340", "1") not in addresses(member, 0.1)
    speakers["1"].expire(1.1 + SILENCE_S)
    heartbeat = speakers["1"].make_heartbeat(beacons["1"], True, 0.2)
    member.receive_heartbeat(heartbeat, 0.2)
    assert (heartbeat.isolated, heartbeat.relays) == ([], {})


def read_fields(message):
    data = encode(message)
    return cbor2.loads(zlib.decompress(data) if data[:1] == b"\x78" else data)


def test_builds_before_and_after_read_each_others_messages():
    speakers, beacons = exchange("1", 0.0, ["10.1.0.2:7340"])
    made = [
        (isolated_beacon("a"), 7),
        (speakers["1"].make_digest(beacons["1"], True, 0.0), 9),
        (speakers["1"].make_heartbeat(beacons["1"], True, 0.0), 8),
    ]
    for message, added in made:
        fields = read_fields(message)
        older = decode(cbor2.dumps(fields[:-added]), PeerMessage)
        assert older.store_era == message.store_era
        assert not getattr(older, "isolated", False)
        assert not older.brittle
        assert not getattr(older, "keeps_origins", False)
        assert not getattr(older, "without_origins", [])
        assert getattr(older, "limit_need", LimitNeed.SHARE) is LimitNeed.SHARE
        assert not getattr(older, "limit_users", {})
        assert not getattr(older, "ceding", 0)
        assert older.pool_reports == PoolReports()
        assert not older.removal_revision
        assert not older.state_checksum
        assert decode(cbor2.dumps([*fields, "later"]), PeerMessage) == message


def test_speeds_of_engines_outlast_the_counts_between_two_digests():
    speakers, beacons = exchange("1", 0.0)
    speeds = {"e": SpeedSamples(3, 40)}
    beacons["1"].pool_reports = PoolReports(speeds, {"p": {1: {"t": 5}}})
    digest = speakers["1"].make_digest(beacons["1"], True, 0.0)
    speakers["1"].assign_sequence(digest)
    member = table("10.1.0.2:7340", "1")
    member.receive_digest(decode(encode(digest), PeerMessage), 0.0)
    beacons["1"].pool_reports = PoolReports(speeds, {"p": {1: {"t": 7}}})
    heartbeat = speakers["1"].make_heartbeat(beacons["1"], True, 0.1)
    speakers["1"].add_counts(heartbeat, beacons["1"], 0.1)
    assert heartbeat.pool_reports.engine_speeds == {}
    member.receive_heartbeat(decode(encode(heartbeat), PeerMessage), 0.1)
    reports = member.speaker.message.pool_reports
    assert reports == PoolReports(speeds, {"p": {1: {"t": 7}}})


def test_nonsense_speeds_of_one_instance_are_bounded_by_its_speaker():
    speakers, beacons = exchange("1", 0.0)
    wild = beacon("10.1.0.2:7340", zone="1")
    wild.pool_reports = PoolReports({"e": SpeedSamples(10**9, 10**12)}, {})
    speakers["1"].receive_beacon(wild, 0.1)
    digest = speakers["1"].make_digest(beacons["1"], True, 0.1)
    samples = digest.pool_reports.engine_speeds["e"]
    assert samples.count <= 8
    assert samples.log_percent <= 150 * samples.count
