"""All instances start at once, most of them behind links that are slow.

A configuration of a thousand routes takes a slow link as long as most callers wait.
"""

import random

import pytest
import trio
from buckthornwall.utils import ZoneId

from buckthornwall_standins.peers_sim import PeersSimulation

ZONES, ZONE_SIZE = 3, 14
# How long a slow link, and that of the instance of most weight, take for everything.
SLOW_READ_S = 0.7
FAST_READ_S = 0.05
# The seeds, of most weight, start last: others know nobody until then.
LAST_S = 0.25
# Starts are spread by this, as they compete for processors.
START_SPREAD_S = 0.2
# A caller that is refused as nobody is ready comes back after half a second; a start
# that takes no longer never costs it more than that.
MAX_READY_S = 0.5
# How long an instance waits for a speaker that does not read.
MAX_LEFT_S = 0.55
# A balancer that asks once a second takes an instance out after two misses.
BALANCER_S = 2.0
SETTLE_S = 3.0


def link_s(fleet, address):
    return FAST_READ_S if address in fleet.weights else SLOW_READ_S


async def start_fleet(nursery):
    fleet = PeersSimulation(nursery)
    fleet.seeds = [f"10.{place}.0.2:7340" for place in range(1, ZONES + 1)]
    fleet.zones = [ZoneId(f"z{place}") for place in range(1, ZONES + 1)]
    fleet.weights = {f"10.{place}.0.1:7340": 9.0 for place in range(1, ZONES + 1)}
    fleet.snapshot_s = lambda address: link_s(fleet, address)
    for place in range(1, ZONES + 1):
        fleet.start_zone(f"z{place}", place, ZONE_SIZE)
    await trio.sleep(SETTLE_S)
    return fleet


async def restart(fleet, nursery, addresses, seed=1, last=()):
    """Kill instances and start them again; return the new ones with their starts."""
    rng = random.Random(seed)
    zones = {address: fleet.peers[address].zone for address in addresses}
    for address in addresses:
        fleet.peers[address].kill()
    await trio.sleep(1.5)
    started = {}

    async def start_later(address):
        delay_s = rng.uniform(0, START_SPREAD_S)
        await trio.sleep(LAST_S if address in last else delay_s)
        started[address] = trio.current_time()
        fleet.start(address, zones[address])

    async with trio.open_nursery() as starting:
        for address in addresses:
            starting.start_soon(start_later, address)
    await trio.sleep(BALANCER_S)
    return {fleet.peers[address]: at for address, at in started.items()}


def waits(started):
    return sorted(peer.ready_at - at for peer, at in started.items())


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_all_instances_that_start_at_once_serve_soon(
    autojump_clock, nursery, seed
):
    """They all read the store, and refused callers meanwhile: nobody else served."""
    fleet = await start_fleet(nursery)
    started = await restart(fleet, nursery, list(fleet.peers), seed)
    assert waits(started)[-1] <= MAX_READY_S
    nursery.cancel_scope.cancel()


async def test_instances_that_start_at_once_leave_the_read_to_their_speakers(
    autojump_clock, nursery
):
    """Calls to the store are limited, and a read by each of thousands exceeds that."""
    fleet = await start_fleet(nursery)
    started = await restart(fleet, nursery, list(fleet.peers))
    readers = [peer for peer in started if peer.source.calls]
    assert len(readers) <= len(started) / 2
    nursery.cancel_scope.cancel()


async def test_seeds_that_start_last_are_waited_for(autojump_clock, nursery):
    """The others began reads of their own, and their views queued behind these."""
    fleet = await start_fleet(nursery)
    fleet.seeds[:] = fleet.weights
    started = await restart(fleet, nursery, list(fleet.peers), last=fleet.weights)
    assert waits(started)[-1] <= MAX_LEFT_S
    assert len([peer for peer in started if peer.source.calls]) <= ZONES
    assert sum(peer.source.complete_reads for peer in started) <= ZONES
    nursery.cancel_scope.cancel()


async def test_one_instance_that_starts_again_takes_a_view(autojump_clock, nursery):
    fleet = await start_fleet(nursery)
    address = "10.2.0.7:7340"
    started = await restart(fleet, nursery, [address])
    assert waits(started)[-1] <= MAX_READY_S
    assert not sum(peer.source.calls for peer in started)
    nursery.cancel_scope.cancel()


async def test_one_zone_that_starts_again_serves_soon(autojump_clock, nursery):
    fleet = await start_fleet(nursery)
    zone = [address for address, peer in fleet.peers.items() if peer.zone == "z2"]
    started = await restart(fleet, nursery, zone)
    assert waits(started)[-1] <= MAX_READY_S
    nursery.cancel_scope.cancel()


async def test_all_start_at_once_while_datagrams_are_lost(autojump_clock, nursery):
    fleet = await start_fleet(nursery)
    fleet.network.loss = 0.2
    started = await restart(fleet, nursery, list(fleet.peers))
    in_time = [each for each in waits(started) if each <= MAX_READY_S]
    assert len(in_time) >= 0.9 * len(started)
    assert waits(started)[-1] <= 2 * SLOW_READ_S
    nursery.cancel_scope.cancel()


async def test_speakers_that_cannot_read_delay_a_start_no_longer_than_agreed(
    autojump_clock, nursery
):
    """The instances of most weight are cut off from the store, the others are not."""
    fleet = await start_fleet(nursery)
    fleet.without_store = set(fleet.weights)
    started = await restart(fleet, nursery, list(fleet.peers))
    others = {
        peer: at for peer, at in started.items() if peer.address not in fleet.weights
    }
    assert waits(others)[-1] <= MAX_LEFT_S + SLOW_READ_S + 0.1
    assert waits(started)[-1] <= BALANCER_S
    nursery.cancel_scope.cancel()


async def test_speakers_killed_as_they_start_delay_a_start_no_longer_than_agreed(
    autojump_clock, nursery
):
    fleet = await start_fleet(nursery)
    addresses = list(fleet.peers)

    async def kill_speakers():
        await trio.sleep(1.5 + START_SPREAD_S / 2)
        for address in fleet.weights:
            fleet.peers[address].kill()

    nursery.start_soon(kill_speakers)
    started = await restart(fleet, nursery, addresses)
    others = {peer: at for peer, at in started.items() if peer.is_live}
    assert waits(others)[-1] <= MAX_LEFT_S + SLOW_READ_S + 0.1
    nursery.cancel_scope.cancel()


async def test_instance_whose_seeds_are_gone_reads_for_itself(autojump_clock, nursery):
    fleet = PeersSimulation(nursery)
    fleet.seeds = ["10.9.0.1:7340"]
    fleet.snapshot_s = lambda address: FAST_READ_S
    started_at = trio.current_time()
    peer = fleet.start("10.1.0.1:7340", "z1")
    await trio.sleep(1.0)
    assert peer.ready_at - started_at <= MAX_READY_S
    nursery.cancel_scope.cancel()
