"""What instances report to each other about pools under load, and sums of it.

Each instance reports what it saw itself; an instance reads the sums over all others.
"""

import math
from collections.abc import Iterable
from typing import Annotated

import msgspec

from buckthornwall.routing import PoolId
from buckthornwall.utils import MAX_COUNT, Count, TeamId, UpstreamId, add_counts

from .team_shares import top_teams

__all__ = [
    "MAX_LOG_PERCENT",
    "MAX_REPORTED_SAMPLES",
    "EngineSpeeds",
    "PoolReports",
    "SpeedSamples",
    "TeamTokens",
    "bound_pool_reports",
    "bound_samples",
    "limit_log_percent",
    "subtract_pool_reports",
    "sum_pool_reports",
]

# An instance counts as at most this many samples of an engine in one report, whatever
# it states, so that it does not outweigh a fleet that sees some each second.
MAX_REPORTED_SAMPLES = 4
# An engine counts as no faster or slower than this; others than that are broken, which
# health decides on.
MAX_SLOWNESS = 4.0
MAX_LOG_PERCENT = round(100 * math.log(MAX_SLOWNESS))


class SpeedSamples(msgspec.Struct, array_like=True, frozen=True):
    """Recent samples of how long work takes at an engine.

    Attributes
    ----------
    count
        Number of samples.
    log_percent
        Sum of the natural logarithms of the samples, in hundredths. A sample is how
        long the same work took there as a multiple of a unit common to all instances.
    """

    count: Count = 0
    log_percent: Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)] = 0


# Samples of each engine that has any.
EngineSpeeds = dict[UpstreamId, SpeedSamples]
# Tokens of work asked for recently, by pool, rank and team.
TeamTokens = dict[PoolId, dict[Count, dict[TeamId, Count]]]


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


def bound_pool_reports(report: PoolReports) -> PoolReports:
    """Return the report of one instance with no more weight than an instance has."""
    bounded = {
        upstream: bound_samples(samples, MAX_REPORTED_SAMPLES)
        for upstream, samples in report.engine_speeds.items()
    }
    return PoolReports(bounded, report.team_tokens)


def bound_samples(samples: SpeedSamples, max_count: int) -> SpeedSamples:
    """Return samples of the same mean that count as at most `max_count`, bounded."""
    if samples.count <= 0:
        return SpeedSamples()
    count = min(samples.count, max_count)
    log_percent = samples.log_percent * count // samples.count
    return SpeedSamples(count, limit_log_percent(log_percent, count))


def limit_log_percent(log_percent: int, count: int) -> int:
    """Return the sum of some logarithms, in hundredths, with their mean bounded."""
    limit = MAX_LOG_PERCENT * count
    return min(limit, max(-limit, log_percent))


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
            add_counts(before.count, samples.count),
            max(-MAX_COUNT, add_counts(before.log_percent, samples.log_percent)),
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
                left = add_counts(teams.get(team, 0), sign * tokens)
                if left > 0:
                    teams[team] = left
                else:
                    teams.pop(team, None)
