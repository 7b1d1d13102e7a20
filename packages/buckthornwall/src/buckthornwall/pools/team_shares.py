"""Fair shares of teams in the work of a pool that is short of room.

Shares are max-min fair (water-filling) by the teams' recent demand of one rank over all
instances: a team that asks for less than its share is served in full, and what it
leaves goes to the others. Demand is what was asked for, so a team that is refused, or
whose clients repeat at once, does not look small.

Every team has the same weight. What a team usually asks for plays no part, since
nobody knows it after a start: a large team gets as much as is left by the small ones,
and all of what it asks for while there is room.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from buckthornwall.routing import PoolId
from buckthornwall.utils import TeamId, add_counts

__all__ = [
    "OTHER_TEAMS",
    "TeamShares",
    "TeamStanding",
    "fair_level",
    "top_teams",
]

# A refused client returns within two seconds and what peers report is up to a second
# old, so a shorter memory would take the pause of a team's clients for a small demand.
# With a longer one a team would be refused for what it no longer asks for.
WINDOW_S = 3.0
SLICE_S = 0.5
# Teams reported of a rank. A team whose share matters has a good part of the demand, so
# there are fewer of them; each takes about 20 bytes of every report.
MAX_TEAMS = 12
# Different teams and ranks kept for half a second; the demand of more is summed.
MAX_SLICE_ENTRIES = 2048
# The sum of the teams that are not named. It stands for small ones: served in full.
OTHER_TEAMS = TeamId("*")
# Requests that a team may be above its share: a few of them are chance, not demand.
FREE_REQUESTS = 2
# No team is refused altogether, whatever it asks for.
MAX_REFUSED_SHARE = 0.9

# A headroom that was found longer ago says nothing of a queue that lasts as long.
HEADROOM_S = 1.0

# Tokens of work by team.
TeamDemand = dict[TeamId, int]


@dataclass(frozen=True, slots=True)
class TeamStanding:
    """What a team asked for recently, and its fair share.

    Attributes
    ----------
    demand : int
        Tokens of work that it asked for, by all instances.
    share : int
        Tokens of work that are its fair share.
    refused_share : float
        Share of its requests to refuse, from 0 to 1.
    age_s : float
        Age of the peers' report of demand, in seconds.
    shed_share : float
        Share of the whole demand of its rank that is refused for shares, 0 to 1.
    """

    demand: int
    share: int
    refused_share: float
    age_s: float
    shed_share: float = 0.0


class TeamShares:
    """Work that each team asked of one pool recently; times are in seconds.

    Attributes
    ----------
    peers : dict
        Tokens of work asked for at all other instances, by rank and team.
    peers_at : float
        When `peers` last changed.
    """

    def __init__(self, pool: PoolId) -> None:
        self.pool = pool
        self.peers: dict[int, TeamDemand] = {}
        self.peers_at = 0.0
        self._slices: deque[tuple[int, dict[tuple[int, TeamId], int]]] = deque()
        self._reported_until: dict[int, float] = {}
        self._headrooms: dict[int, tuple[float, float]] = {}

    def record_demand(self, rank: int, team: TeamId, tokens: int, now: float) -> None:
        """Record that a request of a team came, admitted or not."""
        self._expire(now)
        number = _slice_number(now)
        if not self._slices or self._slices[-1][0] != number:
            self._slices.append((number, {}))
        counts = self._slices[-1][1]
        key = (rank, team)
        if key not in counts and len(counts) >= MAX_SLICE_ENTRIES:
            key = (rank, OTHER_TEAMS)
        counts[key] = counts.get(key, 0) + tokens

    def report_rank(self, rank: int, now: float) -> None:
        """Report the demand of a rank to the peers from now on, for a window's time."""
        self._reported_until[rank] = now + WINDOW_S

    def record_headroom(self, rank: int, headroom: float, now: float) -> None:
        """Record for how much of a rank's demand there is room, for operators."""
        self._headrooms[rank] = (headroom, now)

    def receive(self, peers: dict[int, TeamDemand], now: float) -> None:
        """Record the sums of what all other instances report."""
        if peers != self.peers:
            self.peers, self.peers_at = peers, now

    def local_tokens(self, now: float) -> dict[int, TeamDemand]:
        """Return the demand at this instance that is reported, by rank and team."""
        reported = {
            rank: top_teams(self._local_demand(rank, now))
            for rank, until in sorted(self._reported_until.items())
            if 0 <= until - now <= WINDOW_S
        }
        return {rank: teams for rank, teams in reported.items() if teams}

    def demand(self, rank: int, now: float) -> TeamDemand:
        """Return the tokens of work that teams asked of all instances.

        What peers reported counts less the older it is: by the part of it that would
        still be within the window.
        """
        total = self._local_demand(rank, now)
        fresh = 1 - max(0.0, now - self.peers_at) / WINDOW_S
        if fresh > 0:
            for team, tokens in self.peers.get(rank, {}).items():
                if tokens > 0:
                    total[team] = total.get(team, 0) + int(fresh * tokens)
        return total

    def standing(
        self, rank: int, team: TeamId, tokens: int, headroom: float, now: float
    ) -> TeamStanding:
        """Return the demand and the fair share of a team.

        Parameters
        ----------
        rank, team
            The team, and the rank of its request.
        tokens
            Tokens of work of the request.
        headroom
            Share of the whole demand of the rank for which there is room, 0 to 1.
        now
            The time in seconds.
        """
        by_team = self.demand(rank, now)
        demand = by_team.get(team, 0)
        others = by_team.pop(OTHER_TEAMS, 0)
        total = sum(by_team.values()) + others
        capacity = headroom * total - others
        level = fair_level(by_team.values(), capacity)
        allowed = level + FREE_REQUESTS * tokens
        excess = 1 - allowed / demand if demand > allowed else 0.0
        return TeamStanding(
            demand=demand,
            share=int(min(level, demand)),
            refused_share=min(MAX_REFUSED_SHARE, excess),
            age_s=max(0.0, now - self.peers_at),
            shed_share=_shed_tokens(by_team.values(), allowed) / max(1, total),
        )

    def largest(self, now: float) -> dict[int, dict[TeamId, TeamStanding]]:
        """Return the standing of the teams with the largest demand, by rank."""
        ranks = {*self.peers, *(rank for _, each in self._slices for rank, _ in each)}
        return {
            rank: {
                team: self.standing(rank, team, 0, self._headroom(rank, now), now)
                for team in top_teams(self.demand(rank, now))
                if team != OTHER_TEAMS
            }
            for rank in sorted(ranks)
        }

    def _headroom(self, rank: int, now: float) -> float:
        """Return the last headroom of a rank; where none was found lately, there is."""
        headroom, found_at = self._headrooms.get(rank, (1.0, now))
        return headroom if 0 <= now - found_at <= HEADROOM_S else 1.0

    def _local_demand(self, rank: int, now: float) -> TeamDemand:
        self._expire(now)
        total: TeamDemand = {}
        for _, counts in self._slices:
            for (other, team), tokens in counts.items():
                if other == rank:
                    total[team] = total.get(team, 0) + tokens
        return total

    def _expire(self, now: float) -> None:
        """Forget what is older than the window, and all if the clock stepped back."""
        number = _slice_number(now)
        if self._slices and self._slices[-1][0] > number:
            self._slices.clear()
        while self._slices and self._slices[0][0] <= number - _slice_number(WINDOW_S):
            self._slices.popleft()


def _shed_tokens(demands: Iterable[int], allowed: float) -> float:
    """Return the tokens that are refused of teams which ask for more than allowed."""
    return sum(
        min(MAX_REFUSED_SHARE * demand, max(0.0, demand - allowed))
        for demand in demands
    )


def fair_level(demands: Iterable[float], capacity: float) -> float:
    """Return the most that one team gets of a capacity shared max-min fairly.

    Demands below the level are met in full. It is at least the least demand: where not
    even that is met for all, teams that ask for as little are not told apart.
    """
    ascending = sorted(demands)
    left = max(0.0, capacity)
    for index, demand in enumerate(ascending):
        if demand * (len(ascending) - index) >= left:
            return max(left / (len(ascending) - index), ascending[0])
        left -= demand
    return ascending[-1] if ascending else 0.0


def top_teams(demand: Mapping[TeamId, int]) -> TeamDemand:
    """Return the teams with the largest demand, and the sum of the others."""
    if len(demand) <= MAX_TEAMS:
        return dict(demand)
    named = [team for team in demand if team != OTHER_TEAMS]
    named.sort(key=lambda team: (-demand[team], team))
    top = {team: demand[team] for team in named[: MAX_TEAMS - 1]}
    top[OTHER_TEAMS] = add_counts(sum(demand.values()) - sum(top.values()))
    return top


def _slice_number(seconds: float) -> int:
    return int(seconds // SLICE_S)
