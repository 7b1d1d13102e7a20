"""Fair shares of teams in all pools, and what is reported of their demand."""

from buckthornwall.routing import PoolId
from buckthornwall.utils import TeamId

from .pool_reports import TeamTokens
from .team_shares import TeamShares, TeamStanding

__all__ = ["TeamTable"]


class TeamTable:
    """The teams of each pool; times are in seconds.

    Attributes
    ----------
    by_pool : dict
        Their shares, of pools that had any demand.
    """

    def __init__(self) -> None:
        self.by_pool: dict[PoolId, TeamShares] = {}

    def shares(self, pool: PoolId) -> TeamShares:
        """Return the fair shares of teams in a pool."""
        if pool not in self.by_pool:
            self.by_pool[pool] = TeamShares(pool)
        return self.by_pool[pool]

    def standings(
        self, now: float
    ) -> dict[PoolId, dict[int, dict[TeamId, TeamStanding]]]:
        """Return demand and share of the largest teams, by pool and rank."""
        return {pool: each.largest(now) for pool, each in self.by_pool.items()}

    def to_report(self, now: float) -> TeamTokens:
        """Return the demand at this instance that is reported to peers."""
        return {
            pool: by_rank
            for pool, shares in self.by_pool.items()
            if (by_rank := shares.local_tokens(now))
        }

    def receive(self, peers: TeamTokens, now: float) -> None:
        """Record the sums of the demand that all other instances report."""
        for pool in {*self.by_pool, *peers}:
            self.shares(pool).receive(peers.get(pool, {}), now)
