"""Measure the age of the peers' work reports and the cost of sending them.

One instance of each zone reports work at a probe engine, used by no other, whose
pending prefill tokens encode the time. The value that the others hold gives the age of
their report. Besides, every instance has requests at randomly sampled engines that
change all the time, and sends new prompts.
"""

import argparse
import random
import sys
import time
from dataclasses import dataclass, field

import trio
from buckthornwall.peers import Work
from buckthornwall.pools import CachedPrefixes, PrefixUpdates, RankTokens
from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId
from loguru import logger
from trio.testing import MockClock

from .simulation import PeersSimulation

__all__ = ["ReportAges", "ReportAgeTrial", "main", "measure"]

SETTLE_S = 6.0
SAMPLE_INTERVAL_S = 0.05
# Pending prefill tokens that stand for one tick, a hundredth of a second.
TICK_TOKENS = 32
TICK_S = 0.01
RANK = 0
# Requests in flight of one instance, and prompts with a new segment that it sends in a
# second, where 195 instances and 59 engines have twice the usual load of a large fleet.
IN_FLIGHT = 4
PROMPTS_PER_S = 1.6
# Ranks of the requests whose admitted and refused tokens are reported.
RANKS = 9
POOL = PoolId("drafting")


@dataclass
class ReportAges:
    """Ages of reports in seconds, and their cost.

    Attributes
    ----------
    ages : list of float
        Sampled ages.
    member_bytes_per_s, speaker_bytes_per_s : float
        Bytes a second received by the member that received, and sent by the instance
        that sent, the most.
    core_share : float
        Processor time of an instance, as a share of the simulated time.
    """

    ages: list[float] = field(default_factory=list)
    member_bytes_per_s: float = 0.0
    speaker_bytes_per_s: float = 0.0
    core_share: float = 0.0

    def quantile(self, share: float) -> float:
        """Return the quantile of the ages at this share."""
        return sorted(self.ages)[int(share * (len(self.ages) - 1))]


class ReportAgeTrial:
    """One measurement.

    Parameters
    ----------
    instances, zones, engines
        Numbers of each.
    loss
        Share of datagrams that are lost.
    seed
        Seed of the engines and prompts.
    """

    def __init__(
        self, instances: int, zones: int, engines: int, loss: float, seed: int = 1
    ) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.zone_sizes = [
            instances // zones + (index < instances % zones) for index in range(zones)
        ]
        self.engines = [self._random_id() for _ in range(engines)]
        self.prefix_updates: dict[str, PrefixUpdates] = {}
        self.probes: dict[str, UpstreamId] = {}

    def _random_id(self) -> UpstreamId:
        return UpstreamId(f"i-{self.rng.getrandbits(32):08x}")

    async def run(self, seconds: float) -> ReportAges:
        """Let instances exchange reports for some seconds and return the result."""
        result = ReportAges()
        async with trio.open_nursery() as nursery:
            self.fleet = PeersSimulation(nursery)
            self._start()
            await trio.sleep(SETTLE_S)
            self.fleet.network.loss = self.loss
            cpu_before_s = time.process_time()
            before = self._bytes()
            with trio.move_on_after(seconds):
                await self._sample_ages(result)
            cpu_s = time.process_time() - cpu_before_s
            result.core_share = cpu_s / seconds / len(self.fleet.peers)
            received, sent = (
                {address: later[address] - earlier[address] for address in later}
                for earlier, later in zip(before, self._bytes(), strict=True)
            )
            members = [a for a, peer in self.fleet.peers.items() if not peer.is_speaker]
            result.member_bytes_per_s = (
                max(received[each] for each in members) / seconds
            )
            result.speaker_bytes_per_s = max(sent.values()) / seconds
            nursery.cancel_scope.cancel()
        return result

    def _start(self) -> None:
        self.fleet.make_loads = self._loads
        self.fleet.make_cached_prefixes = self._cached_prefixes
        self.fleet.make_rank_tokens = self._rank_tokens
        for index, count in enumerate(self.zone_sizes, 1):
            peers = self.fleet.start_zone(f"z{index}", index, count)
            self.probes[self.rng.choice(peers).address] = self._random_id()
        self.fleet.seeds[:] = self.rng.sample(list(self.fleet.peers), 3)

    def _bytes(self) -> tuple[dict[str, int], dict[str, int]]:
        """Return the bytes sent to each instance, and those sent by it."""
        peers = self.fleet.peers
        received = {
            address: self.fleet.network.bytes_by_target[address] for address in peers
        }
        return received, {
            address: each.agent.bytes_sent for address, each in peers.items()
        }

    def _loads(self, address: str) -> dict[UpstreamId, Work]:
        loads = {
            self.rng.choice(self.engines): Work(
                1, {2: self.rng.randrange(9000)}, 0, {}, 9000
            )
            for _ in range(IN_FLIGHT)
        }
        if address in self.probes:
            ticks = int(trio.current_time() / TICK_S)
            loads[self.probes[address]] = Work(1, {RANK: ticks * TICK_TOKENS})
        return loads

    def _cached_prefixes(self, address: str) -> CachedPrefixes:
        now = trio.current_time()
        updates = self.prefix_updates.setdefault(address, PrefixUpdates())
        # Beacons are sent ten times a second, and made as often for other purposes.
        if self.rng.random() < PROMPTS_PER_S / 30:
            segment = f"{self.rng.getrandbits(32):08x}"
            updates.record(self.rng.choice(self.engines), [(segment, 3800)], now)
        return updates.to_send(now)

    def _rank_tokens(self, address: str) -> RankTokens:
        counts = {
            rank: (self.rng.randrange(400_000), self.rng.randrange(40_000))
            for rank in range(RANKS)
        }
        return {POOL: counts}

    async def _sample_ages(self, result: ReportAges) -> None:
        while True:
            await trio.sleep(SAMPLE_INTERVAL_S)
            now = trio.current_time()
            for address, peer in self.fleet.peers.items():
                result.ages.extend(self._ages(address, peer, now))

    def _ages(self, address, peer, now: float) -> list[float]:
        table = peer.agent.table
        known = table.totals.peer_work(peer.make_beacon(), now)
        return [
            now - known[probe].pending_prefill[RANK] / TICK_TOKENS * TICK_S
            for prober, probe in self.probes.items()
            if prober != address and probe in known and known[probe].pending_prefill
        ]


def measure(
    instances: int, zones: int, engines: int, loss: float, seconds: float
) -> ReportAges:
    """Return the result of one run in simulated time."""
    trial = ReportAgeTrial(instances, zones, engines, loss)
    return trio.run(trial.run, seconds, clock=MockClock(autojump_threshold=0))


def main() -> int:
    """Print one line for each number of instances."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--instances", type=int, nargs="+", default=[30, 100, 300])
    parser.add_argument("--zones", type=int, default=6)
    parser.add_argument("--engines", type=int, default=59)
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    logger.remove()
    for instances in options.instances:
        result = measure(
            instances, options.zones, options.engines, options.loss, options.seconds
        )
        print(
            f"instances={instances} engines={options.engines} loss={options.loss}"
            f" age_p50_s={result.quantile(0.5):.2f}"
            f" age_p99_s={result.quantile(0.99):.2f}"
            f" heard_by_member_kb_s={result.member_bytes_per_s / 1000:.1f}"
            f" sent_by_speaker_kb_s={result.speaker_bytes_per_s / 1000:.1f}"
            f" core_of_each={result.core_share:.4f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
