"""Engines that a long prompt may go to where reserved engines have owners."""

from buckthornwall.engine_model import scale_model
from buckthornwall.routing import PoolId
from buckthornwall.utils import UpstreamId

from .prefill_owners import PrefillBudget
from .reserved import Split
from .table import PoolTable
from .traits import RequestTraits
from .view import UpstreamView

__all__ = ["has_owners", "long_prompt_engines", "owned_ids", "reserved_ids"]


def has_owners(pools: PoolTable, pool: PoolId) -> bool:
    """Return whether the reserved engines of a pool have owners."""
    if not pools.settings.prefill_owners:
        return False
    if not pools.prefill_owners.are_needed(len(pools.members(pool))):
        return False
    reserved = pools.reserved_engines(pool)
    return PrefillBudget.holds_prompts(
        pools.model(pool), reserved.tokens_per_event, reserved.min_pause_s
    )


def reserved_ids(pools: PoolTable) -> set[UpstreamId]:
    """Return the engines of all pools that are reserved now."""
    names = {view.entry.pool for view in pools.views.values()}
    return {name for pool in names for name in pools.reserved_engines(pool).ids}


def owned_ids(pools: PoolTable) -> set[UpstreamId]:
    """Return the reserved engines that this instance owns."""
    return {
        name
        for name in reserved_ids(pools)
        if (view := pools.views.get(name)) is not None
        and has_owners(pools, view.entry.pool)
        and pools.prefill_owners.is_owner(name)
    }


def long_prompt_engines(
    pools: PoolTable,
    traits: RequestTraits,
    views: list[UpstreamView],
    split: Split,
    now: float,
) -> list[UpstreamView]:
    """Return the engines that a prompt may go to, unless it is a stream's they are for.

    All but the reserved ones, of which those remain that this instance owns and whose
    budget allows the prompt. If all engines left are reserved, any may be used.

    Parameters
    ----------
    pools
        State of all upstreams.
    traits
        The request.
    views
        Engines that are usable.
    split
        Which of them are reserved.
    now
        The time in seconds.
    """
    if not split.others:
        return views
    closed = {
        view.id
        for view in split.reserved
        if not (
            pools.prefill_owners.is_owner(view.id)
            and _has_budget(pools, traits, view, now)
        )
    }
    return [view for view in views if view.id not in closed]


def _has_budget(
    pools: PoolTable, traits: RequestTraits, view: UpstreamView, now: float
) -> bool:
    """Return whether a reserved engine may prefill a prompt without a long pause."""
    pool, prompt, load = traits.resolution.pool, traits.prompt, view.load
    budget = PrefillBudget.of(
        scale_model(pools.model(pool.id), view.slowness(now)),
        pool.engine.tokens_per_event,
        pools.reserved_engines(pool.id).min_pause_s,
    )
    uncached = max(0, prompt.prompt_tokens - view.prefixes.cached_tokens(prompt))
    pending = load.total_pending_prefill()
    return budget.allows(uncached, load.recent_prefill, pending, now)
