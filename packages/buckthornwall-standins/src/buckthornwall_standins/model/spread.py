"""Specification: configurations reach all nodes and never revert.

Three nodes, a platform that publishes configurations 1 to 3, and a configuration
service that may serve any number published so far. A node may restart only while
another ready node stays up, since no state survives the loss of the whole fleet.
"""

from dataclasses import dataclass
from enum import Enum

from minicheck import Protocol

from .tuples import replace_item

__all__ = ["Variant", "specification"]

NODES = 3
LATEST = 3


class Variant(Enum):
    """The protocol as implemented, and broken variants of it."""

    AS_IS = "as it is"
    ADOPT_WHAT_COMES_LAST = "adopt whatever comes last, as by a timestamp"
    SERVE_BEFORE_ASKING_PEERS = "let a new node serve before it asks a peer"


@dataclass(frozen=True)
class State:
    """One state; `held` is 0 before a node has any configuration.

    `heard` marks the nodes that a ready peer has answered since they started, which
    are members of the fleet from then on. `everywhere` is the highest number that all
    members have held at the same time; `reverted` is set when a node's number
    decreases.
    """

    published: int
    shown: int
    held: tuple[int, ...]
    ready: tuple[bool, ...]
    heard: tuple[bool, ...]
    everywhere: int
    reverted: bool


FIELDS = tuple(State.__dataclass_fields__)


def _replace(state: State, **changes) -> State:
    fields = {name: getattr(state, name) for name in FIELDS}
    fields.update(changes)
    after = State(**fields)
    members = zip(after.held, after.heard, strict=True)
    in_force = [number for number, heard in members if heard]
    fields["everywhere"] = max(after.everywhere, min(in_force, default=0))
    return State(**fields)


def _offer_config(
    state: State, node: int, number: int, variant: Variant, **changes
) -> State:
    """Return the state after a node was offered a configuration."""
    current = state.held[node]
    adopts_any = variant is Variant.ADOPT_WHAT_COMES_LAST
    adopted = number if number > current or adopts_any else current
    return _replace(
        state,
        held=replace_item(state.held, node, adopted),
        reverted=state.reverted or adopted < current,
        **changes,
    )


def _platform_steps(state: State) -> list[tuple[str, State]]:
    steps = []
    if state.published < LATEST:
        number = state.published + 1
        steps.append(
            (f"{number} is published", _replace(state, published=number, shown=number))
        )
    steps += [
        (f"the service shows {number} again", _replace(state, shown=number))
        for number in range(1, state.published + 1)
        if number != state.shown
    ]
    return steps


def _node_steps(state: State, node: int, variant: Variant) -> list[tuple[str, State]]:
    name = "ABC"[node]
    steps = []
    read = _offer_config(state, node, state.shown, variant)
    steps.append((f"{name} reads the service", read))
    for peer in range(NODES):
        if peer == node or not state.ready[peer] or not state.held[peer]:
            continue
        heard = replace_item(state.heard, node, True)
        received = _offer_config(state, node, state.held[peer], variant, heard=heard)
        steps.append((f"{name} hears from {'ABC'[peer]}", received))
    may_serve = state.heard[node] or variant is Variant.SERVE_BEFORE_ASKING_PEERS
    if not state.ready[node] and state.held[node] and may_serve:
        ready = _replace(state, ready=replace_item(state.ready, node, True))
        steps.append((f"{name} begins to serve", ready))
    others_ready = any(ready for peer, ready in enumerate(state.ready) if peer != node)
    if others_ready:
        new = _replace(
            state,
            held=replace_item(state.held, node, 0),
            ready=replace_item(state.ready, node, False),
            heard=replace_item(state.heard, node, False),
        )
        steps.append((f"{name} is replaced", new))
    return steps


def specification(variant: Variant = Variant.AS_IS) -> Protocol:
    """Return the specification, or a broken variant of it."""
    initial = State(
        published=1,
        shown=1,
        held=(1,) * NODES,
        ready=(True,) * NODES,
        heard=(True,) * NODES,
        everywhere=1,
        reverted=False,
    )

    def transitions(values: tuple) -> list[tuple[str, tuple]]:
        state = State(*values)
        steps = _platform_steps(state)
        for node in range(NODES):
            steps += _node_steps(state, node, variant)
        return [
            (label, tuple(getattr(after, name) for name in FIELDS))
            for label, after in steps
        ]

    return Protocol(
        name="records spread",
        candidate=False,
        fields=FIELDS,
        initial=tuple(getattr(initial, name) for name in FIELDS),
        transitions=transitions,
        invariants={
            "never_reverts": lambda s: not s["reverted"],
            "in_force_everywhere_stays": lambda s: all(
                number >= s["everywhere"]
                for number, ready in zip(s["held"], s["ready"], strict=True)
                if ready
            ),
        },
    )
