"""Zones of instances and a store that changes all the time."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio
from buckthornwall.peers import Work
from buckthornwall.peers.election import election_priority
from buckthornwall.pools import CachedPrefixes, RankTokens, UpstreamEntry
from buckthornwall.utils import StorePosition, UpstreamId, ZoneId

from .network import SimNetwork
from .peer import SimPeer

__all__ = ["PeersSimulation"]

PORT = 7340
CHANGE_INTERVAL_S = 0.08
STORE_DELAY_S = 0.004


@dataclass(frozen=True)
class SimCopy:
    """The contents of the store at some time."""

    published_number: int
    revision: int
    entries: dict[UpstreamId, UpstreamEntry]
    removed: set[UpstreamId]
    evacuated: dict[ZoneId, StorePosition]


class PeersSimulation:
    """Instances by address, the store's changes, and the network.

    Parameters
    ----------
    nursery
        Nursery in which instances run.
    seed
        Seed of the losses of datagrams.

    Attributes
    ----------
    change_number : int
        Number of the newest change, and of the configuration that it publishes.
    published_number : int
        Number of the configuration that the store holds.
    position : StorePosition
        The store's position.
    without_store : set of str
        Addresses of instances that get no answer from the store.
    weights : dict
        Weights of instances by address, 1 if missing.
    apply_ms : float
        In which a change must be in force everywhere, in milliseconds.
    store_delay_s
        Returns how long an answer of the store to an instance takes, by its address, in
        seconds.
    snapshot_s
        Returns how long the link of an instance takes for all that the store holds, by
        its address, in seconds.
    seeds : list of str
        Addresses of the instances that a starting instance asks for its speaker.
    make_loads, make_cached_prefixes, make_rank_tokens
        Return an instance's work at upstreams, the cached prefixes that it reports, and
        the tokens that it admitted and refused, by its address.
    zones : list of str
        All zones, as named in the settings.
    entries : dict
        Registered upstreams.
    removed : set
        Upstreams whose registrations were removed.
    cold_until : dict
        Times until which upstreams are cold, in seconds.
    evacuated, reopened : dict
        Positions of the changes by which zones were evacuated or reopened.
    """

    def __init__(self, nursery: trio.Nursery, seed: int = 1) -> None:
        self.nursery = nursery
        self.network = SimNetwork(nursery, seed)
        self.peers: dict[str, SimPeer] = {}
        self.seeds: list[str] = []
        self.make_loads: Callable[[str], dict[UpstreamId, Work]] = lambda address: {}
        self.make_cached_prefixes: Callable[[str], CachedPrefixes] = lambda address: {}
        self.make_rank_tokens: Callable[[str], RankTokens] = lambda address: {}
        self.without_store: set[str] = set()
        self.weights: dict[str, float] = {}
        self.apply_ms = 2000.0
        self.store_delay_s: Callable[[str], float] = lambda address: STORE_DELAY_S
        self.snapshot_s: Callable[[str], float] = lambda address: 0.0
        self.entries: dict[UpstreamId, UpstreamEntry] = {}
        self.removed: set[UpstreamId] = set()
        self.zones: list[ZoneId] = []
        self.cold_until: dict[UpstreamId, float] = {}
        self.evacuated: dict[ZoneId, StorePosition] = {}
        self.reopened: dict[ZoneId, StorePosition] = {}
        self.change_number = 1
        self.published_number = 1
        self.position = StorePosition(1, 1)
        self.changed = trio.Event()
        self._change_times: deque[float] = deque([trio.current_time()])

    async def change_periodically(self) -> None:
        """Change the store every `CHANGE_INTERVAL_S`."""
        while True:
            await trio.sleep(CHANGE_INTERVAL_S)
            self.change_once()

    def change_once(self) -> int:
        """Change the store; return the number of the change."""
        self.change_number += 1
        self.published_number = self.change_number
        self.position = replace(self.position, revision=self.position.revision + 1)
        self._change_times.append(trio.current_time())
        self.changed.set()
        self.changed = trio.Event()
        return self.change_number

    def make_copy(self) -> SimCopy:
        """Return a copy to which the store may return."""
        return SimCopy(
            self.published_number,
            self.position.revision,
            dict(self.entries),
            set(self.removed),
            dict(self.evacuated),
        )

    def restore(self, copy: SimCopy) -> None:
        """Return to an older copy, in the next era of the store."""
        self.published_number = copy.published_number
        self.position = StorePosition(self.position.era + 1, copy.revision)
        self.entries, self.removed = dict(copy.entries), set(copy.removed)
        self.evacuated, self.reopened = dict(copy.evacuated), {}
        self.changed.set()
        self.changed = trio.Event()

    def registrations(self) -> dict[UpstreamId, UpstreamEntry]:
        """Return the upstreams' registrations with the cold time left."""
        now = trio.current_time()
        return {
            name: replace(entry, cold_s=max(0.0, self.cold_until.get(name, 0.0) - now))
            for name, entry in self.entries.items()
        }

    def remove(self, upstream: UpstreamId) -> None:
        """Remove the registration of an upstream."""
        del self.entries[upstream]
        self.removed.add(upstream)
        self.change_once()

    def evacuate(self, zone: ZoneId) -> None:
        """Write the record of a zone's evacuation."""
        self.evacuated[zone] = self._next_position()
        self.reopened.pop(zone, None)
        self.change_once()

    def reopen(self, zone: ZoneId) -> None:
        """Remove the record of a zone's evacuation."""
        del self.evacuated[zone]
        self.reopened[zone] = self._next_position()
        self.change_once()

    def _next_position(self) -> StorePosition:
        return replace(self.position, revision=self.position.revision + 1)

    def lag_s(self, number: int) -> float:
        """Return for how long the store has held a newer change than `number`."""
        changes_since = self.change_number - number
        return (
            trio.current_time() - self._change_times[-changes_since]
            if changes_since > 0
            else 0.0
        )

    def start(self, address: str, zone: str) -> SimPeer:
        """Start an instance; it replaces an earlier one at the same address."""
        peer = self.peers[address] = SimPeer(self, address, zone)
        self.nursery.start_soon(peer.run)
        return peer

    def start_zone(self, zone: str, place: int, count: int) -> list[SimPeer]:
        """Start the instances of a zone."""
        addresses = [f"10.{place}.0.{n}:{PORT}" for n in range(1, count + 1)]
        return [self.start(address, zone) for address in addresses]

    def speaker(self, zone: str) -> SimPeer:
        """Return a zone's speaker, the one of highest priority if there are several."""
        return max(
            (
                peer
                for peer in self.peers.values()
                if peer.zone == zone and peer.is_speaker
            ),
            key=lambda peer: election_priority(
                peer.address, peer.agent.settings.weight
            ),
        )
