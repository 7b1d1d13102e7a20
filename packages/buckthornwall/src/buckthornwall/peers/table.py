"""Who was heard, and what they said last: a pure state machine."""

from dataclasses import dataclass

from buckthornwall.pools.load import NO_PEERS, PeerLoad
from buckthornwall.utils import NodeId, UpstreamId, ZoneId

from .messages import Beacon, PeerState

__all__ = ["Peer", "PeerTable"]

# Beacons that may be lost in a row before a peer counts as silent.
MISSED_BEACONS = 5
LEAST_SILENCE_S = 1.0
# Addresses that never answered are greeted for this long after they were told.
GREET_S = 20.0
NOTHING: tuple[int, dict[int, int]] = (0, {})


@dataclass(slots=True)
class Peer:
    """One other instance."""

    beacon: Beacon
    heard_at: float


class PeerTable:
    """Live peers by node, addresses to greet, and the sum of their loads.

    Parameters
    ----------
    node
        This instance.
    address
        Its own address, which is never greeted.
    """

    def __init__(self, node: NodeId, address: str) -> None:
        self.node = node
        self.address = address
        self.live: dict[NodeId, Peer] = {}
        self.loads: dict[UpstreamId, PeerLoad] = {}
        self._greet_until: dict[str, float] = {}

    def learn(self, address: str, now: float) -> None:
        """Take an address that somebody named."""
        if address != self.address:
            self._greet_until.setdefault(address, now + GREET_S)

    def keep_greeting(self, addresses: list[str], now: float) -> None:
        """Greet these for longer, whether they ever answered or not."""
        for address in addresses:
            if address != self.address:
                self._greet_until[address] = now + GREET_S

    def to_greet(self, now: float) -> list[str]:
        """Return the addresses of which nobody was heard."""
        heard = {peer.beacon.address for peer in self.live.values()}
        for address, until in list(self._greet_until.items()):
            if now > until and address not in heard:
                del self._greet_until[address]
        return [address for address in self._greet_until if address not in heard]

    def hear(self, beacon: Beacon, now: float) -> tuple[bool, set[UpstreamId]]:
        """Take a beacon.

        Returns
        -------
        tuple
            Whether the peer is new, and the upstreams whose load changed.
        """
        if beacon.node == self.node:
            return False, set()
        for address in beacon.known:
            self.learn(address, now)
        before = self.live.get(beacon.node)
        changed = self._replace_loads(before.beacon if before else None, beacon)
        self.live[beacon.node] = Peer(beacon, now)
        self._greet_until[beacon.address] = now + GREET_S
        return before is None, changed

    def expire(
        self, now: float, interval_s: float
    ) -> tuple[list[NodeId], set[UpstreamId]]:
        """Drop who has been silent; return them and the loads that changed."""
        limit_s = max(LEAST_SILENCE_S, MISSED_BEACONS * interval_s)
        gone = [
            node for node, peer in self.live.items() if now - peer.heard_at > limit_s
        ]
        changed: set[UpstreamId] = set()
        for node in gone:
            changed |= self._replace_loads(self.live.pop(node).beacon, None)
        return gone, changed

    def serving(self) -> int:
        """Return the number of live peers that serve callers."""
        return sum(
            1
            for peer in self.live.values()
            if peer.beacon.state is not PeerState.JOINING
        )

    def best_informed(self, revision: int, zone: ZoneId) -> Beacon | None:
        """Return a peer with newer news than `revision`, near ones first."""
        ahead = [
            peer.beacon
            for peer in self.live.values()
            if peer.beacon.revision > revision
        ]
        return max(
            ahead,
            key=lambda beacon: (beacon.revision, beacon.zone == zone),
            default=None,
        )

    def _replace_loads(
        self, before: Beacon | None, after: Beacon | None
    ) -> set[UpstreamId]:
        old = before.loads if before else {}
        new = after.loads if after else {}
        changed = {
            upstream
            for upstream in old.keys() | new.keys()
            if old.get(upstream) != new.get(upstream)
        }
        for upstream in changed:
            total = self.loads.get(upstream, NO_PEERS)
            total = _added(total, old.get(upstream, NOTHING), -1)
            self.loads[upstream] = _added(total, new.get(upstream, NOTHING), 1)
        return changed


def _added(total: PeerLoad, part: tuple[int, dict[int, int]], sign: int) -> PeerLoad:
    """Return a sum with one peer's part added, or taken off."""
    requests, unread = part
    summed = dict(total.unread)
    for rank, tokens in unread.items():
        left = summed.get(rank, 0) + sign * tokens
        if left:
            summed[rank] = left
        else:
            summed.pop(rank, None)
    return PeerLoad(total.requests + sign * requests, summed)
