"""Specification: a call under an idempotency key runs at most once.

A key names the node that owns it. There is one key, issued by the first incarnation of
node A; nodes B and C may become its successors. A request for the key may arrive at any
node at any time and any number of times, which covers retries through any node,
duplicated and delayed messages, freezes and network partitions. A message once sent
stays deliverable forever.
"""

from dataclasses import dataclass
from enum import Enum

from minicheck import Protocol

from .tuples import replace_item

__all__ = ["LedgerState", "Variant", "specification"]

NODES = 3
MAX_INCARNATIONS = 2
MAX_RUNS = 2


class LedgerState(Enum):
    """State of the key in a node's ledger; MARKED and SENT are its DISPATCHED."""

    ABSENT = "absent"
    UNUSED = "unused"
    MARKED = "marked"
    SENT = "sent"
    DONE = "done"
    UNKNOWN = "unknown"
    VOID = "void"


class Variant(Enum):
    """The protocol as implemented, and broken variants of it."""

    AS_IS = "as it is"
    MARK_AFTER_SENDING = "mark after sending"
    SAY_NOT_RUN_WITHOUT_VOIDING = "say 'not run' without voiding the key"
    SECOND_SUCCESSOR = "offer the keys to a second successor"
    ANY_INCARNATION = "let any incarnation of the successor take the keys"
    HAND_OVER_UNSEALED = "hand over without sealing first"


@dataclass(frozen=True)
class State:
    """One state; node 0 is the owner.

    `sending` holds the nodes that sent the call before marking the key as
    dispatched, which only a broken variant does. `offers` are hand-overs in
    transit: holder, successor, the successor's incarnation, and the ledger state.
    """

    ledgers: tuple[LedgerState, ...]
    up: tuple[bool, ...]
    incarnations: tuple[int, ...]
    sealed: tuple[bool, ...]
    offers: frozenset[tuple[int, int, int, LedgerState]]
    runs: int
    told_not_run: bool
    sending: frozenset[int]


FIELDS = tuple(State.__dataclass_fields__)


def _to_tuple(state: State) -> tuple:
    return tuple(getattr(state, name) for name in FIELDS)


def _replace_ledger(state: State, node: int, value: LedgerState, **changes) -> State:
    fields = {name: getattr(state, name) for name in FIELDS}
    fields["ledgers"] = replace_item(state.ledgers, node, value)
    fields.update(changes)
    return State(**fields)


def _call_steps(state: State, node: int, variant: Variant) -> list[tuple[str, State]]:
    """Return the steps of the key's holder that concern the call itself."""
    held = state.ledgers[node]
    name = "ABC"[node]
    steps = []
    if held is LedgerState.UNUSED and not state.sealed[node]:
        if variant is Variant.MARK_AFTER_SENDING:
            sending = state.sending | {node}
            runs = min(MAX_RUNS, state.runs + 1)
            sent = _replace_ledger(state, node, held, runs=runs, sending=sending)
            steps.append((f"{name} sends", sent))
        else:
            marked = _replace_ledger(state, node, LedgerState.MARKED)
            steps.append((f"{name} marks", marked))
    if node in state.sending:
        sending = state.sending - {node}
        marked = _replace_ledger(state, node, LedgerState.SENT, sending=sending)
        steps.append((f"{name} marks late", marked))
    if held is LedgerState.MARKED:
        runs = min(MAX_RUNS, state.runs + 1)
        steps.append(
            (f"{name} sends", _replace_ledger(state, node, LedgerState.SENT, runs=runs))
        )
        keeps_unused = variant is Variant.SAY_NOT_RUN_WITHOUT_VOIDING
        after = LedgerState.UNUSED if keeps_unused else LedgerState.VOID
        refused = _replace_ledger(state, node, after, told_not_run=True)
        steps.append((f"{name} cannot connect, says 'not run'", refused))
    if held is LedgerState.SENT:
        steps.append(
            (f"{name} gets the answer", _replace_ledger(state, node, LedgerState.DONE))
        )
        lost = _replace_ledger(state, node, LedgerState.UNKNOWN)
        steps.append((f"{name} loses the answer", lost))
    return steps


def _fault_steps(state: State, node: int) -> list[tuple[str, State]]:
    name = "ABC"[node]
    if state.up[node]:
        crashed = _replace_ledger(
            state,
            node,
            LedgerState.ABSENT,
            up=replace_item(state.up, node, False),
            sealed=replace_item(state.sealed, node, False),
            sending=state.sending - {node},
        )
        return [(f"{name} crashes", crashed)]
    if state.incarnations[node] < MAX_INCARNATIONS:
        again = _replace_ledger(
            state,
            node,
            LedgerState.ABSENT,
            up=replace_item(state.up, node, True),
            incarnations=replace_item(
                state.incarnations, node, state.incarnations[node] + 1
            ),
        )
        return [(f"{name} starts again", again)]
    return []


def _hand_over_steps(
    state: State, node: int, variant: Variant
) -> list[tuple[str, State]]:
    """Return the steps of a holder that stops gracefully."""
    held = state.ledgers[node]
    name = "ABC"[node]
    in_flight = held in (LedgerState.MARKED, LedgerState.SENT) or node in state.sending
    steps = []
    if held is LedgerState.ABSENT:
        return steps
    if not state.sealed[node]:
        sealed = replace_item(state.sealed, node, True)
        steps.append(
            (f"{name} seals", _replace_ledger(state, node, held, sealed=sealed))
        )
    may_offer = state.sealed[node] and not in_flight
    if variant is Variant.HAND_OVER_UNSEALED:
        may_offer = not in_flight
    if not may_offer:
        return steps
    for successor in range(NODES):
        offered = {target for source, target, _, _ in state.offers if source == node}
        second = variant is Variant.SECOND_SUCCESSOR
        if successor == node or (offered - {successor} and not second):
            continue
        if offered and not second:
            continue  # a retransmitted offer is already deliverable
        offer = (node, successor, state.incarnations[successor], held)
        offers = state.offers | {offer}
        label = f"{name} offers its keys to {'ABC'[successor]}"
        steps.append((label, _replace_ledger(state, node, held, offers=offers)))
    return steps


def _offer_steps(state: State, variant: Variant) -> list[tuple[str, State]]:
    steps = []
    for _, successor, incarnation, content in state.offers:
        incarnation_matches = (
            incarnation == state.incarnations[successor]
            or variant is Variant.ANY_INCARNATION
        )
        has_no_ledger = state.ledgers[successor] is LedgerState.ABSENT
        if state.up[successor] and incarnation_matches and has_no_ledger:
            taken = _replace_ledger(state, successor, content)
            steps.append((f"{'ABC'[successor]} takes the keys", taken))
    return steps


def _steps(state: State, variant: Variant) -> list[tuple[str, State]]:
    steps = _offer_steps(state, variant)
    for node in range(NODES):
        if state.up[node]:
            steps += _call_steps(state, node, variant)
            steps += _hand_over_steps(state, node, variant)
        steps += _fault_steps(state, node)
    return steps


def specification(variant: Variant = Variant.AS_IS) -> Protocol:
    """Return the specification, or a broken variant of it."""
    absent = LedgerState.ABSENT
    initial = State(
        ledgers=(LedgerState.UNUSED, absent, absent),
        up=(True,) * NODES,
        incarnations=(1,) * NODES,
        sealed=(False,) * NODES,
        offers=frozenset(),
        runs=0,
        told_not_run=False,
        sending=frozenset(),
    )

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        return [(label, _to_tuple(after)) for label, after in _steps(state, variant)]

    return Protocol(
        name="at most once",
        candidate=False,
        fields=FIELDS,
        initial=_to_tuple(initial),
        transitions=transitions,
        invariants={
            "runs_at_most_once": lambda s: s["runs"] <= 1,
            "not_run_is_true": lambda s: not (s["told_not_run"] and s["runs"]),
        },
    )
