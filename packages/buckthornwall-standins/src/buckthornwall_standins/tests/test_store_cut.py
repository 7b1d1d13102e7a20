"""Instances that read the store for others are cut off from it, before a change.

Only the speaker of a zone reads the store. While it is cut off, its digests go on, and
its members went by the older configuration until the newest read in the fleet was 3 to
4 s old:

    acknowledged 0.000, everett-2 requests run by the old service until 3.31
"""

import random

import pytest
import trio

from buckthornwall_standins.peers_sim import PeersSimulation

SETTLE_S = 6.0
# A change must be in force everywhere this long after the store acknowledged it.
APPLY_LIMIT_S = 2.0
# Readers call once in each cycle of a watch and the pause after it; takeovers by
# mistake may add some.
MAX_EXTRA_CALLS = 0.05
IDLE_S = 30.0
ZONES = ("z", "y", "x")


@pytest.fixture
async def fleet(nursery):
    return PeersSimulation(nursery)


async def start_fleet(fleet, sizes):
    """Start zones of some sizes, and wait until they found each other."""
    fleet.seeds = ["10.1.0.1:1", "10.2.0.1:1"]
    for place, (zone, count) in enumerate(zip(ZONES, sizes, strict=False), 1):
        fleet.start_zone(zone, place, count)
    await trio.sleep(SETTLE_S)


def speakers(fleet):
    return [peer.address for peer in fleet.peers.values() if peer.is_speaker]


async def lag_after_a_cut(fleet, cut, phase_s):
    """Cut some off from the store, change it, and return the longest lag of others.

    Parameters
    ----------
    phase_s
        When in the readers' cycle of watches they are cut off.
    """
    await trio.sleep(phase_s)
    fleet.without_store |= set(cut)
    await trio.sleep(0.05)
    others = [peer for address, peer in fleet.peers.items() if address not in cut]
    for peer in others:
        peer.max_lag_s = 0.0
    number = fleet.change_once()
    with trio.move_on_after(2 * APPLY_LIMIT_S):
        while any(peer.discovery.table.number < number for peer in others):
            await trio.sleep(0.01)
    lag_s = fleet.lag_s(number - 1)
    fleet.without_store.clear()
    await trio.sleep(SETTLE_S)
    return lag_s


@pytest.mark.parametrize(
    "sizes", [(2,), (3,), (8,), (24,), (84,), (2, 2), (3, 3, 3), (40, 3, 1)]
)
async def test_members_of_cut_off_readers_kept_the_older_configuration(
    autojump_clock, fleet, sizes
):
    await start_fleet(fleet, sizes)
    lags = [
        await lag_after_a_cut(fleet, speakers(fleet), phase / 10) for phase in range(8)
    ]
    assert max(lags) < APPLY_LIMIT_S, lags


@pytest.mark.parametrize("sizes", [(3,), (8,), (24, 3)])
async def test_second_instances_that_are_cut_off_too_kept_the_older_configuration(
    autojump_clock, fleet, sizes
):
    """A third of the instances is turned away, the speakers and others at random."""
    rng = random.Random(1)
    await start_fleet(fleet, sizes)
    lags = []
    for phase in range(8):
        count = max(2, len(fleet.peers) // 3)
        others = rng.sample(sorted(fleet.peers), count)
        cut = {*speakers(fleet), *others}
        if len(cut) < len(fleet.peers):
            lags.append(await lag_after_a_cut(fleet, cut, phase / 10))
    assert max(lags) < APPLY_LIMIT_S, lags


@pytest.mark.parametrize("is_killed", [False, True])
async def test_reader_of_the_last_zone_that_is_cut_off_delayed_its_members(
    autojump_clock, fleet, is_killed
):
    """The other zones have emptied, as planned or at once."""
    await start_fleet(fleet, (3, 2, 2))
    for peer in list(fleet.peers.values()):
        if peer.zone != "z":
            if is_killed:
                peer.kill()
            else:
                await peer.leave(1.0)
            del fleet.peers[peer.address]
    await trio.sleep(1.0)
    lags = [await lag_after_a_cut(fleet, speakers(fleet), n / 5) for n in range(5)]
    assert max(lags) < APPLY_LIMIT_S, lags


async def test_successor_of_a_speaker_that_is_cut_off_delayed_its_members(
    autojump_clock, fleet
):
    """The speaker stops, and its successor, which takes over its reads, is cut off."""
    await start_fleet(fleet, (5,))
    (first,) = speakers(fleet)
    fleet.peers[first].kill()
    del fleet.peers[first]
    await trio.sleep(1.2)
    lag_s = await lag_after_a_cut(fleet, speakers(fleet), 0.0)
    assert lag_s < APPLY_LIMIT_S


@pytest.mark.parametrize("sizes", [(3,), (24,), (3, 3, 3), (24, 8, 8)])
@pytest.mark.parametrize("apply_ms", [2000.0, 4000.0])
async def test_idle_fleet_calls_the_store_seldom(
    autojump_clock, fleet, sizes, apply_ms
):
    """Members that take over reads must not do so while a reader is in touch."""
    fleet.apply_ms = apply_ms
    await start_fleet(fleet, sizes)
    cycle_s = next(iter(fleet.peers.values())).state_sync.budget.cycle_s
    before = sum(peer.source.calls for peer in fleet.peers.values())
    await trio.sleep(IDLE_S)
    calls = sum(peer.source.calls for peer in fleet.peers.values()) - before
    assert calls / IDLE_S / len(sizes) < (1 + MAX_EXTRA_CALLS) / cycle_s


@pytest.mark.parametrize("sizes", [(8,), (40, 40, 4)])
async def test_outage_of_the_store_is_not_met_by_calls_of_all(
    autojump_clock, fleet, sizes
):
    """In the first seconds a few instances of each zone read beside its speaker."""
    await start_fleet(fleet, sizes)
    before = sum(peer.source.calls for peer in fleet.peers.values())
    fleet.without_store |= set(fleet.peers)
    await trio.sleep(3.0)
    callers = 5 * len(sizes)
    calls = sum(peer.source.calls for peer in fleet.peers.values()) - before
    assert calls < 3.0 * 1.5 * callers
