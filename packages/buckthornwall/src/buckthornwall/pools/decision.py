"""Decide which upstream a request is sent to.

A pure function of the state of a pool and the time, shared by the forwarder
(`buckthornwall.forwarding`) and the simulations.
"""

from buckthornwall.utils import UpstreamId, ZoneId

from .expectation import calibration_factor, expected_on_engine_s, expected_s
from .overload import is_hopeless, is_late
from .owned_prefill import has_owners, long_prompt_engines
from .permitted import ANY_UPSTREAM
from .placement import (
    DISCOUNTED_TARGET_SHARE,
    Choice,
    PlacementRequest,
    choose_engine,
    choose_service,
)
from .refusal import has_deficit
from .reserved import Split
from .table import PoolTable
from .traits import RequestTraits
from .view import UpstreamView

__all__ = ["choose_upstream"]

# A request that would be refused at its choice goes to engines where its first token is
# expected within this many targets. Estimates of much longer waits are often too short.
DIVERSION_TARGETS = 1.5


def choose_upstream(
    pools: PoolTable,
    traits: RequestTraits,
    tried: frozenset[UpstreamId] | set[UpstreamId],
    zone: ZoneId,
    now: float,
) -> Choice | None:
    """Return the upstream for a request, or None if there is none.

    Parameters
    ----------
    pools
        State of all upstreams.
    traits
        The request.
    tried
        Upstreams that it was sent to already.
    zone
        The zone of this instance.
    now
        The time in seconds.
    """
    pool = traits.resolution.pool
    views = pools.usable(pool.id, tried, traits.permitted)
    if traits.prompt is None:
        return choose_service(views, zone, now)
    route = traits.resolution.route
    # Rate-limited engines are avoided for pause-sensitive streams, if there are others.
    unlimited = [view for view in views if not view.rate_limit.is_limited(now)] or views
    is_owned = has_owners(pools, pool.id)
    split = pools.reserved_engines(pool.id).split(
        unlimited,
        now,
        route if traits.pause_sensitive else None,
        _pool_views(pools, traits, tried, views) if is_owned else (),
    )
    request = _placement_request(pools, traits, split, zone)
    sources = None
    if traits.pause_sensitive:
        eligible = split.eligible_engines(traits.id, now)
    elif is_owned and split.reserved:
        eligible = long_prompt_engines(pools, traits, views, split, now)
        sources = views
    else:
        eligible = views
    choice = choose_engine(eligible, request, now, sources)
    if choice is None or not _should_spread(pools, traits, choice, now):
        return choice
    preferred = _preferred_engines(pools, traits, choice, split, now)
    return choose_engine(preferred, request, now, copy_sources=views) or choice


def _pool_views(
    pools: PoolTable,
    traits: RequestTraits,
    tried: frozenset[UpstreamId] | set[UpstreamId],
    views: list[UpstreamView],
) -> list[UpstreamView]:
    """Return all usable upstreams of a pool, given those that a request may go to."""
    if not tried and traits.permitted is ANY_UPSTREAM:
        return views
    return pools.usable(traits.resolution.pool.id, frozenset())


def _placement_request(
    pools: PoolTable, traits: RequestTraits, split: Split, zone: ZoneId
) -> PlacementRequest:
    """Return the input of placement for a prompt."""
    resolution = traits.resolution
    pool, rank, target_s = resolution.pool, resolution.rank, resolution.route.target_s
    return PlacementRequest(
        prompt=traits.prompt,
        rank=rank,
        zone=zone,
        discounted_wait_s=DISCOUNTED_TARGET_SHARE
        * target_s
        / calibration_factor(pools, traits),
        target_s=target_s,
        sampling_key=traits.id,
        model=pools.model(pool.id),
        reserved=frozenset() if traits.pause_sensitive else split.reserved_ids,
        tokens_per_event=pool.engine.tokens_per_event,
        max_pause_s=pools.reserved_engines(pool.id).max_pause_s,
    )


def _should_spread(
    pools: PoolTable, traits: RequestTraits, choice: Choice, now: float
) -> bool:
    """Return whether a late request is compared at all engines.

    Only if less urgent requests were admitted in its place: with every late request
    spread over all engines, no capacity is left for the least urgent ones.
    """
    if traits.pause_sensitive:
        return False
    target_s = traits.resolution.route.target_s
    wait_s = expected_s(pools, traits, choice)
    return is_late(wait_s, target_s) and has_deficit(pools, traits, now)


def _preferred_engines(
    pools: PoolTable, traits: RequestTraits, choice: Choice, split: Split, now: float
) -> list[UpstreamView]:
    """Return the unreserved engines that are better for a late request than its choice.

    Those where the first token is expected in time. If there are none and the choice is
    hopeless, those that are clearly better: the few engines that are compared for a
    prompt may all be slow by chance, and the request would be refused.
    """
    target_s = traits.resolution.route.target_s
    waits = [
        (view, expected_on_engine_s(pools, traits, view, now))
        for view in split.others
        if view.load.in_flight(now) < view.entry.slots
    ]
    on_time = [view for view, wait_s in waits if not is_late(wait_s, target_s)]
    if on_time or not is_hopeless(expected_s(pools, traits, choice), target_s):
        return on_time
    limit_s = DIVERSION_TARGETS * target_s
    return [view for view, wait_s in waits if wait_s <= limit_s]
