"""The components of one instance behind the platform's load balancer."""

import trio

from buckthornwall.capacity import FreedMemory, MemoryBudget, growing_bytes
from buckthornwall.codes import Refusal
from buckthornwall.discovery import DiscoveryAgent
from buckthornwall.forwarding import RELAY_PATH, RELAY_STREAM_PATH, Forwarder
from buckthornwall.http1 import (
    HttpServer,
    IncomingRequest,
    ResponseWriter,
    ServerLimits,
    SharedResources,
)
from buckthornwall.peers import (
    Beacon,
    Digest,
    PeerAgent,
    PeerState,
    ViewClient,
    ViewEncoder,
    answer_view,
    outstanding_work,
    relay_candidates,
)
from buckthornwall.platform import (
    PlatformCodec,
    RelayCodec,
    StoreClient,
    decode_published,
    decode_request,
)
from buckthornwall.pools import FleetMemory, PoolTable
from buckthornwall.pools.load import NO_PEERS
from buckthornwall.quarantine import QuarantineTable
from buckthornwall.routing import RoutingTable
from buckthornwall.settings import RouterSettings
from buckthornwall.start import EarlyListeners
from buckthornwall.stream_origins import StreamOriginTable
from buckthornwall.telemetry import RouterMetrics, log_event
from buckthornwall.utils import (
    Clock,
    Incarnation,
    NodeId,
    TrioClock,
    ZoneId,
    new_id,
)
from buckthornwall.utils.allocator import release_freed_memory

from .first_read import HOLD_REVIEW_S, has_other_seeds, max_hold_s
from .operators import answer_operator
from .relay_handler import accept_relayed
from .staleness_monitor import StalenessMonitor
from .state_sync import StateSync
from .stopping import stop_gracefully

__all__ = ["Router"]

HOUSEKEEPING_INTERVAL_S = 0.5
# Interval between log lines on the estimated speed of engines.
SPEED_LOG_INTERVAL_S = 5.0
# A starting instance holds requests until a peer has reported which ones crash
# upstreams, but no longer than this.
MAX_CRASH_SYNC_WAIT_S = 0.5
CRASH_SYNC_POLL_S = 0.01
OPERATOR_LIMITS = ServerLimits(8192, 0, 3.0, 30.0)
# What a peer adds to the head and body of a request that it forwards.
MAX_RELAY_OVERHEAD_BYTES = 65_536


class Router:
    """All components of one instance.

    Parameters
    ----------
    settings
        The checked settings file.
    clock
        Source of time; trio runs on the same one.
    """

    def __init__(self, settings: RouterSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.node = NodeId(settings.node.id)
        self.zone = ZoneId(settings.node.zone)
        self.incarnation = Incarnation(new_id())
        self.state = PeerState.JOINING
        self.early_listeners = EarlyListeners()
        self.first_config = trio.Event()
        self.is_listening = False
        self.checked_body_bytes = 0
        self.built_at = clock.now()
        self.ready_at = float("-inf")
        self.stopping = trio.Event()
        self.refuses_requests = False

        self.metrics = RouterMetrics()
        self.table = RoutingTable()
        self.pools = PoolTable(clock, settings.node.region_by_zone(), settings.pools)
        self.fleet_memory = FleetMemory(self.pools.regions, clock.now())
        self.quarantine = QuarantineTable(settings.quarantine)
        self.quarantine.parts.is_selected = self._is_selected
        self.origins = StreamOriginTable()
        self.memory = MemoryBudget(settings.capacity.client_memory_bytes, clock)
        self.freed_memory = FreedMemory(self.memory, release_freed_memory)
        self.forwarder = Forwarder(
            settings.forwarding,
            self.zone,
            self.table,
            self.pools,
            PlatformCodec(),
            clock,
            self.metrics,
            self.quarantine,
            self.origins,
            self.memory,
        )
        self.forwarder.in_flight.most_per_pool = settings.capacity.requests_per_pool
        self.store = StoreClient(settings.store)
        self.discovery = DiscoveryAgent(
            settings.discovery,
            self.store,
            decode_published,
            self.table,
            self.pools,
            clock,
        )
        self.peer_agent = PeerAgent(
            settings.peers,
            self.zone,
            self._make_beacon,
            clock,
            self.quarantine,
            self.origins,
        )
        self.peer_agent.origin_exchange.find = self.forwarder.continuations.find
        self.forwarder.continuations.ask = self.peer_agent.origin_exchange.ask
        self.forwarder.continuations.publish = self.peer_agent.origin_exchange.publish
        self.peers = self.peer_agent.table
        self.forwarder.isolation_monitor.count_isolated_peers = lambda: len(
            self.fleet().isolated
        )
        self.state_sync = StateSync(
            self.discovery,
            self.peers,
            self._make_beacon,
            ViewClient(),
            clock,
            settings.read_budget,
        )
        self.discovery.watch_s = lambda: self.state_sync.budget.watch_s
        self.encode_view = ViewEncoder(clock)
        self.state_sync.has_seeds = lambda: has_other_seeds(settings.peers)
        self.staleness_monitor = StalenessMonitor(self.peers, self.table)
        shared = SharedResources(self.memory)
        most = settings.capacity.connection_limits()
        self.callers = HttpServer(
            clock, self._caller_limits, self._handle_caller, shared, most.callers
        )
        self.operators = HttpServer(
            clock,
            lambda: OPERATOR_LIMITS,
            self._handle_operator,
            shared,
            most.operators,
        )
        self.balancer = HttpServer(
            clock, lambda: OPERATOR_LIMITS, self._handle_readiness, shared, most.ready
        )
        self.view_server = HttpServer(
            clock, self._peer_limits, self._handle_peer, shared, most.peers
        )
        self.discovery.may_read = self.state_sync.may_read
        self.discovery.on_change = self._update_adopted
        self.discovery.state.on_removed = self.forwarder.forget_upstream
        self.forwarder.relaying.codec = RelayCodec()
        self.forwarder.relay_candidates = lambda: relay_candidates(
            self.peers, clock.now()
        )
        self.discovery.state.on_restart = self.forwarder.connections.close_all
        self.discovery.on_call = self._count_store_call
        self.peer_agent.on_work = self._apply_peer_work
        self.peer_agent.on_cached_prefixes = self.pools.receive_cached_prefixes
        self.forwarder.telemetry.describe_freshness = self.state_sync.describe_freshness

    @classmethod
    def from_config(cls, settings: RouterSettings) -> "Router":
        """Build an instance from checked settings, on the running trio clock."""
        return cls(settings, TrioClock())

    def apply(self, settings: RouterSettings) -> None:
        """Apply the settings that may change while running.

        Addresses of listeners only change at the next start.
        """
        self.settings.peers.seeds = settings.peers.seeds
        self.settings.stop = settings.stop
        self.settings.discovery = self.discovery.settings = settings.discovery
        self.state_sync.budget = self.settings.read_budget
        self.store.settings.address = settings.store.address

    # Tasks

    async def run(self) -> None:
        """Run until `stopping` is set, then stop gracefully."""
        edge = self.settings.edge
        async with trio.open_nursery() as nursery:
            await nursery.start(self.balancer.run, edge.ready)
            await nursery.start(self.operators.run, edge.metrics)
            await nursery.start(self.view_server.run, self.settings.peers.listen)
            await nursery.start(self.peer_agent.run)
            early_listener = self.early_listeners.sockets.pop(edge.listen, None)
            await nursery.start(self.callers.run, edge.listen, early_listener)
            self.is_listening = True
            nursery.start_soon(self.discovery.run)
            nursery.start_soon(self._housekeeping)
            nursery.start_soon(self.forwarder.isolation_monitor.run)
            nursery.start_soon(self.state_sync.run)
            await self.stopping.wait()
            await stop_gracefully(self)
            nursery.cancel_scope.cancel()

    async def _housekeeping(self) -> None:
        logged_at = self.clock.now()
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            self.forwarder.connections.expire()
            self.forwarder.relaying.connections.expire()
            fleet = self.fleet()
            self.forwarder.budgets.set_instances(fleet.count)
            now = self.clock.now()
            self._update_limit_shares(fleet, now)
            self.quarantine.expire(now)
            self.origins.expire(now)
            await self.forwarder.continuations.publish_unpublished()
            self.pools.notices.expire()
            self.freed_memory.review()
            self.staleness_monitor.check(now)
            if now - logged_at >= SPEED_LOG_INTERVAL_S:
                logged_at = now
                self.pools.log_speeds()

    def _update_limit_shares(self, fleet: Digest, now: float) -> None:
        live = fleet.live(self.settings.peers.listen, self.zone)
        self.pools.prefill_owners.set_fleet(live)
        self.fleet_memory.record(live, now)
        recent = self.fleet_memory.recent(live, now)
        users, ceding = self.peers.totals.limit_users(self._make_beacon(), now)
        self.pools.rate_limits.update_shares(live, recent, users, ceding)
        self.pools.brittle.update_shares(recent, self.peers.staleness_s(now))

    def _is_selected(self, key: str) -> bool:
        """Return whether a key selects this instance out of the live ones."""
        return self.fleet().live(self.settings.peers.listen, self.zone).is_selected(key)

    # Messages between instances

    def fleet(self) -> Digest:
        """Return the digest of the whole fleet, including this instance."""
        return self.peers.fleet_digest(self._make_beacon(), self.clock.now())

    def _make_beacon(self) -> Beacon:
        now = self.clock.now()
        loads = {
            view.id: outstanding_work(
                view.load, now, not self.pools.isolation.is_isolated
            )
            for view in self.pools.views.values()
            if view.load.requests
        }
        return Beacon(
            self.node,
            self.incarnation,
            self.settings.peers.listen,
            self.settings.peers.weight,
            self.zone,
            self.state,
            self.table.number,
            self.discovery.change_position.revision,
            self.state_sync.read_age_ms(),
            int(self.discovery.store_uptime_s() * 1000),
            loads,
            cached_prefixes=self.pools.prefix_updates.to_send(now),
            unreachable=self.pools.unreachable(),
            crash_checksum=self.quarantine.checksum,
            limits=self.pools.rate_limits.reports(),
            rank_tokens=self.pools.rank_tokens(),
            leaving=self.pools.notices.reports(),
            store_era=self.discovery.change_position.era,
            is_isolated=self.pools.isolation.is_isolated,
            brittle=self.pools.brittle.reports(),
            keeps_origins=True,
            limit_need=self.pools.rate_limits.demand.need,
            pool_reports=self.pools.reports(),
            removal_revision=self.discovery.state.positions.removal_revision,
            state_checksum=self.discovery.state.checksum,
        )

    def _apply_peer_work(self) -> None:
        local, now = self._make_beacon(), self.clock.now()
        work = self.peers.totals.peer_work(local, now)
        for view in self.pools.views.values():
            view.load.peers = work.get(view.id, NO_PEERS)
        self.pools.receive_unreachable(self.peers.totals.unreachable(local, now))
        self.pools.receive_rank_tokens(self.peers.totals.rank_tokens(local, now))
        self.pools.receive_reports(self.peers.totals.pool_reports(local, now))
        self.pools.rate_limits.receive(self.peers.totals.limits(local, now))
        self.pools.brittle.receive(self.peers.totals.brittle(local, now))
        self.pools.notices.receive(self.peers.totals.leaving(local, now))

    def _known_instances(self) -> int:
        """Return about how many instances there are, starting ones included."""
        zones = max(1, len(self.settings.node.region_by_zone()))
        return zones * self.peers.zone_size()

    def _count_store_call(self, seconds: float, outcome: str) -> None:
        self.metrics.store_call.add({"outcome": outcome}, seconds)

    def _update_adopted(self) -> None:
        self._check_limits()
        self._update_limit_shares(self.fleet(), self.clock.now())
        if self.state is PeerState.JOINING and self.table.number:
            self.state = PeerState.READY
            self.ready_at = self.clock.now()
            held = self.first_config.statistics().tasks_waiting
            self.first_config.set()
            self.peer_agent.report_soon()
            self.pools.assume_start_demand(self._known_instances())
            log_event(
                "ready",
                number=self.table.number,
                upstreams=len(self.pools.views),
                after_ms=round((self.ready_at - self.built_at) * 1000),
                is_from_peer=self.discovery.read_at == float("-inf"),
                held=held,
            )

    def _check_limits(self) -> None:
        """Log if the published limits are beyond the memory of this machine."""
        body_bytes = self.table.limits.max_body_bytes
        available = self.memory.largest_request_bytes
        if body_bytes == self.checked_body_bytes:
            return
        self.checked_body_bytes = body_bytes
        if growing_bytes(body_bytes) > available:
            log_event(
                "limits_exceed_memory",
                "WARNING",
                max_body_bytes=body_bytes,
                available_bytes=round(available),
            )

    # Listeners

    def _caller_limits(self) -> ServerLimits:
        limits = self.table.limits
        return ServerLimits(
            limits.max_head_bytes,
            limits.max_body_bytes,
            limits.head_timeout_s,
            limits.idle_timeout_s,
        )

    def _peer_limits(self) -> ServerLimits:
        """Return limits that admit any request of a client, forwarded by a peer."""
        limits = self.table.limits
        return ServerLimits(
            OPERATOR_LIMITS.max_head_bytes,
            limits.max_head_bytes + limits.max_body_bytes + MAX_RELAY_OVERHEAD_BYTES,
            OPERATOR_LIMITS.head_timeout_s,
            OPERATOR_LIMITS.idle_timeout_s,
        )

    async def _handle_caller(
        self, incoming: IncomingRequest, answer: ResponseWriter
    ) -> None:
        try:
            request = decode_request(incoming)
        except Refusal as refusal:
            await self.forwarder.refuse_unreadable(answer, refusal)
            return
        if self.refuses_requests:
            await self.forwarder.refuse_draining(request, answer)
            return
        if not self.table.number:
            await self._wait_for_first_config(request.client_timeout_s)
        await self._wait_for_crash_sync()
        await self.forwarder.forward(request, answer)

    async def _wait_for_first_config(self, client_timeout_s: float | None) -> None:
        """Hold a request until the first configuration, while that is worth it."""
        began_at = self.clock.now()
        while not self.table.number:
            serving, known = self.fleet().count, self._known_instances()
            limit_s = max_hold_s(serving, known, client_timeout_s)
            left_s = began_at + limit_s - self.clock.now()
            if left_s <= 0:
                return
            with trio.move_on_after(min(left_s, HOLD_REVIEW_S)):
                await self.first_config.wait()

    async def _wait_for_crash_sync(self) -> None:
        """Wait for the crash reports of peers if this instance has just started."""
        until = self.ready_at + MAX_CRASH_SYNC_WAIT_S
        while (
            not self.peer_agent.crash_exchange.was_in_sync and self.clock.now() < until
        ):
            await trio.sleep(CRASH_SYNC_POLL_S)

    async def _handle_readiness(
        self, incoming: IncomingRequest, answer: ResponseWriter
    ) -> None:
        status = 200 if self.state is PeerState.READY else 503
        await answer.send_complete(status, [], b"")

    async def _handle_peer(
        self, incoming: IncomingRequest, answer: ResponseWriter
    ) -> None:
        if incoming.target in (RELAY_PATH, RELAY_STREAM_PATH):
            request = await accept_relayed(self, incoming, answer)
            if request is not None:
                await self._wait_for_crash_sync()
                await self.forwarder.forward(request, answer)
            return
        await answer_view(
            incoming,
            answer,
            self.state_sync.view(),
            self.table.number,
            self.encode_view,
        )

    async def _handle_operator(
        self, incoming: IncomingRequest, answer: ResponseWriter
    ) -> None:
        await answer_operator(self, incoming, answer)
