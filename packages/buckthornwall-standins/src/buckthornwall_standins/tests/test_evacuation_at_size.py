"""How soon the instances of a fleet know that a zone is evacuated, large ones too."""

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
EMPTIED = ZoneId("z2")


def entry(number):
    zone = ZoneId(f"z{number % ZONES + 1}")
    name, address = UpstreamId(f"u{number}"), f"10.9.0.{number}:1"
    return UpstreamEntry(name, PoolId("p"), address, zone, 8, UpstreamState.READY)


async def started(nursery, of_zone):
    fleet = PeersSimulation(nursery)
    fleet.seeds = ["10.1.0.1:7340", "10.2.0.1:7340"]
    fleet.entries = {each.id: each for each in map(entry, range(12))}
    for place in range(1, ZONES + 1):
        fleet.start_zone(f"z{place}", place, of_zone)
    await trio.sleep(SETTLE_S)
    return fleet


def sending(fleet):
    """Return who would send requests to the zone that is emptied."""
    return [
        peer.address
        for peer in fleet.peers.values()
        if peer.is_live
        and any(
            view.entry.zone == EMPTIED
            for view in peer.pools.usable(PoolId("p"), frozenset())
        )
    ]


async def changes(fleet):
    """Let registrations change all the time."""
    fleet.nursery.start_soon(fleet.change_periodically)
    await trio.sleep(1.0)


async def speakers_die(fleet):
    """Kill all speakers of zones."""
    for place in range(1, ZONES + 1):
        fleet.speaker(f"z{place}").kill()


async def losses(fleet):
    """Lose a fifth of datagrams."""
    fleet.network.loss = 0.2


async def store_answers_one_zone(fleet):
    """Turn away all instances but those of one zone."""
    fleet.without_store = {
        address for address in fleet.peers if not address.startswith("10.3.")
    }
    await trio.sleep(2.0)


@pytest.mark.parametrize(
    ("trouble", "of_zone"),
    [
        (changes, 4),
        (losses, 4),
        (store_answers_one_zone, 4),
        (speakers_die, 4),
        (speakers_die, 33),
    ],
)
async def test_a_zone_is_emptied_by_all_instances_in_time(
    autojump_clock, nursery, trouble, of_zone
):
    fleet = await started(nursery, of_zone)
    await trouble(fleet)
    assert len(sending(fleet)) > ZONES
    fleet.evacuate(EMPTIED)
    await trio.sleep(BOUND_S)
    assert sending(fleet) == []
    fleet.reopen(EMPTIED)
    await trio.sleep(BOUND_S)
    live = [peer for peer in fleet.peers.values() if peer.is_live]
    assert not any(peer.pools.evacuations.zones() for peer in live)
    await trio.sleep(SIM_POOL.cold_s)
    assert len(sending(fleet)) == len(live)


async def test_who_starts_or_was_cut_off_does_not_fill_an_emptied_zone(
    autojump_clock, nursery
):
    fleet = await started(nursery, 14)
    cut = "10.4.0.7:7340"
    fleet.network.isolated.add(cut)
    fleet.without_store.add(cut)
    fleet.evacuate(EMPTIED)
    await trio.sleep(BOUND_S)
    assert sending(fleet) == [cut]
    fleet.network.isolated.clear()
    fleet.without_store.clear()
    for number in range(40, 50):
        fleet.start(f"10.5.0.{number}:7340", ZoneId("z5"))
    for _ in range(int(BOUND_S / 0.1)):
        await trio.sleep(0.1)
        assert set(sending(fleet)) <= {cut}
    assert sending(fleet) == []
