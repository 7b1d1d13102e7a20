"""The task that runs the pool schedulers of this instance."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import trio

from buckthornwall.codes import ResultCode
from buckthornwall.links import (
    Enqueue,
    EnqueueAccepted,
    EnqueueRefused,
    Grant,
    Message,
    NodeState,
    Preempt,
    Release,
    ShareLeaseEnded,
    SlotReport,
    Withdraw,
)
from buckthornwall.membership import DelayEstimator, FreezeDetector, MemberTable
from buckthornwall.records import RecordStore, SchedulingMode
from buckthornwall.utils import Clock, Incarnation, ModelId, NodeId, RequestId, new_id

from .core import PoolScheduler
from .decisions import Decision, GrantDecision, PreemptDecision
from .engines import reported_capacity, share_capacity
from .settings import SchedulingSettings

__all__ = ["SchedulerAgent"]

INBOX_SIZE = math.inf
UNKNOWN_MODEL_RETRY_S = 1.0
Send = Callable[[NodeId, Message], bool]


@dataclass
class _PoolRole:
    """One pool that this instance schedules, for others or for itself only.

    Attributes
    ----------
    local
        Whether it schedules this instance's share only, without any lease.
    lease_renewed_at, lease_numbers
        Time of the last renewal and number of the lease, by the instance that
        issued it.
    unacknowledged
        Requests to acknowledge after the next decisions, if they still wait.
    """

    scheduler: PoolScheduler
    local: bool
    lease_renewed_at: dict[NodeId, float] = field(default_factory=dict)
    lease_numbers: dict[NodeId, int] = field(default_factory=dict)
    unacknowledged: list[tuple[NodeId, RequestId]] = field(default_factory=list)


class SchedulerAgent:
    """Runs every `PoolScheduler` of this instance and passes it messages.

    Each instance has an equal share of a pool's slots and leases it to one scheduler
    at a time. The lease is short and is renewed by the instance's reports of its
    slots in use. A scheduler grants no more than the shares leased to it, so two
    schedulers that do not know of each other never grant more slots than exist, and
    a new scheduler knows which slots of a share are in use before it may grant any.
    """

    def __init__(
        self,
        node: NodeId,
        clock: Clock,
        settings: SchedulingSettings,
        store: RecordStore,
        members: MemberTable,
        freeze: FreezeDetector,
        send: Send,
    ) -> None:
        self.node = node
        self.clock = clock
        self.settings = settings
        self.store = store
        self.members = members
        self.freeze = freeze
        self.send = send
        self.incarnation = Incarnation(new_id())
        self.delays = DelayEstimator()
        self.roles: dict[tuple[ModelId, bool], _PoolRole] = {}
        self.inbox_send, self.inbox = trio.open_memory_channel(INBOX_SIZE)
        freeze.listeners.append(self.reset)

    def deliver(self, node: NodeId, message: Message) -> None:
        """Put a message in the inbox of the task."""
        self.inbox_send.send_nowait((node, message))

    def reset(self) -> None:
        """Discard all state after a freeze, since it is out of date.

        Entry instances resend waiting requests and report their slots in use.
        """
        self.roles.clear()
        self.incarnation = Incarnation(new_id())

    def records_changed(self) -> None:
        """Apply newer records to every pool."""
        for key, role in list(self.roles.items()):
            for decision in role.scheduler.set_records(self.store.view):
                self._send_decision(decision, role)
            if role.scheduler.model is None and not role.scheduler.slots:
                del self.roles[key]

    async def run(self) -> None:
        """Handle messages as they arrive, and check deadlines at every tick."""
        next_tick = self.clock.now()
        while True:
            with trio.move_on_after(max(0.0, next_tick - self.clock.now())):
                await self._receive_batch()
            self.freeze.check()
            if self.clock.now() >= next_tick:
                self.update_fractions()
                self.decide(self.roles.values())
                next_tick = self.clock.now() + self.settings.tick_s

    async def _receive_batch(self) -> None:
        """Handle all queued messages, then decide for the pools they concern."""
        node, message = await self.inbox.receive()
        self.freeze.check()
        changed_roles = {id(role): role for role in self.handle(node, message)}
        while self.inbox.statistics().current_buffer_used:
            node, message = self.inbox.receive_nowait()
            changed_roles.update(
                {id(role): role for role in self.handle(node, message)}
            )
        self.decide(changed_roles.values())

    def decide(self, roles: Iterable[_PoolRole]) -> None:
        """Send the schedulers' decisions, then acknowledge requests that still wait."""
        now = self.clock.now()
        for role in list(roles):
            for decision in role.scheduler.decide(now):
                self._send_decision(decision, role)
            for node, request in role.unacknowledged:
                if request in role.scheduler.queue:
                    self.send(node, EnqueueAccepted(request))
            role.unacknowledged.clear()

    def handle(self, node: NodeId, message: Message) -> list[_PoolRole]:
        """Apply one message to the state of its pool; return the pools changed."""
        now = self.clock.now()
        roles = list(self.roles.values())
        if isinstance(message, Enqueue):
            return self._enqueue(node, message, now)
        if isinstance(message, Release):
            changed_roles = [r for r in roles if message.grant in r.scheduler.slots]
            for role in changed_roles:
                role.scheduler.release(message, now)
            return changed_roles
        if isinstance(message, Withdraw):
            changed_roles = [r for r in roles if r.local == message.local]
            for role in changed_roles:
                role.scheduler.withdraw(message.request)
            return changed_roles
        if isinstance(message, SlotReport):
            return self._receive_slot_report(node, message, now)
        return []

    def _enqueue(self, node: NodeId, message: Enqueue, now: float) -> list[_PoolRole]:
        if self.store.view is None or message.pool not in self.store.view.models:
            code = ResultCode.UNKNOWN_MODEL.number
            self.send(
                node, EnqueueRefused(message.request, code, UNKNOWN_MODEL_RETRY_S)
            )
            return []
        role = self.roles.get((message.pool, message.local))
        if role is None and not message.local:
            return []  # without a lease; the sender will find the right scheduler
        role = role or self._get_role(message.pool, local=True)
        for decision in role.scheduler.enqueue(node, message, now):
            self._send_decision(decision, role)
        role.unacknowledged.append((node, message.request))
        return [role]

    def _get_role(self, pool: ModelId, local: bool) -> _PoolRole:
        role = self.roles.get((pool, local))
        if role is None:
            mode = self.store.view.models[pool].scheduling
            uses_load_report = local and mode is SchedulingMode.ALONE
            scheduler = PoolScheduler.from_config(
                pool,
                self.store.view,
                self.members.is_unavailable,
                reported_capacity if uses_load_report else share_capacity,
            )
            role = self.roles[pool, local] = _PoolRole(scheduler, local)
            self._update_fraction(role, self.clock.now())
        return role

    def _receive_slot_report(
        self, node: NodeId, message: SlotReport, now: float
    ) -> list[_PoolRole]:
        if node == self.node:
            role = self.roles.get((message.pool, True))
            if role is not None:
                role.scheduler.reconcile_slots(node, message.running, now)
        if not message.renews_lease:
            return self._end_lease(node, message) if message.lease_number else []
        if self.members.local_state is NodeState.LEAVING:
            return []
        if self.store.view is None or message.pool not in self.store.view.models:
            return []
        sent_at = now - self._excess_delay_s(node, message, now)
        if now - sent_at > self.settings.support_s:
            return []  # delayed so long that the lease has expired
        role = self._get_role(message.pool, local=False)
        role.lease_renewed_at[node] = sent_at
        role.lease_numbers[node] = message.lease_number
        role.scheduler.reconcile_slots(node, message.running, now)
        self._update_fraction(role, now)
        return [role]

    def _excess_delay_s(self, node: NodeId, message: SlotReport, now: float) -> float:
        if node == self.node:
            return 0.0
        member = self.members.members.get(node)
        incarnation = member.incarnation if member else Incarnation(0)
        return self.delays.excess_delay_s(node, incarnation, message.sent_at, now)

    def _end_lease(self, node: NodeId, message: SlotReport) -> list[_PoolRole]:
        role = self.roles.get((message.pool, False))
        changed_roles = []
        if role is not None:
            role.lease_renewed_at.pop(node, None)
            role.scheduler.remove_node(node)
            self._update_fraction(role, self.clock.now())
            changed_roles.append(role)
        self.send(node, ShareLeaseEnded(message.pool, message.lease_number))
        return changed_roles

    def update_fractions(self) -> None:
        """Recompute the usable fractions, and drop pools without leases."""
        now = self.clock.now()
        if self.store.view is None:
            return
        for key, role in list(self.roles.items()):
            self._update_fraction(role, now)
            if not role.local and not role.lease_renewed_at:
                del self.roles[key]

    def resign(self) -> None:
        """Stop scheduling for other instances, at a planned stop.

        Each issuer of a lease is told that it has ended, and sends its waiting
        requests to the next scheduler.
        """
        for pool, local in list(self.roles):
            if not local:
                role = self.roles.pop((pool, local))
                for node in role.lease_renewed_at:
                    self.send(node, ShareLeaseEnded(pool, role.lease_numbers[node]))

    def node_lost(self, node: NodeId) -> None:
        """Drop the lease, the requests and the slots of a suspected instance."""
        for role in self.roles.values():
            if not role.local and node in role.lease_renewed_at:
                del role.lease_renewed_at[node]
                role.scheduler.remove_node(node)

    def _update_fraction(self, role: _PoolRole, now: float) -> None:
        """Set the fraction of the slots that this scheduler may use."""
        share_count = self.members.share_count()
        if role.local:
            role.scheduler.fraction = 1 / share_count
            return
        for node, renewed_at in list(role.lease_renewed_at.items()):
            if now - renewed_at > self.settings.support_s:
                del role.lease_renewed_at[node]
                role.scheduler.remove_node(node)
        role.scheduler.fraction = min(1.0, len(role.lease_renewed_at) / share_count)

    def _send_decision(self, decision: Decision, role: _PoolRole) -> None:
        if isinstance(decision, PreemptDecision):
            self.send(decision.node, Preempt(decision.grant))
            return
        ticket = decision.ticket
        if isinstance(decision, GrantDecision):
            message: Message = Grant(
                ticket.request,
                decision.grant,
                decision.engine,
                self.incarnation,
                ticket.request_sent_at,
                self.clock.now() - ticket.received_at,
                self.settings.grant_valid_s,
                role.local,
            )
        else:
            message = EnqueueRefused(
                ticket.request, decision.code.number, decision.retry_after_s
            )
        self.send(ticket.node, message)
