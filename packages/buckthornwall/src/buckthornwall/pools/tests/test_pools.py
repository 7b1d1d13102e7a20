"""Tests of load, health, likely memory and the choice of an upstream."""

import pytest

from buckthornwall.engine_model import EngineModel
from buckthornwall.pools import (
    LoadReport,
    PlacementRequest,
    PoolTable,
    UpstreamEntry,
    UpstreamState,
    Verdict,
    choose_engine,
    choose_service,
    is_tight,
)
from buckthornwall.pools.health import Health
from buckthornwall.pools.load import PeerLoad
from buckthornwall.pools.overload import is_overloaded
from buckthornwall.pools.pace import Pace
from buckthornwall.pools.prefixes import PrefixMemory
from buckthornwall.routing import (
    AnswerForm,
    EngineTraits,
    Pool,
    PoolId,
    PoolShare,
    PromptPart,
    PromptShape,
    RequestRoute,
)
from buckthornwall.utils import (
    ModelId,
    RouteId,
    UpstreamId,
    ZoneId,
    rendezvous_order,
    rendezvous_winner,
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


@pytest.fixture
def table(clock):
    table = PoolTable(clock)
    for name in ("a", "b", "c"):
        adopt(table, name)
    return table


def choose(table, clock, shape, rank=5, free_s=0.0):
    views = table.usable(POOL, set())
    return choose_engine(views, wanted(shape, rank, free_s), clock.now())


def wanted(shape, rank=5, free_s=0.0, key="r", **more):
    return PlacementRequest(shape, rank, ZONE, free_s, 1.0, key, EngineModel(), **more)


def test_a_shared_part_has_one_home_without_a_message(table, clock):
    home = rendezvous_winner("s", ["a", "b", "c"])
    choice = choose(table, clock, prompt())
    assert choice.view.id == home
    assert choice.fresh_tokens == 5000
    table.hear_held({home: [("s", 4000)]})
    choice = choose(table, clock, prompt())
    assert choice.view.id == home
    assert choice.fresh_tokens == 1000


def test_a_part_that_nobody_is_known_to_have_read_is_counted_in_full(table, clock):
    """Taken to lie at its home, the first prompts of a day were counted as a fifth."""
    home = choose(table, clock, prompt()).view
    home.load.add_unread(5, 3_500)
    assert choose(table, clock, prompt()).view is not home
    table.hear_held({home.id: [("s", 4000)]})
    assert choose(table, clock, prompt()).view is home


def test_the_engine_that_holds_a_part_is_compared_wherever_it_stands(table, clock):
    for number in range(40):
        adopt(table, f"e{number}", 4)
    views = table.usable(POOL, set())
    homes = rendezvous_order("s", [view.id for view in views])
    holder = table.views[homes[-1]]
    holder.prefixes.hear([("s", 40_000)])
    assert choose(table, clock, prompt(shared_tokens=40_000)).view is holder


def test_what_is_missing_is_copied_from_who_holds_it(table, clock):
    home = choose(table, clock, prompt()).view
    table.hear_held({home.id: [("s", 4000)]})
    assert choose(table, clock, prompt()).copy_from == ""
    home.load.add_unread(5, 100_000)
    choice = choose(table, clock, prompt())
    assert choice.view is not home
    assert choice.copy_from == home.entry.address
    choice.view.prefixes.note(prompt())
    assert choose(table, clock, prompt()).copy_from == ""


def test_a_crowded_home_is_left(table, clock):
    home = choose(table, clock, prompt()).view
    home.load.add_unread(5, 100_000)
    assert choose(table, clock, prompt()).view is not home


def test_a_wait_well_within_the_target_keeps_a_prompt_at_home(table, clock):
    home = choose(table, clock, prompt()).view
    table.hear_held({home.id: [("s", 4000)]})
    home.load.add_unread(5, 7_000)
    assert choose(table, clock, prompt()).view is not home
    assert choose(table, clock, prompt(), free_s=0.2).view is home


def test_urgent_work_looks_past_what_is_read_after_it(table, clock):
    home = choose(table, clock, prompt()).view
    table.hear_held({home.id: [("s", 4000)]})
    home.load.add_unread(5, 20_000)
    assert choose(table, clock, prompt(), rank=0).view is home


def test_an_engine_without_memory_left_is_spared(table, clock):
    """It would preempt what runs there, urgent streams too."""
    home = choose(table, clock, prompt()).view
    home.prefixes.set_memory(100_000)
    home.load.memory = 50_000
    home.load.peers = PeerLoad(memory=44_000)
    assert choose(table, clock, prompt()).view is home
    home.load.peers = PeerLoad(memory=46_000)
    assert choose(table, clock, prompt()).view is not home


def test_an_engine_that_warms_up_is_spared_until_it_is_warm(table, clock):
    home = choose(table, clock, prompt()).view
    entry = home.entry
    table.adopt(
        UpstreamEntry(
            entry.id, POOL, entry.address, ZONE, 4, UpstreamState.READY, cold_s=3.0
        )
    )
    assert choose(table, clock, prompt()).view is not home
    clock.time += 3.0
    assert choose(table, clock, prompt()).view is home


def test_peers_work_counts(table, clock):
    home = choose(table, clock, prompt()).view
    home.load.peers = PeerLoad(3, {5: 100_000})
    assert choose(table, clock, prompt()).view is not home


def test_a_service_with_fewer_slots_in_use_is_taken(table, clock):
    for name, running in (("a", 3), ("b", 1), ("c", 2)):
        table.views[name].load.take_report(LoadReport(running, 0, 4), clock.now())
    views = table.usable(POOL, set())
    assert choose_service(views, ZONE, clock.now()).view.id == "b"


def test_an_old_report_gives_way_to_own_counts(table, clock):
    load = table.views["a"].load
    load.take_report(LoadReport(4, 9, 4), clock.now())
    assert load.in_flight(clock.now()) == 13
    clock.time += 5
    assert load.in_flight(clock.now()) == 0


def test_a_leaving_upstream_is_not_usable(table):
    entry = table.views["a"].entry
    table.adopt(
        UpstreamEntry(entry.id, POOL, entry.address, ZONE, 4, UpstreamState.LEAVING)
    )
    assert {view.id for view in table.usable(POOL, set())} == {"b", "c"}


def test_an_unreachable_upstream_is_set_aside_and_tried_again(table, clock):
    view = table.views["a"]
    table.note_end(view, Verdict.UNREACHABLE)
    assert view not in table.usable(POOL, set())
    clock.time += 1.0
    assert view in table.usable(POOL, set())
    view.health.note_sent(clock.now())
    assert view not in table.usable(POOL, set())
    table.note_end(view, Verdict.GOOD)
    assert view in table.usable(POOL, set())


def test_where_all_are_set_aside_all_count(table):
    for view in table.views.values():
        table.note_end(view, Verdict.UNREACHABLE)
    assert len(table.usable(POOL, set())) == 3


def test_who_fails_much_more_than_the_rest_is_set_aside():
    health = Health()
    for step in range(30):
        health.note(Verdict.FAILED if step % 2 else Verdict.GOOD, 0.05, step * 0.1)
        if health.aside:
            break
    assert health.aside


def test_who_fails_like_the_rest_is_not_set_aside():
    health = Health()
    for step in range(40):
        health.note(Verdict.FAILED if step % 2 else Verdict.GOOD, 0.5, step * 0.1)
    assert not health.aside


def test_an_engine_holds_what_was_read_as_far_as_its_memory_goes():
    memory = PrefixMemory(12_000)
    memory.note(prompt("s", "x"))
    assert memory.held(prompt("s", "y")) == 4000
    memory.note(prompt("t", "z"))
    assert memory.held(prompt("s", "y")) == 0


def test_a_pace_follows_what_is_seen():
    pace = Pace()
    for _ in range(200):
        pace.note(5, 0.1, 0.3)
    assert pace.factor(5) == pytest.approx(3.0, abs=0.1)


def tight_route(max_pause_s=0.12):
    return RequestRoute(
        id=RouteId("r"),
        host="h",
        path_prefix="/",
        shares=(PoolShare(POOL, 1.0),),
        form=AnswerForm.EVENTS,
        repeatable=False,
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
        model.note_gap(0.004, 1, was_idle=True)
        model.note_gap(step_s, 1, was_idle=False)
    return model


@pytest.mark.parametrize(
    ("tokens_per_event", "max_pause_s", "expected"),
    [(4, 0.12, True), (3, 0.13, True), (3, 0.14, False), (4, 0.5, False)],
)
def test_a_stream_is_tight_if_reading_beside_it_breaks_its_pauses(
    tokens_per_event, max_pause_s, expected
):
    pool = Pool(POOL, "/", 10, EngineTraits(32, 100_000, tokens_per_event))
    shape = prompt_of(500, 90)
    assert is_tight(tight_route(max_pause_s), pool, shape, EngineModel()) is expected


@pytest.mark.parametrize("speed", [0.5, 1.0, 2.0])
def test_engines_of_other_speeds_make_other_streams_tight(speed):
    """Four tokens of 45 ms break a pause of 0.2 s; four of 22 do not, of 90 by far."""
    pool = Pool(POOL, "/", 10, EngineTraits(32, 100_000, 4))
    model = shown(0.045 / speed)
    pause_s = 0.2
    tight = is_tight(tight_route(pause_s), pool, prompt_of(500, 40), model)
    assert tight is (speed <= 1.0)


@pytest.mark.parametrize(
    ("tokens", "longest_answer", "expected"),
    [(500, 400, True), (500, 300, False), (4500, 400, False)],
)
def test_a_stream_is_tight_if_its_answer_would_outlast_its_timeout(
    tokens, longest_answer, expected
):
    """The route gives 9 s; a stream that brings a long prompt is none of these."""
    pool = Pool(POOL, "/", 10, EngineTraits(32, 100_000, 1))
    shape = prompt_of(tokens, longest_answer)
    assert is_tight(tight_route(0.5), pool, shape, EngineModel()) is expected


def test_quiet_engines_grow_with_their_streams_and_shrink_slowly(clock):
    table = PoolTable(clock)
    for number in range(12):
        adopt(table, f"e{number}", 10)
    views = list(table.members(POOL))
    quiet = table.quiet(POOL)
    split = quiet.split(views, clock.now())
    assert (len(split.kept), len(split.others)) == (0, 12)
    views[3].load.tight = 12  # beside long prompts, where they take longer
    split = quiet.split(views, clock.now())
    assert (len(split.kept), len(split.others)) == (1, 11)
    views[3].load.tight = 0
    split.kept[0].load.tight = 10
    grown = quiet.split(views, clock.now())
    assert len(grown.kept) == 3
    assert grown.kept[0] is split.kept[0]
    split.kept[0].load.tight = 500
    assert len(quiet.split(views, clock.now()).kept) == 4
    split.kept[0].load.tight = 0
    clock.time += 1
    assert len(quiet.split(views, clock.now()).kept) == 4
    clock.time += 60
    assert quiet.split(views, clock.now()).kept == []


def test_the_first_tight_stream_of_all_finds_an_engine_kept_for_it(table, clock):
    """Those of the first second ran for 8 s beside the first prompts of a day."""
    views = list(table.members(POOL))
    assert len(table.quiet(POOL).split(views, clock.now(), tight_route()).kept) == 1


@pytest.fixture
def kept(table, clock):
    """Return one engine with tight streams, its prompt's home, and what tells so."""
    view = choose(table, clock, prompt()).view
    table.hear_held({view.id: [("s", 4000)]})
    view.load.tight = 3
    more = {
        "kept": frozenset({view.id}),
        "tokens_per_event": 4,
        "most_pause_s": 0.12,
        "free_s": 0.4,
    }
    return view, more


def test_a_prompt_that_stretches_pauses_too_far_goes_elsewhere(table, clock, kept):
    view, more = kept
    views = table.usable(POOL, set())
    long = prompt(own_tokens=9000)
    assert choose_engine(views, wanted(long, **more), clock.now()).view is not view
    more["most_pause_s"] = 0.5  # four steps of 35 ms are within it
    assert choose_engine(views, wanted(long, **more), clock.now()).view is view


def test_a_short_prompt_does_no_harm_until_more_waits_there(table, clock, kept):
    view, more = kept
    views = table.usable(POOL, set())
    short = prompt(own_tokens=1000)
    assert choose_engine(views, wanted(short, **more), clock.now()).view is view
    view.load.add_unread(5, 6_000)
    assert choose_engine(views, wanted(short, **more), clock.now()).view is not view


def test_a_kept_engine_is_open_where_all_others_are_crowded(table, clock, kept):
    view, more = kept
    views = table.usable(POOL, set())
    for other in views:
        if other is not view:
            other.load.add_unread(5, 150_000)
    long = prompt(own_tokens=9000)
    assert choose_engine(views, wanted(long, **more), clock.now()).view is view


def test_an_idle_engine_draws_a_part_of_what_leaves_its_home(table, clock):
    """Others have seen it idle too, and all would send there before they hear."""
    for number in range(40):
        adopt(table, f"e{number}", 4)
    views = table.usable(POOL, set())
    idle = views[-1]
    for view in views[:-1]:
        view.load.add_unread(5, 90_000)
    requests = [wanted(prompt(), key=f"r{n}") for n in range(200)]
    chosen = [choose_engine(views, each, clock.now()).view for each in requests]
    assert 1 <= chosen.count(idle) <= 40


def test_a_pool_too_small_to_be_split_is_left_whole(table, clock):
    views = list(table.members(POOL))[:2]
    views[0].load.tight = 9
    assert table.quiet(POOL).split(views, clock.now()).kept == []


def test_nobody_is_refused_while_half_of_the_pool_is_free(table, clock):
    views = table.members(POOL)
    assert not is_overloaded(9.0, 0.1, 1.0, views, clock.now())
    for view in views:
        view.load.requests = 4
    assert is_overloaded(9.0, 0.1, 1.0, views, clock.now())
    assert not is_overloaded(0.8, 0.1, 1.0, views, clock.now())
    assert is_overloaded(0.9, 0.1, 1.0, views, clock.now())


def test_no_request_is_refused_for_its_own_length(table, clock):
    views = table.members(POOL)
    for view in views:
        view.load.requests = 4
    assert not is_overloaded(2.0, 1.7, 1.0, views, clock.now())
    assert is_overloaded(2.2, 1.7, 1.0, views, clock.now())
