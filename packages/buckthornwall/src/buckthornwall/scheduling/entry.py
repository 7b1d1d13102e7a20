"""The entry's end of scheduling: ask for a slot, hold it, give it back."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.links import (
    Accepted,
    Enqueue,
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

CODES = {code.number: code for code in ResultCode}
Send = Callable[[NodeId, Message], bool]


@dataclass
class SlotRequest:
    """What an entry asks a slot for.

    `started` is when the caller's request came, on the entry's clock;
    `excluded` are the engines that failed it before.
    """

    pool: ModelId
    service_class: ServiceClass
    team: TeamId
    prompt_tokens: int
    prefix: int
    started: float
    excluded: list[UpstreamId] = field(default_factory=list)
    resumed: bool = False
    preemptible: bool = False

    def start_deadline(self) -> float:
        """Return when it is too late to start.

        An urgent request is given up only when no answer could be whole in
        time; others when their first token could not be.
        """
        targets = self.service_class.targets
        if self.service_class.urgent or self.resumed:
            return self.started + targets.total_s
        return self.started + targets.first_token_s


@dataclass
class HeldSlot:
    """A slot that this entry uses now; `preempted` asks to give it back."""

    grant: GrantId
    engine: UpstreamId
    request: SlotRequest
    scheduler_node: NodeId
    local: bool
    taken_at: float
    tokens: int = 0
    preempted: bool = False


@dataclass
class _Waiting:
    """One request on its way to a slot."""

    slot_request: SlotRequest
    asked: set[tuple[NodeId, bool]] = field(default_factory=set)
    acknowledged: bool = False
    ask_again: bool = False
    slot: HeldSlot | None = None
    refusal: Refusal | None = None
    news: trio.Event = field(default_factory=trio.Event)

    @property
    def settled(self) -> bool:
        return self.ask_again or self.slot is not None or self.refusal is not None

    def notify(self) -> None:
        self.news.set()
        self.news = trio.Event()


class EntryAgent:
    """Owns the requests that wait here for a slot, and the slots in use here.

    Parameters
    ----------
    node, clock, settings
        This instance, its clock and the ``[scheduling]`` section.
    store, members, freeze
        Records in force, the view of the fleet, and our own freezes.
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
        self.waiting: dict[RequestId, _Waiting] = {}
        self.held: dict[GrantId, HeldSlot] = {}
        self.share_leases = ShareLeaseManager(
            node,
            clock,
            settings,
            members,
            send,
            self.pools,
            self.slot_report,
            self._ask_again,
        )
        self.grants_dropped_late = 0
        self.decided_locally = 0

    # The request's own task

    async def acquire(self, slot_request: SlotRequest) -> HeldSlot:
        """Wait for a slot.

        The request is repeated until a scheduler answers; an urgent one that
        hears nothing for a moment is decided here, within our own part of the
        pool. Whatever else was asked meanwhile is withdrawn.

        Raises
        ------
        Refusal
            When it is given up, at once and with a time to come back.
        """
        request = RequestId(new_id())
        waiting = self.waiting[request] = _Waiting(slot_request)
        try:
            while waiting.slot is None and waiting.refusal is None:
                await self._ask_once(request, waiting)
            if waiting.refusal is not None:
                raise waiting.refusal
            self._check_still_due(slot_request)
            return waiting.slot
        except BaseException:
            # The caller went, or we slept, just as the slot came.
            if waiting.slot is not None:
                self.release(waiting.slot, ReleaseKind.UNUSED)
            raise
        finally:
            del self.waiting[request]
            self._withdraw_elsewhere(request, waiting)

    async def _ask_once(self, request: RequestId, waiting: _Waiting) -> None:
        now = self.clock.now()
        left_s = waiting.slot_request.start_deadline() - now
        if left_s <= 0:
            code = (
                ResultCode.START_DEADLINE
                if waiting.acknowledged
                else ResultCode.NO_SCHEDULER
            )
            waiting.refusal = Refusal(code, retry_after_s=1.0)
            return
        target, local = self._whom_to_ask(waiting)
        urgent = waiting.slot_request.service_class.urgent
        pause_s = self.settings.urgent_ack_s if urgent else self.settings.repeat_s
        waiting.acknowledged = local
        waiting.ask_again = False
        self._send_enqueue(request, waiting, target, local, left_s)
        with trio.move_on_after(min(pause_s, left_s)):
            while not waiting.settled:
                await waiting.news.wait()
        if urgent and not waiting.settled and not waiting.acknowledged:
            self._decide_locally(request, waiting)

    def _whom_to_ask(self, waiting: _Waiting) -> tuple[NodeId, bool]:
        """Return the scheduler that has our part, or this instance."""
        pool = waiting.slot_request.pool
        holder = self.share_leases.holder(pool)
        return (self.node, True) if holder is None else (holder, False)

    def _send_enqueue(
        self,
        request: RequestId,
        waiting: _Waiting,
        target: NodeId,
        local: bool,
        left_s: float,
    ) -> None:
        slot_request = waiting.slot_request
        now = self.clock.now()
        waiting.asked.add((target, local))
        message = Enqueue(
            request,
            slot_request.pool,
            slot_request.service_class.id,
            slot_request.team,
            slot_request.prompt_tokens,
            slot_request.prefix,
            left_s,
            now,
            now - slot_request.started,
            slot_request.excluded,
            slot_request.resumed,
            local,
            slot_request.preemptible,
        )
        self.send(target, message)

    def _decide_locally(self, request: RequestId, waiting: _Waiting) -> None:
        if (self.node, True) in waiting.asked:
            return
        left_s = waiting.slot_request.start_deadline() - self.clock.now()
        if left_s > 0:
            self.decided_locally += 1
            self._send_enqueue(request, waiting, self.node, True, left_s)

    def _withdraw_elsewhere(self, request: RequestId, waiting: _Waiting) -> None:
        slot = waiting.slot
        for node, local in waiting.asked:
            if slot and (slot.scheduler_node, slot.local) == (node, local):
                continue
            if waiting.refusal is not None and len(waiting.asked) == 1:
                continue
            self.send(node, Withdraw(request, local))

    def _check_still_due(self, slot_request: SlotRequest) -> None:
        """Refuse a request that a freeze has made too late to start.

        Raises
        ------
        Refusal
            If its deadline to start has passed.
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
    ) -> None:
        """Give a slot back to whoever schedules its pool now."""
        if self.held.pop(slot.grant, None) is None:
            return
        message = Release(slot.grant, kind, slot.tokens, first_token_s, inter_token_s)
        holder = self.share_leases.holder(slot.request.pool)
        for node in {slot.scheduler_node, holder or slot.scheduler_node}:
            self.send(node, message)

    # What arrives

    def handle(self, node: NodeId, message: Message) -> None:
        """Take one message from a scheduler."""
        if isinstance(message, Grant):
            self._take_grant(node, message)
        elif isinstance(message, EnqueueRefused):
            self._take_refusal(node, message)
        elif isinstance(message, Accepted):
            waiting = self.waiting.get(message.request)
            if waiting is not None:
                waiting.acknowledged = True
                waiting.notify()
        elif isinstance(message, Preempt):
            slot = self.held.get(message.grant)
            if slot is not None:
                slot.preempted = True
        elif isinstance(message, ShareLeaseEnded):
            self.share_leases.receive_lease_ended(node, message.pool, message.lease)

    def _take_refusal(self, node: NodeId, message: EnqueueRefused) -> None:
        waiting = self.waiting.get(message.request)
        if waiting is None or waiting.slot is not None:
            return
        code = CODES.get(message.code, ResultCode.START_DEADLINE)
        waiting.refusal = Refusal(code, retry_after_s=message.retry_after_s)
        waiting.notify()

    def _take_grant(self, node: NodeId, message: Grant) -> None:
        """Take up a grant, unless it is late or no longer wanted."""
        self.freeze.check()
        if message.grant in self.held:
            return  # the same grant, sent again
        waiting = self.waiting.get(message.request)
        if waiting is None or waiting.slot is not None:
            self.send(node, Release(message.grant, ReleaseKind.UNUSED))
            return
        now = self.clock.now()
        if now > message.asked_at + message.age_s + message.valid_s:
            self.grants_dropped_late += 1
            self.send(node, Release(message.grant, ReleaseKind.UNUSED))
            return
        slot = HeldSlot(
            message.grant,
            message.engine,
            waiting.slot_request,
            node,
            message.local,
            now,
        )
        self.held[slot.grant] = slot
        waiting.slot = slot
        waiting.notify()

    def pools(self) -> list[Model]:
        """Return the pools of the records in force."""
        return list(self.store.view.models.values()) if self.store.view else []

    def slot_report(self, pool: ModelId) -> SlotReport:
        """Return what this entry holds of a pool, as a report about no lease."""
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

    def _ask_again(self, pool: ModelId) -> None:
        for waiting in self.waiting.values():
            if waiting.slot_request.pool == pool:
                waiting.ask_again = True
                waiting.notify()
