"""Tests of the lookup of the zone's speaker."""

import trio

from buckthornwall.peers import Beacon, PeerState, PeerTable
from buckthornwall.peers.messages import decode
from buckthornwall.peers.speaker_lookup import SpeakerLookup
from buckthornwall.utils import Incarnation, NodeId, TrioClock, ZoneId

LOCAL, FIRST, SECOND = (f"10.0.0.{n}:7340" for n in (1, 2, 3))


def beacon():
    node, zone = NodeId("n"), ZoneId("z")
    return Beacon(
        node, Incarnation(1), LOCAL, 1.0, zone, PeerState.READY, 1, 1, 0, 0, {}
    )


async def test_reloaded_seeds_are_queried(autojump_clock, nursery):
    """After a reload the previous seeds may be gone for good."""
    seeds, sent = [LOCAL, "10.0.0.2:9"], []

    async def send(data, address):
        sent.append((address, decode(data, Beacon).requests_speaker))

    table = PeerTable(LOCAL, 1.0, ZoneId("z"), 0.8, 0.1)
    speaker_lookup = SpeakerLookup(lambda: seeds, table, beacon, send, TrioClock())
    nursery.start_soon(speaker_lookup.run)
    await trio.sleep(0.1)
    assert set(sent) == {(FIRST, True)}
    before = len(sent)
    seeds = ["10.0.0.3:9"]
    await trio.sleep(0.5)
    assert set(sent[before:]) == {(SECOND, True)}


async def test_seeds_that_start_a_moment_later_are_found_soon(autojump_clock, nursery):
    """The second lookup came half a second later, and callers were refused till then.

    More than a few lookups would burden seeds that all instances query at once.
    """
    sent = []

    async def send(data, address):
        sent.append(trio.current_time())

    table = PeerTable(LOCAL, 1.0, ZoneId("z"), 0.8, 0.1)
    speaker_lookup = SpeakerLookup(lambda: [FIRST], table, beacon, send, TrioClock())
    began_at = trio.current_time()
    nursery.start_soon(speaker_lookup.run)
    await trio.sleep(3.0)
    in_first_s = [at - began_at for at in sent if at - began_at < 1.0]
    assert len([at for at in in_first_s if 0 < at <= 0.1]) == 1
    assert len(in_first_s) <= 6
    assert len(sent) - len(in_first_s) <= 2.0 / 0.5 + 1
    nursery.cancel_scope.cancel()
