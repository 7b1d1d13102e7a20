"""Tests of what upstreams state about themselves in their responses."""

import random
from dataclasses import replace

import pytest

from buckthornwall.pools import (
    Notice,
    UpstreamState,
    Verdict,
    choose_upstream,
    record_decision,
)
from buckthornwall.pools.load import PeerLoad

from .helpers import POOL, ZONE, choose, prompt, traits

LEAVING = Notice(is_leaving=True)


@pytest.fixture
def table(table):
    table.notices.sample = lambda: 0.0
    return table


def names(table):
    return [view.id for view in table.usable(POOL, frozenset())]


def rest(table, name, seconds):
    table.notices.record(table.views[name], Notice(rest_s=seconds))


def register_again(table, name, **changes):
    entry = table.views[name].entry
    table.remove(name)
    table.adopt(replace(entry, **changes))


def test_upstream_that_states_that_it_leaves_gets_no_requests(table):
    """Its registration may say ready for as long as the store does not answer."""
    table.notices.record(table.views["a"], LEAVING)
    assert names(table) == ["b", "c"]


def test_upstream_gets_no_requests_during_the_rest_that_it_asked_for(table, clock):
    rest(table, "a", 3.0)
    assert names(table) == ["b", "c"]
    clock.time += 2.9
    assert names(table) == ["b", "c"]
    clock.time += 0.2
    assert names(table) == ["a", "b", "c"]


def test_ready_registration_does_not_return_an_upstream_that_leaves(table):
    table.notices.record(table.views["a"], LEAVING)
    table.adopt(table.views["a"].entry)
    register_again(table, "a")
    assert names(table) == ["b", "c"]


def test_notice_in_a_late_response_outlives_the_registration(table):
    """The registration may expire and be renewed while a request is under way."""
    view = table.views["a"]
    table.remove("a")
    table.notices.record(view, LEAVING)
    table.adopt(view.entry)
    assert names(table) == ["b", "c"]


def test_other_incarnation_of_an_upstream_that_left_gets_requests(table):
    register_again(table, "a", incarnation="1")
    table.notices.record(table.views["a"], LEAVING)
    table.adopt(replace(table.views["a"].entry, incarnation="2"))
    assert "a" in names(table)
    table.notices.record(table.views["a"], LEAVING)
    register_again(table, "a", incarnation="3")
    assert "a" in names(table)


def test_notices_of_an_upstream_that_is_long_gone_are_dropped(table, clock):
    entry = table.views["a"].entry
    table.notices.record(table.views["a"], LEAVING)
    table.remove("a")
    clock.time += 601.0
    table.notices.expire()
    table.adopt(entry)
    assert "a" in names(table)


def test_later_response_does_not_shorten_a_rest(table, clock):
    rest(table, "a", 4.0)
    clock.time += 0.5
    rest(table, "a", 1.0)
    clock.time += 3.4
    assert "a" not in names(table)


def test_rest_of_years_ends_within_an_hour(table, clock):
    rest(table, "a", 1e9)
    clock.time += 3601.0
    assert "a" in names(table)


def test_instances_do_not_return_from_a_rest_at_the_same_moment(table, clock):
    table.notices.sample = lambda: 0.5
    rest(table, "a", 2.0)
    clock.time += 2.09
    assert "a" not in names(table)
    clock.time += 0.02
    assert "a" in names(table)


def test_upstreams_that_rest_get_no_requests_even_if_all_others_are_ejected(table):
    rest(table, "a", 3.0)
    for name in ("b", "c"):
        table.record_outcome(table.views[name], Verdict.UNREACHABLE)
    assert names(table) == ["b", "c"]


def test_pool_rests_until_its_first_upstream_returns(table, clock):
    for name, seconds in (("a", 3.0), ("b", 2.0), ("c", 4.0)):
        rest(table, name, seconds)
    assert names(table) == []
    assert table.is_resting(POOL)
    assert table.limit_wait_s(POOL) == pytest.approx(2.0)
    assert table.limit_interval_s(POOL) == 0.0
    clock.time += 2.1
    assert not table.is_resting(POOL)
    assert names(table) == ["b"]


def test_leaving_upstream_is_reported_until_its_registration_says_so(table):
    view = table.views["a"]
    table.notices.record(view, LEAVING)
    assert table.notices.reports() == {"a": ""}
    table.adopt(replace(view.entry, state=UpstreamState.LEAVING))
    assert table.notices.reports() == {}


def test_report_of_a_peer_on_another_incarnation_is_ignored(table):
    register_again(table, "a", incarnation="2")
    table.notices.receive({"a": "1", "b": "", "unknown": ""})
    assert sorted(names(table)) == ["a", "c"]


def test_rest_is_reported_to_peers_for_a_moment_only(table, clock):
    """It concerns one instance: the others find out again whether it is for them."""
    rest(table, "a", 3.0)
    assert table.unreachable() == ["a"]
    clock.time += 1.1
    assert table.unreachable() == []


def test_upstream_that_rests_for_three_peers_is_avoided(table):
    table.receive_unreachable({"a": 3, "b": 2})
    assert names(table) == ["b", "c"]


@pytest.mark.parametrize("notice", [LEAVING, Notice(rest_s=30.0)])
def test_ejected_upstream_with_a_notice_gets_no_probe(table, clock, notice):
    table.record_outcome(table.views["a"], Verdict.UNREACHABLE)
    table.notices.record(table.views["a"], notice)
    clock.time += 5.0
    assert names(table) == ["b", "c"]


@pytest.mark.parametrize("notice", [LEAVING, Notice(rest_s=30.0)])
def test_no_segments_are_copied_from_an_upstream_with_a_notice(table, clock, notice):
    shape = prompt()
    table.note_prompt(table.views["a"], shape)
    table.notices.record(table.views["a"], notice)
    assert choose(table, clock, shape).copy_from == ""


@pytest.mark.parametrize("seed", range(20))
def test_late_requests_are_not_diverted_to_an_upstream_with_a_notice(
    table, clock, seed
):
    """Late requests with a deficit are compared at all engines, busy ones included."""
    rng = random.Random(seed)
    for name in ("b", "c"):
        table.views[name].load.peers = PeerLoad(1, {4: rng.randrange(20_000, 90_000)})
    record_decision(table, traits(prompt(), tier=2), True, clock.now())
    notice = rng.choice([LEAVING, Notice(rest_s=30.0)])
    table.notices.record(table.views["a"], notice)
    choice = choose_upstream(table, traits(prompt()), set(), ZONE, clock.now())
    assert choice.view.id in {"b", "c"}


def test_other_upstream_at_the_address_of_one_that_leaves_gets_requests(table):
    entry = table.views["a"].entry
    table.notices.record(table.views["a"], LEAVING)
    table.remove("a")
    table.adopt(replace(entry, id="d"))
    assert "d" in names(table)
