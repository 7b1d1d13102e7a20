"""Specification: reports in use stay fresh while a zone's speaker changes.

Three instances of one zone; in the order of election A comes first, then B, then C. An
instance uses its own reading of the store if it is the speaker, and otherwise the
report of the speaker that it follows. Time passes in ticks; between two ticks datagrams
may arrive in any order, or never. A may leave gracefully, announcing it as long as it
lives, and any instance may die. Not modelled: an instance that receives nothing for
long reads from any instance that speaks, which would hide the failure.
"""

from dataclasses import dataclass
from enum import Enum

from minicheck import Protocol

from .tuples import replace_item

__all__ = ["Variant", "specification"]

NAMES = "ABC"
INSTANCES = range(len(NAMES))
# Ticks of silence after which a speaker is presumed gone, and the additional ticks that
# an instance waits for those before it in the order, by its position.
SILENCE_TICKS = 2
STAGGER_TICKS = (0, 0, 1)
MAX_AGE_TICKS = SILENCE_TICKS + max(STAGGER_TICKS)
MAX_TICKS = MAX_AGE_TICKS + 1


class Life(Enum):
    """An instance serves, announces that it leaves, or has ended."""

    SERVES = "serves"
    LEAVES = "leaves"
    ENDED = "ended"


class Variant(Enum):
    """The protocol as implemented, and broken variants of it."""

    AS_IS = "as it is"
    LEAVE_BEGINS_WAIT = "begin the wait for the next speaker with each leave"
    PASSED_ON_AS_NEW = "take word that is passed on for new"
    NEVER_SPEAK_UP = "wait for those before in the order for ever"


@dataclass(frozen=True)
class State:
    """One state; an instance that speaks `follows` itself.

    `silent` counts the ticks for which an instance takes its speaker to be silent,
    `age` the ticks since the report that it uses was read from the store.
    """

    life: tuple[Life, ...]
    follows: tuple[int, ...]
    silent: tuple[int, ...]
    age: tuple[int, ...]


FIELDS = tuple(State.__dataclass_fields__)
Steps = list[tuple[str, State]]


def _follow(state: State, instance: int, speaker: int, silent: int, age: int) -> State:
    return State(
        state.life,
        replace_item(state.follows, instance, speaker),
        replace_item(state.silent, instance, silent),
        replace_item(state.age, instance, age),
    )


def _speaks(state: State, instance: int) -> bool:
    return state.follows[instance] == instance


def _tick(state: State, variant: Variant) -> State:
    """Return the state after a tick; silent speakers are succeeded."""
    after = state
    for instance in INSTANCES:
        if state.life[instance] is Life.ENDED or _speaks(state, instance):
            continue
        silent = min(state.silent[instance] + 1, MAX_TICKS)
        age = min(state.age[instance] + 1, MAX_TICKS)
        defers = variant is Variant.NEVER_SPEAK_UP and STAGGER_TICKS[instance]
        if silent > SILENCE_TICKS + STAGGER_TICKS[instance] and not defers:
            after = _follow(after, instance, instance, 0, 0)
        else:
            after = _follow(after, instance, state.follows[instance], silent, age)
    return after


def _life_steps(state: State) -> Steps:
    steps = []
    if state.life[0] is Life.SERVES:
        leaves = State(replace_item(state.life, 0, Life.LEAVES), *_rest(state))
        steps.append(("A leaves", leaves))
    for instance in INSTANCES:
        if state.life[instance] is not Life.ENDED:
            ended = State(replace_item(state.life, instance, Life.ENDED), *_rest(state))
            steps.append((f"{NAMES[instance]} ends", ended))
    return steps


def _rest(state: State) -> tuple:
    return state.follows, state.silent, state.age


def _message_steps(state: State, instance: int, variant: Variant) -> Steps:
    """Return the messages of other instances that may reach an instance."""
    steps = []
    for other in INSTANCES:
        if other == instance or state.life[other] is Life.ENDED:
            continue
        if state.life[other] is Life.LEAVES:
            steps += _leave_received_steps(state, instance, other, variant)
        elif _speaks(state, other):
            steps += _digest_received_steps(state, instance, other)
        else:
            steps += _relayed_steps(state, instance, other, variant)
    return steps


def _leave_received_steps(
    state: State, instance: int, other: int, variant: Variant
) -> Steps:
    if state.follows[instance] != other:
        return []
    silent = max(state.silent[instance], SILENCE_TICKS)
    if variant is Variant.LEAVE_BEGINS_WAIT:
        silent = SILENCE_TICKS
    after = _follow(state, instance, other, silent, state.age[instance])
    return [(f"{NAMES[instance]} hears that {NAMES[other]} leaves", after)]


def _digest_received_steps(state: State, instance: int, other: int) -> Steps:
    followed = state.follows[instance]
    is_silent = not _speaks(state, instance) and state.silent[instance] > SILENCE_TICKS
    if other > followed and not is_silent:
        return []
    after = _follow(state, instance, other, 0, 0)
    return [(f"{NAMES[instance]} hears {NAMES[other]}", after)]


def _relayed_steps(state: State, instance: int, other: int, variant: Variant) -> Steps:
    """Return the step of an instance that asks another one that does not speak."""
    speaker = state.follows[other]
    if (
        speaker == instance
        or state.silent[other] > SILENCE_TICKS
        or speaker > state.follows[instance]
    ):
        return []
    silent, age = state.silent[other], state.age[other]
    if variant is Variant.PASSED_ON_AS_NEW:
        silent = 0
    elif speaker == state.follows[instance] and silent >= state.silent[instance]:
        return []
    after = _follow(state, instance, speaker, silent, age)
    return [(f"{NAMES[instance]} is told by {NAMES[other]} of {NAMES[speaker]}", after)]


def _is_fresh(values: dict) -> bool:
    return all(
        age <= MAX_AGE_TICKS
        for life, age in zip(values["life"], values["age"], strict=True)
        if life is Life.SERVES
    )


def specification(variant: Variant = Variant.AS_IS) -> Protocol:
    """Return the specification, or a broken variant of it."""
    initial = State(
        life=(Life.SERVES,) * len(INSTANCES),
        follows=(0,) * len(INSTANCES),
        silent=(0,) * len(INSTANCES),
        age=(0,) * len(INSTANCES),
    )

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = [("a tick", _tick(state, variant)), *_life_steps(state)]
        for instance in INSTANCES:
            if state.life[instance] is Life.SERVES:
                steps += _message_steps(state, instance, variant)
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
