"""Weighted fair queueing by tokens, over classes and the teams within them.

Each class, and each team within a class, has a virtual time that advances by
the tokens it was served divided by its weight; the backlogged one that is
least far along goes next. This is start-time fair queueing [1]_ with the cost
charged as it becomes known, since the length of an answer is not.

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

SHARE_MEMORY_S = 10.0


@dataclass(slots=True)
class Ticket:
    """What a scheduler knows of one waiting request.

    Times are on its own clock, but for `request_sent_at`, which is the entry's.
    """

    request: RequestId
    node: NodeId
    service_class: ClassId
    team: TeamId
    prompt_tokens: int
    prefix: int
    received: float
    deadline: float
    request_sent_at: float = 0.0
    waited_s: float = 0.0
    excluded: frozenset[UpstreamId] = frozenset()
    resumed: bool = False
    preemptible: bool = False


@dataclass(slots=True)
class _TeamLine:
    """One team's tickets within a class, in order of arrival."""

    share: float
    virtual: float = 0.0
    tickets: deque[Ticket] = field(default_factory=deque)


@dataclass(slots=True)
class _ClassLine:
    """One class's teams, its virtual time and its recent share of tokens."""

    record: ServiceClass
    virtual: float = 0.0
    recent_tokens: float = 0.0
    recent_at: float = 0.0
    hungry_since: float | None = None
    waiting: int = 0
    teams: dict[TeamId, _TeamLine] = field(default_factory=dict)

    def backlogged(self) -> Iterator[tuple[TeamId, _TeamLine]]:
        return ((team, line) for team, line in self.teams.items() if line.tickets)

    def next_team(self) -> _TeamLine:
        return min(
            (line for _, line in self.backlogged()),
            key=lambda line: (not line.tickets[0].resumed, line.virtual),
        )

    def decayed(self, now: float) -> float:
        age = now - self.recent_at
        return self.recent_tokens * math.exp(-age / SHARE_MEMORY_S)


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
        self._lines: dict[ClassId, _ClassLine] = {}
        self._tickets: dict[RequestId, Ticket] = {}
        self._deadlines: list[tuple[float, RequestId]] = []
        self.set_classes(classes)

    def set_classes(self, classes: dict[ClassId, ServiceClass]) -> list[Ticket]:
        """Follow newer records; return the tickets of classes now deleted."""
        orphans = [
            ticket
            for ticket in self._tickets.values()
            if ticket.service_class not in classes
        ]
        for ticket in orphans:
            self.remove(ticket.request)
        for class_id in set(self._lines) - set(classes):
            del self._lines[class_id]
        for class_id, record in classes.items():
            if class_id in self._lines:
                self._lines[class_id].record = record
            else:
                self._lines[class_id] = _ClassLine(record)
        return orphans

    def __len__(self) -> int:
        """Count the waiting tickets."""
        return len(self._tickets)

    def __contains__(self, request: RequestId) -> bool:
        """Tell whether the request waits here."""
        return request in self._tickets

    def tickets(self) -> list[Ticket]:
        """Return every waiting ticket."""
        return list(self._tickets.values())

    def record(self, class_id: ClassId) -> ServiceClass:
        """Return the record of a class; KeyError if it was deleted."""
        return self._lines[class_id].record

    def knows(self, class_id: ClassId) -> bool:
        """Tell whether the class is in force."""
        return class_id in self._lines

    def note_demand(self, class_id: ClassId, now: float) -> None:
        """Note that a request of the class came, whatever becomes of it."""
        line = self._lines[class_id]
        if line.hungry_since is None:
            line.hungry_since = now

    def push(self, ticket: Ticket) -> None:
        """Add a ticket; a resumed one goes before its team's others."""
        line = self._lines[ticket.service_class]
        if not line.waiting:
            line.virtual = max(line.virtual, self._least_virtual())
        line.waiting += 1
        team = line.teams.get(ticket.team)
        if team is None:
            team = line.teams[ticket.team] = _TeamLine(self.share_of(ticket.team))
        if not team.tickets:
            others = [each.virtual for _, each in line.backlogged()]
            team.virtual = max(team.virtual, min(others, default=team.virtual))
        if ticket.resumed:
            team.tickets.appendleft(ticket)
        else:
            team.tickets.append(ticket)
        self._tickets[ticket.request] = ticket
        heapq.heappush(self._deadlines, (ticket.deadline, ticket.request))

    def _least_virtual(self) -> float:
        return min(
            (line.virtual for line in self._lines.values() if line.waiting),
            default=0.0,
        )

    def remove(self, request: RequestId) -> Ticket | None:
        """Take a ticket out, wherever it stands."""
        ticket = self._tickets.pop(request, None)
        if ticket is not None:
            line = self._lines[ticket.service_class]
            line.waiting -= 1
            line.teams[ticket.team].tickets.remove(ticket)
        return ticket

    def pop_expired(self, now: float) -> list[Ticket]:
        """Take out the tickets whose deadline to start has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request = heapq.heappop(self._deadlines)
            ticket = self._tickets.get(request)
            if ticket is not None and ticket.deadline <= now:
                self.remove(request)
                expired.append(ticket)
        return expired

    def urgent_head(self) -> Ticket | None:
        """Return the urgent ticket to serve next, leaving it in place."""
        heads = [
            line.next_team().tickets[0]
            for line in self._lines.values()
            if line.waiting and line.record.urgent
        ]
        return min(heads, key=lambda ticket: ticket.deadline, default=None)

    def urgent_overdue(self, now: float, part: float) -> int:
        """Count the urgent tickets that have used up `part` of their time.

        The time is the class's target for the first token.
        """
        return sum(
            now - ticket.received > part * line.record.targets.first_token_s
            for line in self._lines.values()
            if line.waiting and line.record.urgent
            for _, team in line.backlogged()
            for ticket in team.tickets
        )

    def fair_head(self, now: float) -> Ticket | None:
        """Return the next ticket of the classes that are not urgent.

        A class below its floor goes first, the least served of them before
        the others; then the class that is least far along.
        """
        lines = [
            line
            for line in self._lines.values()
            if line.waiting and not line.record.urgent
        ]
        if not lines:
            return None
        total = sum(line.decayed(now) for line in self._lines.values())
        line = min(lines, key=lambda each: self._rank(each, total, now))
        return line.next_team().tickets[0]

    @staticmethod
    def _rank(line: _ClassLine, total: float, now: float) -> tuple[bool, float]:
        floor = line.record.floor
        if floor and line.decayed(now) < floor * total:
            return (False, line.decayed(now) / floor)
        return (True, line.virtual)

    def is_starving(self, class_id: ClassId, now: float, patience_s: float) -> bool:
        """Tell whether the class has had demand but no slot for so long."""
        since = self._lines[class_id].hungry_since
        return since is not None and now - since > patience_s

    def starving_head(self, now: float, patience_s: float) -> Ticket | None:
        """Return a ticket of the class that has starved for longest, if any has."""
        lines = [
            line
            for class_id, line in self._lines.items()
            if line.waiting
            and not line.record.urgent
            and self.is_starving(class_id, now, patience_s)
        ]
        if not lines:
            return None
        return min(lines, key=lambda line: line.hungry_since).next_team().tickets[0]

    def charge(
        self, class_id: ClassId, team_id: TeamId, tokens: float, now: float
    ) -> None:
        """Charge tokens, which may be negative to correct an estimate."""
        line = self._lines.get(class_id)
        if line is None:
            return
        line.virtual += tokens / line.record.weight
        line.recent_tokens = max(0.0, line.decayed(now) + tokens)
        line.recent_at = now
        team = line.teams.get(team_id)
        if team is not None:
            team.virtual += tokens / team.share

    def mark_served(self, class_id: ClassId) -> None:
        """Note that the class got a slot."""
        self._lines[class_id].hungry_since = None

    def waiting(self, class_id: ClassId) -> int:
        """Return how many tickets of the class wait."""
        return self._lines[class_id].waiting

    def tickets_ahead(self, ticket: Ticket) -> tuple[int, float]:
        """Return what a new ticket of this class and team would wait behind.

        Returns
        -------
        ahead : int
            Tickets of the same class and team that are waiting.
        part : float
            The part of the service of non-urgent work that this team can
            count on while everyone now waiting goes on waiting.
        """
        line = self._lines[ticket.service_class]
        team = line.teams.get(ticket.team)
        ahead = len(team.tickets) if team else 0
        weights = sum(
            each.record.weight
            for each in self._lines.values()
            if not each.record.urgent and (each.waiting or each is line)
        )
        own_share = self.share_of(ticket.team)
        shares = own_share + sum(
            each.share for name, each in line.backlogged() if name != ticket.team
        )
        class_part = max(line.record.weight / weights, line.record.floor)
        return ahead, class_part * own_share / shares

    def waiting_by_class(self) -> dict[ClassId, int]:
        """Return the number waiting for each class."""
        return {class_id: line.waiting for class_id, line in self._lines.items()}
