"""Tests of the sums of what instances report about pools under load."""

from buckthornwall.pools import (
    PoolReports,
    SpeedSamples,
    subtract_pool_reports,
    sum_pool_reports,
)

from .helpers import POOL

FIRST = PoolReports({"a": SpeedSamples(3, 30)}, {POOL: {2: {"t": 100, "u": 5}}})
SECOND = PoolReports(
    {"a": SpeedSamples(1, -10), "b": SpeedSamples(2, 4)}, {POOL: {1: {"t": 7}}}
)


def test_sums_keep_engines_ranks_and_teams_apart():
    total = sum_pool_reports([FIRST, SECOND])
    assert total.engine_speeds == {"a": SpeedSamples(4, 20), "b": SpeedSamples(2, 4)}
    assert total.team_tokens == {POOL: {2: {"t": 100, "u": 5}, 1: {"t": 7}}}
    assert FIRST.team_tokens == {POOL: {2: {"t": 100, "u": 5}}}


def test_sums_less_one_report_are_the_others():
    others = subtract_pool_reports(sum_pool_reports([FIRST, SECOND]), FIRST)
    assert others.engine_speeds == SECOND.engine_speeds
    assert others.team_tokens[POOL][1] == {"t": 7}
    assert not others.team_tokens[POOL][2]


def test_report_that_a_lost_sum_lacks_leaves_nothing_negative():
    others = subtract_pool_reports(SECOND, FIRST)
    assert others.engine_speeds == {"b": SpeedSamples(2, 4)}
    assert not others.team_tokens[POOL].get(2)
