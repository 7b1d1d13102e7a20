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
    assert sent == [(FIRST, True)]
    seeds = ["10.0.0.3:9"]
    await trio.sleep(0.5)
    assert sent[1:] == [(SECOND, True)]
