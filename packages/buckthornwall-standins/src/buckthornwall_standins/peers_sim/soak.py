"""Faults drawn by a seed, on a simulated fleet whose store changes all the time.

Instances leave, die and come back; some are cut off from the others or from the store;
datagrams are lost. Whoever has been spared for a while must not be behind the store for
longer than a change may take to be in force. A seed repeats the draw; the order of
tasks that are due at the same moment is drawn anew in each run.
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

__all__ = ["PeersSoak", "SoakVerdict", "main", "play_seed"]

# Instances by zone: one that has no other, a pair, and zones in which some wait for
# others before they follow a speaker.
ZONES = {"w": 1, "x": 2, "y": 3, "z": 8}
SETTLE_S = 6.0
# A change has to be in force this long after it was acknowledged, at instances that
# nothing has harmed for this long; both in seconds.
LIMIT_S = 2.0
SPARED_S = 3.0
# Planned stops last until the balancer has noticed, or until long answers have ended.
NOTICE_S = (2.6, 7.4)
RESTART_S = (0.5, 2.0)
HARM_S = (0.5, 4.0)
PAUSE_S = (0.2, 1.5)
MOST_LOSS = 0.3
# Faults before the first break that are shown.
SHOWN = 20


@dataclass
class SoakVerdict:
    """Who was behind for too long, and how far anyone who was spared ever was."""

    furthest_s: float = 0.0
    broken: list[str] = field(default_factory=list)


class PeersSoak:
    """One run.

    Parameters
    ----------
    seed
        Draws faults.
    seconds
        How long faults come, in simulated time.
    """

    def __init__(self, seed: int, seconds: float) -> None:
        self.draw = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.verdict = SoakVerdict()
        self.harmed_at: dict[str, float] = {}
        self.history: list[str] = []

    async def run(self) -> SoakVerdict:
        """Play the faults and return the verdict."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.fleet = PeersSimulation(nursery, self.seed)
            nursery.start_soon(self.fleet.change_periodically)
            for place, (zone, count) in enumerate(ZONES.items(), 1):
                self.fleet.start_zone(zone, place, count)
            self.fleet.seeds[:] = self.draw.sample(list(self.fleet.peers), 3)
            await trio.sleep(SETTLE_S)
            nursery.start_soon(self._check)
            with trio.move_on_after(self.seconds):
                await self._play()
            nursery.cancel_scope.cancel()
        return self.verdict

    async def _play(self) -> None:
        faults = [
            self._leave,
            self._leave,
            self._kill,
            self._kill_some,
            self._isolate,
            self._turn_away,
            self._lose,
        ]
        while True:
            self.nursery.start_soon(self.draw.choice(faults))
            await trio.sleep(self.draw.uniform(*PAUSE_S))

    # Faults

    def _some_peer(self) -> SimPeer:
        """Draw an instance, one that speaks as often as one that does not."""
        speaks = self.draw.random() < 0.5
        peers = [
            peer for peer in self.fleet.peers.values() if peer.is_speaker == speaks
        ]
        return self.draw.choice(peers or list(self.fleet.peers.values()))

    def _note(self, fault: str, address: str) -> None:
        self.harmed_at[address] = trio.current_time()
        self.history.append(f"{trio.current_time():.2f} {fault} {address}")

    async def _leave(self) -> None:
        peer = self._some_peer()
        if peer.state is not PeerState.READY or not peer.is_live:
            return
        self._note("leaves", peer.address)
        await peer.leave(self.draw.uniform(*NOTICE_S))
        await self._restart(peer)

    async def _kill(self) -> None:
        peer = self._some_peer()
        if peer.state is PeerState.LEAVING or not peer.is_live:
            return
        self._note("dies", peer.address)
        peer.kill()
        await self._restart(peer)

    async def _kill_some(self) -> None:
        async with trio.open_nursery() as nursery:
            for _ in range(self.draw.randint(2, 6)):
                nursery.start_soon(self._kill)

    async def _restart(self, peer: SimPeer) -> None:
        await trio.sleep(self.draw.uniform(*RESTART_S))
        self._note("starts", peer.address)
        self.fleet.start(peer.address, peer.zone)

    async def _isolate(self) -> None:
        await self._harm("is cut off", self.fleet.network.isolated)

    async def _turn_away(self) -> None:
        await self._harm("has no store", self.fleet.without_store)

    async def _harm(self, fault: str, harmed: set[str]) -> None:
        address = self._some_peer().address
        if address in harmed:
            return
        harmed.add(address)
        self._note(fault, address)
        await trio.sleep(self.draw.uniform(*HARM_S))
        harmed.discard(address)
        self._note(f"no longer {fault}", address)

    async def _lose(self) -> None:
        self.fleet.network.loss = self.draw.uniform(0.0, MOST_LOSS)
        self.history.append(f"{trio.current_time():.2f} loss {self.fleet.network.loss}")
        await trio.sleep(self.draw.uniform(*HARM_S))
        self.fleet.network.loss = 0.0

    # Checks

    async def _check(self) -> None:
        while True:
            await trio.sleep(LAG_SAMPLE_INTERVAL_S)
            for peer in self.fleet.peers.values():
                if self._is_spared(peer):
                    self._check_one(peer)

    def _is_spared(self, peer: SimPeer) -> bool:
        fleet, address = self.fleet, peer.address
        harmed_at = self.harmed_at.get(address, 0.0)
        return (
            peer.is_live
            and peer.state is PeerState.READY
            and address not in fleet.network.isolated | fleet.without_store
            and trio.current_time() - harmed_at > SPARED_S
        )

    def _check_one(self, peer: SimPeer) -> None:
        lag_s = self.fleet.lag_s(peer.discovery.table.number)
        self.verdict.furthest_s = max(self.verdict.furthest_s, lag_s)
        if lag_s > LIMIT_S:
            if not self.verdict.broken:
                del self.history[:-SHOWN]
                self.history = [*self.history, "-- broken --"]
            self.verdict.broken.append(f"{trio.current_time():.2f} {_state(peer)}")


def _state(peer: SimPeer) -> str:
    """Return how far behind an instance is, and what it goes by."""
    now = peer.clock.now()
    digest = peer.agent.table.fleet_digest(peer.make_beacon(), now)
    lag_s = peer.simulation.lag_s(peer.discovery.table.number)
    return (
        f"{peer.address} is {lag_s:.2f} s behind: speaks={peer.is_speaker} "
        f"speaker={peer.agent.table.speaker_address(now)} "
        f"staleness_s={peer.agent.table.staleness_s(now):.2f} "
        f"may_read={peer.state_sync.may_read()} "
        f"read_s_ago={now - peer.discovery.read_at:.2f} "
        f"away={peer.discovery.is_store_unavailable} "
        f"number={peer.discovery.table.number} told={digest.config_number} "
        f"informed={digest.freshest_peer}"
    )


def play_seed(seed: int, seconds: float) -> SoakVerdict:
    """Play one seed; show what happened before the first break, if any."""
    soak = PeersSoak(seed, seconds)
    verdict = trio.run(soak.run, clock=MockClock(autojump_threshold=0))
    if verdict.broken:
        print("\n".join(soak.history), file=sys.stderr)
    return verdict


def main(arguments: list[str] | None = None) -> int:
    """Play seeds one after the other; return 1 if any broke the bound."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=1, help="how many to play")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seconds", type=float, default=40.0)
    options = parser.parse_args(arguments)
    logger.remove()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        verdict = play_seed(seed, options.seconds)
        failed += bool(verdict.broken)
        state = verdict.broken[0] if verdict.broken else "kept"
        print(f"seed {seed}: furthest {verdict.furthest_s:.2f} s: {state}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
