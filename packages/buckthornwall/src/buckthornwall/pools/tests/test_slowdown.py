"""Tests of what an upstream's statement of its slowdown is worth."""

import pytest

from buckthornwall.engine_model import EngineModel, scale_model
from buckthornwall.pools import (
    LoadReport,
    PoolSettings,
    PoolTable,
    Slowdown,
    choose_service,
)
from buckthornwall.pools.expectation import expected_on_engine_s
from buckthornwall.pools.slowdown import SlowdownEstimate

from .helpers import POOL, ZONE, adopt, choose, prompt, traits

DISTURBED = Slowdown(2.5)


def report(view, clock, slowdown, running=0):
    load = LoadReport(running, 0, view.entry.slots, slowdown)
    view.load.record_report(load, clock.now())


def test_upstream_that_states_nothing_is_as_fast_as_usual(table, clock):
    view = table.views["a"]
    report(view, clock, None)
    assert view.slowness(clock.now()) == 1.0
    model = EngineModel()
    assert scale_model(model, view.slowness(clock.now())) is model


def test_statements_are_of_no_effect_where_settings_say_so(clock):
    table = PoolTable(clock, settings=PoolSettings(stated_slowdown=False))
    adopt(table, "a")
    report(table.views["a"], clock, DISTURBED)
    assert table.views["a"].slowness(clock.now()) == 1.0


def test_statement_loses_its_meaning_within_a_second():
    estimate = SlowdownEstimate()
    estimate.record(DISTURBED, 10.0)
    worth = [estimate.value(10.0 + age_s) for age_s in (0.0, 0.05, 0.2, 0.6, 1.0)]
    assert worth == sorted(worth, reverse=True)
    assert worth[0] == pytest.approx(2.5)
    assert worth[1] > 1.9
    assert worth[3] < 1.3
    assert worth[4] < 1.15


def test_upstream_that_is_slow_in_most_statements_stays_slow():
    estimate = SlowdownEstimate()
    for number in range(60):
        estimate.record(DISTURBED, float(number))
    assert estimate.value(90.0) > 2.2
    for number in range(60):
        estimate.record(Slowdown(1.0), 100.0 + number)
    assert estimate.value(190.0) < 1.6


def test_clock_that_steps_back_gives_the_statement_no_more_than_its_worth():
    estimate = SlowdownEstimate()
    estimate.record(DISTURBED, 10.0)
    assert estimate.value(5.0) == pytest.approx(2.5)


def test_restarted_upstream_begins_without_statements(table, clock):
    report(table.views["a"], clock, DISTURBED)
    table.remove("a")
    adopt(table, "a")
    assert table.views["a"].slowness(clock.now()) == 1.0


def test_prompt_avoids_engine_while_it_is_slowed_down(table, clock):
    preferred = choose(table, clock, prompt()).view
    table.receive_cached_prefixes({preferred.id: [("s", 4000)]})
    preferred.load.add_pending_prefill(5, 3_000)
    assert choose(table, clock, prompt()).view is preferred
    report(preferred, clock, DISTURBED)
    assert choose(table, clock, prompt()).view is not preferred
    clock.time += 1.0
    assert choose(table, clock, prompt()).view is preferred


def test_expected_wait_and_pause_grow_with_the_slowdown(table, clock):
    before = choose(table, clock, prompt())
    request = traits(prompt())
    view = before.view
    wait_s = expected_on_engine_s(table, request, view, clock.now())
    for each in table.members(POOL):
        report(each, clock, DISTURBED)
    slowed = choose(table, clock, prompt())
    assert slowed.wait_s == pytest.approx(2.5 * before.wait_s)
    assert slowed.pause_s == pytest.approx(2.5 * before.pause_s)
    slowed_s = expected_on_engine_s(table, request, view, clock.now())
    assert slowed_s == pytest.approx(2.5 * wait_s)


def test_service_that_is_slowed_down_counts_as_fuller(table, clock):
    for name, running in (("a", 2), ("b", 3), ("c", 4)):
        table.views[name].load.requests = running
    report(table.views["a"], clock, DISTURBED, running=2)
    views = table.usable(POOL, set())
    assert choose_service(views, ZONE, clock.now()).view.id == "b"
