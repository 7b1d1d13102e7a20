"""What one instance knows of a request that crashes upstreams reaches all others."""

import pytest
import trio
from buckthornwall.quarantine import Fingerprint, incarnation_tag
from buckthornwall.routing import PoolId

from buckthornwall_standins.peers_sim import PeersSimulation

SETTLE_S = 6.0
# Of the 3 s after which sends count.
KNOWN_S = 1.0
KNOWN_WITH_LOSSES_S = 3.0
# A greeting and its answer, and a turn of the speaker.
JOINED_S = 0.25
REQUEST = Fingerprint(7)


def end_at(peer, upstream, request=REQUEST):
    tag = incarnation_tag(PoolId("p"), upstream, "")
    peer.quarantine.record_termination(request, tag, trio.current_time())


def refusing(fleet):
    now = trio.current_time()
    return [
        peer
        for peer in fleet.peers.values()
        if peer.is_live and peer.quarantine.is_refused(REQUEST, now)
    ]


async def settled(nursery, zones, of_zone):
    fleet = PeersSimulation(nursery)
    fleet.seeds = ["10.1.0.1:7340", "10.2.0.1:7340"]
    for place in range(1, zones + 1):
        fleet.start_zone(f"z{place}", place, of_zone)
    await trio.sleep(SETTLE_S)
    return fleet


@pytest.mark.parametrize(
    ("zones", "of_zone", "loss", "limit_s"),
    [
        (1, 3, 0.0, KNOWN_S),
        (3, 2, 0.0, KNOWN_S),
        (3, 2, 0.2, KNOWN_WITH_LOSSES_S),
        (6, 33, 0.0, KNOWN_S),
    ],
)
async def test_three_ends_seen_by_three_instances_are_known_to_all(
    autojump_clock, nursery, zones, of_zone, loss, limit_s
):
    fleet = await settled(nursery, zones, of_zone)
    fleet.network.loss = loss
    peers = list(fleet.peers.values())
    for upstream, peer in zip("abc", (peers[0], peers[-1], peers[1]), strict=True):
        end_at(peer, upstream)
    await trio.sleep(limit_s)
    assert len(refusing(fleet)) == len(peers)


async def test_an_instance_that_starts_again_is_told(autojump_clock, nursery):
    fleet = await settled(nursery, 2, 3)
    for upstream in "abc":
        end_at(fleet.peers["10.1.0.2:7340"], upstream)
    await trio.sleep(KNOWN_S)
    for place in (1, 2):
        speaker = fleet.speaker(f"z{place}")
        speaker.kill()
        await trio.sleep(0.5)
        fleet.start(speaker.address, speaker.zone)
    await trio.sleep(KNOWN_WITH_LOSSES_S)
    assert len(refusing(fleet)) == 6


async def test_an_instance_that_joins_is_told_at_once(autojump_clock, nursery):
    """It is ready once it has its configuration, and sends what it knows nothing of."""
    fleet = await settled(nursery, 2, 3)
    for upstream in "abc":
        end_at(fleet.peers["10.1.0.2:7340"], upstream)
    await trio.sleep(KNOWN_S)
    newcomer = fleet.start("10.1.0.99:7340", "z1")
    await trio.sleep(JOINED_S)
    assert newcomer in refusing(fleet)


async def test_who_was_cut_off_is_told_once_it_is_back(autojump_clock, nursery):
    fleet = await settled(nursery, 3, 2)
    fleet.network.isolated = {"10.2.0.1:7340", "10.2.0.2:7340"}
    for upstream in "abc":
        end_at(fleet.peers["10.1.0.1:7340"], upstream)
    await trio.sleep(5.0)
    assert len(refusing(fleet)) == 4
    fleet.network.isolated = set()
    await trio.sleep(KNOWN_WITH_LOSSES_S)
    assert len(refusing(fleet)) == 6


async def test_a_loss_of_many_engines_costs_a_member_few_bytes(autojump_clock, nursery):
    """Each of 99 instances has three requests at engines that end at once."""
    fleet = await settled(nursery, 3, 33)
    sums = {address: fleet.network.bytes_by_target[address] for address in fleet.peers}
    for number, peer in enumerate(fleet.peers.values()):
        for request in range(3):
            end_at(peer, f"e{request}", Fingerprint(10 * number + request))
    await trio.sleep(4.0)
    members = [peer for peer in fleet.peers.values() if not peer.is_speaker]
    grown = max(
        fleet.network.bytes_by_target[peer.address] - sums[peer.address]
        for peer in members
    )
    assert len({peer.quarantine.checksum for peer in fleet.peers.values()}) == 1
    assert grown < 4 * 7_000
