"""Decide which requests are refused for overload, and their retry delay."""

import math
from dataclasses import dataclass
from enum import Enum

from buckthornwall.engine_model import scale_model
from buckthornwall.utils import hash_fraction

from .backlog import Backlog, find_backlog, is_shared_by_many
from .expectation import count_based_s, expected_on_engine_s, expected_s
from .ledger import Admission
from .overload import (
    is_hopeless,
    is_late_by_others,
    is_loaded,
    is_queueing_late,
    retry_after_s,
)
from .placement import Choice
from .retry_delay import retry_delay_s
from .table import PoolTable
from .team_refusal import (
    exceeds_team_share,
    record_team_demand,
    report_backlog,
    team_standing,
)
from .team_shares import TeamStanding
from .traits import RequestTraits
from .view import UpstreamView

__all__ = [
    "Overload",
    "RefusalReason",
    "TierBalance",
    "find_overload",
    "has_deficit",
    "record_decision",
]


# Less of the demand than this left by the shares of teams is not divided by.
MIN_REMAINDER = 0.01


class RefusalReason(Enum):
    """Why a request is refused for overload."""

    LATE = "late"  # its first token would come too late
    YIELDS = "yields"  # more urgent requests were refused recently
    TEAM_SHARE = "team_share"  # its team asks for more than its fair share
    BACKLOG = "backlog"  # one of the share that the whole pool cannot serve in time
    DEADLINE = "deadline"  # no engine can begin it before its client leaves


@dataclass(frozen=True, slots=True)
class TierBalance:
    """Prompt tokens that the instances decided on recently, and waiting ones.

    Attributes
    ----------
    admitted_below : int
        Admitted of less urgent ranks than a request's.
    refused : int
        Refused of ranks at least as urgent.
    refused_above : int
        Refused of more urgent ranks.
    waiting_below : int
        Pending prefill of less urgent ranks, of all instances.
    """

    admitted_below: int
    refused: int
    refused_above: int
    waiting_below: int


@dataclass(frozen=True, slots=True)
class Overload:
    """Why a request is refused, and its retry delay; times are in seconds.

    Attributes
    ----------
    reason : RefusalReason
        Why it is refused.
    expected_s : float
        Expected time to its first token on the chosen engine.
    count_based_s : float
        The same by counts of pending tokens alone.
    own_prefill_s : float
        Prefill of its own prompt.
    oldest_wait_s : float
        Wait of the oldest request that is served before it.
    target_s : float
        Target of the time to first token.
    min_expected_s : float
        Lowest expected time to first token of all engines of the pool.
    retry_after_s : float
        When the client should retry.
    slot_utilization : float
        Requests in flight per slot of the chosen engine.
    balance : TierBalance
        What was admitted and refused recently, on which the decision depends.
    team : TeamStanding or None
        Demand and share of its team, if room was short.
    mean_wait_s : float
        Mean wait for prefill at the engines that it may go to; 0 if that is not used.
    shed_share : float
        Share of such requests that is refused for it.
    time_left_s : float
        How long its client still waits; infinite if that is not known.
    """

    reason: RefusalReason
    expected_s: float
    count_based_s: float
    own_prefill_s: float
    oldest_wait_s: float
    target_s: float
    min_expected_s: float
    retry_after_s: float
    slot_utilization: float
    balance: "TierBalance"
    team: TeamStanding | None = None
    mean_wait_s: float = 0.0
    shed_share: float = 0.0
    time_left_s: float = math.inf


def find_overload(
    pools: PoolTable,
    traits: RequestTraits,
    choice: Choice,
    now: float,
    time_left_s: float = math.inf,
) -> Overload | None:
    """Return why a request is refused at once, or None to admit it.

    Parameters
    ----------
    pools
        State of all upstreams.
    traits
        The request. Requests of the most urgent routes are always admitted, and urgent
        teams' requests of other routes unless they yield to more urgent ranks.
    choice
        Upstream that it would be sent to.
    now
        The time in seconds.
    time_left_s
        How long its client still waits, in seconds; infinite if that is not known.
    """
    resolution = traits.resolution
    if traits.prompt is None or resolution.route.tier == 0:
        return None
    wait_s = expected_s(pools, traits, choice)
    usable = pools.usable(resolution.pool.id, frozenset(), traits.permitted)
    backlog = _find_backlog(pools, traits, usable, now)
    if backlog is not None:
        report_backlog(pools, traits, backlog, now)
    reason = _refusal_reason(pools, traits, choice, usable, now, backlog)
    if reason is None and backlog is not None:
        team = team_standing(pools, traits, choice, usable, now, backlog)
        reason = _backlog_reason(pools, traits, now, backlog, team)
        if not _may_begin(pools, traits, usable, now, time_left_s):
            reason = RefusalReason.DEADLINE
    if reason is None:
        return None
    balance = _tier_balance(pools, traits, usable, now)
    if backlog is None:
        delay_s = retry_after_s(wait_s)
    else:
        delay_s = _retry_delay_s(pools, traits, choice, backlog, now, time_left_s)
    return Overload(
        reason=reason,
        expected_s=wait_s,
        count_based_s=count_based_s(pools, traits, choice),
        own_prefill_s=choice.own_prefill_s,
        oldest_wait_s=choice.oldest_wait_s,
        target_s=resolution.route.target_s,
        min_expected_s=min(
            expected_on_engine_s(pools, traits, view, now) for view in usable
        ),
        retry_after_s=delay_s,
        slot_utilization=choice.slot_utilization,
        balance=balance,
        team=team_standing(pools, traits, choice, usable, now, backlog),
        mean_wait_s=0.0 if backlog is None else backlog.mean_wait_s,
        shed_share=0.0 if backlog is None else backlog.shed_share,
        time_left_s=time_left_s,
    )


def _find_backlog(
    pools: PoolTable,
    traits: RequestTraits,
    usable: list[UpstreamView],
    now: float,
) -> Backlog | None:
    """Return the backlog before a request, or None where none is considered."""
    if not pools.settings.prefill_admission or not is_shared_by_many(usable):
        return None
    resolution = traits.resolution
    pool = resolution.pool.id
    views = usable
    if not traits.pause_sensitive:
        # Room at engines reserved for others is none for this request.
        reserved = pools.reserved_engines(pool).ids
        views = [view for view in usable if view.id not in reserved] or usable
    target_s = resolution.route.target_s
    return find_backlog(views, pools.model(pool), resolution.rank, target_s, now)


def _backlog_reason(
    pools: PoolTable,
    traits: RequestTraits,
    now: float,
    backlog: Backlog,
    team: TeamStanding | None,
) -> RefusalReason | None:
    """Return BACKLOG if a request is of the share that is refused for the backlog.

    The share is drawn by the hash of its id: instances that know the same need no
    message to refuse as many together as none of them can count alone. What teams
    beyond their share lose is part of it.
    """
    if traits.resolution.urgent or not backlog.shed_share:
        return None
    of_teams = team.shed_share if team is not None else 0.0
    left = (backlog.shed_share - of_teams) / max(1 - of_teams, MIN_REMAINDER)
    if hash_fraction(f"{traits.id}/backlog") >= left:
        return None
    return None if has_deficit(pools, traits, now) else RefusalReason.BACKLOG


def _may_begin(
    pools: PoolTable,
    traits: RequestTraits,
    usable: list[UpstreamView],
    now: float,
    time_left_s: float,
) -> bool:
    """Return whether any engine can begin a request before its client leaves.

    By what must be prefilled at least, without any allowance: answers are known by
    their longest length only, so that more is not certain.
    """
    if time_left_s == math.inf:
        return True
    resolution, prompt = traits.resolution, traits.prompt
    model = pools.model(resolution.pool.id)
    for view in usable:
        uncached = prompt.prompt_tokens - view.prefixes.cached_tokens(prompt)
        pending = max(0, uncached) + view.load.pending_prefill_before(resolution.rank)
        speed = scale_model(model, view.slowness(now))
        if speed.prefill_s(pending) + speed.decode_step_s <= time_left_s:
            return True
    return False


def _retry_delay_s(
    pools: PoolTable,
    traits: RequestTraits,
    choice: Choice,
    backlog: Backlog,
    now: float,
    time_left_s: float,
) -> float:
    """Return the delay of the retry of a refused request, in seconds.

    Room is expected when the pool has prefilled what is pending and, at the rate at
    which it admits work, what was refused recently and comes back.
    """
    resolution = traits.resolution
    ledger = pools.ledger(resolution.pool.id)
    refused_s = ledger.refused_work_s(resolution.rank, now)
    model = pools.model(resolution.pool.id)
    answer_s = model.decode_step_s * traits.prompt.max_output_tokens / 2
    needed_s = choice.own_prefill_s + answer_s
    return retry_delay_s(
        backlog.mean_wait_s + refused_s, traits.id, time_left_s, needed_s
    )


def _tier_balance(
    pools: PoolTable, traits: RequestTraits, usable: list[UpstreamView], now: float
) -> TierBalance:
    resolution = traits.resolution
    ledger, rank = pools.ledger(resolution.pool.id), resolution.rank
    return TierBalance(
        admitted_below=ledger.admitted_below(rank, now),
        refused=ledger.refused(rank, now),
        refused_above=ledger.refused(rank - 1, now),
        waiting_below=sum(view.load.pending_prefill_after(rank) for view in usable),
    )


def record_decision(
    pools: PoolTable,
    traits: RequestTraits,
    is_admitted: bool,
    now: float,
    choice: Choice | None = None,
) -> Admission | None:
    """Record that a prompt was admitted, or refused for overload.

    Parameters
    ----------
    pools, traits, now
        As in `find_overload`.
    is_admitted
        Whether it was admitted.
    choice
        Upstream that it would be sent to, None if there is none.

    Returns
    -------
    Admission or None
        The entry of an admitted prompt in the ledger, in which its end is recorded.
    """
    if traits.prompt is None:
        return None
    resolution = traits.resolution
    if choice is not None:
        record_team_demand(pools, traits, choice, now)
    ledger, tokens = pools.ledger(resolution.pool.id), traits.prompt.prompt_tokens
    if is_admitted:
        return ledger.record_admitted(resolution.rank, tokens)
    ledger.record_refused(resolution.rank, tokens, now)
    return None


def _refusal_reason(
    pools: PoolTable,
    traits: RequestTraits,
    choice: Choice,
    usable: list[UpstreamView],
    now: float,
    backlog: Backlog | None,
) -> RefusalReason | None:
    """Return why a request is refused at its chosen engine, or None to admit it."""
    if exceeds_team_share(pools, traits, choice, usable, now, backlog):
        return RefusalReason.TEAM_SHARE
    is_pool_loaded = is_loaded(usable, now) or (backlog is not None and backlog.is_high)
    if traits.resolution.urgent:
        return _yield_reason(pools, traits, is_pool_loaded, now)
    wait_s = expected_s(pools, traits, choice)
    target_s = traits.resolution.route.target_s
    # Without a queue a prompt would only be refused for its own prefill.
    has_no_queue = choice.wait_s <= choice.own_prefill_s and not choice.oldest_wait_s
    has_time = not is_queueing_late(wait_s, choice.own_prefill_s, target_s)
    if backlog is not None and not is_loaded(usable, now):
        has_time = not is_late_by_others(wait_s, choice.own_prefill_s, target_s)
    if has_no_queue or not is_pool_loaded or has_time:
        return _yield_reason(pools, traits, is_pool_loaded, now)
    if choice.slot_utilization >= 1 or is_hopeless(wait_s, target_s):
        return RefusalReason.LATE
    # With a deficit less urgent ranks yield before this one.
    return None if has_deficit(pools, traits, now) else RefusalReason.LATE


def _yield_reason(
    pools: PoolTable, traits: RequestTraits, is_pool_loaded: bool, now: float
) -> RefusalReason | None:
    """Return YIELDS if a request yields to more urgent ones that were refused."""
    resolution = traits.resolution
    pool, rank = resolution.pool.id, resolution.rank
    if not is_pool_loaded and not pools.is_limited(pool, traits.permitted):
        return None
    ledger, tokens = pools.ledger(pool), traits.prompt.prompt_tokens
    return RefusalReason.YIELDS if ledger.should_defer(rank, tokens, now) else None


def has_deficit(pools: PoolTable, traits: RequestTraits, now: float) -> bool:
    """Return whether less urgent requests were admitted recently in place of this."""
    resolution = traits.resolution
    ledger = pools.ledger(resolution.pool.id)
    return ledger.has_deficit(resolution.rank, traits.prompt.prompt_tokens, now)
