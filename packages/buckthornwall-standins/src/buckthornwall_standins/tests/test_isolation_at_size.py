"""Isolated instances learn in time whom to forward through, in large fleets too."""

import pytest
import trio
from buckthornwall.peers import relay_candidates
from buckthornwall.utils import UpstreamId

from buckthornwall_standins.peers_sim import PeersSimulation

SETTLE_S = 6.0
BOUND_S = 1.5


@pytest.mark.parametrize(("zones", "zone_size"), [(2, 3), (6, 10)])
async def test_isolated_zone_forwards_through_others_that_are_not(
    autojump_clock, nursery, zones, zone_size
):
    fleet = PeersSimulation(nursery)
    fleet.seeds = ["10.1.0.1:7340", "10.2.0.1:7340"]
    for place in range(1, zones + 1):
        fleet.start_zone(f"z{place}", place, zone_size)
    await trio.sleep(SETTLE_S)
    peers = fleet.peers.values()
    gone = [peer for peer in peers if peer.zone == "z1"]
    for peer in gone:
        peer.pools.isolation.begin_round(trio.current_time())
        assert peer.pools.isolation.end_round(6, trio.current_time())
    await trio.sleep(BOUND_S)
    known = {peer.address: _candidates(peer) for peer in peers}
    assert all(
        min(8, zone_size) * (zones - 1) <= len(known[peer.address]) for peer in gone
    )
    assert not set().union(*known.values()) & {peer.address for peer in gone}
    for peer in gone:
        peer.pools.isolation.record_connected(UpstreamId("u"), trio.current_time())
    await trio.sleep(BOUND_S)
    assert not any(
        peer.agent.table.speaker.message.isolated
        for peer in peers
        if peer.agent.table.speaker
    )
    assert all(len(_candidates(peer)) >= zone_size - 1 for peer in gone)


def _candidates(peer):
    return {
        each.address for each in relay_candidates(peer.agent.table, trio.current_time())
    }
