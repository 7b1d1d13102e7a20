"""Decide which requests are refused since their team is beyond its fair share.

Only while room is short: from a mean wait on from which requests may be refused as late
at all, a team beyond its share is refused more and more, up to the wait at which every
request is late. So it is refused first, and teams within their share keep their room.
The share goes by the length of the queue at this moment and needs no other state than
the demand: with no queue nobody is refused, whatever was asked for before.
"""

from collections.abc import Iterable

from buckthornwall.routing import OUTPUT_TOKEN_COST
from buckthornwall.utils import hash_fraction

from .backlog import Backlog
from .overload import MAX_TARGETS, MIN_QUEUEING_TARGETS
from .owned_prefill import has_owners
from .placement import Choice
from .table import PoolTable
from .team_shares import TeamStanding
from .traits import RequestTraits
from .view import UpstreamView

__all__ = [
    "exceeds_team_share",
    "record_team_demand",
    "report_backlog",
    "team_standing",
]

# Demand is reported from a queue of this many targets on: peers need it by the time the
# queue is four times as long, and not where requests hardly wait.
REPORTED_TARGETS = 0.1
# Room for less than this share of the demand is not told from none.
MIN_HEADROOM = 0.1
# Requests draw anew after this many seconds: one that is refused may be admitted later,
# but not by repeating it at once.
DRAW_S = 1.0
# Less than any engine's step: a contract without a target is not divided by.
MIN_TARGET_S = 0.001


def exceeds_team_share(
    pools: PoolTable,
    traits: RequestTraits,
    choice: Choice,
    usable: list[UpstreamView],
    now: float,
    backlog: Backlog | None = None,
) -> bool:
    """Return whether a request is refused since its team is beyond its fair share.

    A part of the team's requests is, whatever their lengths. None is while less urgent
    requests are admitted in place of it: these yield first.
    """
    standing = team_standing(pools, traits, choice, usable, now, backlog)
    if standing is None or not standing.refused_share:
        return False
    resolution = traits.resolution
    ledger = pools.ledger(resolution.pool.id)
    if ledger.has_deficit(resolution.rank, traits.prompt.prompt_tokens, now):
        return False
    return hash_fraction(f"{traits.id}/{now // DRAW_S:.0f}") < standing.refused_share


def team_standing(
    pools: PoolTable,
    traits: RequestTraits,
    choice: Choice,
    usable: list[UpstreamView],
    now: float,
    backlog: Backlog | None = None,
) -> TeamStanding | None:
    """Return the share of a request's team, or None while room is not short.

    Urgent requests have none: they are never refused for the sake of others. Where a
    share of all requests is refused for the backlog of the pool, there is room for the
    rest of the demand, and that share is taken from teams beyond theirs first.
    """
    if not pools.settings.team_shares or traits.resolution.urgent:
        return None
    if backlog is None:
        headroom = _headroom(_queue_targets(pools, traits, usable, now))
    else:
        headroom = 1 - backlog.shed_share
    if headroom >= 1:
        return None
    resolution = traits.resolution
    headroom = max(MIN_HEADROOM, headroom)
    shares, rank = pools.teams.shares(resolution.pool.id), resolution.rank
    shares.record_headroom(rank, headroom, now)
    tokens = _work_tokens(traits, choice)
    return shares.standing(rank, resolution.team, tokens, headroom, now)


def _headroom(queue_targets: float) -> float:
    """Return the share of the demand for which there is room, by the mean wait."""
    return (MAX_TARGETS - queue_targets) / (MAX_TARGETS - MIN_QUEUEING_TARGETS)


def report_backlog(
    pools: PoolTable, traits: RequestTraits, backlog: Backlog, now: float
) -> None:
    """Report the demand of a rank to the peers from now on, if its backlog is high."""
    if pools.settings.team_shares and backlog.is_high:
        resolution = traits.resolution
        pools.teams.shares(resolution.pool.id).report_rank(resolution.rank, now)


def record_team_demand(
    pools: PoolTable, traits: RequestTraits, choice: Choice, now: float
) -> None:
    """Record what a request asks of its pool, whether it is admitted or not."""
    resolution = traits.resolution
    if not pools.settings.team_shares or resolution.urgent:
        return
    shares, rank = pools.teams.shares(resolution.pool.id), resolution.rank
    shares.record_demand(rank, resolution.team, _work_tokens(traits, choice), now)
    if choice.wait_s - choice.own_prefill_s >= REPORTED_TARGETS * _target_s(traits):
        shares.report_rank(rank, now)


def _work_tokens(traits: RequestTraits, choice: Choice) -> int:
    """Return the work of a request in prompt tokens.

    Those that are not cached at its engine, and half of the longest output, each token
    of which takes as long as several of a prompt.
    """
    output = traits.prompt.max_output_tokens // 2
    return choice.uncached_tokens + output * OUTPUT_TOKEN_COST


def _queue_targets(
    pools: PoolTable, traits: RequestTraits, usable: Iterable[UpstreamView], now: float
) -> float:
    """Return the mean wait for others over the engines of a pool, in targets.

    By the counts of pending prefill that all instances know alike. The wait at the
    chosen engine says less: one is often without a queue, or chosen in spite of one for
    what it has cached. Engines that their owners alone prefill long prompts at have
    hardly a queue, and no room for others.
    """
    resolution = traits.resolution
    pool = resolution.pool.id
    model = pools.model(pool)
    closed = (
        pools.reserved_engines(pool).ids if has_owners(pools, pool) else frozenset()
    )
    usable = list(usable)
    open_engines = [view for view in usable if view.id not in closed] or usable
    waits = [
        view.slowness(now)
        * model.prefill_s(view.load.pending_prefill_before(resolution.rank))
        for view in open_engines
    ]
    return sum(waits) / len(waits) / _target_s(traits) if waits else 0.0


def _target_s(traits: RequestTraits) -> float:
    return max(MIN_TARGET_S, traits.resolution.route.target_s)
