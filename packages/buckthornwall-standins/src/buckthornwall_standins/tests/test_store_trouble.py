"""Readers of the store in trouble of any kind, before a change of the configuration."""

import pytest
import trio

from .test_store_cut import ZONES, fleet, speakers, start_fleet

__all__ = ["fleet"]

TROUBLES = ("cut", "slow", "silent", "dark", "killed", "replaced")


def trouble(fleet, kind, address):
    """Let trouble begin at an instance; return the instances that are out of touch."""
    if kind in ("cut", "dark"):
        fleet.without_store.add(address)
    if kind in ("silent", "dark"):
        fleet.network.isolated.add(address)
    if kind == "slow":
        fleet.store_delay_s = lambda other: 1.5 if other == address else 0.004
    if kind in ("killed", "replaced"):
        fleet.peers.pop(address).kill()
    if kind == "replaced":
        fleet.without_store.add(address)
        zone = ZONES[int(address.split(".")[1]) - 1]
        fleet.start(address, zone)
    return {address}


async def lag_in_trouble(fleet, kind, phase_s):
    """Begin trouble at all readers, change the store, and return the longest lag."""
    await trio.sleep(phase_s)
    out_of_touch = set()
    for address in speakers(fleet):
        out_of_touch |= trouble(fleet, kind, address)
    await trio.sleep(0.05)
    number = fleet.change_once()
    others = [
        peer for address, peer in fleet.peers.items() if address not in out_of_touch
    ]
    with trio.move_on_after(2 * fleet.apply_ms / 1000):
        while any(peer.discovery.table.number < number for peer in others):
            await trio.sleep(0.01)
    return fleet.lag_s(number - 1)


@pytest.mark.parametrize("kind", TROUBLES)
@pytest.mark.parametrize(
    ("sizes", "apply_ms", "phase_s"),
    [
        ((3,), 2000.0, 0.0),
        ((3,), 2000.0, 0.4),
        ((2, 2), 2000.0, 0.2),
        ((20, 20, 20), 2000.0, 0.0),
        ((60,), 2000.0, 0.6),
        ((60,), 3000.0, 0.0),
    ],
)
async def test_readers_in_trouble_kept_others_at_the_older_configuration(
    autojump_clock, fleet, kind, sizes, apply_ms, phase_s
):
    """Their store is slow, they are silent, killed, or replaced by one out of touch."""
    fleet.apply_ms = apply_ms
    await start_fleet(fleet, sizes)
    lag_s = await lag_in_trouble(fleet, kind, phase_s)
    assert lag_s < apply_ms / 1000


async def test_readers_of_300_instances_that_are_cut_off_delayed_the_others(
    autojump_clock, fleet
):
    await start_fleet(fleet, (100, 100, 100))
    assert await lag_in_trouble(fleet, "cut", 0.0) < fleet.apply_ms / 1000
