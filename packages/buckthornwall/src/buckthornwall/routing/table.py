"""The version in force, and its look-ups."""

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

# Tiers of routes, and of teams inside one of these, that are told apart: together at
# most the ten priorities that engines know.
ROUTE_TIERS = 3
TEAM_TIERS = 3
# Tier of a team that has none of its own.
DEFAULT_TEAM_TIER = 1


@dataclass(frozen=True, slots=True)
class Resolution:
    """Where a request may go, for whom, and how urgent it is.

    `regions` are those that both its route and its team allow; None is any.

    A route's tier goes before its teams' tiers: `rank` orders by the first and then
    by the second, and 0 is the most urgent. With the team's first, engines preempted
    streams of the most urgent route while long drafts of an urgent team ran on.
    """

    route: RequestRoute
    pool: Pool
    team: TeamId
    team_tier: int
    number: int
    regions: frozenset[RegionId] | None = None

    @property
    def rank(self) -> int:
        """Place in the order of urgency over all teams and routes."""
        route_tier = min(self.route.tier, ROUTE_TIERS - 1)
        return route_tier * TEAM_TIERS + min(self.team_tier, TEAM_TIERS - 1)

    @property
    def urgent(self) -> bool:
        """Whether nothing less urgent may go before it."""
        return self.route.tier == 0 or self.team_tier < DEFAULT_TEAM_TIER


class RoutingTable:
    """The newest version heard of; an older one is never taken.

    Attributes
    ----------
    number : int
        Version in force; 0 before the first.
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
        """Put a version in force if it is newer; tell whether it was."""
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
            NOT_READY before the first version, UNKNOWN_PATH without a route,
            UNAUTHENTICATED without a team's key, NO_ENGINE without a pool.
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
    """Return the regions that a route and a team allow, None for any."""
    bounds = [each.regions for each in (route, team) if each is not None]
    bounds = [regions for regions in bounds if regions]
    return frozenset.intersection(*bounds) if bounds else None
