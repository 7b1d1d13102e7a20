"""Changes hold at all instances though the store returns from an older copy."""

from dataclasses import replace

import pytest
import trio
from buckthornwall.pools import UpstreamEntry, UpstreamState
from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId, ZoneId

from buckthornwall_standins.peers_sim import PeersSimulation

ZONES = 6
SETTLE_S = 6.0
BOUND_S = 2.0
# What the store has lost is written again this long after its return.
REWRITE_S = 1.5
DRAINED, REMOVED, ADDED = (UpstreamId(f"u{number}") for number in (3, 4, 40))


def entry(number):
    name, address = UpstreamId(f"u{number}"), f"10.9.0.{number}:1"
    zone = ZoneId(f"z{number % ZONES + 1}")
    return UpstreamEntry(name, PoolId("p"), address, zone, 8, UpstreamState.READY)


async def start_fleet(nursery, zone_size):
    fleet = PeersSimulation(nursery)
    fleet.seeds = ["10.1.0.1:7340", "10.2.0.1:7340"]
    fleet.store.entries = {each.id: each for each in map(entry, range(12))}
    for place in range(1, ZONES + 1):
        fleet.start_zone(f"z{place}", place, zone_size)
    await trio.sleep(SETTLE_S)
    return fleet


def drain(fleet, name):
    fleet.store.entries[name] = replace(
        fleet.store.entries[name], state=UpstreamState.LEAVING
    )
    fleet.change_once()


def sending(fleet, *names):
    """Return the instances that would send to any of some upstreams."""
    return [
        peer.address
        for peer in fleet.peers.values()
        if peer.is_live
        and any(view.id in names for view in peer.pools.usable(PoolId("p"), set()))
    ]


def without_newest_config(fleet):
    return [
        peer.address
        for peer in fleet.peers.values()
        if peer.is_live and peer.discovery.table.number < fleet.store.published_number
    ]


async def change_nothing(fleet):
    """Leave the instances alone."""


async def kill_speakers(fleet):
    """Kill all speakers of zones, which read the store."""
    for place in range(1, ZONES + 1):
        fleet.speaker(f"z{place}").kill()


async def lose_datagrams(fleet):
    """Drop a fifth of the datagrams."""
    fleet.network.loss = 0.2


async def cut_off_half(fleet):
    """Let the store answer only the instances of three zones."""
    fleet.without_store = {
        address for address in fleet.peers if address[3] in {"1", "2", "3"}
    }


@pytest.mark.parametrize(
    ("fault", "zone_size"),
    [
        (change_nothing, 4),
        (kill_speakers, 4),
        (lose_datagrams, 4),
        (cut_off_half, 4),
        (kill_speakers, 33),
    ],
)
async def test_no_instance_returns_to_what_the_store_has_lost(
    autojump_clock, nursery, fault, zone_size
):
    fleet = await start_fleet(nursery, zone_size)
    copy = fleet.store.copy()
    drain(fleet, DRAINED)
    fleet.remove(REMOVED)
    fleet.store.entries[ADDED] = entry(40)
    for _ in range(5):
        fleet.change_once()
    await trio.sleep(BOUND_S)
    assert sending(fleet, DRAINED, REMOVED) == []
    fleet.restore(copy)
    await fault(fleet)
    for _ in range(int(REWRITE_S / 0.05)):
        await trio.sleep(0.05)
        assert sending(fleet, DRAINED, REMOVED) == []
    live = [peer for peer in fleet.peers.values() if peer.is_live]
    assert len(sending(fleet, ADDED)) == len(live)
    drain(fleet, DRAINED)
    fleet.remove(REMOVED)
    fleet.store.entries[ADDED] = entry(40)
    fleet.change_once()
    for _ in range(int(SETTLE_S / 0.05)):
        await trio.sleep(0.05)
        assert sending(fleet, DRAINED, REMOVED) == []
    assert without_newest_config(fleet) == []
    assert len(sending(fleet, ADDED)) == len(live)


@pytest.mark.parametrize("zone_size", [4, 33])
async def test_changes_after_the_return_reach_all_instances(
    autojump_clock, nursery, zone_size
):
    fleet = await start_fleet(nursery, zone_size)
    copy = fleet.store.copy()
    for _ in range(3):
        fleet.change_once()
    await trio.sleep(BOUND_S)
    fleet.restore(copy)
    await trio.sleep(0.7)
    drain(fleet, DRAINED)
    for _ in range(3):
        fleet.change_once()
    await trio.sleep(BOUND_S)
    assert sending(fleet, DRAINED) == []
    assert without_newest_config(fleet) == []
