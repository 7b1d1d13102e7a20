"""Specification: who is at the same position holds the same, also what was removed.

The store is a log of changes: one upstream is registered or removed, or another record
is written. Instances read the store, by a watch from a position or completely, or take
the view of one that is at a higher position, as members of a reader do. One that was
cut off from the store defers the removals in the first answer after that.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from minicheck import Protocol

from .tuples import replace_item

__all__ = ["Variant", "specification"]

NAMES = "ABC"
MAX_CHANGES = 3
REGISTERED, REMOVED, OTHER = "+", "-", "o"


class Variant(Enum):
    """The protocol as implemented, and broken variants of it."""

    AS_IS = "as it is"
    NEWEST_CHANGE_ONLY = "compare the newest change only, and take views as they are"
    MISSING_IS_NO_CHANGE = "a complete read is at the newest record that is left"
    DEFERRED_IS_IN_FORCE = "a deferred removal raises the position at once"
    OVERWRITE = "a view replaces what is known"


@dataclass(frozen=True)
class Instance:
    """What an instance knows; positions count the changes of the store.

    Attributes
    ----------
    held
        Position of the upstream's registration in force, 0 if there is none.
    read
        From where it watches.
    complete
        Up to where all changes are in force: no removal is deferred.
    change, removal
        The position that it reports: the newest change, and up to where all removals
        are in force.
    deferred
        Position as of which the upstream was removed, 0 if nothing is deferred.
    is_away
        Whether the store's next answer ends an outage.
    dropped
        Position of the last registration that it dropped.
    """

    held: int = 0
    read: int = 0
    complete: int = 0
    change: int = 0
    removal: int = 0
    deferred: int = 0
    is_away: bool = False
    dropped: int = 0

    @property
    def key(self) -> tuple[int, int]:
        """The position that it reports."""
        return self.change, self.removal


@dataclass(frozen=True)
class State:
    """The store's log, and the instances."""

    log: tuple[str, ...]
    instances: tuple[Instance, ...]


FIELDS = tuple(State.__dataclass_fields__)
Steps = Iterator[tuple[str, State]]


def registered_at(log: tuple[str, ...]) -> int:
    """Return the position of the upstream's registration, 0 if there is none."""
    for position in range(len(log), 0, -1):
        if log[position - 1] != OTHER:
            return position if log[position - 1] == REGISTERED else 0
    return 0


def _newest_record(log: tuple[str, ...]) -> int:
    """Return the position of the newest record that is left."""
    others = [at for at, change in enumerate(log, 1) if change == OTHER]
    return max([registered_at(log), *others], default=0)


def _drop(before: Instance, at: int) -> Instance:
    """Return the instance without the upstream, as of a position."""
    return replace(
        before,
        held=0,
        deferred=0,
        dropped=max(before.dropped, before.held),
        change=max(before.change, at),
    )


def _settle(instance: Instance, at: int) -> Instance:
    """Return the instance with all removals up to a position in force."""
    if instance.deferred:
        return instance
    return replace(
        instance,
        complete=max(instance.complete, instance.read),
        removal=max(instance.removal, at),
    )


def _read(
    state: State, before: Instance, is_complete: bool, variant: Variant
) -> Instance:
    """Return an instance after the store answered it."""
    log, now = state.log, len(state.log)
    tells_changes = variant is Variant.NEWEST_CHANGE_ONLY
    after = replace(before, read=now, is_away=False)
    registered = registered_at(log)
    change = now
    if is_complete and (tells_changes or variant is Variant.MISSING_IS_NO_CHANGE):
        change = _newest_record(log)
    is_removed = before.held and not registered
    if registered > before.held:
        after = replace(after, held=registered, deferred=0)
    if is_removed and before.is_away:
        after = replace(after, deferred=now)
    elif is_removed and not before.deferred:
        after = _drop(after, change)
    after = replace(after, change=max(after.change, change))
    if not after.deferred:
        at = now if is_complete and change == now else 0
        if before.held and not after.held:
            at = change
        return _settle(after, max(at, now if before.deferred else 0))
    if tells_changes or variant is Variant.DEFERRED_IS_IN_FORCE:
        return replace(after, complete=now)
    return after


def _end_deferral(before: Instance, variant: Variant) -> Instance:
    """Return an instance whose deferred removal is in force."""
    tells_changes = variant is Variant.NEWEST_CHANGE_ONLY
    if tells_changes or variant is Variant.DEFERRED_IS_IN_FORCE:
        return replace(_drop(before, 0), complete=before.read)
    return _settle(_drop(before, before.read), before.read)


def _follow(before: Instance, peer: Instance, variant: Variant) -> Instance:
    """Return an instance after it took the view of a peer."""
    overwrites = variant in (Variant.NEWEST_CHANGE_ONLY, Variant.OVERWRITE)
    held, deferred, dropped = before.held, before.deferred, before.dropped
    if peer.held and overwrites:
        held, deferred = peer.held, 0
    elif peer.held > (held or before.complete):
        held = peer.held
        deferred = 0 if held > deferred else deferred
    elif held and not peer.held and (held <= peer.complete or overwrites):
        held, deferred, dropped = 0, 0, max(dropped, held)
    read = max(before.read, peer.complete)
    after = replace(
        before,
        held=held,
        deferred=deferred,
        dropped=dropped,
        read=read,
        change=max(before.change, peer.change),
    )
    if not deferred:
        after = replace(after, complete=max(after.complete, read))
    return replace(after, removal=max(after.removal, min(peer.removal, after.complete)))


def _store_steps(state: State) -> Steps:
    if len(state.log) == MAX_CHANGES:
        return
    is_registered = bool(registered_at(state.log))
    change = REMOVED if is_registered else REGISTERED
    yield f"the upstream: {change}", replace(state, log=(*state.log, change))
    yield "another record is written", replace(state, log=(*state.log, OTHER))


def _instance_steps(state: State, place: int, variant: Variant) -> Steps:
    name, before = NAMES[place], state.instances[place]

    def moved(after: Instance) -> State:
        instances = replace_item(state.instances, place, after)
        return replace(state, instances=instances)

    if not before.is_away:
        yield f"{name} is cut off", moved(replace(before, is_away=True))
    yield f"{name} watches", moved(_read(state, before, False, variant))
    yield f"{name} reads everything", moved(_read(state, before, True, variant))
    if before.deferred:
        yield f"{name} ends its deferral", moved(_end_deferral(before, variant))
    for other, peer in enumerate(state.instances):
        if peer.key > before.key:
            after = _follow(before, peer, variant)
            yield f"{name} takes the view of {NAMES[other]}", moved(after)


def _holds_same(instances: tuple[Instance, ...]) -> bool:
    """Return whether instances at the same position hold the same upstream."""
    decided = [each for each in instances if not each.deferred]
    held: dict[tuple[int, int], int] = {}
    return all(held.setdefault(each.key, each.held) == each.held for each in decided)


def _keeps_registered(values: dict) -> bool:
    """Return whether nobody lacks an upstream whose registration it has read."""
    registered = registered_at(values["log"])
    return not registered or all(
        each.held for each in values["instances"] if each.complete >= registered
    )


def specification(variant: Variant = Variant.AS_IS, count: int = 3) -> Protocol:
    """Return the specification, or a broken variant of it.

    Parameters
    ----------
    variant
        The variant.
    count
        The number of instances.
    """
    start = Instance(held=1, read=1, complete=1, change=1)
    initial = State((REGISTERED,), (start,) * count)

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = list(_store_steps(state))
        for place in range(count):
            steps += _instance_steps(state, place, variant)
        return [
            (label, tuple(getattr(after, name) for name in FIELDS))
            for label, after in steps
        ]

    return Protocol(
        name="removals reach members",
        candidate=False,
        fields=FIELDS,
        initial=tuple(getattr(initial, name) for name in FIELDS),
        transitions=transitions,
        invariants={
            "same_position_same_upstreams": lambda s: _holds_same(s["instances"]),
            "dropped_stays_dropped": lambda s: all(
                each.held == 0 or each.held > each.dropped for each in s["instances"]
            ),
            "registered_is_kept": _keeps_registered,
        },
    )
