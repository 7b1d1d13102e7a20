"""Tests of the rate limit of an upstream, and of the reports on it."""

import pytest

from buckthornwall.pools.rate_limit import (
    UNLIMITED,
    LimitReport,
    RateLimit,
    merge_limit_reports,
)
from buckthornwall.utils import UpstreamId

NOW = 100.0


@pytest.fixture
def limit():
    limit = RateLimit()
    limit.record_answer(1.0, NOW)
    return limit


def count_sent(limit, start, seconds, step=0.01):
    """Send whenever allowed; return the number of requests."""
    count = 0
    for place in range(int(seconds / step)):
        now = start + place * step
        if limit.may_send(now):
            limit.take(now)
            count += 1
    return count


def test_instance_without_share_sends_nothing(limit):
    assert count_sent(limit, NOW, 60.0) == 0


def test_instance_sends_no_more_than_its_share(limit):
    limit.set_share(0.9, NOW)
    assert count_sent(limit, NOW, 100.0) == pytest.approx(90, abs=1)


def test_unused_tokens_do_not_allow_a_burst(limit):
    limit.set_share(0.9, NOW)
    assert count_sent(limit, NOW + 1000, 0.01) == 1


def test_burst_at_high_rate_is_a_quarter_of_a_second(limit):
    limit.record_answer(100.0, NOW)
    limit.set_share(80.0, NOW)
    assert count_sent(limit, NOW + 10, 0.02, step=0.0001) == 20 + 1


def test_regained_share_starts_without_a_token(limit):
    limit.set_share(0.9, NOW)
    limit.set_share(0.0, NOW + 5)
    limit.set_share(0.9, NOW + 6)
    assert not limit.may_send(NOW + 7)
    assert limit.may_send(NOW + 7.2)


def test_refund_returns_token_of_undelivered_request(limit):
    limit.set_share(0.9, NOW)
    limit.take(NOW + 5)
    limit.refund()
    assert limit.may_send(NOW + 5)


def test_response_without_limit_ends_it(limit):
    limit.record_answer(UNLIMITED, NOW + 1)
    assert limit.may_send(NOW + 1)
    assert limit.report(NOW + 2) == LimitReport(None, 1000)
    assert limit.report(NOW + 30) is None


def test_newest_report_is_in_force(limit):
    assert not limit.receive(LimitReport(None, 2000), NOW + 1)
    assert limit.is_limited(NOW)
    assert limit.receive(LimitReport(None, 200), NOW + 1)
    assert not limit.is_limited(NOW)


def test_received_report_is_not_reported_again():
    """A report that circulates among instances would never expire."""
    limit = RateLimit()
    limit.receive(LimitReport(1.0, 0), NOW)
    assert limit.is_limited(NOW)
    assert limit.report(NOW) is None


def test_upstream_without_limit_is_not_reported():
    limit = RateLimit()
    limit.record_answer(UNLIMITED, NOW)
    assert limit.report(NOW) is None


def test_merge_keeps_newest_report_and_adds_its_age():
    one, other = UpstreamId("a"), UpstreamId("b")
    timed_reports = [
        ({one: LimitReport(1.0, 500)}, 0.0),
        ({one: LimitReport(None, 100), other: LimitReport(2.0, 0)}, 0.25),
    ]
    assert merge_limit_reports(timed_reports) == {
        one: LimitReport(None, 350),
        other: LimitReport(2.0, 250),
    }
