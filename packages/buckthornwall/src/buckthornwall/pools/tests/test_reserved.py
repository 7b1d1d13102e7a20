"""Tests of which streams must not pause, and of reserved engines for them."""

import pytest

from buckthornwall.engine_model import EngineModel
from buckthornwall.pools import (
    PoolTable,
    choose_engine,
    is_pause_sensitive,
)
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

from .helpers import POOL, adopt, choose, prompt, wanted


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


def prompt_of(tokens: int, longest_answer: int) -> PromptShape:
    return PromptShape(ModelId("m"), tokens, longest_answer)


def shown(step_s: float) -> EngineModel:
    """Return a model of engines whose steps beside reading take so long."""
    model = EngineModel()
    for _ in range(500):
        model.record_gap(0.004, 1, is_decode_only=True)
        model.record_gap(step_s, 1, is_decode_only=False)
    return model


@pytest.mark.parametrize(
    ("tokens_per_event", "max_pause_s", "expected"),
    [(4, 0.12, True), (3, 0.13, True), (3, 0.14, False), (4, 0.5, False)],
)
def test_a_stream_is_pause_sensitive_if_reading_beside_it_breaks_its_pauses(
    tokens_per_event, max_pause_s, expected
):
    pool = Pool(POOL, "/", 10, EngineSpec(32, 100_000, tokens_per_event))
    shape = prompt_of(500, 90)
    assert (
        is_pause_sensitive(
            pause_sensitive_route(max_pause_s), pool, shape, EngineModel()
        )
        is expected
    )


def test_a_stream_that_is_mostly_prompt_is_not_kept_with_those_that_must_not_pause():
    """It brings to such engines what they are reserved free of."""
    pool = Pool(POOL, "/", 10, EngineSpec(32, 100_000, 4))
    assert is_pause_sensitive(
        pause_sensitive_route(0.12), pool, prompt_of(800, 90), EngineModel()
    )
    assert not is_pause_sensitive(
        pause_sensitive_route(0.12), pool, prompt_of(900, 90), EngineModel()
    )


@pytest.mark.parametrize("speed", [0.5, 1.0, 2.0])
def test_engines_of_other_speeds_make_other_streams_pause_sensitive(speed):
    """Four tokens of 45 ms break a pause of 0.2 s; four of 22 do not, of 90 by far."""
    pool = Pool(POOL, "/", 10, EngineSpec(32, 100_000, 4))
    model = shown(0.045 / speed)
    pause_s = 0.2
    pause_sensitive = is_pause_sensitive(
        pause_sensitive_route(pause_s), pool, prompt_of(500, 60), model
    )
    assert pause_sensitive is (speed <= 1.0)


@pytest.mark.parametrize(
    ("tokens", "longest_answer", "expected"),
    [(500, 400, True), (500, 300, False), (4500, 400, False)],
)
def test_a_stream_is_pause_sensitive_if_its_answer_would_outlast_its_timeout(
    tokens, longest_answer, expected
):
    """The route gives 9 s; a stream that brings a long prompt is none of these."""
    pool = Pool(POOL, "/", 10, EngineSpec(32, 100_000, 1))
    shape = prompt_of(tokens, longest_answer)
    assert (
        is_pause_sensitive(pause_sensitive_route(0.5), pool, shape, EngineModel())
        is expected
    )


def test_quiet_engines_grow_with_their_streams_and_shrink_slowly(clock):
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


def test_streams_overflow_where_the_engines_kept_have_no_room(clock):
    """Two engines of a dozen were told to have a free slot, and got all that came.

    With 40,000 to 80,000 pending prefill tokens of their own kind before them first
    events came after 1.19 s, where engines not reserved would have begun them in 0.15
    s.
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


def test_the_first_pause_sensitive_stream_of_all_finds_an_engine_kept_for_it(
    table, clock
):
    """Those of the first second ran for 8 s beside the first prompts of a day."""
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
    """Return an engine that runs pause-sensitive streams, and the request fields."""
    view = choose(table, clock, prompt()).view
    table.receive_cached_prefixes({view.id: [("s", 4000)]})
    view.load.pause_sensitive = 3
    more = {
        "reserved": frozenset({view.id}),
        "tokens_per_event": 4,
        "max_pause_s": 0.12,
        "free_s": 0.4,
    }
    return view, more


def test_a_prompt_that_stretches_pauses_too_far_goes_elsewhere(table, clock, reserved):
    view, more = reserved
    views = table.usable(POOL, set())
    long = prompt(own_tokens=9000)
    assert choose_engine(views, wanted(long, **more), clock.now()).view is not view
    more["max_pause_s"] = 0.5  # four steps of 35 ms are within it
    assert choose_engine(views, wanted(long, **more), clock.now()).view is view


def test_a_short_prompt_does_no_harm_until_more_waits_there(table, clock, reserved):
    view, more = reserved
    views = table.usable(POOL, set())
    short = prompt(own_tokens=1000)
    assert choose_engine(views, wanted(short, **more), clock.now()).view is view
    view.load.add_pending_prefill(5, 6_000)
    assert choose_engine(views, wanted(short, **more), clock.now()).view is not view


def test_a_reserved_engine_is_open_where_all_others_are_crowded(table, clock, reserved):
    view, more = reserved
    views = table.usable(POOL, set())
    for other in views:
        if other is not view:
            other.load.add_pending_prefill(5, 150_000)
    long = prompt(own_tokens=9000)
    assert choose_engine(views, wanted(long, **more), clock.now()).view is view


def test_a_pool_too_small_to_be_split_is_left_whole(table, clock):
    views = list(table.members(POOL))[:2]
    views[0].load.pause_sensitive = 9
    assert table.reserved_engines(POOL).split(views, clock.now()).reserved == []


def test_engines_are_ordered_anew_when_one_is_gone(table):
    reserved_engines = table.reserved_engines(POOL)
    views = list(table.members(POOL))
    first = reserved_engines.split(views, 0.0).others
    fewer = [view for view in views if view is not first[0]]
    assert reserved_engines.split(fewer, 0.0).others == first[1:]
    assert reserved_engines.split(views, 0.0).others == first
