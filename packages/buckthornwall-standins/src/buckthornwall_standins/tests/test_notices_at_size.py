"""All instances learn in time that an upstream leaves, in large fleets too."""

import pytest
import trio
from buckthornwall.pools import Notice, UpstreamEntry, UpstreamState
from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId, ZoneId

from buckthornwall_standins.peers_sim import PeersSimulation

ZONES = 6
SETTLE_S = 6.0
# The users allow 2 s to the instance that received the answer itself.
BOUND_S = 2.0
LEAVING = UpstreamId("u3")


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


def sending(fleet):
    """Return the instances that would send to the leaving upstream."""
    return [
        peer.address
        for peer in fleet.peers.values()
        if peer.is_live
        and any(view.id == LEAVING for view in peer.pools.usable(PoolId("p"), set()))
    ]


def notify(fleet, address):
    """Let an instance receive a response that states that the upstream leaves."""
    pools = fleet.peers[address].pools
    pools.notices.record(pools.views[LEAVING], Notice(is_leaving=True))


@pytest.mark.parametrize(("zone_size", "loss"), [(4, 0.0), (33, 0.0), (4, 0.2)])
async def test_no_instance_sends_to_a_leaving_upstream_for_long(
    autojump_clock, nursery, zone_size, loss
):
    fleet = await start_fleet(nursery, zone_size)
    fleet.network.loss = loss
    notify(fleet, "10.2.0.3:7340")
    await trio.sleep(BOUND_S)
    assert sending(fleet) == []


async def test_word_of_a_leaving_upstream_outlives_who_received_it(
    autojump_clock, nursery
):
    fleet = await start_fleet(nursery, 4)
    notify(fleet, "10.2.0.3:7340")
    await trio.sleep(BOUND_S)
    fleet.peers["10.2.0.3:7340"].kill()
    fleet.start("10.5.0.9:7340", ZoneId("z5"))
    await trio.sleep(SETTLE_S)
    assert sending(fleet) == []


async def test_instances_forget_a_leaving_upstream_that_is_gone(
    autojump_clock, nursery
):
    fleet = await start_fleet(nursery, 4)
    notify(fleet, "10.2.0.3:7340")
    await trio.sleep(BOUND_S)
    fleet.remove(LEAVING)
    await trio.sleep(SETTLE_S)
    assert not any(peer.pools.notices.reports() for peer in fleet.peers.values())
    assert not any(
        peer.agent.table.totals.leaving(peer.make_beacon(), peer.clock.now())
        for peer in fleet.peers.values()
    )
