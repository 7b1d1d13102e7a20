"""Tests of when a request is held to crash upstreams, and when it is cleared."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornwall.quarantine import (
    CrashReport,
    Fingerprint,
    QuarantineSettings,
    QuarantineTable,
    generation_tag,
)
from buckthornwall.routing import PoolId

POOL, OTHER_POOL = PoolId("p"), PoolId("q")
REQUEST, ANOTHER = Fingerprint(1), Fingerprint(2)
FORGET_S = 600.0
NOW = 1000.0


def tag(upstream, pool=POOL, generation=""):
    return generation_tag(pool, upstream, generation)


def make_table(**changes):
    return QuarantineTable(QuarantineSettings(**changes))


@pytest.fixture
def table():
    return make_table()


def crash(table, *upstreams, now=NOW, request=REQUEST):
    for upstream in upstreams:
        table.record_termination(request, tag(upstream), now)


def tell(source, target, now=NOW):
    for report in source.reports(now):
        target.receive(report, now)


def test_a_request_is_refused_after_three_upstreams_ended_beneath_it(table):
    crash(table, "a", "b")
    assert not table.is_refused(REQUEST, NOW)
    crash(table, "c")
    assert table.is_refused(REQUEST, NOW)
    assert not table.is_refused(ANOTHER, NOW)


def test_one_end_that_several_attempts_saw_counts_once(table):
    crash(table, "a", "a", "a")
    assert table.records[REQUEST].crashes == 1


def test_an_upstream_that_ends_again_after_another_start_counts_again(table):
    for generation in ("1", "2", "3"):
        table.record_termination(REQUEST, tag("a", generation=generation), NOW)
    assert table.is_refused(REQUEST, NOW)


def test_ends_that_different_instances_saw_count_together():
    tables = [make_table() for _ in range(3)]
    for table, upstream in zip(tables, "abc", strict=True):
        crash(table, upstream)
    tell(tables[0], tables[1])
    tell(tables[1], tables[2])
    assert tables[2].is_refused(REQUEST, NOW)


def test_a_run_that_went_well_clears_a_request_everywhere():
    one, other = make_table(), make_table()
    crash(one, "a", "b", "c")
    tell(one, other)
    other.record_success(REQUEST, POOL, NOW)
    tell(other, one)
    assert not one.is_refused(REQUEST, NOW)


def test_a_request_that_ran_well_before_all_upstreams_were_lost_is_not_refused(table):
    """It was beneath each of them, as every popular request is."""
    table.record_success(REQUEST, POOL, NOW)
    crash(table, "a", "b", "c", now=NOW + 1)
    assert not table.is_refused(REQUEST, NOW + 1)


def test_a_success_of_long_ago_does_not_speak_for_a_request(table):
    table.record_success(REQUEST, POOL, NOW)
    crash(table, "a", "b", "c", now=NOW + 60)
    assert table.is_refused(REQUEST, NOW + 60)


def test_a_run_that_went_well_in_another_pool_says_nothing(table):
    crash(table, "a", "b", "c")
    table.record_success(REQUEST, OTHER_POOL, NOW)
    assert table.is_refused(REQUEST, NOW)


def test_a_request_that_no_longer_comes_is_forgotten(table):
    crash(table, "a", "b", "c")
    later = NOW + FORGET_S + 1
    assert not table.is_refused(REQUEST, later)
    table.expire(later)
    assert not table.records
    assert table.checksum == 0


def test_a_request_that_keeps_coming_is_not_forgotten_by_who_never_sees_it():
    """It comes to one instance only, and the other one is told of it."""
    one, other = make_table(), make_table()
    crash(one, "a", "b", "c")
    tell(one, other)
    for minute in range(1, 31):
        now = NOW + 60 * minute
        one.record_refused(REQUEST, now)
        for report in one.take_changed(100, now):
            other.receive(report, now)
        one.expire(now)
        other.expire(now)
    assert other.is_refused(REQUEST, NOW + 1800)


def test_instances_that_tell_each_other_do_not_keep_a_request_alive():
    one, other = make_table(), make_table()
    crash(one, "a", "b", "c")
    for tenths in range(int(FORGET_S + 2) * 10):
        now = NOW + tenths / 10
        tell(one, other, now)
        tell(other, one, now)
        one.expire(now)
        other.expire(now)
    assert not one.records
    assert not other.records


def test_memory_is_bounded_and_what_crashed_least_goes_first():
    table = make_table(most_requests=3)
    crash(table, "a", "b", "c")
    for number in range(10, 20):
        crash(table, "a", request=Fingerprint(number), now=NOW + number)
    assert len(table.records) == 3
    assert table.is_refused(REQUEST, NOW + 20)


def test_the_sets_of_a_record_are_bounded(table):
    crash(table, *(f"u{number}" for number in range(100)))
    assert len(table.records[REQUEST].terminations) <= 16


def test_a_change_is_told_once(table):
    crash(table, "a")
    assert len(table.take_changed(10, NOW)) == 1
    assert table.take_changed(10, NOW) == []
    crash(table, "a")
    assert table.take_changed(10, NOW) == []


TAGS = [tag(name) for name in "abcdef"]
REPORTS = st.lists(
    st.builds(
        CrashReport,
        fingerprint=st.integers(1, 3),
        terminations=st.lists(st.sampled_from(TAGS), unique=True),
        cleared=st.lists(st.sampled_from(TAGS), unique=True),
        age_s=st.integers(0, 100),
    ),
    max_size=8,
)


def known(table):
    return {
        fingerprint: (record.terminations, record.cleared)
        for fingerprint, record in table.records.items()
    }


@given(REPORTS, st.randoms(use_true_random=False))
def test_what_is_heard_in_any_order_and_again_comes_to_the_same(reports, draw):
    """Each instance says only what it knows: `cleared` is a part of `terminations`."""
    valid = [
        CrashReport(
            each.fingerprint,
            each.terminations,
            [end for end in each.cleared if end in each.terminations],
            each.age_s,
        )
        for each in reports
    ]
    shuffled = valid + valid
    draw.shuffle(shuffled)
    one, other = make_table(), make_table()
    for report in valid:
        one.receive(report, NOW)
    for report in shuffled:
        other.receive(report, NOW)
    assert known(one) == known(other)
    assert one.checksum == other.checksum


@given(REPORTS)
def test_instances_that_know_different_things_have_different_checksums(reports):
    one, other = make_table(), make_table()
    for report in reports:
        one.receive(report, NOW)
    for report in reports[:-1]:
        other.receive(report, NOW)
    assert (one.checksum == other.checksum) == (known(one) == known(other))
