"""Simulated network for datagrams and views between instances."""

import random
from collections import Counter
from typing import TYPE_CHECKING

import trio
from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.peers import PeerView

if TYPE_CHECKING:
    from .peer import SimPeer

__all__ = ["SimNetwork", "SimSocket", "SimViewClient"]

# Delay between any two instances, in seconds.
ONE_WAY_DELAY_S = 0.0015
RECEIVE_QUEUE_DATAGRAMS = 1000
# How long the product waits for a peer that does not answer, in seconds.
PEER_TIMEOUT_S = 0.3


class SimNetwork:
    """Network between instances, which are known by their addresses.

    Attributes
    ----------
    loss : float
        Share of datagrams that are lost.
    isolated : set of str
        Addresses of instances that no other instance can reach, nor they any other.
    datagrams_sent : int
        Datagrams sent so far, lost ones included.
    bytes_by_target : collections.Counter
        Bytes sent so far by target address, lost datagrams included.
    """

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.isolated: set[str] = set()
        self.sockets: dict[str, SimSocket] = {}
        self.datagrams_sent = 0
        self.bytes_by_target: Counter[str] = Counter()

    def is_disconnected(self, first: str, second: str) -> bool:
        """Return whether two instances cannot reach each other."""
        return bool(self.isolated & {first, second}) and first != second

    def send(self, data: bytes, source: str, target: str) -> None:
        """Deliver a datagram to the target's socket after a delay, unless lost."""
        self.datagrams_sent += 1
        self.bytes_by_target[target] += len(data)
        if self.rng.random() >= self.loss and not self.is_disconnected(source, target):
            self.nursery.start_soon(self._deliver, data, target)

    async def _deliver(self, data: bytes, target: str) -> None:
        await trio.sleep(ONE_WAY_DELAY_S)
        sock = self.sockets.get(target)
        if sock is not None:
            sock.inbound_send.send_nowait(data)


class SimSocket:
    """A datagram socket of the simulated network."""

    def __init__(self, network: SimNetwork, address: str) -> None:
        self.network = network
        self.address = address
        self.inbound_send, self.inbound_receive = trio.open_memory_channel(
            RECEIVE_QUEUE_DATAGRAMS
        )

    def __enter__(self) -> "SimSocket":
        """Start listening."""
        self.network.sockets[self.address] = self
        return self

    def __exit__(self, *error: object) -> None:
        """Stop listening."""
        if self.network.sockets.get(self.address) is self:
            del self.network.sockets[self.address]

    async def sendto(self, data: bytes, target: tuple[str, int]) -> None:
        """Send a datagram; it is lost if no socket listens at the target."""
        self.network.send(data, self.address, f"{target[0]}:{target[1]}")

    async def recvfrom(self, limit: int) -> tuple[bytes, None]:
        """Return the next datagram."""
        return await self.inbound_receive.receive(), None


class SimViewClient:
    """Stand-in for `ViewClient`: requests views of the configuration from peers."""

    def __init__(
        self, network: SimNetwork, peers: dict[str, "SimPeer"], local_address: str
    ) -> None:
        self.network = network
        self.peers = peers
        self.local_address = local_address

    async def ask(self, address: str, number: int) -> PeerView:
        """Return a peer's view.

        Raises
        ------
        PeerError
            PEER_MESSAGE if the peer has ended or cannot be reached.
        """
        if self.network.is_disconnected(self.local_address, address):
            await trio.sleep(PEER_TIMEOUT_S)
            raise PeerError(ResultCode.PEER_MESSAGE, "no answer in time")
        await trio.sleep(2 * ONE_WAY_DELAY_S)
        if address not in self.network.sockets:
            raise PeerError(ResultCode.PEER_MESSAGE, "refused")
        return self.peers[address].state_sync.view()
