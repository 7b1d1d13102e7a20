"""Tests of counts in few bytes, and of how often they are told."""

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

NAMES = [UpstreamId(name) for name in ("e1", "e2", "e3")]
E1, E2, E3 = NAMES
TURN_S = 0.1


def random_loads(count, seed=1):
    draw = random.Random(seed)
    return {
        UpstreamId(f"i-{draw.getrandbits(32):08x}"): Work(
            draw.randrange(24),
            {rank: draw.randrange(30_000) for rank in (2, 5, 8)},
            draw.randrange(3),
            {5: draw.randrange(200, 2000)},
            draw.randrange(270_000),
        )
        for _ in range(count)
    }


def test_counts_come_back_in_their_units_and_empty_ones_do_not():
    loads = {E1: Work(3, {0: 96, 7: 1}, 2, {7: 810}, 1000), E3: Work(1)}
    back = unpack_loads(pack_loads(loads, NAMES), NAMES)
    assert back == {E1: Work(3, {0: 96, 7: 32}, 2, {7: 820}, 1024), E3: Work(1)}


def test_counts_out_of_range_are_the_largest_there_are():
    loads = {E2: Work(70_000, {300: 9, 1: 10**9}, 300, {1: 10**6}, 10**9)}
    (work,) = unpack_loads(pack_loads(loads, NAMES), NAMES).values()
    assert (work.requests, work.pause_sensitive) == (65_535, 255)
    assert work.pending_prefill == {1: 65_535 * 32}
    assert work.oldest_wait_ms == {1: 255 * 20}
    assert work.memory == 65_535 * 256


def test_parts_come_back_and_those_of_other_forms_are_told_apart():
    cached_prefixes = {
        E1: [("00c0ffee", 4000), ("s", 900)],
        UpstreamId("e9"): [("0badf00d", 64)],
    }
    packed, others = pack_cached_prefixes(cached_prefixes, NAMES)
    assert unpack_cached_prefixes(packed, NAMES) == {E1: [("00c0ffee", 4000)]}
    assert others == {E1: [("s", 900)], "e9": [("0badf00d", 64)]}
    assert unpack_cached_prefixes(pack_cached_prefixes({}, NAMES)[0], NAMES) == {}


COUNTS = pack_loads({E1: Work(1, {0: 64})}, NAMES)
PARTS, _ = pack_cached_prefixes({E3: [("00c0ffee", 4000)]}, NAMES)


@pytest.mark.parametrize("data", [b"", b"\xff", COUNTS[:-1], COUNTS + b"\x00"])
def test_bytes_that_are_no_counts_are_refused(data):
    with pytest.raises(PeerError):
        unpack_loads(data, NAMES)


@pytest.mark.parametrize("data", [b"", PARTS[:-1], PARTS + b"\x00"])
def test_bytes_that_are_no_parts_are_refused(data):
    with pytest.raises(PeerError):
        unpack_cached_prefixes(data, NAMES)


def test_counts_and_parts_of_another_list_are_refused():
    with pytest.raises(PeerError):
        unpack_loads(COUNTS, NAMES[:2])
    with pytest.raises(PeerError):
        unpack_cached_prefixes(PARTS, NAMES[:2])


WORKS = st.builds(
    Work,
    st.integers(0, 60_000),
    st.dictionaries(st.integers(0, 9), st.integers(1, 2_000_000), max_size=4),
    st.integers(0, 255),
    st.dictionaries(st.integers(0, 9), st.integers(1, 5_000), max_size=4),
    st.integers(0, 16_000_000),
)


@given(st.dictionaries(st.sampled_from(NAMES), WORKS))
def test_whatever_is_counted_comes_back_in_its_units(loads):
    back = unpack_loads(pack_loads(loads, NAMES), NAMES)
    shown = {
        name for name, work in loads.items() if work.requests or work.pending_prefill
    }
    assert back.keys() == shown
    for name in shown:
        sent, got = loads[name], back[name]
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
def test_any_bytes_are_counts_or_are_refused(data):
    for unpack in (unpack_loads, unpack_cached_prefixes):
        try:
            found = unpack(data, NAMES)
        except PeerError:
            continue
        assert set(found) <= set(NAMES)


@given(st.binary(max_size=80))
def test_any_datagram_is_a_message_or_is_refused(data):
    for head in (b"", b"\x78\x9c"):
        with contextlib.suppress(PeerError):
            decode(head + data, PeerMessage)


@pytest.mark.parametrize("cut", [3, 40])
def test_a_compressed_message_that_is_cut_is_refused(cut):
    digest = table(FIRST).make_digest(beacon(FIRST, random_loads(40)), True, 0.0)
    data = encode(digest)
    assert decode(data, PeerMessage) == digest
    with pytest.raises(PeerError):
        decode(data[:-cut], PeerMessage)


def test_a_short_datagram_that_stands_for_megabytes_is_refused():
    """64 KB of it would have taken 16 MB of an instance that has 128."""
    bomb = zlib.compress(cbor2.dumps([0] * 2 * MAX_DATAGRAM_BYTES))
    assert len(bomb) < 65_536
    with pytest.raises(PeerError, match="too long"):
        decode(bomb, PeerMessage)


def told(speaker: PeerTable, own, is_numbered=True) -> tuple:
    digest = speaker.make_digest(own, is_fleet=True, now=0.0)
    if is_numbered:
        speaker.assign_sequence(digest)
    return digest


def counts(speaker: PeerTable, own, now) -> Heartbeat:
    heartbeat = speaker.make_heartbeat(own, True, now)
    speaker.add_counts(heartbeat, own, now)
    return heartbeat


def test_counts_between_digests_are_taken_with_upstreams_that_are_new():
    """With a digest a second alone, 195 instances knew of work 1.0 s late."""
    first, second = table(FIRST), table(SECOND)
    second.receive_digest(told(first, beacon(FIRST, {E1: Work(1, {5: 320})})), 0.0)
    own = beacon(FIRST, {E1: Work(2, {5: 640}), E2: Work(1, {5: 64})})
    own.cached_prefixes = {E2: [("00c0ffee", 4000)], E1: [("s", 900)]}
    assert second.receive_heartbeat(counts(first, own, 0.2), 0.2) == own.cached_prefixes
    others = second.peer_work(beacon(SECOND), 0.2)
    assert others[E1].pending_prefill == {5: 640}
    assert others[E2].requests == 1


def test_who_cannot_be_reached_is_counted_by_instances_in_digests_and_counts():
    """Left to find out for itself, each instance offers requests to dead engines."""
    first, second = table(FIRST), table(SECOND)
    member = beacon("10.0.0.9:7340")
    member.unreachable = [E1, E2]
    first.receive_beacon(member, 0.0)
    own = beacon(FIRST)
    own.unreachable = [E1]
    second.receive_digest(told(first, own), 0.0)
    assert second.unreachable(beacon(SECOND), 0.1) == {E1: 2, E2: 1}
    own.unreachable = []
    second.receive_heartbeat(counts(first, own, 0.2), 0.2)
    assert second.unreachable(beacon(SECOND), 0.2) == {E1: 1, E2: 1}
    assert first.unreachable(own, 0.2) == {E1: 1, E2: 1}


def test_counts_of_a_digest_that_was_missed_change_nothing():
    first, second = table(FIRST), table(SECOND)
    second.receive_digest(told(first, beacon(FIRST, {E1: Work(1)})), 0.0)
    told(first, beacon(FIRST, {E2: Work(1), E1: Work(3)}))  # lost on the way
    heard = second.receive_heartbeat(counts(first, beacon(FIRST), 0.2), 0.2)
    assert heard is None
    assert second.peer_work(beacon(SECOND), 0.2)[E1].requests == 1
    assert second.staleness_s(0.2) == 0.0


def test_a_digest_that_is_passed_on_is_named_by_no_counts():
    """Its upstreams may stand in another order by then."""
    first, second, third = table(FIRST), table(SECOND), table("10.9.0.9:1")
    digest = told(first, beacon(FIRST, {E1: Work(1)}))
    second.receive_digest(digest, 0.0)
    assert second.relayed_digest(beacon(SECOND), 0.1).sequence == 0
    third.receive_digest(second.relayed_digest(beacon(SECOND), 0.1), 0.1)
    assert third.receive_heartbeat(counts(first, beacon(FIRST), 0.2), 0.2) is None


def test_counts_of_another_zone_reach_the_own():
    first, far = table(FIRST), table("10.1.0.1:7340", "far")
    own = beacon(far.address, {E1: Work(5)}, "far")
    digest = far.make_digest(own, is_fleet=False, now=0.0)
    far.assign_sequence(digest)
    first.receive_digest(digest, 0.0)
    own.loads = {E1: Work(7)}
    own.cached_prefixes = {E1: [("00c0ffee", 4000)]}
    heartbeat = far.make_heartbeat(own, False, 0.1)
    far.add_counts(heartbeat, own, 0.1)
    first.receive_heartbeat(heartbeat, 0.1)
    whole = first.make_digest(beacon(FIRST), True, 0.1)
    assert whole.loads[E1].requests == 7
    assert whole.cached_prefixes == own.cached_prefixes


def test_counts_of_a_large_fleet_take_a_quarter_of_its_digest():
    speaker = table(FIRST)
    for number in range(32):
        speaker.receive_beacon(beacon(f"10.3.0.{number + 50}:7340"), 0.0)
    own = beacon(FIRST, random_loads(59))
    whole = len(encode(told(speaker, own)))
    assert len(encode(counts(speaker, own, 0.1))) < 0.4 * whole


def play(pacing, digest_bytes, counts_bytes, seconds=30.0):
    """Return what was told when, and how many bytes of it."""
    sizes = {
        ReportKind.DIGEST: digest_bytes,
        ReportKind.COUNTS: counts_bytes,
        ReportKind.HEARTBEAT: 70,
    }
    words, total, now = [], 0, 0.0
    pacing.reset(now)
    while now < seconds:
        form = pacing.due(now)
        if form is not None:
            pacing.record_sent(form, sizes[form], now)
            words.append((now, form))
            total += sizes[form]
        now += TURN_S
    return words, total / seconds


def longest_gap(words, kinds):
    times = [at for at, form in words if form in kinds]
    return max(later - at for at, later in zip(times, times[1:], strict=False))


def test_short_digests_come_with_every_turn():
    words, _ = play(ReportPacing(TURN_S, 0.2, 5000.0), 400, 200)
    assert {form for _, form in words} == {ReportKind.DIGEST}
    assert longest_gap(words, ReportKind) < 1.5 * TURN_S


@pytest.mark.parametrize(("digest_bytes", "counts_bytes"), [(2700, 700), (900, 300)])
def test_counts_come_between_long_digests_within_the_bytes(digest_bytes, counts_bytes):
    words, bytes_per_s = play(
        ReportPacing(TURN_S, 0.2, 5000.0), digest_bytes, counts_bytes
    )
    assert longest_gap(words, {ReportKind.DIGEST, ReportKind.COUNTS}) <= 0.3
    assert bytes_per_s < 1.2 * 5000.0


def test_nobody_goes_without_a_word_however_long_counts_are():
    words, _ = play(ReportPacing(TURN_S, 0.2, 5000.0), 15_000, 6_000)
    assert longest_gap(words, ReportKind) <= 0.3
    assert longest_gap(words, {ReportKind.DIGEST}) <= MAX_DIGEST_INTERVAL_S + 0.2


def test_a_new_speaker_is_told_of_by_digests_first():
    pacing = ReportPacing(TURN_S, 0.2, 5000.0)
    words, _ = play(pacing, 2700, 700)
    digests = [at for at, form in words if form is ReportKind.DIGEST]
    assert sum(at <= 3.0 for at in digests) >= 4
    pacing.reset(40.0)
    assert pacing.due(40.0) is ReportKind.DIGEST


def test_an_instance_of_the_zone_named_otherwise_is_not_heard():
    first, second = table(FIRST), table(SECOND)
    second.receive_digest(told(first, beacon(FIRST, {E1: Work(1)})), 0.0)
    heartbeat = counts(first, beacon(FIRST, {E1: Work(4)}), 0.1)
    heartbeat.zone = ZoneId("elsewhere")
    assert second.receive_heartbeat(heartbeat, 0.1) is None
    assert second.peer_work(beacon(SECOND), 0.1)[E1].requests == 1


def test_whoever_is_new_is_sent_the_last_digest_once():
    """Zones known of each other by turns never met a digest sent each 2 s."""
    recipients = RecipientGroup(False, ReportPacing(TURN_S, 0.2, 5000.0))
    assert recipients.new_recipients(["a"]) == []
    recipients.record_sent(ReportKind.DIGEST, b"digest", ["a"], 0.0)
    assert recipients.new_recipients(["a", "b"]) == ["b"]
    assert recipients.new_recipients(["a", "b"]) == []
    assert recipients.new_recipients(["a"]) == []
    assert recipients.new_recipients(["a", "b"]) == ["b"]
    recipients.reset(9.0)
    assert recipients.new_recipients(["c"]) == []
