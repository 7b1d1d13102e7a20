"""Zones of instances and a store that changes all the time."""

from collections import deque
from collections.abc import Callable
from dataclasses import replace

import trio
from buckthornwall.discovery import StoreUpdate
from buckthornwall.peers import Work
from buckthornwall.peers.election import election_priority
from buckthornwall.pools import CachedPrefixes, RankTokens, UpstreamEntry
from buckthornwall.utils import StorePosition, UpstreamId, ZoneId

from .network import SimNetwork
from .peer import SimPeer
from .store import SimStore

__all__ = ["PeersSimulation"]

PORT = 7340
CHANGE_INTERVAL_S = 0.08
STORE_DELAY_S = 0.004


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
    store : SimStore
        What the store holds.
    without_store : set of str
        Addresses of instances that get no answer from the store.
    history_since : int
        Revision after which the store still holds the changes.
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
        self.history_since = 0
        self.weights: dict[str, float] = {}
        self.apply_ms = 2000.0
        self.store_delay_s: Callable[[str], float] = lambda address: STORE_DELAY_S
        self.snapshot_s: Callable[[str], float] = lambda address: 0.0
        self.zones: list[ZoneId] = []
        self.change_number = 1
        self.store = SimStore()
        self.changed = trio.Event()
        self._change_times: deque[float] = deque([trio.current_time()])

    async def change_periodically(self) -> None:
        """Change the store every `CHANGE_INTERVAL_S`."""
        while True:
            await trio.sleep(CHANGE_INTERVAL_S)
            self.change_once()

    def change_once(self) -> int:
        """Publish a configuration; return the number of the change."""
        self.change_number += 1
        self._advance()
        self.store.published_number = self.change_number
        self.store.published_revision = self.store.position.revision
        self._change_times.append(trio.current_time())
        return self.change_number

    def _advance(self) -> StorePosition:
        """Count a change of the store, and end the watches; return its position."""
        position = self.store.position
        self.store.position = replace(position, revision=position.revision + 1)
        self._end_watches()
        return self.store.position

    def _end_watches(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def compact(self) -> None:
        """Let the store forget its history; watches that wait find out."""
        self.history_since = self.store.position.revision + 1
        self._advance()

    def restore(self, copy: SimStore) -> None:
        """Return to an older copy, in the next era of the store."""
        era = self.store.position.era + 1
        self.store, self.history_since = copy.copy(), 0
        self.store.position = replace(copy.position, era=era)
        self._end_watches()

    def read_all(self) -> StoreUpdate:
        """Return all that the store holds."""
        return self._with_cold_time(self.store.read_all())

    def changes_after(self, position: StorePosition) -> StoreUpdate:
        """Return the store's changes after a position."""
        return self._with_cold_time(self.store.changes_after(position.revision))

    def _with_cold_time(self, update: StoreUpdate) -> StoreUpdate:
        now = trio.current_time()
        for name, entry in update.entries.items():
            left_s = max(0.0, self.store.cold_until.get(name, 0.0) - now)
            update.entries[name] = replace(entry, cold_s=left_s)
        return update

    def register(self, entry: UpstreamEntry) -> None:
        """Write a registration, without a configuration."""
        self._advance()
        self.store.entries[entry.id] = entry

    def remove(self, upstream: UpstreamId) -> None:
        """Remove the registration of an upstream, without a configuration."""
        revision = self._advance().revision
        del self.store.entries[upstream]
        self.store.removed[upstream] = revision

    def evacuate(self, zone: ZoneId) -> None:
        """Write the record of a zone's evacuation."""
        self.store.evacuated[zone] = self._advance()
        self.store.reopened.pop(zone, None)

    def reopen(self, zone: ZoneId) -> None:
        """Remove the record of a zone's evacuation."""
        self.store.reopened[zone] = self._advance()
        del self.store.evacuated[zone]

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
