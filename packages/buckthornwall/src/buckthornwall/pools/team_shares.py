"""Fair shares of teams in the work that an overloaded pool admits."""

from buckthornwall.routing import PoolId
from buckthornwall.utils import TeamId

__all__ = ["TeamShares"]


class TeamShares:
    """Work admitted recently for each team of one pool.

    Attributes
    ----------
    peers : dict
        Tokens of work that all other instances admitted, by rank and team.
    """

    def __init__(self, pool: PoolId) -> None:
        self.pool = pool
        self.peers: dict[int, dict[TeamId, int]] = {}

    def record_admitted(self, rank: int, team: TeamId, tokens: int, now: float) -> None:
        """Record that a request of a team was admitted."""

    def exceeds_share(self, rank: int, team: TeamId, tokens: int, now: float) -> bool:
        """Return whether a request takes its team beyond its fair share of a rank."""
        return False

    def local_tokens(self, now: float) -> dict[int, dict[TeamId, int]]:
        """Return the tokens that this instance admitted, by rank and team."""
        return {}
