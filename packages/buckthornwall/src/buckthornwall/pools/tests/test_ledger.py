"""Tests of the ledger of admitted and refused requests."""

import pytest

from buckthornwall.pools.ledger import (
    TOKENS_PER_REFUSED,
    WINDOW_S,
    AdmissionLedger,
)

URGENT, ORDINARY, LEAST_URGENT = 0, 4, 7


def refused_for(tokens):
    """Return the refused tokens for which less urgent ranks get this many."""
    return int(tokens / TOKENS_PER_REFUSED)


@pytest.fixture
def ledger():
    """Return a ledger with 10,000 admitted tokens of the least urgent rank."""
    ledger = AdmissionLedger()
    ledger.record_begun(ledger.record_admitted(LEAST_URGENT, 10_000), 0.0)
    return ledger


def test_deficit_ends_once_less_urgent_ranks_have_no_more_than_their_share(ledger):
    assert ledger.has_deficit(ORDINARY, 6_000, 1.0)
    ledger.record_refused(ORDINARY, refused_for(10_000) - 7_000, 1.0)
    assert ledger.has_deficit(ORDINARY, 6_000, 1.0)
    ledger.record_refused(ORDINARY, 1_000, 1.0)
    assert not ledger.has_deficit(ORDINARY, 6_000, 1.0)


def test_admission_of_more_urgent_requests_gives_no_deficit(ledger):
    assert not ledger.has_deficit(LEAST_URGENT, 1, 1.0)


def test_old_decisions_expire(ledger):
    ledger.record_refused(ORDINARY, 6_000, 0.0)
    later = WINDOW_S + 1.0
    assert not ledger.has_deficit(ORDINARY, 1, later)
    assert not ledger.should_defer(LEAST_URGENT, 50_000, later)


def test_less_urgent_request_defers_beyond_its_share_of_refused_tokens(ledger):
    ledger.record_refused(ORDINARY, refused_for(16_000), 1.0)
    assert not ledger.should_defer(LEAST_URGENT, 5_000, 1.0)
    assert ledger.should_defer(LEAST_URGENT, 7_000, 1.0)


def test_request_does_not_defer_to_a_rank_that_is_nearly_served(ledger):
    """A single refusal must not hold back the less urgent requests of a fleet."""
    ledger.record_admitted(ORDINARY, 250_000)
    ledger.record_refused(ORDINARY, 10_000, 1.0)
    assert not ledger.should_defer(LEAST_URGENT, 50_000, 1.0)
    ledger.record_refused(ORDINARY, 10_000, 1.0)
    assert ledger.should_defer(LEAST_URGENT, 50_000, 1.0)


def test_less_urgent_ranks_defer_first(ledger):
    """A rank in the middle must not yield while less urgent ones are admitted."""
    ledger.record_refused(URGENT, refused_for(8_000), 1.0)
    assert ledger.should_defer(LEAST_URGENT, 1_000, 1.0)
    assert not ledger.should_defer(ORDINARY, 1_000, 1.0)
    ledger.record_refused(URGENT, refused_for(3_000), 1.0)
    assert ledger.should_defer(ORDINARY, 2_000, 1.0)


def test_request_does_not_defer_to_equal_or_less_urgent_ones(ledger):
    ledger.record_refused(LEAST_URGENT, 1_000, 1.0)
    assert not ledger.should_defer(LEAST_URGENT, 50_000, 1.0)
    assert not ledger.should_defer(ORDINARY, 50_000, 1.0)
    assert not ledger.should_defer(URGENT, 50_000, 1.0)


def test_request_counts_while_it_waits_and_in_the_window_after_it_begins(ledger):
    admission = ledger.record_admitted(ORDINARY, 5_000)
    began_at = 2 * WINDOW_S
    assert ledger.admitted_below(URGENT, began_at) == 5_000
    ledger.record_begun(admission, began_at)
    assert ledger.admitted_below(URGENT, began_at + WINDOW_S) == 5_000
    assert ledger.admitted_below(URGENT, began_at + WINDOW_S + 1.0) == 0


def test_ended_request_is_not_admitted(ledger):
    ledger.record_ended(ledger.record_admitted(ORDINARY, 5_000))
    assert ledger.admitted_below(URGENT, 1.0) == 10_000


def test_decisions_of_peers_count(ledger):
    ledger.peers = {ORDINARY: (1_000, 9_000), LEAST_URGENT: (2_000, 500)}
    assert ledger.admitted_below(ORDINARY, 1.0) == 12_000
    assert ledger.refused(ORDINARY, 1.0) == 9_000
    assert ledger.local_counts(1.0) == {LEAST_URGENT: (10_000, 0)}


def test_entries_are_bounded_without_any_query():
    """A pool that is never loaded makes no query, but its entries must expire too."""
    ledger = AdmissionLedger()
    for second in range(1000):
        admission = ledger.record_admitted(LEAST_URGENT, 10)
        ledger.record_begun(admission, float(second))
        ledger.record_refused(LEAST_URGENT, 10, float(second))
    assert ledger.entries <= 2 * (WINDOW_S + 1)
