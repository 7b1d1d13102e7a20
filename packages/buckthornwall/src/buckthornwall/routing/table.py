"""The configuration version in force, and look-ups in it."""

import random
from dataclasses import dataclass

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.utils import RegionId, TeamId

from .config import (
    ClientLimits,
    Pool,
    PoolId,
    PublishedConfig,
    RequestRoute,
    TeamConfig,
)
from .request import RoutedRequest

__all__ = ["Resolution", "RoutingTable"]

# Distinct tiers of routes, and of teams within one route tier. Their product must not
# exceed the ten priorities that engines support.
ROUTE_TIERS = 3
TEAM_TIERS = 3
# Tier of a team without a configured one.
DEFAULT_TEAM_TIER = 1


@dataclass(frozen=True, slots=True)
class Resolution:
    """The route, pool and team of a request, and its urgency.

    `regions` are those that both its route and its team allow; None is any.

    `rank` orders by the tier of the route, then by the tier of the team; 0 is the most
    urgent. In the reverse order, engines preempt streams of the most urgent route while
    long drafts of an urgent team keep running.
    """

    route: RequestRoute
    pool: Pool
    team: TeamId
    team_tier: int
    number: int
    regions: frozenset[RegionId] | None = None

    @property
    def rank(self) -> int:
        """Urgency over all routes and teams; 0 is the most urgent."""
        route_tier = min(self.route.tier, ROUTE_TIERS - 1)
        return route_tier * TEAM_TIERS + min(self.team_tier, TEAM_TIERS - 1)

    @property
    def urgent(self) -> bool:
        """Whether no less urgent request may be served before it."""
        return self.route.tier == 0 or self.team_tier < DEFAULT_TEAM_TIER


class RoutingTable:
    """The newest configuration version received; older ones are rejected.

    Attributes
    ----------
    number : int
        Configuration version in force; 0 before the first.
    """

    def __init__(self) -> None:
        self.number = 0
        self.limits = ClientLimits()
        self.pools: dict[PoolId, Pool] = {}
        self.routes: tuple[RequestRoute, ...] = ()
        self._by_host: dict[str, list[RequestRoute]] = {}
        self._teams: dict[str, TeamConfig] = {}
        self._has_teams = False
        self._random = random.Random()

    def adopt(self, published: PublishedConfig) -> bool:
        """Adopt a configuration if it is newer; return whether it was."""
        if published.number <= self.number:
            return False
        by_host: dict[str, list[RequestRoute]] = {}
        for route in published.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._by_host = by_host
        self.routes = published.routes
        self._teams = {key: team for team in published.teams for key in team.keys}
        self._has_teams = bool(published.teams)
        self.pools = {pool.id: pool for pool in published.pools}
        self.limits = published.limits
        self.number = published.number
        return True

    def resolve(self, request: RoutedRequest) -> Resolution:
        """Return the route, pool and team of a request.

        Raises
        ------
        Refusal
            NOT_READY before the first configuration, UNKNOWN_PATH without a route,
            UNAUTHENTICATED without the key of a team, NO_ENGINE without a pool.
        """
        if not self.number:
            raise Refusal(ResultCode.NOT_READY, retry_after_s=0.5)
        route = self._route(request)
        team = self._team(request, route)
        pool = self.pools.get(self._choose_pool(route))
        if pool is None:
            raise Refusal(ResultCode.NO_ENGINE, f"route {route.id}", retry_after_s=0.5)
        team_tier = DEFAULT_TEAM_TIER
        if team is not None and team.tier is not None:
            team_tier = team.tier
        team_id = team.id if team else TeamId("")
        regions = _allowed_regions(route, team)
        return Resolution(route, pool, team_id, team_tier, self.number, regions)

    def _route(self, request: RoutedRequest) -> RequestRoute:
        for route in self._by_host.get(request.host, ()):
            if request.path.startswith(route.path_prefix):
                return route
        raise Refusal(ResultCode.UNKNOWN_PATH)

    def _team(self, request: RoutedRequest, route: RequestRoute) -> TeamConfig | None:
        team = self._teams.get(request.key) if request.key else None
        if team is None and self._has_teams and route.needs_key:
            raise Refusal(ResultCode.UNAUTHENTICATED)
        return team

    def _choose_pool(self, route: RequestRoute) -> PoolId:
        if len(route.shares) == 1:
            return route.shares[0].pool
        weights = [share.weight for share in route.shares]
        return self._random.choices(route.shares, weights)[0].pool


def _allowed_regions(
    route: RequestRoute, team: TeamConfig | None
) -> frozenset[RegionId] | None:
    """Return the regions that a route and a team both allow; None for any."""
    bounds = [each.regions for each in (route, team) if each is not None]
    bounds = [regions for regions in bounds if regions]
    return frozenset.intersection(*bounds) if bounds else None
