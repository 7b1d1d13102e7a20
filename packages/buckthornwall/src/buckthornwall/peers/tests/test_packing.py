"""Tests of packed loads in heartbeats, and of the pacing of reports."""

import contextlib
import random
import zlib

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornwall.codes import PeerError
from buckthornwall.peers import Heartbeat, PeerTable, Work
from buckthornwall.peers.messages import (
    MAX_DATAGRAM_BYTES,
    PeerMessage,
    decode,
    encode,
)
from buckthornwall.peers.pacing import MAX_DIGEST_INTERVAL_S, ReportKind, ReportPacing
from buckthornwall.peers.packing import (
    pack_cached_prefixes,
    pack_loads,
    unpack_cached_prefixes,
    unpack_loads,
)
from buckthornwall.peers.recipients import RecipientGroup
from buckthornwall.utils import UpstreamId, ZoneId

from .test_peers import FIRST, SECOND, beacon, table

UPSTREAMS = [UpstreamId(name) for name in ("e1", "e2", "e3")]
E1, E2, E3 = UPSTREAMS
INTERVAL_S = 0.1


def random_loads(count, seed=1):
    rng = random.Random(seed)
    return {
        UpstreamId(f"i-{rng.getrandbits(32):08x}"): Work(
            rng.randrange(24),
            {rank: rng.randrange(30_000) for rank in (2, 5, 8)},
            rng.randrange(3),
            {5: rng.randrange(200, 2000)},
            rng.randrange(270_000),
        )
        for _ in range(count)
    }


def test_loads_round_trip_in_units_without_empty_ones():
    loads = {E1: Work(3, {0: 96, 7: 1}, 2, {7: 810}, 1000), E3: Work(1)}
    decoded = unpack_loads(pack_loads(loads, UPSTREAMS), UPSTREAMS)
    assert decoded == {E1: Work(3, {0: 96, 7: 32}, 2, {7: 820}, 1024), E3: Work(1)}


def test_loads_out_of_range_saturate():
    loads = {E2: Work(70_000, {300: 9, 1: 10**9}, 300, {1: 10**6}, 10**9)}
    (work,) = unpack_loads(pack_loads(loads, UPSTREAMS), UPSTREAMS).values()
    assert (work.requests, work.pause_sensitive) == (65_535, 255)
    assert work.pending_prefill == {1: 65_535 * 32}
    assert work.oldest_wait_ms == {1: 255 * 20}
    assert work.memory == 65_535 * 256


def test_prefixes_round_trip_and_unpackable_ones_are_returned():
    cached_prefixes = {
        E1: [("00c0ffee", 4000), ("s", 900)],
        UpstreamId("e9"): [("0badf00d", 64)],
    }
    packed, others = pack_cached_prefixes(cached_prefixes, UPSTREAMS)
    assert unpack_cached_prefixes(packed, UPSTREAMS) == {E1: [("00c0ffee", 4000)]}
    assert others == {E1: [("s", 900)], "e9": [("0badf00d", 64)]}
    assert (
        unpack_cached_prefixes(pack_cached_prefixes({}, UPSTREAMS)[0], UPSTREAMS) == {}
    )


LOADS = pack_loads({E1: Work(1, {0: 64})}, UPSTREAMS)
PREFIXES, _ = pack_cached_prefixes({E3: [("00c0ffee", 4000)]}, UPSTREAMS)


@pytest.mark.parametrize("data", [b"", b"\xff", LOADS[:-1], LOADS + b"\x00"])
def test_malformed_loads_are_refused(data):
    with pytest.raises(PeerError):
        unpack_loads(data, UPSTREAMS)


@pytest.mark.parametrize("data", [b"", PREFIXES[:-1], PREFIXES + b"\x00"])
def test_malformed_prefixes_are_refused(data):
    with pytest.raises(PeerError):
        unpack_cached_prefixes(data, UPSTREAMS)


def test_loads_and_prefixes_of_another_list_are_refused():
    with pytest.raises(PeerError):
        unpack_loads(LOADS, UPSTREAMS[:2])
    with pytest.raises(PeerError):
        unpack_cached_prefixes(PREFIXES, UPSTREAMS[:2])


WORKS = st.builds(
    Work,
    st.integers(0, 60_000),
    st.dictionaries(st.integers(0, 9), st.integers(1, 2_000_000), max_size=4),
    st.integers(0, 255),
    st.dictionaries(st.integers(0, 9), st.integers(1, 5_000), max_size=4),
    st.integers(0, 16_000_000),
)


@given(st.dictionaries(st.sampled_from(UPSTREAMS), WORKS))
def test_any_loads_round_trip_in_units(loads):
    decoded = unpack_loads(pack_loads(loads, UPSTREAMS), UPSTREAMS)
    expected = {
        name for name, work in loads.items() if work.requests or work.pending_prefill
    }
    assert decoded.keys() == expected
    for name in expected:
        sent, got = loads[name], decoded[name]
        assert (got.requests, got.pause_sensitive) == (
            sent.requests,
            sent.pause_sensitive,
        )
        assert 0 <= got.memory - sent.memory < 256
        assert got.pending_prefill.keys() == sent.pending_prefill.keys()
        for rank, tokens in sent.pending_prefill.items():
            assert 0 <= got.pending_prefill[rank] - tokens < 32
        for rank, age in sent.oldest_wait_ms.items():
            assert 0 <= got.oldest_wait_ms[rank] - age < 20


@given(st.binary(max_size=80))
def test_any_bytes_are_unpacked_or_refused(data):
    for unpack in (unpack_loads, unpack_cached_prefixes):
        try:
            found = unpack(data, UPSTREAMS)
        except PeerError:
            continue
        assert set(found) <= set(UPSTREAMS)


@given(st.binary(max_size=80))
def test_any_datagram_is_decoded_or_refused(data):
    for head in (b"", b"\x78\x9c"):
        with contextlib.suppress(PeerError):
            decode(head + data, PeerMessage)


@pytest.mark.parametrize("cut", [3, 40])
def test_truncated_compressed_message_is_refused(cut):
    digest = table(FIRST).make_digest(beacon(FIRST, random_loads(40)), True, 0.0)
    data = encode(digest)
    assert decode(data, PeerMessage) == digest
    with pytest.raises(PeerError):
        decode(data[:-cut], PeerMessage)


def test_decompression_bomb_is_refused():
    """A datagram of 64 KB would take 16 MB of an instance that has 128 MB."""
    bomb = zlib.compress(cbor2.dumps([0] * 2 * MAX_DATAGRAM_BYTES))
    assert len(bomb) < 65_536
    with pytest.raises(PeerError, match="too long"):
        decode(bomb, PeerMessage)


def fleet_digest(speaker: PeerTable, local_beacon, is_numbered=True) -> tuple:
    digest = speaker.make_digest(local_beacon, is_fleet=True, now=0.0)
    if is_numbered:
        speaker.assign_sequence(digest)
    return digest


def heartbeat_with_loads(speaker: PeerTable, local_beacon, now) -> Heartbeat:
    heartbeat = speaker.make_heartbeat(local_beacon, True, now)
    speaker.add_counts(heartbeat, local_beacon, now)
    return heartbeat


def test_heartbeat_updates_loads_of_known_and_new_upstreams():
    """With only one digest a second, loads were 1.0 s old at 195 instances."""
    first, second = table(FIRST), table(SECOND)
    second.receive_digest(
        fleet_digest(first, beacon(FIRST, {E1: Work(1, {5: 320})})), 0.0
    )
    local_beacon = beacon(FIRST, {E1: Work(2, {5: 640}), E2: Work(1, {5: 64})})
    local_beacon.cached_prefixes = {E2: [("00c0ffee", 4000)], E1: [("s", 900)]}
    assert (
        second.receive_heartbeat(heartbeat_with_loads(first, local_beacon, 0.2), 0.2)
        == local_beacon.cached_prefixes
    )
    others = second.totals.peer_work(beacon(SECOND), 0.2)
    assert others[E1].pending_prefill == {5: 640}
    assert others[E2].requests == 1


def test_unreachable_upstreams_are_counted_in_digests_and_heartbeats():
    """Otherwise each instance sends requests to dead engines to find them out."""
    first, second = table(FIRST), table(SECOND)
    member = beacon("10.0.0.9:7340")
    member.unreachable = [E1, E2]
    first.receive_beacon(member, 0.0)
    local_beacon = beacon(FIRST)
    local_beacon.unreachable = [E1]
    second.receive_digest(fleet_digest(first, local_beacon), 0.0)
    assert second.totals.unreachable(beacon(SECOND), 0.1) == {E1: 2, E2: 1}
    local_beacon.unreachable = []
    second.receive_heartbeat(heartbeat_with_loads(first, local_beacon, 0.2), 0.2)
    assert second.totals.unreachable(beacon(SECOND), 0.2) == {E1: 1, E2: 1}
    assert first.totals.unreachable(local_beacon, 0.2) == {E1: 1, E2: 1}


def test_heartbeat_after_missed_digest_changes_no_loads():
    first, second = table(FIRST), table(SECOND)
    second.receive_digest(fleet_digest(first, beacon(FIRST, {E1: Work(1)})), 0.0)
    fleet_digest(first, beacon(FIRST, {E2: Work(1), E1: Work(3)}))  # lost
    cached_prefixes = second.receive_heartbeat(
        heartbeat_with_loads(first, beacon(FIRST), 0.2), 0.2
    )
    assert cached_prefixes is None
    assert second.totals.peer_work(beacon(SECOND), 0.2)[E1].requests == 1
    assert second.staleness_s(0.2) == 0.0


def test_heartbeat_does_not_refer_to_relayed_digest():
    """The order of its upstreams may have changed by then."""
    first, second, third = table(FIRST), table(SECOND), table("10.9.0.9:1")
    digest = fleet_digest(first, beacon(FIRST, {E1: Work(1)}))
    second.receive_digest(digest, 0.0)
    assert second.relayed_digest(beacon(SECOND), 0.1).sequence == 0
    third.receive_digest(second.relayed_digest(beacon(SECOND), 0.1), 0.1)
    assert (
        third.receive_heartbeat(heartbeat_with_loads(first, beacon(FIRST), 0.2), 0.2)
        is None
    )


def test_heartbeat_of_remote_zone_updates_local_digest():
    first, remote = table(FIRST), table("10.1.0.1:7340", "far")
    local_beacon = beacon(remote.address, {E1: Work(5)}, "far")
    digest = remote.make_digest(local_beacon, is_fleet=False, now=0.0)
    remote.assign_sequence(digest)
    first.receive_digest(digest, 0.0)
    local_beacon.loads = {E1: Work(7)}
    local_beacon.cached_prefixes = {E1: [("00c0ffee", 4000)]}
    heartbeat = remote.make_heartbeat(local_beacon, False, 0.1)
    remote.add_counts(heartbeat, local_beacon, 0.1)
    first.receive_heartbeat(heartbeat, 0.1)
    digest_of_fleet = first.make_digest(beacon(FIRST), True, 0.1)
    assert digest_of_fleet.loads[E1].requests == 7
    assert digest_of_fleet.cached_prefixes == local_beacon.cached_prefixes


def test_heartbeat_of_large_fleet_is_far_smaller_than_its_digest():
    speaker = table(FIRST)
    for number in range(32):
        speaker.receive_beacon(beacon(f"10.3.0.{number + 50}:7340"), 0.0)
    local_beacon = beacon(FIRST, random_loads(59))
    digest_bytes = len(encode(fleet_digest(speaker, local_beacon)))
    assert (
        len(encode(heartbeat_with_loads(speaker, local_beacon, 0.1)))
        < 0.4 * digest_bytes
    )


def simulate_pacing(pacing, digest_bytes, loads_bytes, seconds=30.0):
    """Return the reports as time and kind, and the bytes a second."""
    sizes = {
        ReportKind.DIGEST: digest_bytes,
        ReportKind.COUNTS: loads_bytes,
        ReportKind.HEARTBEAT: 70,
    }
    reports, total, now = [], 0, 0.0
    pacing.reset(now)
    while now < seconds:
        kind = pacing.due(now)
        if kind is not None:
            pacing.record_sent(kind, sizes[kind], now)
            reports.append((now, kind))
            total += sizes[kind]
        now += INTERVAL_S
    return reports, total / seconds


def longest_gap(reports, kinds):
    times = [at for at, kind in reports if kind in kinds]
    return max(later - at for at, later in zip(times, times[1:], strict=False))


def test_short_digests_are_sent_at_every_interval():
    reports, _ = simulate_pacing(ReportPacing(INTERVAL_S, 0.2, 5000.0), 400, 200)
    assert {kind for _, kind in reports} == {ReportKind.DIGEST}
    assert longest_gap(reports, ReportKind) < 1.5 * INTERVAL_S


@pytest.mark.parametrize(("digest_bytes", "loads_bytes"), [(2700, 700), (900, 300)])
def test_loads_are_sent_between_long_digests_within_byte_rate(
    digest_bytes, loads_bytes
):
    reports, bytes_per_s = simulate_pacing(
        ReportPacing(INTERVAL_S, 0.2, 5000.0), digest_bytes, loads_bytes
    )
    assert longest_gap(reports, {ReportKind.DIGEST, ReportKind.COUNTS}) <= 0.3
    assert bytes_per_s < 1.2 * 5000.0


def test_long_loads_do_not_delay_heartbeats():
    reports, _ = simulate_pacing(ReportPacing(INTERVAL_S, 0.2, 5000.0), 15_000, 6_000)
    assert longest_gap(reports, ReportKind) <= 0.3
    assert longest_gap(reports, {ReportKind.DIGEST}) <= MAX_DIGEST_INTERVAL_S + 0.2


def test_new_speaker_sends_digests_first():
    pacing = ReportPacing(INTERVAL_S, 0.2, 5000.0)
    reports, _ = simulate_pacing(pacing, 2700, 700)
    digests = [at for at, kind in reports if kind is ReportKind.DIGEST]
    assert sum(at <= 3.0 for at in digests) >= 4
    pacing.reset(40.0)
    assert pacing.due(40.0) is ReportKind.DIGEST


def test_heartbeat_with_other_zone_of_same_sender_is_ignored():
    first, second = table(FIRST), table(SECOND)
    second.receive_digest(fleet_digest(first, beacon(FIRST, {E1: Work(1)})), 0.0)
    heartbeat = heartbeat_with_loads(first, beacon(FIRST, {E1: Work(4)}), 0.1)
    heartbeat.zone = ZoneId("elsewhere")
    assert second.receive_heartbeat(heartbeat, 0.1) is None
    assert second.totals.peer_work(beacon(SECOND), 0.1)[E1].requests == 1


def test_new_recipient_is_sent_last_digest_once():
    """Zones that knew each other intermittently missed digests sent every 2 s."""
    recipients = RecipientGroup(False, ReportPacing(INTERVAL_S, 0.2, 5000.0))
    assert recipients.new_recipients(["a"]) == []
    recipients.record_sent(ReportKind.DIGEST, b"digest", ["a"], 0.0)
    assert recipients.new_recipients(["a", "b"]) == ["b"]
    assert recipients.new_recipients(["a", "b"]) == []
    assert recipients.new_recipients(["a"]) == []
    assert recipients.new_recipients(["a", "b"]) == ["b"]
    recipients.reset(9.0)
    assert recipients.new_recipients(["c"]) == []
