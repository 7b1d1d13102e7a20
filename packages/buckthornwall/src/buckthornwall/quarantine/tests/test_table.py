"""Tests of the quarantine of requests that crash upstreams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornwall.quarantine import (
    CrashReport,
    Fingerprint,
    QuarantineSettings,
    QuarantineTable,
    incarnation_tag,
)
from buckthornwall.routing import PoolId

POOL, OTHER_POOL = PoolId("p"), PoolId("q")
REQUEST, ANOTHER = Fingerprint(1), Fingerprint(2)
FORGET_S = 600.0
NOW = 1000.0


def tag(upstream, pool=POOL, incarnation=""):
    return incarnation_tag(pool, upstream, incarnation)


def make_table(**changes):
    return QuarantineTable(QuarantineSettings(**changes))


@pytest.fixture
def table():
    return make_table()


def crash(table, *upstreams, now=NOW, request=REQUEST):
    for upstream in upstreams:
        table.record_termination(request, tag(upstream), now)


def send_reports(source, target, now=NOW):
    for report in source.reports(now):
        target.receive(report, now)


def test_request_is_refused_after_three_terminations(table):
    crash(table, "a", "b")
    assert not table.is_refused(REQUEST, NOW)
    crash(table, "c")
    assert table.is_refused(REQUEST, NOW)
    assert not table.is_refused(ANOTHER, NOW)


def test_termination_seen_by_several_attempts_counts_once(table):
    crash(table, "a", "a", "a")
    assert table.records[REQUEST].crashes == 1


def test_each_incarnation_of_an_upstream_counts(table):
    for incarnation in ("1", "2", "3"):
        table.record_termination(REQUEST, tag("a", incarnation=incarnation), NOW)
    assert table.is_refused(REQUEST, NOW)


def test_terminations_seen_by_different_instances_add_up():
    tables = [make_table() for _ in range(3)]
    for table, upstream in zip(tables, "abc", strict=True):
        crash(table, upstream)
    send_reports(tables[0], tables[1])
    send_reports(tables[1], tables[2])
    assert tables[2].is_refused(REQUEST, NOW)


def test_successful_run_clears_request_on_all_instances():
    one, other = make_table(), make_table()
    crash(one, "a", "b", "c")
    send_reports(one, other)
    other.record_success(REQUEST, POOL, NOW)
    send_reports(other, one)
    assert not one.is_refused(REQUEST, NOW)


def test_request_that_succeeded_before_loss_of_all_upstreams_is_not_refused(table):
    """Each of them was running it, as is the case for every popular request."""
    table.record_success(REQUEST, POOL, NOW)
    crash(table, "a", "b", "c", now=NOW + 1)
    assert not table.is_refused(REQUEST, NOW + 1)


def test_expired_success_does_not_clear_request(table):
    table.record_success(REQUEST, POOL, NOW)
    crash(table, "a", "b", "c", now=NOW + 60)
    assert table.is_refused(REQUEST, NOW + 60)


def test_success_in_another_pool_does_not_clear_request(table):
    crash(table, "a", "b", "c")
    table.record_success(REQUEST, OTHER_POOL, NOW)
    assert table.is_refused(REQUEST, NOW)


def test_record_of_absent_request_expires(table):
    crash(table, "a", "b", "c")
    later = NOW + FORGET_S + 1
    assert not table.is_refused(REQUEST, later)
    table.expire(later)
    assert not table.records
    assert table.checksum == 0


def test_reminders_keep_record_alive_on_other_instances():
    """The request arrives at one instance only, which reports it to the other."""
    one, other = make_table(), make_table()
    crash(one, "a", "b", "c")
    send_reports(one, other)
    for minute in range(1, 31):
        now = NOW + 60 * minute
        one.record_refused(REQUEST, now)
        for report in one.take_changed(100, now):
            other.receive(report, now)
        one.expire(now)
        other.expire(now)
    assert other.is_refused(REQUEST, NOW + 1800)


def test_reports_among_instances_do_not_keep_record_alive():
    one, other = make_table(), make_table()
    crash(one, "a", "b", "c")
    for tenths in range(int(FORGET_S + 2) * 10):
        now = NOW + tenths / 10
        send_reports(one, other, now)
        send_reports(other, one, now)
        one.expire(now)
        other.expire(now)
    assert not one.records
    assert not other.records


def test_full_table_evicts_request_with_fewest_crashes():
    table = make_table(most_requests=3)
    crash(table, "a", "b", "c")
    for number in range(10, 20):
        crash(table, "a", request=Fingerprint(number), now=NOW + number)
    assert len(table.records) == 3
    assert table.is_refused(REQUEST, NOW + 20)


def test_number_of_terminations_is_bounded(table):
    crash(table, *(f"u{number}" for number in range(100)))
    assert len(table.records[REQUEST].terminations) <= 16


def test_change_is_reported_once(table):
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


def contents(table):
    return {
        fingerprint: (record.terminations, record.cleared)
        for fingerprint, record in table.records.items()
    }


@given(REPORTS, st.randoms(use_true_random=False))
def test_merge_is_commutative_and_idempotent(reports, rng):
    """Reports of instances have `cleared` as a subset of `terminations`."""
    valid = [
        CrashReport(
            each.fingerprint,
            each.terminations,
            [one for one in each.cleared if one in each.terminations],
            each.age_s,
        )
        for each in reports
    ]
    shuffled = valid + valid
    rng.shuffle(shuffled)
    one, other = make_table(), make_table()
    for report in valid:
        one.receive(report, NOW)
    for report in shuffled:
        other.receive(report, NOW)
    assert contents(one) == contents(other)
    assert one.checksum == other.checksum


@given(REPORTS)
def test_checksums_are_equal_only_for_equal_records(reports):
    one, other = make_table(), make_table()
    for report in reports:
        one.receive(report, NOW)
    for report in reports[:-1]:
        other.receive(report, NOW)
    assert (one.checksum == other.checksum) == (contents(one) == contents(other))
