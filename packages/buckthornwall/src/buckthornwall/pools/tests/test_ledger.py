"""Tests of what is held against what was let in and refused."""

import pytest

from buckthornwall.pools.ledger import WINDOW_S, AdmissionLedger

URGENT, ORDINARY, LEAST = 0, 4, 7


@pytest.fixture
def ledger():
    """Return a ledger in which 10,000 tokens of the least urgent were let in."""
    ledger = AdmissionLedger()
    ledger.note_let_in(LEAST, 10_000, 0.0)
    return ledger


def test_a_rank_is_owed_as_much_as_was_let_in_below_it(ledger):
    assert ledger.is_owed(ORDINARY, 6_000, 1.0)
    ledger.note_refused(ORDINARY, 6_000, 1.0)
    assert not ledger.is_owed(ORDINARY, 6_000, 1.0)


def test_what_was_let_in_above_a_rank_owes_it_nothing(ledger):
    assert not ledger.is_owed(LEAST, 1, 1.0)


def test_what_is_old_is_forgotten(ledger):
    ledger.note_refused(ORDINARY, 6_000, 0.0)
    later = WINDOW_S + 1.0
    assert not ledger.is_owed(ORDINARY, 1, later)
    assert not ledger.is_to_yield(LEAST, 50_000, later)


def test_less_urgent_ones_yield_beyond_what_was_refused(ledger):
    ledger.note_refused(ORDINARY, 16_000, 1.0)
    assert not ledger.is_to_yield(LEAST, 5_000, 1.0)
    assert ledger.is_to_yield(LEAST, 7_000, 1.0)


def test_nobody_yields_to_what_is_no_more_urgent(ledger):
    ledger.note_refused(LEAST, 1_000, 1.0)
    assert not ledger.is_to_yield(LEAST, 50_000, 1.0)
    assert not ledger.is_to_yield(ORDINARY, 50_000, 1.0)
    assert not ledger.is_to_yield(URGENT, 50_000, 1.0)


def test_no_more_is_kept_than_a_window_although_nobody_asks():
    """In a pool that is never loaded nobody asks, and every request was kept."""
    ledger = AdmissionLedger()
    for second in range(1000):
        ledger.note_let_in(LEAST, 10, float(second))
        ledger.note_refused(LEAST, 10, float(second))
    assert ledger.entries <= 2 * (WINDOW_S + 1)
