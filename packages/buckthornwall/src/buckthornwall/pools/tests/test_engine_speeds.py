"""Tests of the relative speeds of engines, as instances learn them together."""

import random
from dataclasses import replace

import pytest

from buckthornwall.pools import (
    LoadReport,
    PoolReports,
    PoolSettings,
    PoolTable,
    Slowdown,
    SpeedSamples,
    StepObserver,
    bound_pool_reports,
    subtract_pool_reports,
    sum_pool_reports,
)
from buckthornwall.pools.engine_speed import EngineSpeed
from buckthornwall.pools.engine_speeds import update_speeds

from .helpers import POOL, adopt, choose, prompt

TOKENS_PER_EVENT = 5
DECODE_STEP_S = 0.005
CHUNK_STEP_S = 0.045
SPEEDS = {"a": 0.6, "b": 0.6, "c": 1.0, "d": 1.0, "e": 1.0, "f": 1.6, "g": 1.6}
ALIKE = dict.fromkeys(SPEEDS, 1.0)
DISTURBED = Slowdown(2.5)


class Fleet:
    """Instances that see streams at engines of some speeds, and exchange reports."""

    def __init__(self, clock, speeds, instances=20, settings=None):
        self.clock = clock
        self.speeds = dict(speeds)
        self.rng = random.Random(5)
        self.settings = settings
        self.slowdowns = {}
        self.tables = [self.start() for _ in range(instances)]

    def start(self):
        """Return an instance that knows nothing but the registered engines."""
        table = PoolTable(self.clock, settings=self.settings)
        for name in self.speeds:
            adopt(table, name, slots=48)
        return table

    def gap_s(self, engine, chunk_steps):
        """Return a gap of which some steps prefilled a whole chunk."""
        chunk_s = CHUNK_STEP_S - DECODE_STEP_S
        gap_s = TOKENS_PER_EVENT * DECODE_STEP_S + chunk_steps * chunk_s
        slowdown = self.slowdowns.get(engine, 1.0)
        return gap_s * slowdown * self.rng.uniform(0.97, 1.03) / self.speeds[engine]

    def stream(self, table, engine, events=8):
        """Let an instance see one stream of an engine."""
        view, at = table.views[engine], self.clock.now()
        stated = Slowdown(self.slowdowns.get(engine, 1.0))
        view.load.record_report(LoadReport(10, 0, 48, stated), at)
        observer = StepObserver(view, table.model(POOL), TOKENS_PER_EVENT, False)
        for _ in range(events):
            chunk_steps = self.rng.choice((0, 0, 2, 4, 5, 5, 5))
            pending = 2048 * (chunk_steps > 0)
            view.load.add_pending_prefill(2, pending)
            observer.record(1, at)
            at += self.gap_s(engine, chunk_steps)
            observer.record(1, at)
            view.load.add_pending_prefill(2, -pending)
            at += self.gap_s(engine, chunk_steps)

    def run(self, seconds, streams=60):
        """Let instances see some streams a second, and report ten times a second."""
        for _ in range(round(seconds * 10)):
            for _ in range(streams // 10):
                table = self.rng.choice(self.tables)
                self.stream(table, self.rng.choice(list(self.speeds)))
            self.exchange()
            self.clock.time += 0.1

    def exchange(self, nonsense=None):
        """Exchange reports; one more instance may report nonsense."""
        local = [table.reports() for table in self.tables]
        reports = [bound_pool_reports(each) for each in local]
        if nonsense is not None:
            reports.append(bound_pool_reports(nonsense))
        total = sum_pool_reports(reports)
        for table, own in zip(self.tables, local, strict=True):
            table.receive_reports(subtract_pool_reports(total, own))

    def slowness(self, engine):
        """Return by instance how slow an engine is taken to be."""
        return [table.views[engine].speed.slowness for table in self.tables]


def test_slow_and_fast_engines_are_known_everywhere_within_seconds(clock):
    fleet = Fleet(clock, SPEEDS)
    fleet.run(8.0)
    for engine, speed in SPEEDS.items():
        for slowness in fleet.slowness(engine):
            assert slowness == pytest.approx(1 / speed, rel=0.2), engine


def test_alike_engines_stay_exactly_as_usual(clock):
    fleet = Fleet(clock, ALIKE)
    for _ in range(20):
        fleet.run(1.0)
        for engine in ALIKE:
            assert set(fleet.slowness(engine)) == {1.0}
    table = fleet.tables[0]
    assert table.differing_engines() == []


def test_speeds_are_not_learned_where_settings_say_so(clock):
    fleet = Fleet(clock, SPEEDS, settings=PoolSettings(engine_speeds=False))
    fleet.run(8.0)
    assert {each for name in SPEEDS for each in fleet.slowness(name)} == {1.0}
    assert not any(table.reports().engine_speeds for table in fleet.tables)


def test_stated_disturbance_teaches_no_speed(clock):
    fleet = Fleet(clock, ALIKE)
    fleet.run(6.0)
    for engine in ALIKE:
        fleet.slowdowns = {engine: DISTURBED}
        fleet.run(0.6)
        assert set(fleet.slowness(engine)) == {1.0}


def test_engine_that_turns_slow_is_known_within_its_window(clock):
    fleet = Fleet(clock, ALIKE)
    fleet.run(8.0)
    fleet.speeds["c"] = 0.5
    fleet.run(8.0)
    assert min(fleet.slowness("c")) > 1.4


def test_restarted_engine_begins_anew_though_peers_report_the_one_before(clock):
    fleet = Fleet(clock, SPEEDS)
    fleet.run(8.0)
    table = fleet.tables[0]
    entry = table.views["a"].entry
    table.adopt(replace(entry, incarnation="1"))
    table.adopt(replace(entry, incarnation="2"))
    assert table.views["a"].speed.slowness == 1.0
    for _ in range(20):
        fleet.exchange()
        clock.time += 0.1
    assert table.views["a"].speed.slowness == 1.0


def test_new_version_begins_anew(clock):
    fleet = Fleet(clock, SPEEDS)
    fleet.run(8.0)
    table = fleet.tables[0]
    entry = table.views["a"].entry
    table.adopt(replace(entry, version="1"))
    table.adopt(replace(entry, version="2"))
    assert table.views["a"].speed.slowness == 1.0


def test_instance_that_has_just_started_learns_from_its_peers(clock):
    fleet = Fleet(clock, SPEEDS)
    fleet.run(8.0)
    fleet.tables.append(fleet.start())
    fleet.run(3.0)
    new = fleet.tables[-1]
    assert new.views["a"].speed.slowness > 1.3
    assert new.views["g"].speed.slowness < 0.8


def test_all_instances_new_at_once_learn_anew_within_seconds(clock):
    fleet = Fleet(clock, SPEEDS)
    fleet.run(8.0)
    fleet.tables = [fleet.start() for _ in fleet.tables]
    fleet.run(6.0)
    assert min(fleet.slowness("a")) > 1.3
    assert max(fleet.slowness("g")) < 0.8


@pytest.mark.parametrize("log_percent", [10**15, -(10**15)])
def test_nonsense_of_one_instance_moves_no_engine_beyond_its_weight(clock, log_percent):
    fleet = Fleet(clock, ALIKE)
    nonsense = PoolReports(
        {"c": SpeedSamples(10**12, log_percent), "z": SpeedSamples(1)}
    )
    for _ in range(80):
        fleet.run(0.1)
        fleet.exchange(nonsense)
    for slowness in fleet.slowness("c"):
        assert 1 / 1.7 <= slowness <= 1.7
    assert set(fleet.slowness("d")) == {1.0}


def test_clock_that_jumps_leaves_speeds_bounded_and_learnable(clock):
    fleet = Fleet(clock, SPEEDS)
    fleet.run(8.0)
    for jump_s in (-50.0, 500.0):
        clock.time += jump_s
        fleet.exchange()
        fleet.run(8.0)
        assert min(fleet.slowness("a")) > 1.3
        assert set(fleet.slowness("c")) <= {1.0}


def test_silent_engine_is_as_usual_again_after_a_minute(clock):
    fleet = Fleet(clock, SPEEDS)
    fleet.run(8.0)
    clock.time += 30.0
    fleet.exchange()
    assert min(fleet.slowness("a")) > 1.3
    clock.time += 100.0
    fleet.exchange()
    assert set(fleet.slowness("a")) == {1.0}


def test_report_names_few_bytes_of_engines_and_bounded_samples(clock):
    fleet = Fleet(clock, SPEEDS, instances=1)
    fleet.run(8.0, streams=200)
    speeds = fleet.tables[0].reports().engine_speeds
    assert max(samples.count for samples in speeds.values()) <= 4


def test_slow_engine_gets_fewer_prompts_and_the_fastest_not_all(clock):
    fleet = Fleet(clock, SPEEDS)
    fleet.run(8.0)
    table = fleet.tables[0]
    sent = dict.fromkeys(SPEEDS, 0)
    for number in range(140):
        choice = choose(table, clock, prompt(f"s{number}", f"o{number}"))
        sent[choice.view.id] += 1
        choice.view.load.add_pending_prefill(5, 5_000)
    slow, fast = sent["a"] + sent["b"], sent["f"] + sent["g"]
    assert 0 < slow < 0.6 * fast
    assert fast < 0.6 * sum(sent.values())


def test_expected_wait_and_pause_are_those_of_the_engine(clock):
    fleet = Fleet(clock, SPEEDS)
    fleet.run(8.0)
    table = fleet.tables[0]
    view = table.views["a"]
    clock.time += 5.0  # statements have lost their meaning
    assert view.slowness(clock.now()) == pytest.approx(1 / 0.6, rel=0.2)


def test_few_parts_of_chunks_do_not_make_an_engine_fast():
    partial, whole = EngineSpeed(), [EngineSpeed() for _ in range(4)]
    for _ in range(8):
        partial.record(0.6, 100.0)
        for speed in whole:
            speed.record(1.0, 100.0)
    update_speeds([partial, *whole], 100.0)
    assert partial.slowness == 1.0
    for second in range(1, 9):
        for _ in range(8):
            partial.record(0.6, 100.0 + second)
    update_speeds([partial, *whole], 108.0)
    assert partial.slowness < 0.75
