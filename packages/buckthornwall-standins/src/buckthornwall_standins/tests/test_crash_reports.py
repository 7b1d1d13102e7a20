"""Crash records of requests reach all instances."""

import pytest
import trio
from buckthornwall.quarantine import Fingerprint, incarnation_tag
from buckthornwall.routing import PoolId

from buckthornwall_standins.peers_sim import PeersSimulation

SETTLE_S = 6.0
# Part of the 3 s after which requests that are sent count.
KNOWN_S = 1.0
KNOWN_WITH_LOSSES_S = 3.0
# A speaker lookup and its answer, and one round of the speaker.
JOINED_S = 0.25
REQUEST = Fingerprint(7)


def record_termination(peer, upstream, request=REQUEST):
    tag = incarnation_tag(PoolId("p"), upstream, "")
    peer.quarantine.record_termination(request, tag, trio.current_time())


def refusing_peers(fleet):
    now = trio.current_time()
    return [
        peer
        for peer in fleet.peers.values()
        if peer.is_live and peer.quarantine.is_refused(REQUEST, now)
    ]


async def start_fleet(nursery, zones, zone_size):
    fleet = PeersSimulation(nursery)
    fleet.seeds = ["10.1.0.1:7340", "10.2.0.1:7340"]
    for place in range(1, zones + 1):
        fleet.start_zone(f"z{place}", place, zone_size)
    await trio.sleep(SETTLE_S)
    return fleet


@pytest.mark.parametrize(
    ("zones", "zone_size", "loss", "limit_s"),
    [
        (1, 3, 0.0, KNOWN_S),
        (3, 2, 0.0, KNOWN_S),
        (3, 2, 0.2, KNOWN_WITH_LOSSES_S),
        (6, 33, 0.0, KNOWN_S),
    ],
)
async def test_terminations_recorded_by_three_instances_reach_all(
    autojump_clock, nursery, zones, zone_size, loss, limit_s
):
    fleet = await start_fleet(nursery, zones, zone_size)
    fleet.network.loss = loss
    peers = list(fleet.peers.values())
    for upstream, peer in zip("abc", (peers[0], peers[-1], peers[1]), strict=True):
        record_termination(peer, upstream)
    await trio.sleep(limit_s)
    assert len(refusing_peers(fleet)) == len(peers)


async def test_restarted_instances_receive_crash_records(autojump_clock, nursery):
    fleet = await start_fleet(nursery, 2, 3)
    for upstream in "abc":
        record_termination(fleet.peers["10.1.0.2:7340"], upstream)
    await trio.sleep(KNOWN_S)
    for place in (1, 2):
        speaker = fleet.speaker(f"z{place}")
        speaker.kill()
        await trio.sleep(0.5)
        fleet.start(speaker.address, speaker.zone)
    await trio.sleep(KNOWN_WITH_LOSSES_S)
    assert len(refusing_peers(fleet)) == 6


async def test_joining_instance_receives_crash_records_at_once(autojump_clock, nursery):
    """Once it has its configuration it would send a request whose record it lacks."""
    fleet = await start_fleet(nursery, 2, 3)
    for upstream in "abc":
        record_termination(fleet.peers["10.1.0.2:7340"], upstream)
    await trio.sleep(KNOWN_S)
    newcomer = fleet.start("10.1.0.99:7340", "z1")
    await trio.sleep(JOINED_S)
    assert newcomer in refusing_peers(fleet)


async def test_isolated_instances_receive_crash_records_later(autojump_clock, nursery):
    fleet = await start_fleet(nursery, 3, 2)
    fleet.network.isolated = {"10.2.0.1:7340", "10.2.0.2:7340"}
    for upstream in "abc":
        record_termination(fleet.peers["10.1.0.1:7340"], upstream)
    await trio.sleep(5.0)
    assert len(refusing_peers(fleet)) == 4
    fleet.network.isolated = set()
    await trio.sleep(KNOWN_WITH_LOSSES_S)
    assert len(refusing_peers(fleet)) == 6


async def test_loss_of_many_engines_does_not_flood_members(autojump_clock, nursery):
    """Each of 99 instances has three requests at engines that end at once."""
    fleet = await start_fleet(nursery, 3, 33)
    bytes_before = {
        address: fleet.network.bytes_by_target[address] for address in fleet.peers
    }
    for number, peer in enumerate(fleet.peers.values()):
        for request in range(3):
            record_termination(peer, f"e{request}", Fingerprint(10 * number + request))
    await trio.sleep(4.0)
    members = [peer for peer in fleet.peers.values() if not peer.is_speaker]
    grown = max(
        fleet.network.bytes_by_target[peer.address] - bytes_before[peer.address]
        for peer in members
    )
    assert len({peer.quarantine.checksum for peer in fleet.peers.values()}) == 1
    assert grown < 4 * 7_000
