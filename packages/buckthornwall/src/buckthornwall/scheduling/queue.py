"""Weighted fair queueing by tokens, over classes and the teams within them.

Each class, and each team within a class, has a virtual time that advances by
the tokens it was served divided by its weight; the backlogged one with the least
virtual time is served next. This is start-time fair queueing [1]_, except that the
cost is charged as it becomes known, since the length of a response is not known in
advance.

References
----------
.. [1] Goyal, P., Vin, H. M. and Cheng, H., "Start-time Fair Queueing",
   ACM SIGCOMM, 1996.
"""

import heapq
import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from buckthornwall.records import ServiceClass
from buckthornwall.utils import ClassId, NodeId, RequestId, TeamId, UpstreamId

__all__ = ["FairQueue", "Ticket"]

RECENT_TOKENS_TAU_S = 10.0  # time constant of the exponential decay


@dataclass(slots=True)
class Ticket:
    """One request waiting in a scheduler's queue.

    Times are on the scheduler's clock, except `request_sent_at`, which is on the
    clock of the entry instance `node`.
    """

    request: RequestId
    node: NodeId
    service_class: ClassId
    team: TeamId
    prompt_tokens: int
    prefix: int
    received_at: float
    deadline: float
    request_sent_at: float = 0.0
    waited_s: float = 0.0
    excluded: frozenset[UpstreamId] = frozenset()
    resumed: bool = False
    preemptible: bool = False


@dataclass(slots=True)
class _TeamQueue:
    """One team's tickets within a class, in order of arrival."""

    share: float
    virtual_time: float = 0.0
    tickets: deque[Ticket] = field(default_factory=deque)


@dataclass(slots=True)
class _ClassQueue:
    """One class's teams, its virtual time and its recently served tokens."""

    record: ServiceClass
    virtual_time: float = 0.0
    recent_tokens: float = 0.0
    recent_at: float = 0.0
    unserved_since: float | None = None
    waiting: int = 0
    teams: dict[TeamId, _TeamQueue] = field(default_factory=dict)

    def backlogged(self) -> Iterator[tuple[TeamId, _TeamQueue]]:
        return ((team, queue) for team, queue in self.teams.items() if queue.tickets)

    def next_team(self) -> _TeamQueue:
        return min(
            (queue for _, queue in self.backlogged()),
            key=lambda queue: (not queue.tickets[0].resumed, queue.virtual_time),
        )

    def decayed_tokens(self, now: float) -> float:
        age = now - self.recent_at
        return self.recent_tokens * math.exp(-age / RECENT_TOKENS_TAU_S)


class FairQueue:
    """The waiting tickets of one pool.

    Parameters
    ----------
    classes
        Service classes by id.
    share_of
        The published share of a team.
    """

    def __init__(self, classes: dict[ClassId, ServiceClass], share_of) -> None:
        self.share_of = share_of
        self._queues: dict[ClassId, _ClassQueue] = {}
        self._tickets: dict[RequestId, Ticket] = {}
        self._deadlines: list[tuple[float, RequestId]] = []
        self.set_classes(classes)

    def set_classes(self, classes: dict[ClassId, ServiceClass]) -> list[Ticket]:
        """Apply newer records; return the tickets of deleted classes."""
        orphans = [
            ticket
            for ticket in self._tickets.values()
            if ticket.service_class not in classes
        ]
        for ticket in orphans:
            self.remove(ticket.request)
        for class_id in set(self._queues) - set(classes):
            del self._queues[class_id]
        for class_id, record in classes.items():
            if class_id in self._queues:
                self._queues[class_id].record = record
            else:
                self._queues[class_id] = _ClassQueue(record)
        return orphans

    def __len__(self) -> int:
        """Return the number of waiting tickets."""
        return len(self._tickets)

    def __contains__(self, request: RequestId) -> bool:
        """Return whether the request is in the queue."""
        return request in self._tickets

    def tickets(self) -> list[Ticket]:
        """Return every waiting ticket."""
        return list(self._tickets.values())

    def record(self, class_id: ClassId) -> ServiceClass:
        """Return the record of a class.

        Raises
        ------
        KeyError
            If the class was deleted.
        """
        return self._queues[class_id].record

    def has_class(self, class_id: ClassId) -> bool:
        """Return whether the class is in the records in force."""
        return class_id in self._queues

    def record_demand(self, class_id: ClassId, now: float) -> None:
        """Record that a request of the class arrived, even if it is then refused."""
        queue = self._queues[class_id]
        if queue.unserved_since is None:
            queue.unserved_since = now

    def push(self, ticket: Ticket) -> None:
        """Add a ticket; a resumed one goes to the head of its team's queue."""
        queue = self._queues[ticket.service_class]
        if not queue.waiting:
            queue.virtual_time = max(queue.virtual_time, self._min_virtual_time())
        queue.waiting += 1
        team = queue.teams.get(ticket.team)
        if team is None:
            team = queue.teams[ticket.team] = _TeamQueue(self.share_of(ticket.team))
        if not team.tickets:
            others = [each.virtual_time for _, each in queue.backlogged()]
            team.virtual_time = max(
                team.virtual_time, min(others, default=team.virtual_time)
            )
        if ticket.resumed:
            team.tickets.appendleft(ticket)
        else:
            team.tickets.append(ticket)
        self._tickets[ticket.request] = ticket
        heapq.heappush(self._deadlines, (ticket.deadline, ticket.request))

    def _min_virtual_time(self) -> float:
        return min(
            (queue.virtual_time for queue in self._queues.values() if queue.waiting),
            default=0.0,
        )

    def remove(self, request: RequestId) -> Ticket | None:
        """Remove a ticket, wherever it is in its queue."""
        ticket = self._tickets.pop(request, None)
        if ticket is not None:
            queue = self._queues[ticket.service_class]
            queue.waiting -= 1
            queue.teams[ticket.team].tickets.remove(ticket)
        return ticket

    def pop_expired(self, now: float) -> list[Ticket]:
        """Remove and return the tickets whose start deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request = heapq.heappop(self._deadlines)
            ticket = self._tickets.get(request)
            if ticket is not None and ticket.deadline <= now:
                self.remove(request)
                expired.append(ticket)
        return expired

    def urgent_head(self) -> Ticket | None:
        """Return the urgent ticket to serve next, without removing it."""
        heads = [
            queue.next_team().tickets[0]
            for queue in self._queues.values()
            if queue.waiting and queue.record.urgent
        ]
        return min(heads, key=lambda ticket: ticket.deadline, default=None)

    def urgent_overdue(self, now: float, fraction: float) -> int:
        """Return the number of overdue urgent tickets.

        A ticket is overdue once it has waited longer than `fraction` of its class's
        target for the first token.
        """
        return sum(
            now - ticket.received_at > fraction * queue.record.targets.first_token_s
            for queue in self._queues.values()
            if queue.waiting and queue.record.urgent
            for _, team in queue.backlogged()
            for ticket in team.tickets
        )

    def non_urgent_head(self, now: float) -> Ticket | None:
        """Return the next ticket of the classes that are not urgent.

        Classes below their floor go first, ordered by their recent tokens relative
        to the floor; then the class with the least virtual time.
        """
        queues = [
            queue
            for queue in self._queues.values()
            if queue.waiting and not queue.record.urgent
        ]
        if not queues:
            return None
        total = sum(queue.decayed_tokens(now) for queue in self._queues.values())
        queue = min(queues, key=lambda each: self._service_order(each, total, now))
        return queue.next_team().tickets[0]

    @staticmethod
    def _service_order(
        queue: _ClassQueue, total: float, now: float
    ) -> tuple[bool, float]:
        floor = queue.record.floor
        if floor and queue.decayed_tokens(now) < floor * total:
            return (False, queue.decayed_tokens(now) / floor)
        return (True, queue.virtual_time)

    def is_starving(self, class_id: ClassId, now: float, starvation_s: float) -> bool:
        """Return whether the class has had demand but no slot for `starvation_s`."""
        since = self._queues[class_id].unserved_since
        return since is not None and now - since > starvation_s

    def starving_head(self, now: float, starvation_s: float) -> Ticket | None:
        """Return the next ticket of the longest-starving class, or None."""
        queues = [
            queue
            for class_id, queue in self._queues.items()
            if queue.waiting
            and not queue.record.urgent
            and self.is_starving(class_id, now, starvation_s)
        ]
        if not queues:
            return None
        return (
            min(queues, key=lambda queue: queue.unserved_since).next_team().tickets[0]
        )

    def charge(
        self, class_id: ClassId, team_id: TeamId, tokens: float, now: float
    ) -> None:
        """Charge tokens to a class and team; negative ones correct an estimate."""
        queue = self._queues.get(class_id)
        if queue is None:
            return
        queue.virtual_time += tokens / queue.record.weight
        queue.recent_tokens = max(0.0, queue.decayed_tokens(now) + tokens)
        queue.recent_at = now
        team = queue.teams.get(team_id)
        if team is not None:
            team.virtual_time += tokens / team.share

    def record_slot(self, class_id: ClassId) -> None:
        """Record that the class got a slot."""
        self._queues[class_id].unserved_since = None

    def waiting(self, class_id: ClassId) -> int:
        """Return the number of waiting tickets of the class."""
        return self._queues[class_id].waiting

    def tickets_ahead(self, ticket: Ticket) -> tuple[int, float]:
        """Return the backlog and the rate of service of a new ticket's team.

        Returns
        -------
        ahead : int
            Waiting tickets of the same class and team.
        fraction : float
            The fraction of the service of non-urgent classes that the team gets while
            all classes and teams that are backlogged now remain so.
        """
        queue = self._queues[ticket.service_class]
        team = queue.teams.get(ticket.team)
        ahead = len(team.tickets) if team else 0
        weights = sum(
            each.record.weight
            for each in self._queues.values()
            if not each.record.urgent and (each.waiting or each is queue)
        )
        team_share = self.share_of(ticket.team)
        shares = team_share + sum(
            each.share for name, each in queue.backlogged() if name != ticket.team
        )
        class_fraction = max(queue.record.weight / weights, queue.record.floor)
        return ahead, class_fraction * team_share / shares

    def waiting_by_class(self) -> dict[ClassId, int]:
        """Return the number of waiting tickets by class."""
        return {class_id: queue.waiting for class_id, queue in self._queues.items()}
