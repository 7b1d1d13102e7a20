"""Tests of the ledger against the state transitions of its specification."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from buckthornwall.idempotency import (
    BeginResult,
    IdempotencyKey,
    KeyCodec,
    KeyLedger,
    KeyState,
    StoredOutcome,
)

OUTCOME = StoredOutcome(200, [("a", "b")], b"body")
SERIALS = 3


def make_ledger(issued=SERIALS, max_used_keys=100):
    ledger = KeyLedger("n1", 7, max_used_keys)
    for _ in range(issued):
        ledger.issue()
    return ledger


def hand_over(ledger):
    return KeyLedger.from_handover(
        ledger.owner,
        ledger.incarnation,
        ledger.max_used_keys,
        ledger.next_serial,
        ledger.oldest_serial,
        ledger.export_entries(),
    )


class LedgerMatchesSpecification(RuleBasedStateMachine):
    """Apply the same steps to the ledger and to a reference of its states.

    The reference is the table of `buckthornwall_standins.model.at_most_once`:
    UNUSED may become MARKED; MARKED may become SENT, or VOID; SENT may become
    DONE or UNKNOWN; a sealed ledger accepts no call; it is handed over when no
    call is in flight. `runs` counts the sends.
    """

    def __init__(self):
        super().__init__()
        self.ledger = make_ledger()
        self.reference = dict.fromkeys(range(1, SERIALS + 1), "unused")
        self.runs = dict.fromkeys(range(1, SERIALS + 1), 0)

    @rule(serial=st.integers(1, SERIALS))
    def begin(self, serial):
        result = self.ledger.begin(serial, "f")
        state = self.reference[serial]
        if self.ledger.sealed:
            assert result is BeginResult.SEALED
        elif state == "unused":
            assert result is BeginResult.DISPATCH
            self.reference[serial] = "marked"
        else:
            expected = {
                "marked": BeginResult.JOIN,
                "sent": BeginResult.JOIN,
                "done": BeginResult.DONE,
                "unknown": BeginResult.UNKNOWN,
                "void": BeginResult.VOID,
            }
            assert result is expected[state]

    @rule(serial=st.integers(1, SERIALS))
    def send(self, serial):
        if self.reference[serial] == "marked":
            self.runs[serial] += 1
            self.reference[serial] = "sent"

    @rule(serial=st.integers(1, SERIALS))
    def cannot_connect(self, serial):
        if self.reference[serial] == "marked":
            self.ledger.mark_void(serial)
            self.reference[serial] = "void"

    @rule(serial=st.integers(1, SERIALS), answered=st.booleans())
    def end(self, serial, answered):
        if self.reference[serial] == "sent":
            if answered:
                self.ledger.record_outcome(serial, OUTCOME)
            else:
                self.ledger.mark_unknown(serial)
            self.reference[serial] = "done" if answered else "unknown"

    @rule()
    def seal_and_hand_over(self):
        self.ledger.seal()
        if not self.ledger.in_flight():
            self.ledger = hand_over(self.ledger)

    @invariant()
    def states_agree(self):
        for serial, state in self.reference.items():
            expected = {
                "unused": None,
                "marked": KeyState.DISPATCHED,
                "sent": KeyState.DISPATCHED,
                "done": KeyState.DONE,
                "unknown": KeyState.UNKNOWN,
                "void": KeyState.VOID,
            }[state]
            assert self.ledger.state(serial) is expected

    @invariant()
    def runs_at_most_once(self):
        assert max(self.runs.values()) <= 1


LedgerMatchesSpecification.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)
TestLedgerMatchesSpecification = LedgerMatchesSpecification.TestCase


def test_key_is_refused_for_a_second_call():
    ledger = make_ledger()
    ledger.begin(1, "f")
    assert ledger.begin(1, "other") is BeginResult.REUSED


def test_call_with_a_key_never_issued_is_not_run():
    assert make_ledger(issued=1).begin(2, "f") is BeginResult.NOT_ISSUED


def test_key_older_than_remembered_ones_expires():
    ledger = make_ledger(issued=5, max_used_keys=1)
    for serial in (2, 4):
        ledger.begin(serial, "f")
        ledger.record_outcome(serial, OUTCOME)
    assert ledger.begin(1, "f") is BeginResult.EXPIRED
    assert ledger.begin(2, "f") is BeginResult.EXPIRED
    assert ledger.begin(5, "f") is BeginResult.DISPATCH


def test_call_in_flight_at_hand_over_is_unknown_at_successor():
    ledger = make_ledger()
    ledger.begin(1, "f")
    assert hand_over(ledger).begin(1, "f") is BeginResult.UNKNOWN


@pytest.mark.parametrize("text", ["", "x", "bw1.n.1.1.0000", "bw1.n1.7.1." + "0" * 20])
def test_text_that_was_not_issued_does_not_decode(text):
    assert KeyCodec("secret").decode(text) is None


def test_key_decodes_only_in_its_own_fleet():
    key = IdempotencyKey("n1", 7, 12)
    text = KeyCodec("secret").encode(key)
    assert KeyCodec("secret").decode(text) == key
    assert KeyCodec("other").decode(text) is None
