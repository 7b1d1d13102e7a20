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
    """The team, route and service class of an admitted request."""

    team: Team
    route: Route
    service_class: ServiceClass


class TeamConcurrencyLimiter:
    """Limits each team's requests in flight on this instance."""

    def __init__(self) -> None:
        self.in_flight: Counter[TeamId] = Counter()

    @contextmanager
    def hold(self, team: Team) -> Iterator[None]:
        """Count a request as in flight while the context is open.

        Raises
        ------
        Refusal
            If the team has reached its limit.
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
    """Authenticates and admits requests by the records in force."""

    def __init__(self, store: RecordStore) -> None:
        self.store = store

    @property
    def view(self) -> RecordView:
        """The records in force.

        Raises
        ------
        Refusal
            If no records have been adopted yet.
        """
        if self.store.view is None:
            raise Refusal(ResultCode.NOT_READY, retry_after_s=1.0)
        return self.store.view

    def authenticate(self, authorization: str | None) -> Team:
        """Return the team that the API key belongs to.

        Raises
        ------
        Refusal
            If no team's record has the hash of the key.
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
        """Return the route and the service class of a request.

        Parameters
        ----------
        team
            The client's team.
        target, name
            Kind and name of the requested route.
        requested_class
            The service class that the client names, if any.

        Raises
        ------
        Refusal
            If the route does not exist, or the team may not use the class.
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
