"""Tests of the reports among instances on unreachable upstreams."""

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


def test_failure_is_reported_until_it_expires_or_a_response_arrives():
    reachability = Reachability()
    assert not reachability.should_report(0.0)
    reachability.record_failed(1.0)
    assert reachability.should_report(1.0 + 0.9 * FAILURE_TTL_S)
    assert not reachability.should_report(1.1 + FAILURE_TTL_S)
    reachability.record_answered(1.2)
    assert not reachability.should_report(1.3)


def test_reports_of_too_few_instances_are_ignored():
    reachability = Reachability()
    reachability.record_reports(MIN_REPORTERS - 1, 1.0)
    assert not reachability.is_unreachable(1.0)
    reachability.record_reports(MIN_REPORTERS, 1.0)
    assert reachability.is_unreachable(1.0)


def test_received_reports_expire():
    reachability = Reachability()
    reachability.record_reports(9, 1.0)
    assert reachability.is_unreachable(1.0 + 0.9 * REPORT_TTL_S)
    assert not reachability.is_unreachable(1.1 + REPORT_TTL_S)


def test_recent_response_overrides_reports():
    reachability = Reachability()
    reachability.record_answered(1.0)
    reachability.record_reports(9, 1.1)
    assert not reachability.is_unreachable(1.1)
    reachability.record_reports(9, 1.1 + ANSWER_TTL_S)
    assert reachability.is_unreachable(1.1 + ANSWER_TTL_S)


def test_engine_reported_unreachable_is_used_only_if_all_are(table, clock):
    lost = choose(table, clock, prompt()).view
    table.receive_unreachable({lost.id: MIN_REPORTERS, "gone": 9})
    assert lost not in table.usable(POOL, set())
    all_reported = {view.id: MIN_REPORTERS for view in table.members(POOL)}
    table.receive_unreachable(all_reported)
    assert len(table.usable(POOL, set())) == len(all_reported)


def test_local_failures_to_connect_are_reported(table, clock):
    view = next(iter(table.members(POOL)))
    table.record_outcome(view, Verdict.FAILED)
    assert table.unreachable() == []
    table.record_outcome(view, Verdict.UNREACHABLE)
    assert table.unreachable() == [view.id]
    clock.time += 2 * FAILURE_TTL_S
    assert table.unreachable() == []


def test_totals_add_up_reporting_instances():
    total = {"e1": 1}
    add_unreachable(total, {"e1": 2, "e2": 1})
    assert total == {"e1": 3, "e2": 1}


def test_slots_of_unreachable_engines_do_not_count_as_free(table, clock):
    """Crashed engines must not make an overloaded pool look less than half used.

    Below half use nothing is refused. With a quarter of the slots at crashed engines,
    drafts were admitted that waited for 1.2 s with a target of 1.2 s, at peak load.
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
