"""Prompts, pools and choices shared by tests of pools."""

from buckthornwall.engine_model import EngineModel
from buckthornwall.pools import (
    PlacementRequest,
    RequestTraits,
    UpstreamEntry,
    UpstreamState,
    choose_engine,
)
from buckthornwall.routing import (
    EngineSpec,
    Pool,
    PoolId,
    PoolShare,
    PromptSegment,
    PromptShape,
    RequestRoute,
    Resolution,
    ResponseMode,
)
from buckthornwall.utils import (
    ModelId,
    RouteId,
    TeamId,
    UpstreamId,
    ZoneId,
)

POOL = PoolId("drafts")
ZONE = ZoneId("z")


def prompt(shared="s", own="o", shared_tokens=4000, own_tokens=1000):
    segments = (PromptSegment(shared, shared_tokens), PromptSegment(own, own_tokens))
    return PromptShape(ModelId("m"), shared_tokens + own_tokens, 100, segments)


def adopt(table, name, slots=4):
    entry = UpstreamEntry(
        UpstreamId(name), POOL, "10.0.0.1:80", ZONE, slots, UpstreamState.READY
    )
    table.adopt(entry)


def choose(table, clock, shape, rank=5, discounted_wait_s=0.0):
    views = table.usable(POOL, set())
    return choose_engine(
        views, placement_request(shape, rank, discounted_wait_s), clock.now()
    )


def placement_request(shape, rank=5, discounted_wait_s=0.0, key="r", **more):
    return PlacementRequest(
        shape, rank, ZONE, discounted_wait_s, 1.0, key, EngineModel(), **more
    )


def traits(shape, tier=1, target_s=0.6, pause_sensitive=False, team_tier=1):
    """Return the traits of a stream, of an ordinary team if not stated otherwise."""
    route = RequestRoute(
        id=RouteId(f"tier-{tier}"),
        host="h",
        path_prefix=f"/{tier}/",
        shares=(PoolShare(POOL, 1.0),),
        response_mode=ResponseMode.EVENT_STREAM,
        retryable=False,
        resumable=False,
        timeout_s=5.0,
        target_s=target_s,
        max_pause_s=0.4,
        max_runs=1,
        tier=tier,
        needs_key=False,
    )
    pool = Pool(POOL, "/", 10, EngineSpec(4, 300_000, 5))
    resolution = Resolution(route, pool, TeamId("t"), team_tier, 1)
    return RequestTraits("r", shape, resolution, pause_sensitive)
