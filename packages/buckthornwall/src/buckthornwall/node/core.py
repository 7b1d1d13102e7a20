"""One instance: its components, the routing of messages, its start and stop."""

from typing import Any

import trio

from buckthornwall.admission import Admission, TeamConcurrencyLimiter
from buckthornwall.capacity import FreedMemory, MemoryBudget
from buckthornwall.gateway import (
    CompletionHandler,
    GatewayApp,
    OperatorApp,
    ServiceHandler,
)
from buckthornwall.idempotency import IdempotencyAgent, KeyCodec
from buckthornwall.links import (
    CallForward,
    CallOutcome,
    Enqueue,
    EnqueueAccepted,
    EnqueueRefused,
    Grant,
    HandoverAccepted,
    Heartbeat,
    LedgerHandover,
    LedgerMoved,
    Message,
    NodeState,
    Preempt,
    RecordsReply,
    RecordsRequest,
    Release,
    ShareLeaseEnded,
    SlotReport,
    Withdraw,
)
from buckthornwall.membership import FreezeDetector, MemberTable
from buckthornwall.platform import PlatformClient
from buckthornwall.records import RecordStore
from buckthornwall.scheduling import EntryAgent, SchedulerAgent
from buckthornwall.settings import Settings
from buckthornwall.telemetry import Metrics, Tracing, log_event
from buckthornwall.upstreams import (
    AdapterReconciler,
    EngineClient,
    RetryBudget,
    ServiceClient,
)
from buckthornwall.utils import (
    Clock,
    Incarnation,
    NodeId,
    TrioClock,
    ZoneId,
    new_id,
)
from buckthornwall.utils.allocator import release_freed_memory

from .announcer import Announcer
from .connections import Connections
from .freshness import RecordsFreshness
from .instance_list import InstanceListAgent
from .load_poller import LoadPoller
from .notice_handler import NoticeHandler
from .records_agent import RecordsAgent
from .status import describe_node, render_metrics

__all__ = ["Node"]

LIVENESS_CHECK_S = 0.1
FLUSH_S = 0.2

TO_SCHEDULER = (Enqueue, Release, Withdraw, SlotReport)
TO_ENTRY = (EnqueueAccepted, EnqueueRefused, Grant, Preempt, ShareLeaseEnded)
TO_RECORDS = (RecordsRequest, RecordsReply)
TO_IDEMPOTENCY = (
    CallForward,
    CallOutcome,
    LedgerHandover,
    HandoverAccepted,
    LedgerMoved,
)


class Node:
    """All components of one instance.

    Parameters
    ----------
    settings
        The validated settings.
    clock
        Source of time for all decisions.
    connections
        Connection pools, links and listeners.
    """

    def __init__(
        self, settings: Settings, clock: Clock, connections: Connections
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.connections = connections
        self.node = NodeId(settings.node.id)
        self.zone = ZoneId(settings.node.zone)
        self.incarnation = Incarnation(new_id())
        self.stopping = trio.Event()
        self.close_caller_listener = trio.Event()

        self.store = RecordStore()
        self.members = MemberTable(self.node, settings.membership)
        self.freeze = FreezeDetector(clock, settings.membership.freeze_s)
        self.hub = connections.make_hub(
            self.node, self.incarnation, settings.links, self.deliver
        )
        self.announcer = Announcer(
            self.incarnation, self.zone, self.members, self.store, self.hub, clock
        )
        self.metrics = Metrics()
        self.memory = MemoryBudget(settings.capacity.client_memory_bytes, clock)
        self.freed_memory = FreedMemory(self.memory, release_freed_memory)
        self.tracing = Tracing(settings.node.id, settings.telemetry.trace_ratio)
        self._make_upstreams()
        self._make_agents()
        self._make_gateway()
        self._connect_events()

    @classmethod
    def from_config(cls, settings: Settings) -> "Node":
        """Build a node from validated settings, on the clock of the trio run."""
        return cls(settings, TrioClock(), Connections.from_config(settings))

    def _make_upstreams(self) -> None:
        upstreams = self.settings.upstreams
        pools = self.connections
        self.engines = EngineClient(upstreams, pools.engine_pool, self.clock)
        self.service_client = ServiceClient(upstreams, pools.service_pool)
        self.budget = RetryBudget(upstreams.retry_ratio, upstreams.retry_reserve)
        self.adapter_reconciler = AdapterReconciler(
            upstreams,
            pools.adapter_pool,
            self.store,
            self.members,
            self.freeze,
            lambda: self.freshness.is_caught_up(),
        )

    def _make_agents(self) -> None:
        settings = self.settings
        self.records = RecordsAgent(
            PlatformClient(settings.platform, self.connections.platform_pool),
            self.store,
            self.clock,
            self.hub.send,
            self._on_records_changed,
        )
        self.instances = InstanceListAgent(
            self.records.platform, self.members, self.clock, self._on_list_changed
        )
        self.freshness = RecordsFreshness(
            self.store, self.members, self.records, self.instances, self.clock
        )
        common = (
            self.node,
            self.clock,
            settings.scheduling,
            self.store,
            self.members,
            self.freeze,
            self.hub.send,
        )
        self.entry = EntryAgent(*common)
        self.scheduler = SchedulerAgent(*common)
        self.notices = NoticeHandler(
            self.members, self.clock, lambda: self.announcer.send_heartbeats()
        )
        self.load_poller = LoadPoller(
            settings.scheduling,
            self.store,
            self.scheduler,
            self.engines,
            self.notices.record_leaving,
        )
        self.idempotency = IdempotencyAgent(
            self.node,
            self.incarnation,
            self.clock,
            settings.idempotency,
            KeyCodec(settings.links.peer_secret),
            self.members,
            self.hub.send,
            self.hub.is_up,
            lambda request: self.services.dispatch_once(request),
        )
        self.idempotency.route_timeout_s = self._route_timeout

    def _make_gateway(self) -> None:
        settings = self.settings
        admission = Admission(self.store)
        teams = TeamConcurrencyLimiter()
        completions = CompletionHandler(
            admission,
            teams,
            self.entry,
            self.engines,
            self.budget,
            self.metrics,
            self.tracing,
            self.clock,
            settings.gateway,
            settings.upstreams.coalesce_ms / 1000,
            self.notices.record_leaving,
            self.notices.rest_s,
        )
        self.services = ServiceHandler(
            admission,
            teams,
            self.idempotency,
            self.service_client,
            self.budget,
            self.tracing,
            self.clock,
            settings.gateway,
            self.members.is_unavailable,
        )
        self.app = GatewayApp(
            settings.gateway,
            admission,
            completions,
            self.services,
            self.metrics,
            self.memory,
        )
        self.operator_app = OperatorApp(
            self.status,
            self.is_ready,
            self._raw_records,
            lambda accept: render_metrics(self, accept),
        )

    def _connect_events(self) -> None:
        self.hub.on_hello = self._on_hello
        self.hub.on_up = self._on_link_up
        self.hub.on_down = self._on_link_down
        self.freeze.listeners.append(self._on_freeze)
        self.engines.on_response = self.notices.receive
        self.service_client.on_response = self.notices.receive

    # Messages

    def deliver(self, node: NodeId, message: Message) -> None:
        """Pass a peer's message to the component that handles it."""
        if isinstance(message, Heartbeat):
            self._receive_heartbeat(node, message)
        elif isinstance(message, TO_SCHEDULER):
            self.scheduler.deliver(node, message)
        elif isinstance(message, TO_ENTRY):
            self.entry.handle(node, message)
        elif isinstance(message, TO_RECORDS):
            self.records.handle(node, message)
        elif isinstance(message, TO_IDEMPOTENCY):
            self.idempotency.handle(node, message)

    def _receive_heartbeat(self, node: NodeId, message: Heartbeat) -> None:
        now = self.clock.now()
        self.freshness.record_heartbeat_received(now)
        fresh = self.members.record_heartbeat(
            node, message.incarnation, message.state, message.zone, now
        )
        for upstream in message.leaving_upstreams:
            self.members.mark_leaving(upstream, now, first_hand=False)
        for peer in message.peers:
            self.members.add_peer(peer, now)
        if message.peers:
            self.announcer.dial_members()
        self.records.handle(node, message)
        if fresh:
            self.entry.share_leases.renew()

    def _on_hello(self, node: NodeId, address: str) -> None:
        self.announcer.record_hello(node, address)

    def _on_link_up(self, node: NodeId) -> None:
        self.announcer.send_member_list(node)
        self.idempotency.transfer.send_moves(node)

    def _on_link_down(self, node: NodeId) -> None:
        self.members.suspect(node, self.clock.now())
        self._on_node_lost(node)

    def _on_node_lost(self, node: NodeId) -> None:
        self.scheduler.node_lost(node)
        self.entry.share_leases.renew()

    def _on_freeze(self) -> None:
        now = self.clock.now()
        log_event("freeze_detected", "WARNING", freezes=self.freeze.count)
        self.freshness.record_freeze(now)
        self.members.suspect_all(now)

    def _on_records_changed(self) -> None:
        self.scheduler.records_changed()
        self.entry.share_leases.renew()
        self.announcer.send_heartbeats()

    def _on_list_changed(self) -> None:
        self.announcer.dial_members()
        self.announcer.send_heartbeats()

    # Queries

    def is_ready(self) -> bool:
        """Return whether this instance accepts callers."""
        return self.members.local_state is NodeState.READY

    def _route_timeout(self, route_id: str) -> float:
        view = self.store.view
        route = view.routes.get(route_id) if view else None
        return route.timeout_s if route else self.settings.idempotency.hand_over_s

    def _raw_records(self) -> bytes:
        return self.store.view.raw if self.store.view else b"{}"

    def status(self) -> dict[str, Any]:
        """Return the content of ``/status``."""
        return describe_node(self)

    # Tasks

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run until `stopping` is set, then drain and stop."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self.hub.run)
            await nursery.start(self.idempotency.run)
            self.announcer.add_seeds(self.settings.links.seeds)
            for task in (
                self._check_liveness,
                self._send_heartbeats,
                self.records.run,
                self.instances.run,
                self.scheduler.run,
                self.entry.share_leases.run,
                self.load_poller.run,
                self.adapter_reconciler.run,
            ):
                nursery.start_soon(task)
            await nursery.start(self._serve_operators)
            await self._join()
            callers_closed = trio.Event()
            nursery.start_soon(self._serve_callers, callers_closed)
            task_status.started()
            await self.stopping.wait()
            await self._stop(callers_closed)
            nursery.cancel_scope.cancel()

    async def _join(self) -> None:
        """Become ready once the newest records that can be obtained are in force."""
        await self.freshness.wait_until_caught_up(self.stopping)
        self.members.set_local_state(NodeState.READY)
        self.announcer.send_heartbeats()
        log_event("ready", records=self.store.number)

    async def _check_liveness(self) -> None:
        """Check periodically for freezes of this process and for silent members."""
        while True:
            self.freeze.check()
            for node in self.members.expire(self.clock.now()):
                log_event("member_suspected", "WARNING", member=node)
                self._on_node_lost(node)
            await trio.sleep(LIVENESS_CHECK_S)

    async def _send_heartbeats(self) -> None:
        while True:
            self.announcer.send_heartbeats()
            self.freed_memory.review()
            await trio.sleep(self.settings.membership.heartbeat_s)

    # Listeners

    async def _serve_operators(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        settings = self.settings.operators
        await self.connections.serve_operators(
            self.operator_app, settings, trio.sleep_forever, task_status
        )

    async def _serve_callers(self, closed: trio.Event) -> None:
        settings = self.settings.gateway
        await self.connections.serve_callers(
            self.app,
            settings,
            self.close_caller_listener.wait,
            trio.TASK_STATUS_IGNORED,
        )
        closed.set()

    # Stop

    async def _stop(self, callers_closed: trio.Event) -> None:
        """Announce the stop, drain, and hand over the ledgers.

        The load balancer learns of the stop with a delay, so the listener stays open
        for `drain_s`, and each response asks its caller to connect elsewhere.
        """
        log_event("stopping", in_flight=self.app.in_flight)
        self.members.set_local_state(NodeState.LEAVING)
        self.app.draining = True
        self.announcer.send_heartbeats()
        self.scheduler.resign()
        self.entry.share_leases.renew()
        await trio.sleep(self.settings.gateway.drain_s)
        self.close_caller_listener.set()
        with trio.move_on_after(self.settings.gateway.stop_limit_s):
            await self.app.wait_idle()
            await callers_closed.wait()
        await self.idempotency.transfer.hand_over()
        await trio.sleep(FLUSH_S)
        log_event("stopped")
