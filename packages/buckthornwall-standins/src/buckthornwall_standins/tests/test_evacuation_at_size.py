"""All instances learn in time that a zone is evacuated, in large fleets too."""

import pytest
import trio
from buckthornwall.pools import UpstreamEntry, UpstreamState
from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId, ZoneId

from buckthornwall_standins.peers_sim import PeersSimulation
from buckthornwall_standins.peers_sim.peer import SIM_POOL

ZONES = 6
SETTLE_S = 6.0
# The users allow 5 s from the store's acknowledgement.
BOUND_S = 3.0
EVACUATED = ZoneId("z2")


def entry(number):
    zone = ZoneId(f"z{number % ZONES + 1}")
    name, address = UpstreamId(f"u{number}"), f"10.9.0.{number}:1"
    return UpstreamEntry(name, PoolId("p"), address, zone, 8, UpstreamState.READY)


async def start_fleet(nursery, zone_size):
    fleet = PeersSimulation(nursery)
    fleet.seeds = ["10.1.0.1:7340", "10.2.0.1:7340"]
    fleet.store.entries = {each.id: each for each in map(entry, range(12))}
    for place in range(1, ZONES + 1):
        fleet.start_zone(f"z{place}", place, zone_size)
    await trio.sleep(SETTLE_S)
    return fleet


def sending_addresses(fleet):
    """Return the addresses of instances that would send to the evacuated zone."""
    return [
        peer.address
        for peer in fleet.peers.values()
        if peer.is_live
        and any(
            view.entry.zone == EVACUATED
            for view in peer.pools.usable(PoolId("p"), frozenset())
        )
    ]


async def keep_changing(fleet):
    """Let registrations change all the time."""
    fleet.nursery.start_soon(fleet.change_periodically)
    await trio.sleep(1.0)


async def kill_speakers(fleet):
    """Kill all speakers of zones."""
    for place in range(1, ZONES + 1):
        fleet.speaker(f"z{place}").kill()


async def lose_datagrams(fleet):
    """Drop a fifth of the datagrams."""
    fleet.network.loss = 0.2


async def store_answers_one_zone(fleet):
    """Let the store answer only the instances of one zone."""
    fleet.without_store = {
        address for address in fleet.peers if not address.startswith("10.3.")
    }
    await trio.sleep(2.0)


@pytest.mark.parametrize(
    ("fault", "zone_size"),
    [
        (keep_changing, 4),
        (lose_datagrams, 4),
        (store_answers_one_zone, 4),
        (kill_speakers, 4),
        (kill_speakers, 33),
    ],
)
async def test_no_instance_sends_to_an_evacuated_zone_for_long(
    autojump_clock, nursery, fault, zone_size
):
    fleet = await start_fleet(nursery, zone_size)
    await fault(fleet)
    assert len(sending_addresses(fleet)) > ZONES
    fleet.evacuate(EVACUATED)
    await trio.sleep(BOUND_S)
    assert sending_addresses(fleet) == []
    fleet.reopen(EVACUATED)
    await trio.sleep(BOUND_S)
    live = [peer for peer in fleet.peers.values() if peer.is_live]
    assert not any(peer.pools.evacuations.zones() for peer in live)
    await trio.sleep(SIM_POOL.cold_s)
    assert len(sending_addresses(fleet)) == len(live)


async def test_new_and_isolated_instances_do_not_send_to_an_evacuated_zone(
    autojump_clock, nursery
):
    fleet = await start_fleet(nursery, 14)
    isolated = "10.4.0.7:7340"
    fleet.network.isolated.add(isolated)
    fleet.without_store.add(isolated)
    fleet.evacuate(EVACUATED)
    await trio.sleep(BOUND_S)
    assert sending_addresses(fleet) == [isolated]
    fleet.network.isolated.clear()
    fleet.without_store.clear()
    for number in range(40, 50):
        fleet.start(f"10.5.0.{number}:7340", ZoneId("z5"))
    for _ in range(int(BOUND_S / 0.1)):
        await trio.sleep(0.1)
        assert set(sending_addresses(fleet)) <= {isolated}
    assert sending_addresses(fleet) == []
