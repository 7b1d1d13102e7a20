"""Specification: a share of a pool is granted by one scheduler at a time.

Two entry instances each hold one share of a pool; two nodes are taken for the
scheduler, since membership views differ. An entry lends its share to one scheduler
by a numbered lease. A lease may expire at any time; a message that carries an
expired lease counts as late, however long it was delayed.
"""

from dataclasses import dataclass
from enum import Enum

from minicheck import Protocol

from .tuples import replace_item

__all__ = ["Variant", "specification"]

ENTRIES = 2
SCHEDULERS = 2
MAX_LEASES = 2
LOCAL = -1


class Variant(Enum):
    """The protocol as implemented, and broken variants of it."""

    AS_IS = "as it is"
    COUNT_FROM_RECEIPT = "count a lease from receipt, not from sending"
    GRANT_BEFORE_REPORTS = "give out every part before the entries have reported"
    MOVE_WITHOUT_END = "leave a part to another before the first has ended"


@dataclass(frozen=True)
class State:
    """One state.

    `lent` is the scheduler to which an entry has lent its share, or LOCAL; `lease`
    is the number of its newest lease, and leases up to `expired` have expired.
    `counted` holds, for each scheduler and entry, the lease that the scheduler
    counts as valid, or 0. `messages` are lease reports in transit (scheduler, entry,
    lease); `ends` are requests to end a lease, and `ended` their acknowledgements.
    """

    lent: tuple[int, ...]
    lease: tuple[int, ...]
    expired: tuple[int, ...]
    counted: tuple[tuple[int, ...], ...]
    messages: frozenset[tuple[int, int, int]]
    ends: frozenset[tuple[int, int, int]]
    ended: frozenset[tuple[int, int, int]]


FIELDS = tuple(State.__dataclass_fields__)


def _replace(state: State, **changes) -> State:
    fields = {name: getattr(state, name) for name in FIELDS}
    fields.update(changes)
    return State(**fields)


def _replace_counted(state: State, scheduler: int, entry: int, lease: int) -> tuple:
    row = replace_item(state.counted[scheduler], entry, lease)
    return replace_item(state.counted, scheduler, row)


def _entry_steps(state: State, entry: int, variant: Variant) -> list[tuple[str, State]]:
    steps = []
    name = f"entry {entry}"
    lent, lease = state.lent[entry], state.lease[entry]
    can_lend = lent == LOCAL or variant is Variant.MOVE_WITHOUT_END
    if can_lend and lease < MAX_LEASES:
        for scheduler in range(SCHEDULERS):
            if scheduler == lent:
                continue
            granted = _replace(
                state,
                lent=replace_item(state.lent, entry, scheduler),
                lease=replace_item(state.lease, entry, lease + 1),
                messages=state.messages | {(scheduler, entry, lease + 1)},
            )
            steps.append((f"{name} leaves its part to scheduler {scheduler}", granted))
    if lent != LOCAL:
        asked = _replace(state, ends=state.ends | {(lent, entry, lease)})
        steps.append((f"{name} asks scheduler {lent} to end", asked))
        counted = state.counted
        if variant is not Variant.COUNT_FROM_RECEIPT:
            # By the safety margin, the lease has expired earlier at the scheduler.
            for scheduler in range(SCHEDULERS):
                if counted[scheduler][entry] == lease:
                    counted = _replace_counted(state, scheduler, entry, 0)
        elif state.counted[lent][entry] == lease:
            counted = _replace_counted(state, lent, entry, 0)
        out = _replace(
            state,
            lent=replace_item(state.lent, entry, LOCAL),
            expired=replace_item(state.expired, entry, lease),
            counted=counted,
        )
        steps.append((f"{name}'s lease runs out", out))
        if (lent, entry, lease) in state.ended:
            back = _replace(
                state,
                lent=replace_item(state.lent, entry, LOCAL),
                expired=replace_item(state.expired, entry, lease),
            )
            steps.append((f"{name} hears that it has ended", back))
    return steps


def _scheduler_steps(state: State, variant: Variant) -> list[tuple[str, State]]:
    steps = []
    for scheduler, entry, lease in state.messages:
        late = lease <= state.expired[entry]
        ended = (scheduler, entry, lease) in state.ended
        if ended or (late and variant is not Variant.COUNT_FROM_RECEIPT):
            continue
        counted = _replace(
            state, counted=_replace_counted(state, scheduler, entry, lease)
        )
        steps.append((f"scheduler {scheduler} counts on entry {entry}", counted))
    for scheduler, entry, lease in state.ends:
        if (scheduler, entry, lease) in state.ended:
            continue
        ended = _replace(
            state,
            counted=_replace_counted(state, scheduler, entry, 0),
            ended=state.ended | {(scheduler, entry, lease)},
        )
        steps.append((f"scheduler {scheduler} ends for entry {entry}", ended))
    if variant is Variant.GRANT_BEFORE_REPORTS:
        for scheduler in range(SCHEDULERS):
            everything = replace_item(
                state.counted, scheduler, (MAX_LEASES + 1,) * ENTRIES
            )
            label = f"scheduler {scheduler} counts on everyone"
            steps.append((label, _replace(state, counted=everything)))
    return steps


def _count_holders(state: dict, entry: int) -> int:
    """Return how many instances would grant slots of an entry's share now."""
    schedulers = sum(row[entry] > 0 for row in state["counted"])
    return schedulers + (state["lent"][entry] == LOCAL)


def specification(variant: Variant = Variant.AS_IS) -> Protocol:
    """Return the specification, or a broken variant of it."""
    initial = State(
        lent=(LOCAL,) * ENTRIES,
        lease=(0,) * ENTRIES,
        expired=(0,) * ENTRIES,
        counted=((0,) * ENTRIES,) * SCHEDULERS,
        messages=frozenset(),
        ends=frozenset(),
        ended=frozenset(),
    )

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = _scheduler_steps(state, variant)
        for entry in range(ENTRIES):
            steps += _entry_steps(state, entry, variant)
        return [
            (label, tuple(getattr(after, name) for name in FIELDS))
            for label, after in steps
        ]

    return Protocol(
        name="pool parts",
        candidate=False,
        fields=FIELDS,
        initial=tuple(getattr(initial, name) for name in FIELDS),
        transitions=transitions,
        invariants={
            "a_part_is_given_out_by_one": lambda s: all(
                _count_holders(s, entry) <= 1 for entry in range(ENTRIES)
            ),
        },
    )
