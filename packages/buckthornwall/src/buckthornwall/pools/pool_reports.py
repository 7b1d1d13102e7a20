"""What instances report to each other about pools under load, and sums of it.

Each instance reports what it saw itself; an instance reads the sums over all others.
"""

from collections.abc import Iterable
from typing import Annotated

import msgspec

from buckthornwall.routing import PoolId
from buckthornwall.utils import TeamId, UpstreamId

from .team_shares import top_teams

__all__ = [
    "EngineSpeeds",
    "PoolReports",
    "SpeedSamples",
    "TeamTokens",
    "subtract_pool_reports",
    "sum_pool_reports",
]


class SpeedSamples(msgspec.Struct, array_like=True, frozen=True):
    """Recent samples of how long work takes at an engine.

    Attributes
    ----------
    count
        Number of samples.
    log_percent
        Sum of the natural logarithms of the samples, in hundredths. A sample is how
        long work took there as a multiple of the time at the pool's usual engine.
    """

    count: Annotated[int, msgspec.Meta(ge=0)] = 0
    log_percent: int = 0


# Samples of each engine that has any.
EngineSpeeds = dict[UpstreamId, SpeedSamples]
# Tokens of work asked for recently, by pool, rank and team.
TeamTokens = dict[PoolId, dict[int, dict[TeamId, int]]]


class PoolReports(msgspec.Struct, array_like=True, frozen=True):
    """Reports of one instance, or sums of them; `team_tokens` sums up small teams."""

    engine_speeds: EngineSpeeds = {}
    team_tokens: TeamTokens = {}


def sum_pool_reports(reports: Iterable[PoolReports]) -> PoolReports:
    """Return the sums of the reports of several instances."""
    speeds: EngineSpeeds = {}
    tokens: TeamTokens = {}
    for report in reports:
        _add_speeds(speeds, report.engine_speeds)
        _add_tokens(tokens, report.team_tokens, 1)
    for by_rank in tokens.values():
        by_rank.update((rank, top_teams(teams)) for rank, teams in by_rank.items())
    return PoolReports(speeds, tokens)


def subtract_pool_reports(total: PoolReports, local: PoolReports) -> PoolReports:
    """Return sums less what one instance reported."""
    tokens: TeamTokens = {}
    _add_tokens(tokens, total.team_tokens, 1)
    _add_tokens(tokens, local.team_tokens, -1)
    speeds = {
        upstream: _subtract(samples, local.engine_speeds.get(upstream, SpeedSamples()))
        for upstream, samples in total.engine_speeds.items()
    }
    return PoolReports(
        {upstream: left for upstream, left in speeds.items() if left.count > 0}, tokens
    )


def _add_speeds(total: EngineSpeeds, part: EngineSpeeds) -> None:
    for upstream, samples in part.items():
        before = total.get(upstream, SpeedSamples())
        total[upstream] = SpeedSamples(
            before.count + samples.count, before.log_percent + samples.log_percent
        )


def _subtract(total: SpeedSamples, local: SpeedSamples) -> SpeedSamples:
    return SpeedSamples(
        total.count - local.count, total.log_percent - local.log_percent
    )


def _add_tokens(total: TeamTokens, part: TeamTokens, sign: int) -> None:
    """Add tokens by pool, rank and team; sums that are not positive are left out."""
    for pool, by_rank in part.items():
        for rank, by_team in by_rank.items():
            teams = total.setdefault(pool, {}).setdefault(rank, {})
            for team, tokens in by_team.items():
                left = teams.get(team, 0) + sign * tokens
                if left > 0:
                    teams[team] = left
                else:
                    teams.pop(team, None)
