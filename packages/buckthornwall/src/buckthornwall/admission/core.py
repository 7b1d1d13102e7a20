"""Admission of one request against the records in force."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from hashlib import sha256

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.records import (
    RecordStore,
    RecordView,
    Route,
    ServiceClass,
    TargetKind,
    Team,
)
from buckthornwall.utils import ClassId, RouteId, TeamId

__all__ = ["Admission", "AdmittedRequest", "TeamConcurrencyLimiter"]

BEARER_PREFIX = "bearer "


@dataclass
class AdmittedRequest:
    """A request that may go on: its team, route and class."""

    team: Team
    route: Route
    service_class: ServiceClass


class TeamConcurrencyLimiter:
    """Counts each team's requests in flight on this instance."""

    def __init__(self) -> None:
        self.in_flight: Counter[TeamId] = Counter()

    @contextmanager
    def hold(self, team: Team) -> Iterator[None]:
        """Count a request for as long as it runs.

        Raises
        ------
        Refusal
            If the team is at its limit.
        """
        if self.in_flight[team.id] >= team.max_in_flight:
            raise Refusal(ResultCode.TEAM_LIMIT, team.id, retry_after_s=1.0)
        self.in_flight[team.id] += 1
        try:
            yield
        finally:
            self.in_flight[team.id] -= 1
            if not self.in_flight[team.id]:
                del self.in_flight[team.id]


class Admission:
    """Reads the records in force; holds no state of its own."""

    def __init__(self, store: RecordStore) -> None:
        self.store = store

    @property
    def view(self) -> RecordView:
        """The records in force.

        Raises
        ------
        Refusal
            Before the first set is adopted.
        """
        if self.store.view is None:
            raise Refusal(ResultCode.NOT_READY, retry_after_s=1.0)
        return self.store.view

    def authenticate(self, authorization: str | None) -> Team:
        """Return the team whose key this is.

        Raises
        ------
        Refusal
            If no team's record holds the key's hash.
        """
        view = self.view
        if authorization and authorization.lower().startswith(BEARER_PREFIX):
            key = authorization[len(BEARER_PREFIX) :].strip()
            team = view.team_by_key_hash.get(sha256(key.encode()).hexdigest())
            if team is not None:
                return team
        raise Refusal(ResultCode.UNAUTHENTICATED)

    def admit(
        self, team: Team, target: TargetKind, name: str, requested_class: str | None
    ) -> AdmittedRequest:
        """Find the route and the class of a request.

        Parameters
        ----------
        team
            The caller.
        target, name
            What kind of route is asked for, and its name.
        requested_class
            The class that the caller asks for, if it names one.

        Raises
        ------
        Refusal
            If there is no such route, or the team may not use the class.
        """
        route = self.view.routes.get(RouteId(name))
        if route is None or route.to is not target:
            raise Refusal(ResultCode.UNKNOWN_MODEL, name)
        return AdmittedRequest(
            team, route, self._choose_class(team, route, requested_class)
        )

    def _choose_class(
        self, team: Team, route: Route, requested_class: str | None
    ) -> ServiceClass:
        allowed = [
            each for each in team.classes if not route.classes or each in route.classes
        ]
        if requested_class is not None:
            allowed = [each for each in allowed if each == ClassId(requested_class)]
        if not allowed:
            raise Refusal(ResultCode.CLASS_NOT_ALLOWED, requested_class or route.id)
        return self.view.classes[allowed[0]]
