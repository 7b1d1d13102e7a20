"""Tests of the ledger of admitted and refused requests."""

import pytest

from buckthornwall.pools.ledger import WINDOW_S, AdmissionLedger

URGENT, ORDINARY, LEAST_URGENT = 0, 4, 7


@pytest.fixture
def ledger():
    """Return a ledger with 10,000 admitted tokens of the least urgent rank."""
    ledger = AdmissionLedger()
    ledger.record_admitted(LEAST_URGENT, 10_000, 0.0)
    return ledger


def test_deficit_ends_once_as_much_was_refused_as_admitted_below(ledger):
    assert ledger.has_deficit(ORDINARY, 6_000, 1.0)
    ledger.record_refused(ORDINARY, 6_000, 1.0)
    assert not ledger.has_deficit(ORDINARY, 6_000, 1.0)


def test_admission_of_more_urgent_requests_gives_no_deficit(ledger):
    assert not ledger.has_deficit(LEAST_URGENT, 1, 1.0)


def test_old_decisions_expire(ledger):
    ledger.record_refused(ORDINARY, 6_000, 0.0)
    later = WINDOW_S + 1.0
    assert not ledger.has_deficit(ORDINARY, 1, later)
    assert not ledger.should_defer(LEAST_URGENT, 50_000, later)


def test_less_urgent_request_defers_beyond_refused_tokens(ledger):
    ledger.record_refused(ORDINARY, 16_000, 1.0)
    assert not ledger.should_defer(LEAST_URGENT, 5_000, 1.0)
    assert ledger.should_defer(LEAST_URGENT, 7_000, 1.0)


def test_request_does_not_defer_to_equal_or_less_urgent_ones(ledger):
    ledger.record_refused(LEAST_URGENT, 1_000, 1.0)
    assert not ledger.should_defer(LEAST_URGENT, 50_000, 1.0)
    assert not ledger.should_defer(ORDINARY, 50_000, 1.0)
    assert not ledger.should_defer(URGENT, 50_000, 1.0)


def test_entries_are_bounded_without_any_query():
    """A pool that is never loaded makes no query, but its entries must expire too."""
    ledger = AdmissionLedger()
    for second in range(1000):
        ledger.record_admitted(LEAST_URGENT, 10, float(second))
        ledger.record_refused(LEAST_URGENT, 10, float(second))
    assert ledger.entries <= 2 * (WINDOW_S + 1)
