"""Tests of pause-sensitive streams, and of the engines reserved for them."""

import pytest

from buckthornwall.engine_model import EngineModel
from buckthornwall.pools import (
    PoolTable,
    choose_engine,
    is_pause_sensitive,
)
from buckthornwall.pools.load import PeerLoad
from buckthornwall.pools.reserved import ReservedEngines
from buckthornwall.routing import (
    EngineSpec,
    Pool,
    PoolShare,
    PromptShape,
    RequestRoute,
    ResponseMode,
)
from buckthornwall.utils import (
    ModelId,
    RouteId,
)

from .helpers import POOL, adopt, choose, placement_request, prompt


def pause_sensitive_route(max_pause_s=0.12):
    return RequestRoute(
        id=RouteId("r"),
        host="h",
        path_prefix="/",
        shares=(PoolShare(POOL, 1.0),),
        response_mode=ResponseMode.EVENT_STREAM,
        retryable=False,
        resumable=False,
        timeout_s=9.0,
        target_s=0.25,
        max_pause_s=max_pause_s,
        max_runs=1,
        tier=0,
        needs_key=False,
    )


def prompt_shape(tokens: int, max_output_tokens: int) -> PromptShape:
    return PromptShape(ModelId("m"), tokens, max_output_tokens)


def model_with_prefill_step(step_s: float) -> EngineModel:
    """Return a model of engines whose prefill steps take `step_s`."""
    model = EngineModel()
    for _ in range(500):
        model.record_gap(0.004, 1, is_decode_only=True)
        model.record_gap(step_s, 1, is_decode_only=False)
    return model


@pytest.mark.parametrize(
    ("tokens_per_event", "max_pause_s", "expected"),
    [(4, 0.12, True), (3, 0.13, True), (3, 0.14, False), (4, 0.5, False)],
)
def test_stream_is_pause_sensitive_if_prefill_breaks_its_pause_limit(
    tokens_per_event, max_pause_s, expected
):
    pool = Pool(POOL, "/", 10, EngineSpec(32, 100_000, tokens_per_event))
    shape = prompt_shape(500, 90)
    assert (
        is_pause_sensitive(
            pause_sensitive_route(max_pause_s), pool, shape, EngineModel()
        )
        is expected
    )


def test_prefill_heavy_stream_is_not_pause_sensitive():
    """Its own prefill would cause pauses on reserved engines."""
    pool = Pool(POOL, "/", 10, EngineSpec(32, 100_000, 4))
    assert is_pause_sensitive(
        pause_sensitive_route(0.12), pool, prompt_shape(800, 90), EngineModel()
    )
    assert not is_pause_sensitive(
        pause_sensitive_route(0.12), pool, prompt_shape(900, 90), EngineModel()
    )


@pytest.mark.parametrize("speed", [0.5, 1.0, 2.0])
def test_pause_sensitivity_depends_on_engine_speed(speed):
    """Four tokens of 45 or 90 ms exceed a pause of 0.2 s; four of 22 ms do not."""
    pool = Pool(POOL, "/", 10, EngineSpec(32, 100_000, 4))
    model = model_with_prefill_step(0.045 / speed)
    pause_s = 0.2
    pause_sensitive = is_pause_sensitive(
        pause_sensitive_route(pause_s), pool, prompt_shape(500, 60), model
    )
    assert pause_sensitive is (speed <= 1.0)


@pytest.mark.parametrize(
    ("tokens", "max_output_tokens", "expected"),
    [(500, 400, True), (500, 300, False), (4500, 400, False)],
)
def test_stream_is_pause_sensitive_if_its_response_would_exceed_its_timeout(
    tokens, max_output_tokens, expected
):
    """The timeout is 9 s; a stream with a long prompt is never pause-sensitive."""
    pool = Pool(POOL, "/", 10, EngineSpec(32, 100_000, 1))
    shape = prompt_shape(tokens, max_output_tokens)
    assert (
        is_pause_sensitive(pause_sensitive_route(0.5), pool, shape, EngineModel())
        is expected
    )


def test_reserved_engines_grow_with_demand_and_shrink_slowly(clock):
    table = PoolTable(clock)
    for number in range(12):
        adopt(table, f"e{number}", 10)
    views = list(table.members(POOL))
    reserved_engines = table.reserved_engines(POOL)
    split = reserved_engines.split(views, clock.now())
    assert (len(split.reserved), len(split.others)) == (0, 12)
    views[3].load.pause_sensitive = 12  # beside long prompts, where they take longer
    split = reserved_engines.split(views, clock.now())
    assert (len(split.reserved), len(split.others)) == (1, 11)
    views[3].load.pause_sensitive = 0
    split.reserved[0].load.pause_sensitive = 10
    grown = reserved_engines.split(views, clock.now())
    assert len(grown.reserved) == 3
    assert grown.reserved[0] is split.reserved[0]
    split.reserved[0].load.pause_sensitive = 500
    assert len(reserved_engines.split(views, clock.now()).reserved) == 4
    split.reserved[0].load.pause_sensitive = 0
    clock.time += 1
    assert len(reserved_engines.split(views, clock.now()).reserved) == 4
    clock.time += 60
    assert reserved_engines.split(views, clock.now()).reserved == []


def test_overflow_of_reserved_engines_goes_to_the_others(clock):
    """All streams went to the two engines of twelve last reported to have a free slot.

    There they waited behind 40,000 to 80,000 pending prefill tokens of such streams:
    their first events came after 1.19 s, against 0.15 s on engines not reserved.
    """
    table = PoolTable(clock)
    for number in range(12):
        adopt(table, f"e{number}", 10)
    views = list(table.members(POOL))
    reserved_engines = table.reserved_engines(POOL)
    reserved = reserved_engines.split(
        views, clock.now(), pause_sensitive_route()
    ).reserved
    assert reserved_engines.split(views, clock.now()).overflow == 0
    reserved[0].load.pause_sensitive = 32
    split = reserved_engines.split(views, clock.now())
    assert (len(split.reserved), split.overflow) == (4, 0.5)
    for view in split.reserved[1:]:
        view.load.requests = 10
    keys = [str(number) for number in range(400)]
    everywhere = sum(
        len(split.eligible_engines(key, clock.now())) == 12 for key in keys
    )
    assert 150 < everywhere < 250


def test_first_pause_sensitive_stream_gets_a_reserved_engine(table, clock):
    """Without one, streams of the first second run for 8 s beside uncached prompts."""
    views = list(table.members(POOL))
    assert (
        len(
            table.reserved_engines(POOL)
            .split(views, clock.now(), pause_sensitive_route())
            .reserved
        )
        == 1
    )


@pytest.fixture
def reserved(table, clock):
    """Return a reserved engine, and the fields of a request for such a pool."""
    view = choose(table, clock, prompt()).view
    table.receive_cached_prefixes({view.id: [("s", 4000)]})
    view.load.pause_sensitive = 3
    more = {
        "reserved": frozenset({view.id}),
        "tokens_per_event": 4,
        "max_pause_s": 0.12,
        "discounted_wait_s": 0.4,
    }
    return view, more


def test_prompt_that_breaks_pause_limit_avoids_reserved_engine(table, clock, reserved):
    view, more = reserved
    views = table.usable(POOL, set())
    long = prompt(own_tokens=9000)
    assert (
        choose_engine(views, placement_request(long, **more), clock.now()).view
        is not view
    )
    more["max_pause_s"] = 0.5  # four steps of 35 ms are within it
    assert (
        choose_engine(views, placement_request(long, **more), clock.now()).view is view
    )


def test_short_prompt_avoids_reserved_engine_with_pending_prefill(
    table, clock, reserved
):
    view, more = reserved
    views = table.usable(POOL, set())
    short = prompt(own_tokens=1000)
    assert (
        choose_engine(views, placement_request(short, **more), clock.now()).view is view
    )
    view.load.add_pending_prefill(5, 6_000)
    assert (
        choose_engine(views, placement_request(short, **more), clock.now()).view
        is not view
    )


def test_reserved_engine_is_used_if_all_others_are_loaded(table, clock, reserved):
    view, more = reserved
    views = table.usable(POOL, set())
    for other in views:
        if other is not view:
            other.load.add_pending_prefill(5, 150_000)
    long = prompt(own_tokens=9000)
    assert (
        choose_engine(views, placement_request(long, **more), clock.now()).view is view
    )


def test_small_pool_has_no_reserved_engines(table, clock):
    views = list(table.members(POOL))[:2]
    views[0].load.pause_sensitive = 9
    assert table.reserved_engines(POOL).split(views, clock.now()).reserved == []


def test_hash_order_is_recomputed_when_an_engine_is_gone(table):
    reserved_engines = table.reserved_engines(POOL)
    views = list(table.members(POOL))
    first = reserved_engines.split(views, 0.0).others
    fewer = [view for view in views if view is not first[0]]
    assert reserved_engines.split(fewer, 0.0).others == first[1:]
    assert reserved_engines.split(views, 0.0).others == first


def stream_views(clock, slownesses):
    """Return engines of 40 slots, each with two streams, of these relative speeds."""
    table = PoolTable(clock)
    for number, slowness in enumerate(slownesses):
        adopt(table, f"e{number}", 40)
        view = table.views[f"e{number}"]
        view.speed.slowness = slowness
        view.load.peers = PeerLoad(requests=2, pause_sensitive=2)
    return list(table.members(POOL))


def test_fast_engines_reserved_first_left_others_too_little(clock):
    """A third of the engines, the fastest, is half of what the pool can do."""
    slownesses = [0.6] * 15 + [1.0] * 15 + [1.7] * 15
    views = stream_views(clock, slownesses)
    reserved = ReservedEngines(POOL, model_with_prefill_step(0.04))
    for _ in range(3):
        split = reserved.split(views, clock.now(), pool_views=views)
        clock.time += 0.2
    speeds = {view.id: 1 / view.speed.slowness for view in views}
    taken = sum(speeds[view.id] for view in split.reserved)
    assert all(view.speed.slowness == 0.6 for view in split.reserved)
    assert taken <= sum(speeds.values()) / 3


def test_alike_engines_are_reserved_by_their_number(clock):
    views = stream_views(clock, [1.0] * 45)
    reserved = ReservedEngines(POOL, model_with_prefill_step(0.04))
    for _ in range(3):
        split = reserved.split(views, clock.now(), pool_views=views)
        clock.time += 0.2
    assert 1 <= len(split.reserved) <= 15
