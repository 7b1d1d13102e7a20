"""Tests of the delay after which refused requests return."""

import math

from buckthornwall.pools.ledger import AdmissionLedger
from buckthornwall.pools.retry_delay import retry_delay_s

IDS = [f"r{number}" for number in range(500)]


def delays(expected_s, time_left_s=4.0, needed_s=0.3):
    return [retry_delay_s(expected_s, name, time_left_s, needed_s) for name in IDS]


def test_those_refused_at_one_moment_do_not_return_as_one_burst():
    """All were told 1.5 times the expected wait, and met each other again."""
    told = sorted(delays(0.8))
    assert told[0] < 0.5 and told[-1] > 1.1
    for begin in (0.4, 0.6, 0.8, 1.0):
        assert sum(begin <= each < begin + 0.1 for each in told) < 0.2 * len(told)


def test_delay_is_spread_where_the_time_left_cuts_it():
    told = delays(50.0, time_left_s=3.0)
    assert max(told) <= 1.0
    assert max(told) - min(told) > 0.5


def test_clients_heed_a_third_of_their_time_left_at_most():
    assert all(each <= 4.0 / 3 for each in delays(9.0))


def test_second_try_is_left_the_time_that_it_needs():
    assert all(each <= 0.2 + 1e-9 for each in delays(9.0, 1.5, needed_s=1.3))


def test_without_time_nobody_is_told_a_negative_delay():
    assert set(delays(1.0, time_left_s=0.0)) == {0.0}
    assert set(delays(1.0, time_left_s=-3.0)) == {0.0}


def test_unknown_times_are_bounded():
    assert all(0 < each <= 2.0 for each in delays(math.inf, time_left_s=math.inf))


def test_work_that_was_refused_counts_at_the_rate_of_what_is_admitted():
    """With a fourth refused in five seconds it returns within the next 1.67."""
    ledger = AdmissionLedger()
    assert ledger.refused_work_s(7, 100.0) == 0.0
    ledger.record_refused(7, 1_000, 100.0)
    assert ledger.refused_work_s(7, 100.0) == math.inf
    ledger.record_admitted(7, 3_000)
    assert ledger.refused_work_s(7, 100.0) == 5 / 3
    assert ledger.refused_work_s(4, 100.0) == 0.0
    assert ledger.refused_work_s(7, 106.0) == 0.0
