"""Tests of what is held against what was let in and refused."""

import pytest

from buckthornwall.pools.ledger import WINDOW_S, AdmissionLedger

URGENT, ORDINARY, LEAST = 0, 4, 7


@pytest.fixture
def ledger():
    """Return a ledger in which 10,000 tokens of the least urgent were let in."""
    ledger = AdmissionLedger()
    ledger.record_admitted(LEAST, 10_000, 0.0)
    return ledger


def test_a_rank_is_owed_as_much_as_was_let_in_below_it(ledger):
    assert ledger.has_deficit(ORDINARY, 6_000, 1.0)
    ledger.record_refused(ORDINARY, 6_000, 1.0)
    assert not ledger.has_deficit(ORDINARY, 6_000, 1.0)


def test_what_was_let_in_above_a_rank_owes_it_nothing(ledger):
    assert not ledger.has_deficit(LEAST, 1, 1.0)


def test_what_is_old_is_forgotten(ledger):
    ledger.record_refused(ORDINARY, 6_000, 0.0)
    later = WINDOW_S + 1.0
    assert not ledger.has_deficit(ORDINARY, 1, later)
    assert not ledger.should_defer(LEAST, 50_000, later)


def test_less_urgent_ones_yield_beyond_what_was_refused(ledger):
    ledger.record_refused(ORDINARY, 16_000, 1.0)
    assert not ledger.should_defer(LEAST, 5_000, 1.0)
    assert ledger.should_defer(LEAST, 7_000, 1.0)


def test_nobody_yields_to_what_is_no_more_urgent(ledger):
    ledger.record_refused(LEAST, 1_000, 1.0)
    assert not ledger.should_defer(LEAST, 50_000, 1.0)
    assert not ledger.should_defer(ORDINARY, 50_000, 1.0)
    assert not ledger.should_defer(URGENT, 50_000, 1.0)


def test_no_more_is_kept_than_a_window_although_nobody_asks():
    """In a pool that is never loaded nobody asks, and every request was kept."""
    ledger = AdmissionLedger()
    for second in range(1000):
        ledger.record_admitted(LEAST, 10, float(second))
        ledger.record_refused(LEAST, 10, float(second))
    assert ledger.entries <= 2 * (WINDOW_S + 1)
