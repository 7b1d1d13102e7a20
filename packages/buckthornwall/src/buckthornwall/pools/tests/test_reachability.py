"""Tests of what instances tell each other of upstreams that cannot be reached."""

from dataclasses import replace

from buckthornwall.pools import RequestTraits, Verdict, add_unreachable
from buckthornwall.pools.reachability import (
    ANSWER_TTL_S,
    FAILURE_TTL_S,
    MIN_REPORTERS,
    REPORT_TTL_S,
    Reachability,
)
from buckthornwall.pools.refusal import find_overload
from buckthornwall.routing import EngineSpec, Pool, Resolution
from buckthornwall.routing.table import DEFAULT_TEAM_TIER
from buckthornwall.utils import TeamId

from .helpers import POOL, adopt, choose, prompt
from .test_reserved import pause_sensitive_route


def test_what_was_found_is_told_for_a_while_and_not_after_an_answer():
    reachability = Reachability()
    assert not reachability.should_report(0.0)
    reachability.record_failed(1.0)
    assert reachability.should_report(1.0 + 0.9 * FAILURE_TTL_S)
    assert not reachability.should_report(1.1 + FAILURE_TTL_S)
    reachability.record_answered(1.2)
    assert not reachability.should_report(1.3)


def test_one_or_two_that_are_cut_off_are_not_believed():
    reachability = Reachability()
    reachability.record_reports(MIN_REPORTERS - 1, 1.0)
    assert not reachability.is_unreachable(1.0)
    reachability.record_reports(MIN_REPORTERS, 1.0)
    assert reachability.is_unreachable(1.0)


def test_word_grows_old():
    reachability = Reachability()
    reachability.record_reports(9, 1.0)
    assert reachability.is_unreachable(1.0 + 0.9 * REPORT_TTL_S)
    assert not reachability.is_unreachable(1.1 + REPORT_TTL_S)


def test_who_has_had_an_answer_goes_by_that():
    reachability = Reachability()
    reachability.record_answered(1.0)
    reachability.record_reports(9, 1.1)
    assert not reachability.is_unreachable(1.1)
    reachability.record_reports(9, 1.1 + ANSWER_TTL_S)
    assert reachability.is_unreachable(1.1 + ANSWER_TTL_S)


def test_an_engine_that_others_miss_is_not_tried_while_there_are_more(table, clock):
    lost = choose(table, clock, prompt()).view
    table.receive_unreachable({lost.id: MIN_REPORTERS, "gone": 9})
    assert lost not in table.usable(POOL, set())
    everyone = {view.id: MIN_REPORTERS for view in table.members(POOL)}
    table.receive_unreachable(everyone)
    assert len(table.usable(POOL, set())) == len(everyone)


def test_what_this_instance_finds_is_told(table, clock):
    view = next(iter(table.members(POOL)))
    table.record_outcome(view, Verdict.FAILED)
    assert table.unreachable() == []
    table.record_outcome(view, Verdict.UNREACHABLE)
    assert table.unreachable() == [view.id]
    clock.time += 2 * FAILURE_TTL_S
    assert table.unreachable() == []


def test_sums_count_instances():
    total = {"e1": 1}
    add_unreachable(total, {"e1": 2, "e2": 1})
    assert total == {"e1": 3, "e2": 1}


def test_engines_that_are_lost_are_no_room_for_anybody(table, clock):
    """A quarter of the slots were those of crashed engines, and nothing was refused.

    Where less than half of a pool is in use, nobody is. Drafts were taken that waited
    for 1.2 s where 1.2 s was their target, at the worst moment of the day.
    """
    adopt(table, "lost", 1000)
    for view in table.members(POOL):
        if view.id != "lost":
            view.load.requests = view.entry.slots
            view.load.add_pending_prefill(0, 500_000)
    route = replace(pause_sensitive_route(0.5), tier=2)
    pool = Pool(POOL, "/", 10, EngineSpec(4, 300_000, 4))
    resolution = Resolution(route, pool, TeamId("t"), DEFAULT_TEAM_TIER, 1)
    traits = RequestTraits("r", prompt(), resolution, False)
    table.receive_unreachable({"lost": MIN_REPORTERS})
    choice = choose(table, clock, prompt())
    assert find_overload(table, traits, choice, clock.now()) is not None
