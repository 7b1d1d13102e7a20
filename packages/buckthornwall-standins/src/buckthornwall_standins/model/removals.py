"""Specification: upstreams that left are dropped, and no live ones.

Two readers, each in its own zone, and one upstream. The store may be down so long that
the upstream's registration expires; when the store is back, a live upstream registers
again before the settling time ends. A reader may be partitioned from the store and from
the other reader while the store serves the other one. Time is modelled as the order of
events: an outage long enough for registrations to expire outlasts the validity of an
earlier answer of the store, so that every reader has noticed the outage by then.
"""

from dataclasses import dataclass
from enum import Enum

from minicheck import Protocol

from .tuples import replace_item

__all__ = ["Variant", "specification"]

READERS = 2
NAMES = "AB"


class Phase(Enum):
    """Phase of the store: settled, down, or back for less than the settling time."""

    SETTLED = "settled"
    DOWN = "down"
    BACK = "back"


class Variant(Enum):
    """The protocol as implemented, and broken variants of it."""

    AS_IS = "as it is"
    DOUBT_NOTHING = "drop at once what is missing after an outage"
    DOUBT_ALONE = "settle by the own silence only"
    BELIEVE_ANY_ANSWER = "take any answer of the store elsewhere for a settled list"


@dataclass(frozen=True)
class State:
    """One state.

    A reader is `steady` if the store has answered it for long without an outage. It is
    `told` once it has received a digest of a steady reader since its own outage ended,
    and `assured` if it therefore takes the store's list as settled. `doubts` marks an
    upstream that is missing from the list but kept in use. `dropped_live` is set when a
    reader drops a live upstream, and `doubted_left` when a reader that was told still
    doubts after an answer of the store.
    """

    phase: Phase
    lives: bool
    listed: bool
    linked: tuple[bool, ...]
    away: tuple[bool, ...]
    steady: tuple[bool, ...]
    uses: tuple[bool, ...]
    doubts: tuple[bool, ...]
    assured: tuple[bool, ...]
    told: tuple[bool, ...]
    dropped_live: bool
    doubted_left: bool


FIELDS = tuple(State.__dataclass_fields__)
Steps = list[tuple[str, State]]


def _replace(state: State, **changes) -> State:
    fields = {name: getattr(state, name) for name in FIELDS}
    fields.update(changes)
    return State(**fields)


def _drop(state: State, reader: int, **changes) -> State:
    return _replace(
        state,
        uses=replace_item(state.uses, reader, False),
        doubts=replace_item(state.doubts, reader, False),
        dropped_live=state.dropped_live or (state.uses[reader] and state.lives),
        **changes,
    )


def _environment_steps(state: State) -> Steps:
    steps = []
    if state.phase is Phase.SETTLED:
        steps.append(("the store goes down", _replace(state, phase=Phase.DOWN)))
    if state.phase is Phase.DOWN:
        steps.append(("the store is back", _replace(state, phase=Phase.BACK)))
        if state.listed and all(state.away):
            steps.append(("the registration runs out", _replace(state, listed=False)))
    if state.phase is Phase.BACK and state.lives and not state.listed:
        steps.append(("the upstream registers again", _replace(state, listed=True)))
    if state.phase is Phase.BACK and state.listed == state.lives:
        steps.append(("the list has settled", _replace(state, phase=Phase.SETTLED)))
    if state.lives and state.phase is not Phase.DOWN:
        gone = _replace(state, lives=False, listed=False)
        steps.append(("the upstream leaves", gone))
    for reader in range(READERS):
        cut = replace_item(state.linked, reader, not state.linked[reader])
        change = "is cut off" if state.linked[reader] else "is linked again"
        steps.append((f"{NAMES[reader]} {change}", _replace(state, linked=cut)))
    return steps


def _read(state: State, reader: int, variant: Variant) -> State:
    """Return the state after the store answered a reader."""
    ends_outage = state.away[reader]
    after = _replace(state, away=replace_item(state.away, reader, False))
    if state.listed:
        return _replace(
            after,
            uses=replace_item(after.uses, reader, True),
            doubts=replace_item(after.doubts, reader, False),
        )
    if not state.uses[reader]:
        return after
    must_doubt = ends_outage and variant is not Variant.DOUBT_NOTHING
    if must_doubt or (state.doubts[reader] and not state.assured[reader]):
        late = state.told[reader] and not ends_outage
        return _replace(
            after,
            doubts=replace_item(after.doubts, reader, True),
            doubted_left=state.doubted_left or late,
        )
    return _drop(after, reader)


def _receive_digest(state: State, reader: int, other: int, variant: Variant) -> State:
    """Return the state after a reader received the digest of the other one."""
    vouches = state.steady[other]
    told = replace_item(state.told, reader, state.told[reader] or vouches)
    if variant is Variant.BELIEVE_ANY_ANSWER:
        vouches = not state.away[other]
    if variant is Variant.DOUBT_ALONE:
        vouches = False
    assured = replace_item(state.assured, reader, state.assured[reader] or vouches)
    return _replace(state, told=told, assured=assured)


def _reader_steps(state: State, reader: int, variant: Variant) -> Steps:
    name = NAMES[reader]
    reaches_store = state.linked[reader] and state.phase is not Phase.DOWN
    if not reaches_store:
        away = _replace(
            state,
            away=replace_item(state.away, reader, True),
            steady=replace_item(state.steady, reader, False),
            assured=replace_item(state.assured, reader, False),
            told=replace_item(state.told, reader, False),
        )
        return [(f"{name} gets no answer", away)]
    steps = [(f"{name} is answered", _read(state, reader, variant))]
    if state.away[reader]:
        return steps
    other = 1 - reader
    if state.linked[other]:
        received = _receive_digest(state, reader, other, variant)
        steps.append((f"{name} hears {NAMES[other]}", received))
    if state.phase is Phase.SETTLED:
        steady = _replace(state, steady=replace_item(state.steady, reader, True))
        steps.append((f"{name} has long been answered", steady))
        if state.doubts[reader] and not state.listed:
            steps.append((f"{name} settles", _drop(state, reader)))
    return steps


def specification(variant: Variant = Variant.AS_IS) -> Protocol:
    """Return the specification, or a broken variant of it."""
    initial = State(
        phase=Phase.SETTLED,
        lives=True,
        listed=True,
        linked=(True,) * READERS,
        away=(False,) * READERS,
        steady=(True,) * READERS,
        uses=(True,) * READERS,
        doubts=(False,) * READERS,
        assured=(False,) * READERS,
        told=(False,) * READERS,
        dropped_live=False,
        doubted_left=False,
    )

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = _environment_steps(state)
        for reader in range(READERS):
            steps += _reader_steps(state, reader, variant)
        return [
            (label, tuple(getattr(after, name) for name in FIELDS))
            for label, after in steps
        ]

    return Protocol(
        name="removals are believed",
        candidate=False,
        fields=FIELDS,
        initial=tuple(getattr(initial, name) for name in FIELDS),
        transitions=transitions,
        invariants={
            "no_live_upstream_is_dropped": lambda s: not s["dropped_live"],
            "who_was_cut_off_alone_drops_what_left": lambda s: not s["doubted_left"],
        },
    )
