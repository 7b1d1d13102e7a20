"""What becomes of a request: where it goes, or when it is to come back.

Pure: what is known of a pool and the time in, a decision out. Whoever sends requests
(`buckthornwall.forwarding`) and whoever simulates them asks here.
"""

from dataclasses import dataclass

from buckthornwall.routing import PromptShape, Resolution, RoutedRequest
from buckthornwall.utils import UpstreamId, ZoneId

from .overload import (
    is_hopeless,
    is_late,
    is_loaded,
    is_overloaded,
    retry_after_s,
)
from .placement import (
    FREE_TARGET_SHARE,
    Choice,
    PlacementRequest,
    choose_engine,
    choose_service,
)
from .quiet import Split, is_tight
from .table import PoolTable
from .view import UpstreamView

__all__ = [
    "Overload",
    "RequestTraits",
    "choose_upstream",
    "expected_s",
    "find_overload",
    "note_decision",
]


@dataclass(frozen=True, slots=True)
class RequestTraits:
    """What decisions know of a request.

    `prompt` is None for a plain service. `tight` tells that it is a stream which
    cannot be kept beside the reading of long prompts.
    """

    id: str
    prompt: PromptShape | None
    resolution: Resolution
    tight: bool

    @classmethod
    def of(
        cls, request: RoutedRequest, resolution: Resolution, pools: PoolTable
    ) -> "RequestTraits":
        """Return the traits of a request whose route and pool are known."""
        pool = resolution.pool
        model = pools.model(pool.id)
        tight = is_tight(resolution.route, pool, request.prompt, model)
        return cls(request.id, request.prompt, resolution, tight)


def choose_upstream(
    pools: PoolTable,
    traits: RequestTraits,
    tried: frozenset[UpstreamId] | set[UpstreamId],
    zone: ZoneId,
    now: float,
) -> Choice | None:
    """Return who should take a request, or None without anybody.

    Parameters
    ----------
    pools
        What is known of upstreams.
    traits
        The request.
    tried
        Upstreams that it was offered to already.
    zone
        The zone of this instance.
    now
        The time in seconds.
    """
    pool = traits.resolution.pool
    views = pools.usable(pool.id, tried)
    if traits.prompt is None:
        return choose_service(views, zone, now)
    route = traits.resolution.route
    split = pools.quiet(pool.id).split(views, now, route if traits.tight else None)
    wanted = _wanted(pools, traits, split, zone)
    compared = split.open_to(traits.id, now) if traits.tight else views
    choice = choose_engine(compared, wanted, now)
    if choice is None or not _is_owed_another(pools, traits, choice, now):
        return choice
    in_time = _in_time(pools, traits, split, now)
    return choose_engine(in_time, wanted, now, holders=views) or choice


def _wanted(
    pools: PoolTable, traits: RequestTraits, split: Split, zone: ZoneId
) -> PlacementRequest:
    """Return how a prompt is to be placed."""
    resolution = traits.resolution
    pool, rank, target_s = resolution.pool, resolution.rank, resolution.route.target_s
    return PlacementRequest(
        prompt=traits.prompt,
        rank=rank,
        zone=zone,
        free_wait_s=FREE_TARGET_SHARE * target_s / _factor(pools, traits),
        target_s=target_s,
        spread_key=traits.id,
        model=pools.model(pool.id),
        kept=frozenset() if traits.tight else split.kept_ids,
        tokens_per_event=pool.engine.tokens_per_event,
        most_pause_s=pools.quiet(pool.id).most_pause_s,
    )


def _is_owed_another(
    pools: PoolTable, traits: RequestTraits, choice: Choice, now: float
) -> bool:
    """Tell whether a late request is to be compared at all engines.

    Only what is more urgent than others that were let in: with all that is late spread
    over all engines, no room was left for what is least urgent.
    """
    if traits.tight:
        return False
    target_s = traits.resolution.route.target_s
    wait_s = expected_s(pools, traits, choice)
    return is_late(wait_s, target_s) and _is_owed(pools, traits, now)


def _is_owed(pools: PoolTable, traits: RequestTraits, now: float) -> bool:
    """Tell whether less urgent requests were let in lately in place of this one."""
    resolution = traits.resolution
    ledger = pools.ledger(resolution.pool.id)
    return ledger.is_owed(resolution.rank, traits.prompt.prompt_tokens, now)


def _in_time(
    pools: PoolTable, traits: RequestTraits, split: Split, now: float
) -> list[UpstreamView]:
    """Return the engines at which a request is expected to begin in time."""
    target_s = traits.resolution.route.target_s
    return [
        view
        for view in split.others
        if view.load.in_flight(now) < view.entry.slots
        and not is_late(_expected_at_s(pools, traits, view, now), target_s)
    ]


@dataclass(frozen=True, slots=True)
class Overload:
    """Why a request is refused, and when it is to come back; all in seconds.

    `expected_s` is when its first token is expected at the engine chosen, `counted_s`
    the same by the counts alone, `own_s` the reading of its own prompt, and `oldest_s`
    how long the oldest request before it has waited. `least_s` is what is expected at
    the engine of the pool where it is least.
    """

    expected_s: float
    counted_s: float
    own_s: float
    oldest_s: float
    target_s: float
    least_s: float
    retry_after_s: float


def expected_s(pools: PoolTable, traits: RequestTraits, choice: Choice) -> float:
    """Return how long the first token is expected to take, in seconds.

    Not less than the oldest request before it has waited: in overload the counts
    alone let expect a fraction of it.
    """
    return max(_counted_s(pools, traits, choice), choice.oldest_s)


def _counted_s(pools: PoolTable, traits: RequestTraits, choice: Choice) -> float:
    return choice.wait_s * _factor(pools, traits)


def _factor(pools: PoolTable, traits: RequestTraits) -> float:
    """Return what a wait by the counts is multiplied by for a request."""
    resolution = traits.resolution
    return pools.pace(resolution.pool.id).factor(resolution.rank)


def find_overload(
    pools: PoolTable, traits: RequestTraits, choice: Choice, now: float
) -> Overload | None:
    """Return why a request is refused at once, or None to take it.

    Parameters
    ----------
    pools
        What is known of upstreams.
    traits
        The request; one with nothing more urgent than it is always taken.
    choice
        Where it would go.
    now
        The time in seconds.
    """
    resolution = traits.resolution
    if traits.prompt is None or resolution.urgent:
        return None
    wait_s = expected_s(pools, traits, choice)
    target_s = resolution.route.target_s
    usable = pools.usable(resolution.pool.id, frozenset())
    if not _is_refused(pools, traits, choice, now):
        return None
    return Overload(
        expected_s=wait_s,
        counted_s=_counted_s(pools, traits, choice),
        own_s=choice.own_s,
        oldest_s=choice.oldest_s,
        target_s=target_s,
        least_s=min(_expected_at_s(pools, traits, view, now) for view in usable),
        retry_after_s=retry_after_s(wait_s),
    )


def note_decision(
    pools: PoolTable, traits: RequestTraits, is_let_in: bool, now: float
) -> None:
    """Take it that a prompt was let in, or refused for overload."""
    if traits.prompt is None:
        return
    resolution = traits.resolution
    ledger = pools.ledger(resolution.pool.id)
    note = ledger.note_let_in if is_let_in else ledger.note_refused
    note(resolution.rank, traits.prompt.prompt_tokens, now)


def _is_refused(
    pools: PoolTable, traits: RequestTraits, choice: Choice, now: float
) -> bool:
    """Tell whether a request that is not urgent is refused where it would go."""
    resolution = traits.resolution
    wait_s = expected_s(pools, traits, choice)
    target_s = resolution.route.target_s
    usable = pools.usable(resolution.pool.id, frozenset())
    # With nothing before it a prompt would only be refused for its own length.
    is_alone = choice.wait_s <= choice.own_s and not choice.oldest_s
    if is_alone or not is_overloaded(wait_s, choice.own_s, target_s, usable, now):
        return is_loaded(usable, now) and _is_to_yield(pools, traits, now)
    if choice.busy_share >= 1 or is_hopeless(wait_s, target_s):
        return True
    return not _is_owed(pools, traits, now)


def _is_to_yield(pools: PoolTable, traits: RequestTraits, now: float) -> bool:
    """Tell whether more urgent requests were refused lately, and this one is let in."""
    resolution = traits.resolution
    ledger = pools.ledger(resolution.pool.id)
    return ledger.is_to_yield(resolution.rank, traits.prompt.prompt_tokens, now)


def _expected_at_s(
    pools: PoolTable, traits: RequestTraits, view: UpstreamView, now: float
) -> float:
    """Return how long the first token is expected to take at an engine."""
    resolution = traits.resolution
    fresh = max(0, traits.prompt.prompt_tokens - view.prefixes.held(traits.prompt))
    unread = fresh + view.load.unread_before(resolution.rank)
    counted_s = pools.model(resolution.pool.id).read_s(unread)
    factor = _factor(pools, traits)
    return max(counted_s * factor, view.load.oldest_before_s(resolution.rank, now))
