"""Requests for slots, on the entry instance: acquire, hold and release."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.links import (
    Enqueue,
    EnqueueAccepted,
    EnqueueRefused,
    Grant,
    Message,
    Preempt,
    Release,
    ReleaseKind,
    ReportedSlot,
    ShareLeaseEnded,
    SlotReport,
    Withdraw,
)
from buckthornwall.membership import FreezeDetector, MemberTable
from buckthornwall.records import Model, RecordStore, ServiceClass
from buckthornwall.utils import (
    Clock,
    GrantId,
    ModelId,
    NodeId,
    RequestId,
    TeamId,
    UpstreamId,
    new_id,
)

from .settings import SchedulingSettings
from .share_leases import ShareLeaseManager

__all__ = ["EntryAgent", "SlotRequest"]

CODES_BY_NUMBER = {code.number: code for code in ResultCode}
Send = Callable[[NodeId, Message], bool]


@dataclass
class SlotRequest:
    """A request for a slot.

    `arrived_at` is the time of arrival of the client's request, on this instance's
    clock; `excluded` are the engines that it failed on before.
    """

    pool: ModelId
    service_class: ServiceClass
    team: TeamId
    prompt_tokens: int
    prefix: int
    arrived_at: float
    excluded: list[UpstreamId] = field(default_factory=list)
    resumed: bool = False
    preemptible: bool = False

    def start_deadline(self) -> float:
        """Return the time after which the request is refused.

        An urgent or resumed request is refused only when its response cannot
        complete in time, others when their first token cannot arrive in time.
        """
        targets = self.service_class.targets
        if self.service_class.urgent or self.resumed:
            return self.arrived_at + targets.total_s
        return self.arrived_at + targets.first_token_s


@dataclass
class HeldSlot:
    """A slot in use by this instance; `preempted` asks to release it."""

    grant: GrantId
    engine: UpstreamId
    request: SlotRequest
    scheduler_node: NodeId
    local: bool
    accepted_at: float
    tokens: int = 0
    preempted: bool = False


@dataclass
class _PendingRequest:
    """One request that waits for a slot."""

    slot_request: SlotRequest
    schedulers_asked: set[tuple[NodeId, bool]] = field(default_factory=set)
    acknowledged: bool = False
    resend: bool = False
    slot: HeldSlot | None = None
    refusal: Refusal | None = None
    changed: trio.Event = field(default_factory=trio.Event)

    @property
    def decided(self) -> bool:
        return self.resend or self.slot is not None or self.refusal is not None

    def notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


class EntryAgent:
    """Owns the requests of this instance that wait for a slot, and its slots in use.

    Parameters
    ----------
    node, clock, settings
        This instance, its clock and the ``[scheduling]`` section.
    store, members, freeze
        Records in force, the known instances, and the detector of freezes.
    send
        Sends a message to an instance, this one included.
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
        self.pending: dict[RequestId, _PendingRequest] = {}
        self.held: dict[GrantId, HeldSlot] = {}
        self.share_leases = ShareLeaseManager(
            node,
            clock,
            settings,
            members,
            send,
            self.pools,
            self.slot_report,
            self._resend_requests,
        )
        self.late_grants = 0
        self.decided_locally = 0

    # Called by the task of the request

    async def acquire(self, slot_request: SlotRequest) -> HeldSlot:
        """Wait for a slot.

        The request is resent until a scheduler answers. An urgent one that is not
        acknowledged within `urgent_ack_s` is also scheduled here, within this
        instance's share of the pool. The request is then withdrawn from the other
        schedulers.

        Raises
        ------
        Refusal
            If the request is refused; raised at once, with a time to retry after.
        """
        request = RequestId(new_id())
        pending = self.pending[request] = _PendingRequest(slot_request)
        try:
            while pending.slot is None and pending.refusal is None:
                await self._request_once(request, pending)
            if pending.refusal is not None:
                raise pending.refusal
            self._check_start_deadline(slot_request)
            return pending.slot
        except BaseException:
            # The client disconnected, or this process froze, as the slot was granted.
            if pending.slot is not None:
                self.release(pending.slot, ReleaseKind.UNUSED)
            raise
        finally:
            del self.pending[request]
            self._withdraw_elsewhere(request, pending)

    async def _request_once(self, request: RequestId, pending: _PendingRequest) -> None:
        now = self.clock.now()
        remaining_s = pending.slot_request.start_deadline() - now
        if remaining_s <= 0:
            code = (
                ResultCode.START_DEADLINE
                if pending.acknowledged
                else ResultCode.NO_SCHEDULER
            )
            pending.refusal = Refusal(code, retry_after_s=1.0)
            return
        target, local = self._choose_scheduler(pending)
        urgent = pending.slot_request.service_class.urgent
        retry_interval_s = (
            self.settings.urgent_ack_s if urgent else self.settings.repeat_s
        )
        pending.acknowledged = local
        pending.resend = False
        self._send_enqueue(request, pending, target, local, remaining_s)
        with trio.move_on_after(min(retry_interval_s, remaining_s)):
            while not pending.decided:
                await pending.changed.wait()
        if urgent and not pending.decided and not pending.acknowledged:
            self._decide_locally(request, pending)

    def _choose_scheduler(self, pending: _PendingRequest) -> tuple[NodeId, bool]:
        """Return the instance to ask, and whether it schedules its own share only."""
        pool = pending.slot_request.pool
        holder = self.share_leases.holder(pool)
        return (self.node, True) if holder is None else (holder, False)

    def _send_enqueue(
        self,
        request: RequestId,
        pending: _PendingRequest,
        target: NodeId,
        local: bool,
        remaining_s: float,
    ) -> None:
        slot_request = pending.slot_request
        now = self.clock.now()
        pending.schedulers_asked.add((target, local))
        message = Enqueue(
            request,
            slot_request.pool,
            slot_request.service_class.id,
            slot_request.team,
            slot_request.prompt_tokens,
            slot_request.prefix,
            remaining_s,
            now,
            now - slot_request.arrived_at,
            slot_request.excluded,
            slot_request.resumed,
            local,
            slot_request.preemptible,
        )
        self.send(target, message)

    def _decide_locally(self, request: RequestId, pending: _PendingRequest) -> None:
        if (self.node, True) in pending.schedulers_asked:
            return
        remaining_s = pending.slot_request.start_deadline() - self.clock.now()
        if remaining_s > 0:
            self.decided_locally += 1
            self._send_enqueue(request, pending, self.node, True, remaining_s)

    def _withdraw_elsewhere(self, request: RequestId, pending: _PendingRequest) -> None:
        slot = pending.slot
        for node, local in pending.schedulers_asked:
            if slot and (slot.scheduler_node, slot.local) == (node, local):
                continue
            if pending.refusal is not None and len(pending.schedulers_asked) == 1:
                continue
            self.send(node, Withdraw(request, local))

    def _check_start_deadline(self, slot_request: SlotRequest) -> None:
        """Refuse a request whose start deadline passed during a freeze.

        Raises
        ------
        Refusal
            If its start deadline has passed.
        """
        self.freeze.check()
        if self.clock.now() > slot_request.start_deadline():
            raise Refusal(ResultCode.START_DEADLINE, retry_after_s=1.0)

    def release(
        self,
        slot: HeldSlot,
        kind: ReleaseKind,
        first_token_s: float = 0.0,
        inter_token_s: float = 0.0,
        rest_s: float = 0.0,
    ) -> None:
        """Release a slot to its scheduler and to the current one of the pool."""
        if self.held.pop(slot.grant, None) is None:
            return
        message = Release(
            slot.grant, kind, slot.tokens, first_token_s, inter_token_s, rest_s
        )
        holder = self.share_leases.holder(slot.request.pool)
        for node in {slot.scheduler_node, holder or slot.scheduler_node}:
            self.send(node, message)

    # Incoming messages

    def handle(self, node: NodeId, message: Message) -> None:
        """Handle one message from a scheduler."""
        if isinstance(message, Grant):
            self._receive_grant(node, message)
        elif isinstance(message, EnqueueRefused):
            self._receive_refusal(node, message)
        elif isinstance(message, EnqueueAccepted):
            pending = self.pending.get(message.request)
            if pending is not None:
                pending.acknowledged = True
                pending.notify()
        elif isinstance(message, Preempt):
            slot = self.held.get(message.grant)
            if slot is not None:
                slot.preempted = True
        elif isinstance(message, ShareLeaseEnded):
            self.share_leases.receive_lease_ended(
                node, message.pool, message.lease_number
            )

    def _receive_refusal(self, node: NodeId, message: EnqueueRefused) -> None:
        pending = self.pending.get(message.request)
        if pending is None or pending.slot is not None:
            return
        code = CODES_BY_NUMBER.get(message.code, ResultCode.START_DEADLINE)
        pending.refusal = Refusal(code, retry_after_s=message.retry_after_s)
        pending.notify()

    def _receive_grant(self, node: NodeId, message: Grant) -> None:
        """Accept a grant, or release it if it is late or no longer needed."""
        self.freeze.check()
        if message.grant in self.held:
            return  # the grant was resent
        pending = self.pending.get(message.request)
        if pending is None or pending.slot is not None:
            self.send(node, Release(message.grant, ReleaseKind.UNUSED))
            return
        now = self.clock.now()
        if now > message.request_sent_at + message.age_s + message.valid_s:
            self.late_grants += 1
            self.send(node, Release(message.grant, ReleaseKind.UNUSED))
            return
        slot = HeldSlot(
            message.grant,
            message.engine,
            pending.slot_request,
            node,
            message.local,
            now,
        )
        self.held[slot.grant] = slot
        pending.slot = slot
        pending.notify()

    def pools(self) -> list[Model]:
        """Return the pools of the records in force."""
        return list(self.store.view.models.values()) if self.store.view else []

    def slot_report(self, pool: ModelId) -> SlotReport:
        """Return the report of the slots in use in a pool, without a lease."""
        return SlotReport(
            pool,
            False,
            0,
            self.clock.now(),
            [
                ReportedSlot(
                    slot.grant,
                    slot.engine,
                    slot.request.service_class.id,
                    slot.request.team,
                    slot.tokens,
                )
                for slot in self.held.values()
                if slot.request.pool == pool
            ],
        )

    def _resend_requests(self, pool: ModelId) -> None:
        for pending in self.pending.values():
            if pending.slot_request.pool == pool:
                pending.resend = True
                pending.notify()
