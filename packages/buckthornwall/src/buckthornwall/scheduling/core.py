"""The scheduler of one pool, as a state machine without I/O."""

import math
from collections.abc import Callable, Iterable

from buckthornwall.codes import ResultCode
from buckthornwall.links import Enqueue, Release, ReleaseKind, ReportedSlot
from buckthornwall.records import Model, RecordView, ServiceClass
from buckthornwall.utils import (
    GrantId,
    ModelId,
    NodeId,
    RequestId,
    TeamId,
    UpstreamId,
    new_id,
)

from .decisions import Decision, GrantDecision, PreemptDecision, RefusalDecision
from .engines import EngineState, Slot, share_capacity
from .estimates import ServiceEstimates
from .placement import fastest_engine
from .preemption import choose_victims
from .queue import FairQueue, Ticket
from .slot_table import SlotTable

__all__ = ["PoolScheduler"]

STARVATION_S = 10.0
UNCONFIRMED_GRANT_S = 3.0  # after it a grant that no slot report lists is freed
TOTAL_CACHE_S = 0.01
# Divisor of the predicted wait, which assumes that all waiting requests stay and that
# the demand of others lasts. docs/design/scheduling.md names the run that decided it.
WAIT_OVERESTIMATE = 2.0
# Fraction of the first-token target after which an urgent request preempts others.
OVERDUE_FRACTION = 0.25
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0

Capacity = Callable[[EngineState, float], int]


class PoolScheduler:
    """The queue and the slots of one pool, as known to one scheduler.

    The caller passes the time and carries out the decisions returned.

    Parameters
    ----------
    pool
        The model that the engines serve.
    view
        The records in force.
    is_leaving
        Returns whether an upstream should get no new requests, at a time.
    capacity
        Returns the number of usable slots of an engine, given `fraction`, the
        fraction of the pool that this scheduler may use; see `share_capacity`.
    """

    def __init__(
        self,
        pool: ModelId,
        view: RecordView,
        is_leaving: Callable[[UpstreamId, float], bool],
        capacity: Capacity = share_capacity,
    ) -> None:
        self.pool = pool
        self.is_leaving = is_leaving
        self.capacity = capacity
        self.fraction = 1.0
        self.engines: dict[UpstreamId, EngineState] = {}
        self.slots = SlotTable()
        self._total = 0
        self._total_computed_for = (-math.inf, 0.0)
        self.teams = view.teams
        self.queue = FairQueue(view.classes, self._share_of)
        self.estimates = ServiceEstimates()
        self.set_records(view)

    @classmethod
    def from_config(
        cls,
        pool: ModelId,
        view: RecordView,
        is_leaving: Callable[[UpstreamId, float], bool],
        capacity: Capacity = share_capacity,
    ) -> "PoolScheduler":
        """Build a scheduler for `pool` from the records in force."""
        return cls(pool, view, is_leaving, capacity)

    def _share_of(self, team: TeamId) -> float:
        record = self.teams.get(team)
        return record.share if record else 1.0

    def set_records(self, view: RecordView) -> list[RefusalDecision]:
        """Apply newer records; refuse the tickets of deleted classes."""
        self.model: Model | None = view.models.get(self.pool)
        self.teams = view.teams
        records = {engine.id: engine for engine in view.engines_of(self.pool)}
        for engine_id, record in records.items():
            state = self.engines.get(engine_id)
            if state is None:
                self.engines[engine_id] = EngineState(
                    engine_id, record.slots, float(record.slots)
                )
            elif state.slots != record.slots:
                state.slots = record.slots
                state.limit = min(state.limit, float(record.slots))
        for engine_id in set(self.engines) - set(records):
            for grant in list(self.engines[engine_id].running):
                self.slots.free(grant)
            del self.engines[engine_id]
        return [
            RefusalDecision(ticket, ResultCode.CLASS_WITHDRAWN, MIN_RETRY_AFTER_S)
            for ticket in self.queue.set_classes(view.classes)
        ]

    # Incoming messages

    def enqueue(self, node: NodeId, message: Enqueue, now: float) -> list[Decision]:
        """Queue a request, or refuse it at once if it cannot start in time.

        A repeated request whose slot is in use gets the same grant again.
        """
        if message.request in self.queue:
            return []
        repeated = self.slots.granted(message.request)
        if repeated is not None:
            return [repeated]
        ticket = Ticket(
            request=message.request,
            node=node,
            service_class=message.service_class,
            team=message.team,
            prompt_tokens=message.prompt_tokens,
            prefix=message.prefix,
            received_at=now,
            deadline=now + message.start_within_s,
            request_sent_at=message.sent_at,
            waited_s=message.waited_s,
            excluded=frozenset(message.excluded),
            resumed=message.resumed,
            preemptible=message.preemptible,
        )
        if not self.queue.has_class(ticket.service_class):
            return [RefusalDecision(ticket, ResultCode.CLASS_WITHDRAWN, 1.0)]
        if not self.engines:
            return [RefusalDecision(ticket, ResultCode.NO_ENGINE, MIN_RETRY_AFTER_S)]
        self.queue.record_demand(ticket.service_class, now)
        refusal = self._refuse_early(ticket, now)
        if refusal is not None:
            return [refusal]
        self.queue.push(ticket)
        return []

    def _refuse_early(self, ticket: Ticket, now: float) -> RefusalDecision | None:
        record = self.queue.record(ticket.service_class)
        if record.urgent or ticket.resumed:
            return None
        if not self.queue.waiting(record.id) and self.queue.is_starving(
            record.id, now, STARVATION_S
        ):
            return None  # one request may wait for the slot of a starving class
        wait_s = self.predicted_wait(ticket, now)
        if (
            now + wait_s / WAIT_OVERESTIMATE + self.estimates.first_token_s
            <= ticket.deadline
        ):
            return None
        return RefusalDecision(ticket, ResultCode.OVERLOADED, self._retry_after(wait_s))

    @staticmethod
    def _retry_after(wait_s: float) -> float:
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, math.ceil(wait_s)))

    def predicted_wait(self, ticket: Ticket, now: float) -> float:
        """Return the predicted seconds until a new ticket of this class starts."""
        total = self._total_slots(now)
        urgent = len(self.slots) - self.slots.non_urgent_in_use
        slots = min(self._non_urgent_slots(now), max(1, total - urgent))
        free = slots - self.slots.non_urgent_in_use
        if free > len(self.queue):
            return 0.0
        ahead, fraction = self.queue.tickets_ahead(ticket)
        service_s = self.estimates.service_s(ticket.service_class)
        return (ahead + 1) * service_s / (slots * fraction)

    def withdraw(self, request: RequestId) -> None:
        """Drop a request whose client disconnected, and free its slot."""
        self.queue.remove(request)
        self.slots.withdraw(request)

    def release(self, message: Release, now: float) -> None:
        """Free a slot and record what the entry instance observed of the engine."""
        found = self.slots.free(message.grant)
        if found is None:
            return
        engine, slot = found
        if message.kind is ReleaseKind.FAILED:
            engine.record_failure(now)
        elif message.kind is ReleaseKind.DONE:
            engine.record_success()
            self._record_completion(engine, slot, message, now)
        if message.kind is ReleaseKind.LEAVING:
            engine.down_until = now + STARVATION_S
        engine.down_until = max(engine.down_until, now + message.rest_s)
        self.queue.charge(
            slot.service_class, slot.team, message.tokens - slot.charged_tokens, now
        )

    def _record_completion(
        self, engine: EngineState, slot: Slot, message: Release, now: float
    ) -> None:
        class_id = slot.service_class
        self.estimates.record(slot, message, now)
        if message.inter_token_s and self.queue.has_class(class_id):
            class_target_s = self.queue.record(class_id).targets.inter_token_s
            target_s = min(
                class_target_s, self._strictest_inter_token_s() or class_target_s
            )
            engine.observe_inter_token(message.inter_token_s, target_s, now)

    def reconcile_slots(
        self, node: NodeId, running: Iterable[ReportedSlot], now: float
    ) -> None:
        """Make the slots known for an instance agree with its slot report."""
        reported_slots = {reported.grant: reported for reported in running}
        for slot in self.slots.of_node(node):
            if slot.grant in reported_slots:
                slot.confirmed = True
            elif slot.confirmed or now - slot.granted_at > UNCONFIRMED_GRANT_S:
                self.slots.free(slot.grant)
        for reported in reported_slots.values():
            self._reconcile_slot(node, reported, now)

    def _reconcile_slot(self, node: NodeId, reported: ReportedSlot, now: float) -> None:
        found = self.slots.get(reported.grant)
        if found is None:
            engine = self.engines.get(reported.engine)
            if engine is None or not self.queue.has_class(reported.service_class):
                return
            slot = Slot(
                reported.grant,
                node,
                reported.service_class,
                reported.team,
                self.queue.record(reported.service_class).urgent,
                now,
                charged_tokens=reported.tokens,
                tokens=reported.tokens,
                progress_at=now,
                confirmed=True,
            )
            self.slots.occupy(engine, slot)
            return
        engine, slot = found
        self._record_progress(engine, slot, reported.tokens, now)

    def _record_progress(
        self, engine: EngineState, slot: Slot, tokens: int, now: float
    ) -> None:
        """Charge tokens beyond the estimate; record the engine's inter-token time."""
        new_tokens = tokens - slot.tokens
        target_s = self._strictest_inter_token_s()
        if new_tokens > 0 and slot.tokens > 0 and target_s is not None:
            engine.observe_inter_token(
                (now - slot.progress_at) / new_tokens, target_s, now
            )
        if new_tokens > 0 or not slot.progress_at:
            slot.tokens = tokens
            slot.progress_at = now
        if tokens > slot.charged_tokens:
            self.queue.charge(
                slot.service_class, slot.team, tokens - slot.charged_tokens, now
            )
            slot.charged_tokens = tokens

    def remove_node(self, node: NodeId) -> None:
        """Drop the requests and slots of a dead or suspected instance."""
        for ticket in self.queue.tickets():
            if ticket.node == node:
                self.queue.remove(ticket.request)
        for slot in self.slots.of_node(node):
            self.slots.free(slot.grant)

    # Decisions

    def decide(self, now: float) -> list[Decision]:
        """Refuse expired requests, grant all usable slots, and preempt if overdue."""
        decisions: list[Decision] = [
            RefusalDecision(
                ticket,
                ResultCode.START_DEADLINE,
                self._retry_after(self.estimates.service_s(ticket.service_class)),
            )
            for ticket in self.queue.pop_expired(now)
        ]
        while (ticket := self._next_ticket(now)) is not None:
            engine = self._choose_engine(ticket, now)
            if engine is None:
                break
            decisions.append(self._grant(ticket, engine, now))
        return decisions + self._preempt(now)

    def _preempt(self, now: float) -> list[Decision]:
        """Preempt slots of the lowest tiers for overdue urgent requests."""
        overdue = self.queue.urgent_overdue(now, OVERDUE_FRACTION)
        if not overdue:
            return []
        chosen = choose_victims(
            self.slots, self.queue, overdue, lambda engine: self._is_usable(engine, now)
        )
        for slot in chosen:
            slot.preempting = True
        return [PreemptDecision(slot.node, slot.grant) for slot in chosen]

    def _next_ticket(self, now: float) -> Ticket | None:
        """Return the ticket to serve next, or None if none may have a slot now.

        Urgent tickets go before all others, with one exception that prevents the
        starvation of lower classes: a class that got no slot for `STARVATION_S`
        gets one. Other tickets leave the urgent reserve free.
        """
        if not len(self.queue):
            return None
        starving = self.queue.starving_head(now, STARVATION_S)
        if starving is not None:
            return starving
        urgent = self.queue.urgent_head()
        if urgent is not None:
            return urgent
        if self.slots.non_urgent_in_use >= self._non_urgent_slots(now):
            return None
        return self.queue.non_urgent_head(now)

    def _is_usable(self, engine: EngineState, now: float) -> bool:
        return engine.down_until <= now and not self.is_leaving(engine.id, now)

    def _total_slots(self, now: float) -> int:
        """Return the number of usable slots of all engines.

        It is recomputed at most every `TOTAL_CACHE_S`, or when `fraction` changes:
        iterating over the engines took nine tenths of a decision's time, and nothing
        else that it depends on changes faster.
        """
        computed_at, fraction = self._total_computed_for
        if now - computed_at >= TOTAL_CACHE_S or fraction != self.fraction:
            self._total_computed_for = (now, self.fraction)
            self._total = sum(
                self.capacity(engine, self.fraction)
                for engine in self.engines.values()
                if self._is_usable(engine, now)
            )
        return self._total

    def _non_urgent_slots(self, now: float) -> int:
        """Return the number of slots that requests that are not urgent may use."""
        total = self._total_slots(now)
        reserve = self.model.urgent_reserve if self.model else 0.0
        return max(1, total - math.ceil(total * reserve))

    def _strictest_inter_token_s(self) -> float | None:
        """Return the strictest inter-token target of the classes with slots in use."""
        return min(
            (
                self.queue.record(class_id).targets.inter_token_s
                for class_id in self.slots.in_use
                if self.queue.has_class(class_id)
            ),
            default=None,
        )

    def _choose_engine(self, ticket: Ticket, now: float) -> EngineState | None:
        """Return the engine to use, or None if no engine has a free slot."""
        available = [
            engine
            for engine in self.engines.values()
            if self._is_usable(engine, now)
            and len(engine.running) < self.capacity(engine, self.fraction)
        ]
        not_excluded = [each for each in available if each.id not in ticket.excluded]
        candidates = not_excluded or available
        if not candidates:
            return None
        return fastest_engine(candidates, ticket.prefix)

    def _grant(self, ticket: Ticket, engine: EngineState, now: float) -> GrantDecision:
        self.queue.remove(ticket.request)
        record: ServiceClass = self.queue.record(ticket.service_class)
        estimate = self.estimates.response_tokens(ticket.service_class)
        slot = Slot(
            GrantId(new_id()),
            ticket.node,
            ticket.service_class,
            ticket.team,
            record.urgent,
            now,
            charged_tokens=estimate,
            request=ticket.request,
            preemptible=ticket.preemptible and not (record.urgent or ticket.resumed),
        )
        self.slots.occupy(engine, slot)
        self.queue.charge(ticket.service_class, ticket.team, estimate, now)
        self.queue.record_slot(ticket.service_class)
        engine.granted_since_report += 1
        if ticket.prefix:
            engine.remember_prefix(ticket.prefix)
        decision = GrantDecision(ticket, engine.id, slot.grant)
        self.slots.record_grant(decision)
        return decision
