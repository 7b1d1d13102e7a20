"""Specification: no change is missed or undone when the store returns from a copy.

The store is a log: the leaving of one upstream, and configurations by number. It may
return from an older copy, which begins its next era; what it has lost is written again
in any order, between other writes. Two readers watch it, read it completely, and take
each other's views. A watch is answered with the changes after a revision, whichever
changes have that revision now; one from a revision that the store has not reached is
refused, and the reader then reads everything.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from minicheck import Protocol

from .tuples import replace_item

__all__ = ["Variant", "specification"]

NAMES = "AB"
MAX_ERA = 3
MAX_CHANGES = 4
MAX_CONFIG = 2
LEAVING = 0  # the change by which the upstream leaves; others are configurations


class Variant(Enum):
    """The protocol as implemented, and broken variants of it."""

    AS_IS = "as it is"
    REVISIONS_ONLY = "go on from the highest revision, whatever its era"
    BELIEVE_THE_COPY = "let the copy undo what was known"
    VIEWS_BY_REVISION = "take the view with the higher configuration and revision"


@dataclass(frozen=True)
class Reader:
    """A reader's position and what it has in force.

    `knew` is whether it ever knew that the upstream leaves.
    """

    era: int = 1
    revision: int = 0
    uses: bool = True
    knew: bool = False
    config: int = 0


@dataclass(frozen=True)
class State:
    """One state.

    `log` holds the store's changes, `copied` how many of them the copy has, and `lost`
    the changes that are still to be written again. `went_back` is set when a reader
    takes a state of an era before its own.
    """

    era: int = 1
    log: tuple[int, ...] = ()
    copied: int = 0
    lost: frozenset[int] = frozenset()
    readers: tuple[Reader, ...] = (Reader(), Reader())
    went_back: bool = False


FIELDS = tuple(State.__dataclass_fields__)
Steps = Iterator[tuple[str, State]]


def _environment_steps(state: State) -> Steps:
    if len(state.log) < MAX_CHANGES:
        published = max((*state.log, *state.lost, 0))
        if published < MAX_CONFIG:
            yield "a configuration", _write(state, published + 1)
        if LEAVING not in (*state.log, *state.lost):
            yield "the upstream leaves", _write(state, LEAVING)
        for change in sorted(state.lost):
            yield "a lost change is written again", _write(state, change)
    if state.copied < len(state.log):
        yield "a copy is made", replace(state, copied=len(state.log))
    if state.era < MAX_ERA and state.copied < len(state.log):
        lost = state.lost | frozenset(state.log[state.copied :])
        log = state.log[: state.copied]
        restored = replace(state, era=state.era + 1, log=log, lost=lost)
        yield "the store returns from the copy", restored


def _write(state: State, change: int) -> State:
    return replace(state, log=(*state.log, change), lost=state.lost - {change})


def _apply(reader: Reader, changes: tuple[int, ...]) -> Reader:
    left = LEAVING in changes
    return replace(
        reader,
        uses=reader.uses and not left,
        knew=reader.knew or left,
        config=max((reader.config, *changes)),
    )


def _read_all(state: State, reader: Reader, variant: Variant) -> Reader:
    after = _apply(reader, state.log)
    if variant is Variant.BELIEVE_THE_COPY:
        after = replace(after, uses=LEAVING not in state.log)
    revision = len(state.log)
    if variant is Variant.REVISIONS_ONLY:
        revision = max(reader.revision, revision)
    return replace(after, era=state.era, revision=revision)


def _watch(state: State, reader: Reader, variant: Variant) -> Reader:
    is_other_era = reader.era != state.era and variant is not Variant.REVISIONS_ONLY
    if is_other_era or reader.revision > len(state.log):
        return _read_all(state, reader, variant)
    after = _apply(reader, state.log[reader.revision :])
    return replace(after, era=state.era, revision=len(state.log))


def _freshness(reader: Reader, variant: Variant) -> tuple[int, ...]:
    by_revision = (reader.config, reader.revision)
    has_era = variant not in (Variant.VIEWS_BY_REVISION, Variant.REVISIONS_ONLY)
    return (reader.era, *by_revision) if has_era else by_revision


def _take_view(reader: Reader, other: Reader, variant: Variant) -> Reader:
    config = max(reader.config, other.config)
    is_older = (other.era, other.revision) < (reader.era, reader.revision)
    if variant is Variant.AS_IS and is_older:
        return replace(reader, config=config)
    knew = reader.knew or other.knew
    uses = other.uses and not (variant is Variant.AS_IS and reader.knew)
    return Reader(other.era, other.revision, uses, knew, config)


def _reader_steps(state: State, index: int, variant: Variant) -> Steps:
    reader, other = state.readers[index], state.readers[1 - index]
    name, other_name = NAMES[index], NAMES[1 - index]

    def changed_to(after: Reader) -> State:
        return replace(
            state,
            readers=replace_item(state.readers, index, after),
            went_back=state.went_back or after.era < reader.era,
        )

    yield f"{name} watches", changed_to(_watch(state, reader, variant))
    yield f"{name} reads everything", changed_to(_read_all(state, reader, variant))
    if _freshness(other, variant) > _freshness(reader, variant):
        taken = _take_view(reader, other, variant)
        yield f"{name} takes the view of {other_name}", changed_to(taken)


def _misses_a_change(state: dict) -> bool:
    """Return whether a reader is at the store's position without its contents."""
    log = state["log"]
    for reader in state["readers"]:
        if (reader.era, reader.revision) != (state["era"], len(log)):
            continue
        if (reader.uses and LEAVING in log) or reader.config < max((*log, 0)):
            return True
    return False


def specification(variant: Variant = Variant.AS_IS) -> Protocol:
    """Return the specification, or a broken variant of it."""

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = list(_environment_steps(state))
        for index in range(len(state.readers)):
            steps += _reader_steps(state, index, variant)
        return [
            (label, tuple(getattr(after, name) for name in FIELDS))
            for label, after in steps
            if after != state
        ]

    return Protocol(
        name="a store returns from a copy",
        candidate=False,
        fields=FIELDS,
        initial=tuple(getattr(State(), name) for name in FIELDS),
        transitions=transitions,
        invariants={
            "no_change_is_missed": lambda s: not _misses_a_change(s),
            "what_left_is_not_used_again": lambda s: (
                not any(reader.knew and reader.uses for reader in s["readers"])
            ),
            "no_reader_returns_to_a_former_era": lambda s: not s["went_back"],
        },
    )
