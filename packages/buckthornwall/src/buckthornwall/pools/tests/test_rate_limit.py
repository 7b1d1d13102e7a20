"""Tests of what an upstream that names a limit is sent, and whose word holds."""

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


def sent(limit, start, seconds, step=0.01):
    """Send whenever it is allowed; return how often it was."""
    count = 0
    for place in range(int(seconds / step)):
        now = start + place * step
        if limit.may_send(now):
            limit.take(now)
            count += 1
    return count


def test_who_has_no_part_sends_nothing(limit):
    assert sent(limit, NOW, 60.0) == 0


def test_who_gets_a_part_sends_no_more_than_it(limit):
    limit.set_share(0.9, NOW)
    assert sent(limit, NOW, 100.0) == pytest.approx(90, abs=1)


def test_what_was_not_used_does_not_come_at_once(limit):
    limit.set_share(0.9, NOW)
    assert sent(limit, NOW + 1000, 0.01) == 1


def test_of_a_high_rate_a_quarter_of_a_second_may_come_at_once(limit):
    limit.record_answer(100.0, NOW)
    limit.set_share(80.0, NOW)
    assert sent(limit, NOW + 10, 0.02, step=0.0001) == 20 + 1


def test_who_loses_its_part_begins_again_without_a_token(limit):
    limit.set_share(0.9, NOW)
    limit.set_share(0.0, NOW + 5)
    limit.set_share(0.9, NOW + 6)
    assert not limit.may_send(NOW + 7)
    assert limit.may_send(NOW + 7.2)


def test_a_request_that_did_not_arrive_does_not_count(limit):
    limit.set_share(0.9, NOW)
    limit.take(NOW + 5)
    limit.refund()
    assert limit.may_send(NOW + 5)


def test_an_answer_without_a_limit_ends_it(limit):
    limit.record_answer(UNLIMITED, NOW + 1)
    assert limit.may_send(NOW + 1)
    assert limit.report(NOW + 2) == LimitReport(None, 1000)
    assert limit.report(NOW + 30) is None


def test_the_newest_word_holds(limit):
    assert not limit.receive(LimitReport(None, 2000), NOW + 1)
    assert limit.is_limited(NOW)
    assert limit.receive(LimitReport(None, 200), NOW + 1)
    assert not limit.is_limited(NOW)


def test_who_was_only_told_tells_nobody():
    """Word that goes round among instances would never grow old."""
    limit = RateLimit()
    limit.receive(LimitReport(1.0, 0), NOW)
    assert limit.is_limited(NOW)
    assert limit.report(NOW) is None


def test_an_upstream_without_a_limit_is_not_told_of():
    limit = RateLimit()
    limit.record_answer(UNLIMITED, NOW)
    assert limit.report(NOW) is None


def test_of_several_words_the_newest_is_told_on_with_its_age():
    one, other = UpstreamId("a"), UpstreamId("b")
    parts = [
        ({one: LimitReport(1.0, 500)}, 0.0),
        ({one: LimitReport(None, 100), other: LimitReport(2.0, 0)}, 0.25),
    ]
    assert merge_limit_reports(parts) == {
        one: LimitReport(None, 350),
        other: LimitReport(2.0, 250),
    }
