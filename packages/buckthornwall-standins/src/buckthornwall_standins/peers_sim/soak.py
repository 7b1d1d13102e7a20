"""Inject random faults into a simulated fleet whose store changes all the time.

Instances leave, die and come back; some are isolated from the others or from the store;
datagrams are lost. An instance without faults for a while must not lag behind the store
for longer than a change may take to be in force. A seed repeats the faults; tasks that
are due at the same moment run in another random order in each run.
"""

import argparse
import random
import sys
from dataclasses import dataclass, field

import trio
from buckthornwall.peers import PeerState
from loguru import logger
from trio.testing import MockClock

from .peer import LAG_SAMPLE_INTERVAL_S, SimPeer
from .simulation import PeersSimulation

__all__ = ["PeersSoak", "SoakVerdict", "main", "run_seed"]

# Instances by zone: a single one, a pair, and zones in which some wait for others
# before they follow a speaker.
ZONES = {"w": 1, "x": 2, "y": 3, "z": 8}
SETTLE_S = 6.0
# A change has to be in force this long after its acknowledgement.
MAX_LAG_S = 2.0
# Instances are checked once they have had no fault for this long.
RECOVERY_S = 3.0
# Planned stops last until the load balancer has noticed, or until long answers have
# ended.
LEAVE_NOTICE_S = (2.6, 7.4)
RESTART_DELAY_S = (0.5, 2.0)
FAULT_DURATION_S = (0.5, 4.0)
FAULT_INTERVAL_S = (0.2, 1.5)
MAX_LOSS = 0.3
# Events shown before the first violation.
SHOWN_EVENTS = 20


@dataclass
class SoakVerdict:
    """Instances that lagged too long, and the largest lag of any that was checked."""

    max_lag_s: float = 0.0
    violations: list[str] = field(default_factory=list)


class PeersSoak:
    """One run of the soak.

    Parameters
    ----------
    seed
        Seed of the faults and of the losses of datagrams.
    seconds
        How long faults are injected, in simulated seconds.
    """

    def __init__(self, seed: int, seconds: float) -> None:
        self.rng = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.verdict = SoakVerdict()
        self.faulted_at: dict[str, float] = {}
        self.history: list[str] = []

    async def run(self) -> SoakVerdict:
        """Inject faults and return the verdict."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.fleet = PeersSimulation(nursery, self.seed)
            nursery.start_soon(self.fleet.change_periodically)
            for place, (zone, count) in enumerate(ZONES.items(), 1):
                self.fleet.start_zone(zone, place, count)
            self.fleet.seeds[:] = self.rng.sample(list(self.fleet.peers), 3)
            await trio.sleep(SETTLE_S)
            nursery.start_soon(self._check)
            with trio.move_on_after(self.seconds):
                await self._inject_faults()
            nursery.cancel_scope.cancel()
        return self.verdict

    async def _inject_faults(self) -> None:
        faults = [
            self._leave,
            self._leave,
            self._kill,
            self._kill_some,
            self._isolate,
            self._cut_from_store,
            self._lose_datagrams,
        ]
        while True:
            self.nursery.start_soon(self.rng.choice(faults))
            await trio.sleep(self.rng.uniform(*FAULT_INTERVAL_S))

    # Faults

    def _sample_peer(self) -> SimPeer:
        """Sample an instance, a speaker as often as one that is not."""
        is_speaker = self.rng.random() < 0.5
        peers = [
            peer for peer in self.fleet.peers.values() if peer.is_speaker == is_speaker
        ]
        return self.rng.choice(peers or list(self.fleet.peers.values()))

    def _record_fault(self, fault: str, address: str) -> None:
        self.faulted_at[address] = trio.current_time()
        self.history.append(f"{trio.current_time():.2f} {fault} {address}")

    async def _leave(self) -> None:
        peer = self._sample_peer()
        if peer.state is not PeerState.READY or not peer.is_live:
            return
        self._record_fault("leaves", peer.address)
        await peer.leave(self.rng.uniform(*LEAVE_NOTICE_S))
        await self._restart(peer)

    async def _kill(self) -> None:
        peer = self._sample_peer()
        if peer.state is PeerState.LEAVING or not peer.is_live:
            return
        self._record_fault("dies", peer.address)
        peer.kill()
        await self._restart(peer)

    async def _kill_some(self) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(self.rng.randint(2, 6)):
                nursery.start_soon(self._kill)

    async def _restart(self, peer: SimPeer) -> None:
        await trio.sleep(self.rng.uniform(*RESTART_DELAY_S))
        self._record_fault("starts", peer.address)
        self.fleet.start(peer.address, peer.zone)

    async def _isolate(self) -> None:
        await self._inject("is isolated", self.fleet.network.isolated)

    async def _cut_from_store(self) -> None:
        await self._inject("has no store", self.fleet.without_store)

    async def _inject(self, fault: str, affected: set[str]) -> None:
        address = self._sample_peer().address
        if address in affected:
            return
        affected.add(address)
        self._record_fault(fault, address)
        await trio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        affected.discard(address)
        self._record_fault(f"no longer {fault}", address)

    async def _lose_datagrams(self) -> None:
        self.fleet.network.loss = self.rng.uniform(0.0, MAX_LOSS)
        self.history.append(f"{trio.current_time():.2f} loss {self.fleet.network.loss}")
        await trio.sleep(self.rng.uniform(*FAULT_DURATION_S))
        self.fleet.network.loss = 0.0

    # Checks

    async def _check(self) -> None:
        while True:
            await trio.sleep(LAG_SAMPLE_INTERVAL_S)
            for peer in self.fleet.peers.values():
                if self._is_recovered(peer):
                    self._check_lag(peer)

    def _is_recovered(self, peer: SimPeer) -> bool:
        fleet, address = self.fleet, peer.address
        faulted_at = self.faulted_at.get(address, 0.0)
        return (
            peer.is_live
            and peer.state is PeerState.READY
            and address not in fleet.network.isolated | fleet.without_store
            and trio.current_time() - faulted_at > RECOVERY_S
        )

    def _check_lag(self, peer: SimPeer) -> None:
        lag_s = self.fleet.lag_s(peer.discovery.table.number)
        self.verdict.max_lag_s = max(self.verdict.max_lag_s, lag_s)
        if lag_s > MAX_LAG_S:
            if not self.verdict.violations:
                del self.history[:-SHOWN_EVENTS]
                self.history = [*self.history, "-- first violation --"]
            self.verdict.violations.append(
                f"{trio.current_time():.2f} {_describe(peer)}"
            )


def _describe(peer: SimPeer) -> str:
    """Return an instance's lag and the state that explains it."""
    now = peer.clock.now()
    digest = peer.agent.table.fleet_digest(peer.make_beacon(), now)
    lag_s = peer.simulation.lag_s(peer.discovery.table.number)
    return (
        f"{peer.address} lags by {lag_s:.2f} s: speaks={peer.is_speaker} "
        f"speaker={peer.agent.table.speaker_address(now)} "
        f"staleness_s={peer.agent.table.staleness_s(now):.2f} "
        f"may_read={peer.state_sync.may_read()} "
        f"read_s_ago={now - peer.discovery.read_at:.2f} "
        f"away={peer.discovery.is_store_unavailable} "
        f"number={peer.discovery.table.number} told={digest.config_number} "
        f"informed={digest.freshest_peer}"
    )


def run_seed(seed: int, seconds: float) -> SoakVerdict:
    """Run one seed; print the events before the first violation, if any."""
    soak = PeersSoak(seed, seconds)
    verdict = trio.run(soak.run, clock=MockClock(autojump_threshold=0))
    if verdict.violations:
        print("\n".join(soak.history), file=sys.stderr)
    return verdict


def main(arguments: list[str] | None = None) -> int:
    """Run seeds one after the other; return 1 if any lag exceeded the limit."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=1, help="how many to run")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seconds", type=float, default=40.0)
    options = parser.parse_args(arguments)
    logger.remove()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        verdict = run_seed(seed, options.seconds)
        failed += bool(verdict.violations)
        state = verdict.violations[0] if verdict.violations else "kept"
        print(f"seed {seed}: furthest {verdict.max_lag_s:.2f} s: {state}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
