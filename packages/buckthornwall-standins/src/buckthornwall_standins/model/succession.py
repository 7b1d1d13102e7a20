"""Specification: nobody goes by old word for long when its zone's speaker changes.

Three instances of one zone; A is the first in the order of speakers, then B, then C.
An instance goes by its own reading, or by the word of the one that it follows. Time
goes by in ticks; between two, datagrams may arrive in any order, or never. A may leave
as planned, saying so for as long as it lives, and any instance may die. What is left
out: that an instance which hears nothing for long reads whoever speaks, which hides it.
"""

from dataclasses import dataclass
from enum import Enum

from minicheck import Protocol

from .tuples import put

__all__ = ["Variant", "specification"]

NAMES = "ABC"
ALL = range(len(NAMES))
# Ticks of silence after which a speaker is taken to be gone, and how many more each
# instance waits for those before it in the order, by its place.
SILENCE = 2
STAGGER = (0, 0, 1)
BOUND = SILENCE + max(STAGGER)
MOST_TICKS = BOUND + 1


class Life(Enum):
    """An instance serves, says that it leaves, or has ended."""

    SERVES = "serves"
    LEAVES = "leaves"
    ENDED = "ended"


class Variant(Enum):
    """The protocol as it is, and ways to break it."""

    AS_IS = "as it is"
    LEAVE_BEGINS_WAIT = "begin the wait for the next speaker with each leave"
    PASSED_ON_AS_NEW = "take word that is passed on for new"
    NEVER_SPEAK_UP = "wait for those before in the order for ever"


@dataclass(frozen=True)
class State:
    """One state; `follows` names itself where an instance speaks.

    `silent` counts the ticks for which an instance believes its speaker to be silent,
    `age` those since what it goes by was read.
    """

    life: tuple[Life, ...]
    follows: tuple[int, ...]
    silent: tuple[int, ...]
    age: tuple[int, ...]


FIELDS = tuple(State.__dataclass_fields__)
Steps = list[tuple[str, State]]


def _goes_by(state: State, who: int, speaker: int, silent: int, age: int) -> State:
    return State(
        state.life,
        put(state.follows, who, speaker),
        put(state.silent, who, silent),
        put(state.age, who, age),
    )


def _speaks(state: State, who: int) -> bool:
    return state.follows[who] == who


def _tick(state: State, variant: Variant) -> State:
    """Return the state after a tick: silent speakers are followed."""
    after = state
    for who in ALL:
        if state.life[who] is Life.ENDED or _speaks(state, who):
            continue
        silent = min(state.silent[who] + 1, MOST_TICKS)
        age = min(state.age[who] + 1, MOST_TICKS)
        waits = variant is Variant.NEVER_SPEAK_UP and STAGGER[who]
        if silent > SILENCE + STAGGER[who] and not waits:
            after = _goes_by(after, who, who, 0, 0)
        else:
            after = _goes_by(after, who, state.follows[who], silent, age)
    return after


def _life_steps(state: State) -> Steps:
    steps = []
    if state.life[0] is Life.SERVES:
        leaves = State(put(state.life, 0, Life.LEAVES), *_rest(state))
        steps.append(("A leaves", leaves))
    for who in ALL:
        if state.life[who] is not Life.ENDED:
            ended = State(put(state.life, who, Life.ENDED), *_rest(state))
            steps.append((f"{NAMES[who]} ends", ended))
    return steps


def _rest(state: State) -> tuple:
    return state.follows, state.silent, state.age


def _word_steps(state: State, who: int, variant: Variant) -> Steps:
    """Return what may reach an instance from the others."""
    steps = []
    for other in ALL:
        if other == who or state.life[other] is Life.ENDED:
            continue
        if state.life[other] is Life.LEAVES:
            steps += _leave_heard(state, who, other, variant)
        elif _speaks(state, other):
            steps += _digest_heard(state, who, other)
        else:
            steps += _passed_on(state, who, other, variant)
    return steps


def _leave_heard(state: State, who: int, other: int, variant: Variant) -> Steps:
    if state.follows[who] != other:
        return []
    silent = max(state.silent[who], SILENCE)
    if variant is Variant.LEAVE_BEGINS_WAIT:
        silent = SILENCE
    after = _goes_by(state, who, other, silent, state.age[who])
    return [(f"{NAMES[who]} hears that {NAMES[other]} leaves", after)]


def _digest_heard(state: State, who: int, other: int) -> Steps:
    followed = state.follows[who]
    is_silent = not _speaks(state, who) and state.silent[who] > SILENCE
    if other > followed and not is_silent:
        return []
    after = _goes_by(state, who, other, 0, 0)
    return [(f"{NAMES[who]} hears {NAMES[other]}", after)]


def _passed_on(state: State, who: int, other: int, variant: Variant) -> Steps:
    """Return what follows where an instance asks one that does not speak."""
    speaker = state.follows[other]
    if speaker == who or state.silent[other] > SILENCE or speaker > state.follows[who]:
        return []
    silent, age = state.silent[other], state.age[other]
    if variant is Variant.PASSED_ON_AS_NEW:
        silent = 0
    elif speaker == state.follows[who] and silent >= state.silent[who]:
        return []
    after = _goes_by(state, who, speaker, silent, age)
    return [(f"{NAMES[who]} is told by {NAMES[other]} of {NAMES[speaker]}", after)]


def _is_fresh(values: dict) -> bool:
    return all(
        age <= BOUND
        for life, age in zip(values["life"], values["age"], strict=True)
        if life is Life.SERVES
    )


def specification(variant: Variant = Variant.AS_IS) -> Protocol:
    """Return the specification, or one of its broken variants."""
    initial = State(
        life=(Life.SERVES,) * len(ALL),
        follows=(0,) * len(ALL),
        silent=(0,) * len(ALL),
        age=(0,) * len(ALL),
    )

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = [("a tick", _tick(state, variant)), *_life_steps(state)]
        for who in ALL:
            if state.life[who] is Life.SERVES:
                steps += _word_steps(state, who, variant)
        return [
            (label, tuple(getattr(after, name) for name in FIELDS))
            for label, after in steps
        ]

    return Protocol(
        name="succession of speakers",
        candidate=False,
        fields=FIELDS,
        initial=tuple(getattr(initial, name) for name in FIELDS),
        transitions=transitions,
        invariants={"nobody_goes_by_old_word": _is_fresh},
    )
