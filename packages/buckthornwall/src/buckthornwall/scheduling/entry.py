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
    Holding,
    Holdings,
    Message,
    Preempt,
    Release,
    ReleaseKind,
    SupportEnded,
    Withdraw,
)
from buckthornwall.membership import FreezeDetector, MemberTable
from buckthornwall.records import RecordStore, SchedulingMode, ServiceClass
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
    alone: bool
    taken_at: float
    tokens: int = 0
    preempted: bool = False


@dataclass
class _Support:
    """Whom this entry has left its part of a pool to, and since when."""

    scheduler: NodeId
    renewed_at: float
    ending: bool = False


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

    def tell(self) -> None:
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
        self.supports: dict[ModelId, _Support] = {}
        self.grants_dropped_late = 0
        self.decided_alone = 0

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
        finally:
            del self.waiting[request]
            self._withdraw_elsewhere(request, waiting)
        if waiting.refusal is not None:
            raise waiting.refusal
        return waiting.slot

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
        target, alone = self._whom_to_ask(waiting)
        urgent = waiting.slot_request.service_class.urgent
        pause_s = self.settings.urgent_ack_s if urgent else self.settings.repeat_s
        waiting.acknowledged = alone
        waiting.ask_again = False
        self._send_enqueue(request, waiting, target, alone, left_s)
        with trio.move_on_after(min(pause_s, left_s)):
            while not waiting.settled:
                await waiting.news.wait()
        if urgent and not waiting.settled and not waiting.acknowledged:
            self._decide_alone(request, waiting)

    def _whom_to_ask(self, waiting: _Waiting) -> tuple[NodeId, bool]:
        """Return the scheduler that has our part, or ourselves alone."""
        pool = waiting.slot_request.pool
        support = self.supports.get(pool)
        if support is None or support.ending or not self._is_pooled(pool):
            return self.node, True
        return support.scheduler, False

    def _is_pooled(self, pool: ModelId) -> bool:
        model = self.store.view.models.get(pool)
        return model is None or model.scheduling is SchedulingMode.POOLED

    def _send_enqueue(
        self,
        request: RequestId,
        waiting: _Waiting,
        target: NodeId,
        alone: bool,
        left_s: float,
    ) -> None:
        slot_request = waiting.slot_request
        now = self.clock.now()
        waiting.asked.add((target, alone))
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
            alone,
            slot_request.preemptible,
        )
        self.send(target, message)

    def _decide_alone(self, request: RequestId, waiting: _Waiting) -> None:
        if (self.node, True) in waiting.asked:
            return
        left_s = waiting.slot_request.start_deadline() - self.clock.now()
        if left_s > 0:
            self.decided_alone += 1
            self._send_enqueue(request, waiting, self.node, True, left_s)

    def _withdraw_elsewhere(self, request: RequestId, waiting: _Waiting) -> None:
        slot = waiting.slot
        for node, alone in waiting.asked:
            if slot and (slot.scheduler_node, slot.alone) == (node, alone):
                continue
            if waiting.refusal is not None and len(waiting.asked) == 1:
                continue
            self.send(node, Withdraw(request, alone))

    def check_still_due(self, slot_request: SlotRequest) -> None:
        """Refuse a request that a freeze has made too late to start.

        Raises
        ------
        Refusal
            If its deadline to start has passed.
        """
        self.freeze.look()
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
        support = self.supports.get(slot.request.pool)
        nodes = {slot.scheduler_node}
        if support is not None:
            nodes.add(support.scheduler)
        for node in nodes:
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
                waiting.tell()
        elif isinstance(message, Preempt):
            slot = self.held.get(message.grant)
            if slot is not None:
                slot.preempted = True
        elif isinstance(message, SupportEnded):
            self._support_ended(node, message.pool)

    def _take_refusal(self, node: NodeId, message: EnqueueRefused) -> None:
        waiting = self.waiting.get(message.request)
        if waiting is None or waiting.slot is not None:
            return
        code = CODES.get(message.code, ResultCode.START_DEADLINE)
        waiting.refusal = Refusal(code, retry_after_s=message.retry_after_s)
        waiting.tell()

    def _take_grant(self, node: NodeId, message: Grant) -> None:
        """Take up a grant, unless it is late or no longer wanted."""
        self.freeze.look()
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
            message.alone,
            now,
        )
        self.held[slot.grant] = slot
        waiting.slot = slot
        waiting.tell()

    def holdings(self, pool: ModelId) -> Holdings:
        """Return what this entry holds of a pool."""
        return Holdings(
            pool,
            True,
            self.clock.now(),
            [
                Holding(
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

    async def run(self) -> None:
        """Report the slots in use to the pools' schedulers, again and again."""
        while True:
            self.renew_supports()
            await trio.sleep(self.settings.holdings_s)

    def renew_supports(self) -> None:
        """Leave our part of each pool to its scheduler, as the fleet looks now."""
        if self.store.view is None:
            return
        for pool in list(self.store.view.models):
            self._renew_support(pool)
            for slot in self.held.values():
                if slot.alone and slot.request.pool == pool:
                    self._report_to_self(pool)
                    break

    def _renew_support(self, pool: ModelId) -> None:
        """Renew, end or begin the lease by which a scheduler has our part.

        A lease that was given ends when its holder says so, or by time where
        the holder is not heard; only then may another have our part.
        """
        now = self.clock.now()
        winner = self.members.winner(pool) if self._is_pooled(pool) else None
        support = self.supports.get(pool)
        if support is not None and support.scheduler != winner:
            lease_s = self.settings.support_s + self.settings.support_margin_s
            if now - support.renewed_at <= lease_s:
                support.ending = True
                self.send(support.scheduler, Holdings(pool, False, now, []))
                return
            self._support_ended(support.scheduler, pool)
            return
        if support is not None and support.ending:
            support.ending = False  # the fleet looks again as it did
            self._ask_again(pool)
        if winner is not None:
            self._give_support(pool, winner, now)

    def _give_support(self, pool: ModelId, winner: NodeId, now: float) -> None:
        sent = self.send(winner, self.holdings(pool))
        support = self.supports.get(pool)
        if support is not None:
            support.renewed_at = now if sent else support.renewed_at
        elif sent:
            self.supports[pool] = _Support(winner, now)
            self._ask_again(pool)

    def _support_ended(self, node: NodeId, pool: ModelId) -> None:
        support = self.supports.get(pool)
        if support is not None and support.scheduler == node:
            del self.supports[pool]
            self._ask_again(pool)
            self._renew_support(pool)

    def _ask_again(self, pool: ModelId) -> None:
        for waiting in self.waiting.values():
            if waiting.slot_request.pool == pool:
                waiting.ask_again = True
                waiting.tell()

    def _report_to_self(self, pool: ModelId) -> None:
        """Tell our own scheduler what we hold, without a part to go with it."""
        support = self.supports.get(pool)
        if support is None or support.scheduler != self.node:
            holdings = self.holdings(pool)
            holdings.support = False
            self.send(self.node, holdings)
