"""The slots in use at the engines of one pool, and their number by class."""

from collections import Counter

from buckthornwall.utils import ClassId, GrantId, NodeId, RequestId

from .decisions import GrantDecision
from .engines import EngineState, Slot

__all__ = ["SlotTable"]


class SlotTable:
    """Slots in use by grant; each is also in `EngineState.running`.

    Attributes
    ----------
    in_use : collections.Counter
        Slots in use by class.
    non_urgent_in_use : int
        Slots in use by requests that are not urgent.
    """

    def __init__(self) -> None:
        self.in_use: Counter[ClassId] = Counter()
        self.non_urgent_in_use = 0
        self._slots: dict[GrantId, tuple[EngineState, Slot]] = {}
        self._granted: dict[RequestId, GrantDecision] = {}

    def __len__(self) -> int:
        """Return the number of slots in use."""
        return len(self._slots)

    def __contains__(self, grant: GrantId) -> bool:
        """Return whether a grant's slot is in use."""
        return grant in self._slots

    def get(self, grant: GrantId) -> tuple[EngineState, Slot] | None:
        """Return the engine and slot of a grant, if it is in use."""
        return self._slots.get(grant)

    def all(self) -> list[tuple[EngineState, Slot]]:
        """Return every slot in use with its engine."""
        return list(self._slots.values())

    def of_node(self, node: NodeId) -> list[Slot]:
        """Return the slots in use by an instance."""
        return [slot for _, slot in self._slots.values() if slot.node == node]

    def occupy(self, engine: EngineState, slot: Slot) -> None:
        """Add a slot of an engine."""
        engine.running[slot.grant] = slot
        self._slots[slot.grant] = (engine, slot)
        self.non_urgent_in_use += not slot.urgent
        self.in_use[slot.service_class] += 1

    def free(self, grant: GrantId) -> tuple[EngineState, Slot] | None:
        """Remove a slot; return its engine and the slot, or None if not in use."""
        found = self._slots.pop(grant, None)
        if found is None:
            return None
        engine, slot = found
        engine.running.pop(grant, None)
        self._granted.pop(slot.request, None)
        self.non_urgent_in_use -= not slot.urgent
        self.in_use[slot.service_class] -= 1
        if not self.in_use[slot.service_class]:
            del self.in_use[slot.service_class]
        return found

    def record_grant(self, decision: GrantDecision) -> None:
        """Record a grant, so that a repeated request gets the same one."""
        self._granted[decision.ticket.request] = decision

    def granted(self, request: RequestId) -> GrantDecision | None:
        """Return the grant of a request, or None if its slot is not in use."""
        decision = self._granted.get(request)
        in_use = decision is not None and decision.grant in self._slots
        return decision if in_use else None

    def withdraw(self, request: RequestId) -> None:
        """Free the slot of a request whose client disconnected."""
        decision = self._granted.pop(request, None)
        if decision is not None:
            self.free(decision.grant)
