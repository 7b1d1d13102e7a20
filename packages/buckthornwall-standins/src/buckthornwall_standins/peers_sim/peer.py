"""A simulated instance: the product's peers, discovery and state synchronisation."""

import math
from typing import TYPE_CHECKING

import trio
from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.discovery import (
    DiscoveryAgent,
    DiscoverySettings,
    HistoryLost,
    StoreUpdate,
)
from buckthornwall.peers import Beacon, PeerAgent, PeerSettings, PeerState
from buckthornwall.pools import FleetMemory, PoolTable
from buckthornwall.quarantine import QuarantineSettings, QuarantineTable
from buckthornwall.router.state_sync import StateSync
from buckthornwall.routing import Pool, PoolId, PublishedConfig, RoutingTable
from buckthornwall.settings import ReadBudget
from buckthornwall.utils import Incarnation, NodeId, StorePosition, TrioClock, ZoneId

from .network import SimSocket, SimViewClient

if TYPE_CHECKING:
    from .simulation import PeersSimulation

__all__ = ["SimPeer"]

# Interval between samples of an instance's lag behind the store.
LAG_SAMPLE_INTERVAL_S = 0.05
HOUSEKEEPING_INTERVAL_S = 0.5
# How long the product waits for a store that does not answer, in seconds.
STORE_TIMEOUT_S = 1.0


# A pool whose upstreams can take 9.7 requests a second for 3 s after they start.
SIM_POOL = Pool(PoolId("p"), "/", 10, cold_s=3.0, cold_per_s=9.7)


class SimUpdateSource:
    """The store as seen by one instance.

    A change is a new number or a record of an evacuation or a reopening.
    """

    def __init__(self, simulation: "PeersSimulation", address: str) -> None:
        self.simulation = simulation
        self.address = address
        self.calls = 0
        self.complete_reads = 0

    async def read_all(self) -> StoreUpdate:
        """Return the newest change."""
        self.complete_reads += 1
        return await self._answer(None)

    async def watch(self, after: StorePosition, wait_s: float) -> StoreUpdate:
        """Return the store's state once newer than `after`, or after `wait_s`."""
        with trio.move_on_after(wait_s):
            while self._is_current(after):
                await self.simulation.changed.wait()
        update = await self._answer(after)
        if after.revision < self.simulation.history_since:
            raise HistoryLost
        if after.is_in_former_era(update.position) or after > update.position:
            raise HistoryLost
        return update

    def _is_current(self, after: StorePosition) -> bool:
        position = self.simulation.store.position
        return after.in_era(position.era) == position

    async def _answer(self, after: StorePosition | None) -> StoreUpdate:
        self.calls += 1
        if self.address in self.simulation.without_store:
            await trio.sleep(STORE_TIMEOUT_S)
            raise PeerError(ResultCode.PLATFORM_UNREACHABLE, "no answer in time")
        await trio.sleep(self.simulation.store_delay_s(self.address))
        if after is None:
            await trio.sleep(self.simulation.snapshot_s(self.address))
        if after is None:
            return self.simulation.read_all()
        return self.simulation.changes_after(after)


def decode_number(raw: bytes) -> PublishedConfig:
    """Return a configuration that holds its number and one pool."""
    return PublishedConfig(number=int(raw), pools=(SIM_POOL,))


class SimPeer:
    """A simulated instance.

    Attributes
    ----------
    max_lag_s : float
        Longest time for which the store held a newer change than the one in force here.
    ready_at : float
        When this instance had its first configuration, in seconds.
    """

    def __init__(self, simulation: "PeersSimulation", address: str, zone: str) -> None:
        self.simulation = simulation
        self.clock = TrioClock()
        self.address = address
        self.zone = ZoneId(zone)
        self.state = PeerState.JOINING
        self.max_lag_s = 0.0
        self.ready_at = math.inf
        self.cancel_scope = trio.CancelScope()
        self.source = SimUpdateSource(simulation, address)
        self.pools = PoolTable(self.clock)
        self.discovery = DiscoveryAgent(
            DiscoverySettings(apply_ms=simulation.apply_ms),
            self.source,
            decode_number,
            RoutingTable(),
            self.pools,
            self.clock,
        )
        settings = PeerSettings(
            listen=address,
            seeds=simulation.seeds,
            weight=simulation.weights.get(address, 1.0),
        )
        self.fleet_memory = FleetMemory(simulation.zones, self.clock.now())
        self.quarantine = QuarantineTable(QuarantineSettings())
        self.agent = PeerAgent(
            settings, self.zone, self.make_beacon, self.clock, self.quarantine
        )
        self.agent.open_socket = self._open_socket
        views = SimViewClient(simulation.network, simulation.peers, address)
        self.state_sync = StateSync(
            self.discovery,
            self.agent.table,
            self.make_beacon,
            views,
            self.clock,
            ReadBudget(self.discovery.settings, settings),
        )
        self.discovery.watch_s = lambda: self.state_sync.budget.watch_s
        self.state_sync.has_seeds = lambda: any(
            seed != address for seed in simulation.seeds
        )
        self.discovery.may_read = self.state_sync.may_read
        self.discovery.on_change = self._on_update_adopted
        self.agent.on_work = self._apply_peer_work

    async def _open_socket(self, address: str) -> SimSocket:
        return SimSocket(self.simulation.network, address)

    def _on_update_adopted(self) -> None:
        if self.state is PeerState.JOINING:
            self.state = PeerState.READY
            self.ready_at = self.clock.now()
            self.agent.report_soon()
        self.update_shares()

    def update_shares(self) -> None:
        """Update this instance's shares of the upstreams' rates, as a router does."""
        now = self.clock.now()
        live = self.agent.table.fleet_digest(self.make_beacon(), now)
        live = live.live(self.address, self.zone)
        self.fleet_memory.record(live, now)
        recent = self.fleet_memory.recent(live, now)
        users, ceding = self.agent.table.totals.limit_users(self.make_beacon(), now)
        self.pools.rate_limits.update_shares(live, recent, users, ceding)

    def _apply_peer_work(self) -> None:
        if not self.pools.views:
            return
        local, now = self.make_beacon(), self.clock.now()
        self.pools.rate_limits.receive(self.agent.table.totals.limits(local, now))
        self.pools.notices.receive(self.agent.table.totals.leaving(local, now))
        self.pools.receive_unreachable(self.agent.table.totals.unreachable(local, now))

    def make_beacon(self) -> Beacon:
        """Return this instance's beacon."""
        return Beacon(
            node=NodeId(self.address),
            incarnation=Incarnation(id(self)),
            address=self.address,
            weight=self.agent.settings.weight,
            zone=self.zone,
            state=self.state,
            config_number=self.discovery.table.number,
            change_revision=self.discovery.change_position.revision,
            read_age_ms=self.state_sync.read_age_ms(),
            store_uptime_ms=int(self.discovery.store_uptime_s() * 1000),
            loads=self.simulation.make_loads(self.address),
            cached_prefixes=self.simulation.make_cached_prefixes(self.address),
            crash_checksum=self.quarantine.checksum,
            unreachable=self.pools.unreachable(),
            limits=self.pools.rate_limits.reports(),
            rank_tokens=self.simulation.make_rank_tokens(self.address),
            leaving=self.pools.notices.reports(),
            store_era=self.discovery.change_position.era,
            is_isolated=self.pools.isolation.is_isolated,
            limit_need=self.pools.rate_limits.demand.need,
            removal_revision=self.discovery.state.positions.removal_revision,
            state_checksum=self.discovery.state.checksum,
        )

    @property
    def is_live(self) -> bool:
        """Whether this instance has not been killed."""
        return not self.cancel_scope.cancel_called

    @property
    def is_speaker(self) -> bool:
        """Whether this instance is live and the speaker of its zone."""
        return self.is_live and self.agent.table.is_speaker(self.clock.now())

    async def run(self) -> None:
        """Run the agents until killed."""
        with self.cancel_scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.agent.run)
                nursery.start_soon(self.discovery.run)
                nursery.start_soon(self.state_sync.run)
                nursery.start_soon(self._update_shares_periodically)
                await self._sample_lag()

    async def _update_shares_periodically(self) -> None:
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            self.update_shares()

    async def _sample_lag(self) -> None:
        while True:
            await trio.sleep(LAG_SAMPLE_INTERVAL_S)
            if self.state is not PeerState.JOINING:
                lag_s = self.simulation.lag_s(self.discovery.table.number)
                self.max_lag_s = max(self.max_lag_s, lag_s)

    def kill(self) -> None:
        """Stop at once, without notice to the peers."""
        self.cancel_scope.cancel()

    async def leave(self, notice_s: float) -> None:
        """Stop as planned: announce it for `notice_s` seconds, then end."""
        self.state = PeerState.LEAVING
        await self.agent.send_reports()
        await trio.sleep(notice_s)
        self.kill()
