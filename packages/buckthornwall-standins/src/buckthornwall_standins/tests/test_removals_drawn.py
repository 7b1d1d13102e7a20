"""Registrations change at drawn moments, while drawn instances are in trouble."""

import random

import pytest
import trio
from buckthornwall.utils import UpstreamId

from .test_removals_at_size import (
    DRAIN_LIMIT_S,
    NAMES,
    SETTLE_S,
    Watcher,
    check_settled,
    entry,
    fleet,
    live,
    speakers,
    start_fleet,
    watcher,
)

__all__ = ["fleet", "watcher"]


async def disturb(fleet, watcher, rng):
    """Let some trouble of up to 6 s begin at drawn instances, readers mostly."""
    peers = live(fleet)
    count = max(1, len(peers) // 3)
    drawn = rng.choice([speakers(fleet), {rng.choice(sorted(speakers(fleet)))}])
    drawn = drawn | {peer.address for peer in rng.sample(peers, rng.randrange(count))}
    seconds = rng.uniform(0.3, 6.0)
    kind = rng.choice(["cut", "silent", "killed", "compacted", "replaced"])
    watcher.troubled |= dict.fromkeys(drawn, trio.current_time() + seconds)
    if kind == "cut":
        fleet.without_store |= drawn
    if kind == "silent":
        fleet.network.isolated |= drawn
    if kind == "compacted":
        fleet.compact()
    if kind in ("killed", "replaced"):
        for address in drawn:
            zone = fleet.peers[address].zone
            fleet.peers[address].kill()
            if kind == "replaced":
                fleet.start(address, zone)
    await trio.sleep(seconds)
    fleet.without_store -= drawn
    fleet.network.isolated -= drawn
    for address in drawn:
        if not fleet.peers[address].is_live:
            fleet.start(address, fleet.peers[address].zone)


async def change_registrations(fleet, watcher, rng, count):
    """Remove and register upstreams at drawn moments."""
    for number in range(count):
        await trio.sleep(rng.uniform(0.2, 4.0))
        if rng.random() < 0.5:
            fleet.register(entry(UpstreamId(f"u{100 + number}")))
        names = sorted(fleet.store.entries)
        watcher.remove(rng.choice(names))


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("sizes", [(4,), (3, 3, 3), (9, 2)])
async def test_instances_differ_after_drawn_troubles_and_removals(
    autojump_clock, fleet, watcher, nursery, sizes, seed
):
    """Readers are cut off, silent, killed or replaced, and the history is lost."""
    rng = random.Random(seed)
    await start_fleet(fleet, sizes)
    nursery.start_soon(watcher.run)
    async with trio.open_nursery() as inner:
        inner.start_soon(change_registrations, fleet, watcher, rng, 8)
        for _ in range(4):
            await disturb(fleet, watcher, rng)
            await trio.sleep(rng.uniform(0.0, 4.0))
    await check_settled(fleet, watcher)


async def test_difference_at_the_same_position_lasted_until_the_next_change(
    autojump_clock, fleet
):
    """A member and a speaker hold less than the store, for whatever reason."""
    await start_fleet(fleet, (6, 3))
    speaker = fleet.speaker("z")
    member = next(peer for peer in live(fleet) if not peer.is_speaker)
    for peer, name in ((speaker, NAMES[1]), (member, NAMES[2])):
        peer.pools.remove(name)
        del peer.discovery.state.positions.registrations[name]
        peer.discovery.state.update_checksum()
    await trio.sleep(2 * DRAIN_LIMIT_S)
    assert all(set(peer.pools.views) == set(NAMES) for peer in live(fleet))
    assert member.state_sync.difference.count == 1


@pytest.mark.parametrize("sizes", [(24,), (8, 8, 8)])
async def test_no_difference_is_reported_while_changes_spread(
    autojump_clock, fleet, nursery, sizes
):
    await start_fleet(fleet, sizes)
    watcher = Watcher(fleet)
    nursery.start_soon(fleet.change_periodically)
    fleet.network.loss = 0.1
    await change_registrations(fleet, watcher, random.Random(1), 20)
    assert not any(peer.state_sync.difference.count for peer in live(fleet))


async def expire_in_outage(fleet, names):
    """Let the store be down while registrations of sound upstreams expire.

    They are written again 1.5 s after its return, during which the caller goes on.
    """
    addresses = set(fleet.peers)
    expired = {name: fleet.store.entries[name] for name in names}
    fleet.without_store |= addresses
    await trio.sleep(4.0)
    for name in names:
        fleet.remove(name)
    await trio.sleep(2.0)
    fleet.without_store -= addresses
    return expired


@pytest.mark.parametrize("kill_at", [0.05, 0.3, 1.0, None])
@pytest.mark.parametrize("sizes", [(3,), (3, 3, 3), (24, 3)])
async def test_sound_upstream_was_lost_by_a_takeover_soon_after_an_outage(
    autojump_clock, fleet, nursery, sizes, kill_at
):
    """Its registration has expired, and is written again 1.5 s after the return."""
    await start_fleet(fleet, sizes)
    expired = await expire_in_outage(fleet, NAMES[:4])
    lost = set()

    async def watch():
        while True:
            for peer in live(fleet):
                missing = set(NAMES) - peer.pools.views.keys()
                lost.update((peer.address, name) for name in missing)
            await trio.sleep(0.02)

    nursery.start_soon(watch)
    await trio.sleep(kill_at or 0.0)
    if kill_at is not None:
        for address in speakers(fleet):
            fleet.peers[address].kill()
    await trio.sleep(1.5 - (kill_at or 0.0))
    for entry_again in expired.values():
        fleet.register(entry_again)
    await trio.sleep(SETTLE_S)
    assert not lost
    assert all(peer.pools.views.keys() == set(NAMES) for peer in live(fleet))
