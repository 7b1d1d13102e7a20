"""Registrations are removed while some instances have trouble with the store.

The others compared positions that a removal did not always raise: one that was seen as
a missing record, or deferred by an instance that returned to the store.
"""

import itertools

import pytest
import trio
from buckthornwall.pools import UpstreamEntry, UpstreamState
from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId, ZoneId

from buckthornwall_standins.peers_sim import PeersSimulation

SETTLE_S = 6.0
# A removal must be in force this long after the store acknowledged it.
DRAIN_LIMIT_S = 2.0
# An instance is in touch again this long after its trouble.
STABLE_S = 3.0
# The longest cuts and times for which the store turns instances away.
CUT_S, TURNED_AWAY_S = 5.5, 9.0
ZONES = ("z", "y", "x")
NAMES = [UpstreamId(f"u{number}") for number in range(12)]


def entry(name):
    number = int(name[1:])
    address = f"10.9.{number // 200}.{number % 200}:1"
    state = UpstreamState.READY
    return UpstreamEntry(name, PoolId("p"), address, ZoneId("z"), 8, state)


async def start_fleet(fleet, sizes):
    fleet.seeds = ["10.1.0.1:1", "10.2.0.1:1"]
    fleet.store.entries = {name: entry(name) for name in NAMES}
    for place, (zone, count) in enumerate(zip(ZONES, sizes, strict=False), 1):
        fleet.start_zone(zone, place, count)
    await trio.sleep(SETTLE_S)


@pytest.fixture
async def fleet(nursery):
    return PeersSimulation(nursery)


def speakers(fleet):
    return {peer.address for peer in fleet.peers.values() if peer.is_speaker}


def live(fleet):
    return [peer for peer in fleet.peers.values() if peer.is_live]


class Watcher:
    """Samples which upstreams instances hold.

    Attributes
    ----------
    removed_at : dict
        When registrations were removed, in seconds.
    troubled : dict
        Addresses of instances in trouble, and until when, in seconds.
    late, lost : set
        Addresses of instances in touch that held a removed upstream too late, or did
        not hold a sound one, with the upstreams.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.removed_at = {}
        self.troubled = {}
        self.late = set()
        self.lost = set()

    def remove(self, name):
        self.fleet.remove(name)
        self.removed_at[name] = trio.current_time()

    async def run(self):
        while True:
            await trio.sleep(0.05)
            self.sample()

    def sample(self):
        now = trio.current_time()
        sound = set(NAMES) & self.fleet.store.entries.keys()
        late = {
            name for name, at in self.removed_at.items() if now - at > DRAIN_LIMIT_S
        }
        for peer in live(self.fleet):
            if self.troubled.get(peer.address, -STABLE_S) + STABLE_S > now:
                continue
            held = peer.pools.views.keys()
            self.late |= {(peer.address, name) for name in held & late}
            self.lost |= {(peer.address, name) for name in sound - held}


@pytest.fixture
async def watcher(fleet, nursery):
    return Watcher(fleet)


async def check_settled(fleet, watcher):
    """Check that nothing was late or lost, and that all hold what the store holds."""
    await trio.sleep(SETTLE_S)
    assert not watcher.late
    assert not watcher.lost
    for peer in live(fleet):
        assert peer.pools.views.keys() == fleet.store.entries.keys(), peer.address
    positions = {peer.discovery.change_position for peer in live(fleet)}
    assert len(positions) == 1


async def cut_off(fleet, watcher, addresses, seconds, remove_at):
    """Cut instances off from the store, and remove an upstream meanwhile."""
    watcher.troubled |= dict.fromkeys(addresses, trio.current_time() + seconds)
    fleet.without_store |= addresses
    await trio.sleep(remove_at)
    watcher.remove(next(iter(fleet.store.entries)))
    await trio.sleep(seconds - remove_at)
    fleet.without_store -= addresses
    await trio.sleep(SETTLE_S)


@pytest.mark.parametrize("sizes", [(3,), (2, 3, 1), (8, 8, 8), (60,), (110, 110, 110)])
async def test_removal_that_a_returned_reader_deferred_was_undone_at_its_members(
    autojump_clock, fleet, watcher, nursery, sizes
):
    """One reader is cut off, and an upstream removed shortly before it is back."""
    await start_fleet(fleet, sizes)
    nursery.start_soon(watcher.run)
    rounds = 5 if sum(sizes) < 100 else 1
    for number in range(rounds):
        reader = sorted(speakers(fleet))[number % len(speakers(fleet))]
        await cut_off(fleet, watcher, {reader}, CUT_S, CUT_S - 0.05 - number / 10)
    await check_settled(fleet, watcher)


@pytest.mark.parametrize(
    ("sizes", "remove_at"),
    [
        *itertools.product([(3,), (3, 3, 3), (8, 8, 8)], [0.15, 0.5, 1.2]),
        ((110, 110, 110), 0.15),
    ],
)
async def test_removal_while_readers_were_turned_away_was_unknown_to_members(
    autojump_clock, fleet, watcher, nursery, sizes, remove_at
):
    """All readers are turned away, and an upstream is removed soon after."""
    await start_fleet(fleet, sizes)
    nursery.start_soon(watcher.run)
    await cut_off(fleet, watcher, speakers(fleet), TURNED_AWAY_S, remove_at)
    await check_settled(fleet, watcher)


@pytest.mark.parametrize(
    ("sizes", "remove_at"),
    [
        *itertools.product([(3,), (3, 3, 3), (24, 3)], [0.1, 0.4, 0.8]),
        ((110, 110, 110), 0.1),
    ],
)
async def test_removal_seen_as_a_missing_record_was_unknown_to_members(
    autojump_clock, fleet, watcher, nursery, sizes, remove_at
):
    """The readers are killed, and the store forgets the removal before others read."""
    await start_fleet(fleet, sizes)
    nursery.start_soon(watcher.run)
    for address in speakers(fleet):
        fleet.peers.pop(address).kill()
    await trio.sleep(remove_at)
    watcher.remove(NAMES[3])
    fleet.compact()
    await check_settled(fleet, watcher)


@pytest.mark.parametrize("sizes", [(3,), (3, 3, 3), (24, 3)])
async def test_zone_reopened_while_readers_were_away_stayed_evacuated_at_members(
    autojump_clock, fleet, watcher, sizes
):
    """The record of its evacuation is only seen to be missing."""
    await start_fleet(fleet, sizes)
    fleet.evacuate(ZoneId("z"))
    await trio.sleep(DRAIN_LIMIT_S)
    assert all(peer.pools.evacuations.zones() for peer in live(fleet))
    for address in speakers(fleet):
        fleet.peers.pop(address).kill()
    await trio.sleep(0.1)
    fleet.reopen(ZoneId("z"))
    fleet.compact()
    await trio.sleep(DRAIN_LIMIT_S)
    assert not any(peer.pools.evacuations.zones() for peer in live(fleet))
