"""Prompts, pools and choices that several tests of pools share."""

from buckthornwall.engine_model import EngineModel
from buckthornwall.pools import (
    PlacementRequest,
    UpstreamEntry,
    UpstreamState,
    choose_engine,
)
from buckthornwall.routing import (
    PoolId,
    PromptPart,
    PromptShape,
)
from buckthornwall.utils import (
    ModelId,
    UpstreamId,
    ZoneId,
)

POOL = PoolId("drafts")
ZONE = ZoneId("z")


def prompt(shared="s", own="o", shared_tokens=4000, own_tokens=1000):
    parts = (PromptPart(shared, shared_tokens), PromptPart(own, own_tokens))
    return PromptShape(ModelId("m"), shared_tokens + own_tokens, 100, parts)


def adopt(table, name, slots=4):
    entry = UpstreamEntry(
        UpstreamId(name), POOL, "10.0.0.1:80", ZONE, slots, UpstreamState.READY
    )
    table.adopt(entry)


def choose(table, clock, shape, rank=5, free_s=0.0):
    views = table.usable(POOL, set())
    return choose_engine(views, wanted(shape, rank, free_s), clock.now())


def wanted(shape, rank=5, free_s=0.0, key="r", **more):
    return PlacementRequest(shape, rank, ZONE, free_s, 1.0, key, EngineModel(), **more)
