"""A fleet in simulated time that hears of changes through its speakers.

Instances run the product's own peers over datagrams in memory. Whoever speaks for
its zone reads a store that changes all the time; the others go by what they are told.
What is measured is for how long an instance stays behind the store.
"""

import random
from collections import deque

import trio
from buckthornwall.peers import Beacon, PeerAgent, PeerSettings, PeerState, Work
from buckthornwall.peers.table import order_of
from buckthornwall.utils import Incarnation, NodeId, TrioClock, UpstreamId, ZoneId

__all__ = ["PeersSimulation", "SimPeer"]

PORT = 7340
# One way, between any two instances, in seconds.
DELAY_S = 0.0015
# The store changes, and instances look for news, this often.
CHANGE_S = 0.08
LOOK_S = 0.05
QUEUED_DATAGRAMS = 1000


class _Socket:
    """A datagram socket of the simulated network."""

    def __init__(self, simulation: "PeersSimulation", address: str) -> None:
        self.simulation = simulation
        self.address = address
        self.send, self.receive = trio.open_memory_channel(QUEUED_DATAGRAMS)

    def __enter__(self) -> "_Socket":
        self.simulation.sockets[self.address] = self
        return self

    def __exit__(self, *error: object) -> None:
        self.simulation.sockets.pop(self.address, None)

    async def sendto(self, data: bytes, target: tuple[str, int]) -> None:
        """Send a datagram; it is lost where nobody listens."""
        self.simulation.carry(data, self.address, f"{target[0]}:{target[1]}")

    async def recvfrom(self, limit: int) -> tuple[bytes, None]:
        """Return the next datagram."""
        return await self.receive.receive(), None


class SimPeer:
    """One instance: its agent, and the newest change that it knows of.

    Attributes
    ----------
    number : int
        The newest change known here.
    behind_s : float
        The longest time for which it has been behind the store.
    """

    def __init__(self, simulation: "PeersSimulation", address: str, zone: str) -> None:
        self.simulation = simulation
        self.clock = TrioClock()
        self.address = address
        self.zone = ZoneId(zone)
        self.state = PeerState.READY
        self.number = 0
        self.read_at = self.clock.now()
        self.behind_s = 0.0
        self.scope = trio.CancelScope()
        settings = PeerSettings(listen=address, seeds=simulation.seeds)
        self.agent = PeerAgent(settings, self.zone, self.make_beacon, self.clock)
        self.agent.open_socket = self._open_socket

    async def _open_socket(self, address: str) -> _Socket:
        return _Socket(self.simulation, address)

    def make_beacon(self) -> Beacon:
        """Return what this instance says of itself."""
        return Beacon(
            node=NodeId(self.address),
            incarnation=Incarnation(id(self)),
            address=self.address,
            weight=1.0,
            zone=self.zone,
            state=self.state,
            number=self.number,
            mark=self.number,
            read_age_ms=int((self.clock.now() - self.read_at) * 1000),
            unbroken_ms=0,
            loads=self.simulation.loads,
        )

    @property
    def speaks(self) -> bool:
        """Whether this instance lives, and speaks for its zone."""
        is_live = not self.scope.cancel_called
        return is_live and self.agent.table.is_speaker(self.clock.now())

    async def run(self) -> None:
        """Tell, hear, and take what is new, until killed."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.agent.run)
                await self._follow()

    async def _follow(self) -> None:
        while True:
            await trio.sleep(LOOK_S)
            now = self.clock.now()
            if self.speaks:
                self.read_at = now
                self.number = self.simulation.number
            else:
                told = self.agent.table.whole(self.make_beacon(), now)
                self.number = max(self.number, told.number)
            behind_s = self.simulation.behind_s(self.number)
            self.behind_s = max(self.behind_s, behind_s)

    def kill(self) -> None:
        """End without a word."""
        self.scope.cancel()

    async def leave(self, notice_s: float) -> None:
        """Stop as planned: say so for some seconds, and end."""
        self.state = PeerState.LEAVING
        await self.agent.tell()
        await trio.sleep(notice_s)
        self.kill()


class PeersSimulation:
    """Zones of instances, the store's changes, and the network.

    Parameters
    ----------
    nursery
        Where instances run.
    loss
        Share of datagrams that are lost.
    seed
        Of the draws of losses.
    """

    def __init__(self, nursery: trio.Nursery, loss: float = 0.0, seed: int = 1) -> None:
        self.nursery = nursery
        self.loss = loss
        self.draw = random.Random(seed)
        self.sockets: dict[str, _Socket] = {}
        self.peers: dict[str, SimPeer] = {}
        self.seeds: list[str] = []
        self.loads: dict[UpstreamId, Work] = {}
        self.sent = 0
        self.number = 1
        self._changed_at: deque[float] = deque([trio.current_time()])

    async def change(self) -> None:
        """Change the store again and again."""
        while True:
            await trio.sleep(CHANGE_S)
            self.number += 1
            self._changed_at.append(trio.current_time())

    def behind_s(self, number: int) -> float:
        """Return for how long a newer change than `number` has been there."""
        newer = self.number - number
        return trio.current_time() - self._changed_at[-newer] if newer > 0 else 0.0

    def carry(self, data: bytes, source: str, target: str) -> None:
        """Bring a datagram to whoever listens at its target, a moment later."""
        self.sent += 1
        if self.draw.random() >= self.loss:
            self.nursery.start_soon(self._deliver, data, target)

    async def _deliver(self, data: bytes, target: str) -> None:
        await trio.sleep(DELAY_S)
        sock = self.sockets.get(target)
        if sock is not None:
            sock.send.send_nowait(data)

    def start(
        self, address: str, zone: str, state: PeerState = PeerState.READY
    ) -> SimPeer:
        """Start an instance, also one that was there before."""
        peer = self.peers[address] = SimPeer(self, address, zone)
        peer.state = state
        peer.number = self.number
        self.nursery.start_soon(peer.run)
        return peer

    def start_zone(self, zone: str, place: int, count: int) -> list[SimPeer]:
        """Start the instances of a zone."""
        addresses = [f"10.{place}.0.{n}:{PORT}" for n in range(1, count + 1)]
        return [self.start(address, zone) for address in addresses]

    def speaker(self, zone: str) -> SimPeer:
        """Return who speaks for a zone, the highest in the order if several do."""
        return max(
            (peer for peer in self.peers.values() if peer.zone == zone and peer.speaks),
            key=lambda peer: order_of(peer.address, 1.0),
        )
