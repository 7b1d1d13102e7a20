"""Fleets of any size keep the rate limit that an upstream advertises."""

import random

import pytest
import trio
from buckthornwall.pools import UpstreamEntry, UpstreamState
from buckthornwall.pools.rate_limit import UNLIMITED
from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId, ZoneId

from buckthornwall_standins.limit_soak import RateAllowance, max_in_window
from buckthornwall_standins.peers_sim import PeersSimulation

ALLOWANCE = RateAllowance(grace_s=2.0)
SETTLE_S = 6.0
ENTRY = UpstreamEntry(
    UpstreamId("u"), PoolId("p"), "10.9.0.1:1", ZoneId("z1"), 64, UpstreamState.READY
)


class LimitedUpstream:
    """An upstream of a simulated fleet; `per_s` is the limit that it advertises."""

    def __init__(self, fleet, seed=1):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.per_s = UNLIMITED
        self.arrivals = []

    def view(self, peer):
        return peer.pools.views[ENTRY.id]

    def live(self):
        return [peer for peer in self.fleet.peers.values() if peer.is_live]

    async def send_requests(self, per_s):
        """Let callers send requests to randomly sampled instances."""
        while True:
            await trio.sleep(self.rng.expovariate(per_s))
            peer = self.rng.choice(self.live())
            view = peer.pools.views.get(ENTRY.id)
            if view is not None and view.rate_limit.may_send(trio.current_time()):
                view.rate_limit.take(trio.current_time())
                self.arrivals.append(trio.current_time())
                self.fleet.nursery.start_soon(self.answer, peer, view)

    async def answer(self, peer, view):
        await trio.sleep(0.05)
        peer.pools.rate_limits.record(view, self.per_s)

    def since(self, at):
        return [each for each in self.arrivals if each > at]


async def start_fleet(nursery, zones, zone_size, per_s):
    fleet = PeersSimulation(nursery)
    fleet.seeds = ["10.1.0.1:7340", "10.2.0.1:7340"]
    fleet.store.entries = {ENTRY.id: ENTRY}
    for place in range(1, zones + 1):
        fleet.start_zone(f"z{place}", place, zone_size)
    upstream = LimitedUpstream(fleet)
    await trio.sleep(SETTLE_S)
    nursery.start_soon(upstream.send_requests, per_s)
    await trio.sleep(2.0)
    return fleet, upstream


@pytest.mark.parametrize(
    ("zones", "zone_size", "per_s", "seconds"),
    [
        (1, 3, 1.0, 20.0),
        (3, 2, 1.0, 20.0),
        (3, 2, 12.0, 20.0),
        (3, 4, 1.0, 20.0),
        (3, 4, 12.0, 20.0),
        (6, 33, 1.0, 8.0),
    ],
)
async def test_instances_together_do_not_exceed_rate_limit(
    autojump_clock, nursery, zones, zone_size, per_s, seconds
):
    fleet, upstream = await start_fleet(nursery, zones, zone_size, 80.0)
    upstream.per_s = per_s
    await trio.sleep(ALLOWANCE.grace_s)
    advertised_at = trio.current_time()
    await trio.sleep(seconds)
    arrivals = upstream.since(advertised_at)
    allowed = ALLOWANCE.max_requests(per_s)
    assert max_in_window(arrivals, ALLOWANCE.window_s) <= allowed
    assert len(arrivals) > 5


async def test_deaths_of_speakers_do_not_exceed_rate_limit(autojump_clock, nursery):
    fleet, upstream = await start_fleet(nursery, 3, 4, 80.0)
    upstream.per_s = 1.0
    await trio.sleep(ALLOWANCE.grace_s)
    advertised_at = trio.current_time()
    for place in (1, 2, 3, 1, 2, 3):
        speaker = fleet.speaker(f"z{place}")
        speaker.kill()
        await trio.sleep(2.0)
        fleet.start(speaker.address, speaker.zone)
        await trio.sleep(1.0)
    arrivals = upstream.since(advertised_at)
    allowed = ALLOWANCE.max_requests(1.0)
    assert max_in_window(arrivals, ALLOWANCE.window_s) <= allowed


async def test_no_instance_keeps_a_withdrawn_rate_limit(autojump_clock, nursery):
    fleet, upstream = await start_fleet(nursery, 3, 4, 80.0)
    upstream.per_s = 1.0
    await trio.sleep(5.0)
    upstream.per_s = UNLIMITED
    await trio.sleep(5.0)
    limited = [
        peer.address
        for peer in fleet.peers.values()
        if upstream.view(peer).rate_limit.advertises_limit
    ]
    assert limited == []


async def test_instance_without_answers_learns_rate_limit(autojump_clock, nursery):
    fleet, upstream = await start_fleet(nursery, 3, 4, 80.0)
    upstream.per_s = 1.0
    await trio.sleep(ALLOWANCE.grace_s)
    newcomer = fleet.start("10.1.0.99:7340", ZoneId("z1"))
    await trio.sleep(1.0)
    assert upstream.view(newcomer).rate_limit.advertises_limit
