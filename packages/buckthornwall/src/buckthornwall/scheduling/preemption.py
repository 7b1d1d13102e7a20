"""Choice of the slots to preempt for overdue urgent requests."""

from collections.abc import Callable

from .engines import EngineState, Slot
from .queue import FairQueue
from .slot_table import SlotTable

__all__ = ["choose_victims"]


def choose_victims(
    slots: SlotTable,
    queue: FairQueue,
    overdue: int,
    is_usable: Callable[[EngineState], bool],
) -> list[Slot]:
    """Return the slots to preempt, those of the lowest tiers first.

    A preempted response is resumed later after the tokens already delivered, so the
    cost is another prefill. No response is preempted twice, and within a tier the
    shortest is chosen first, since it needs the least prefill.

    Parameters
    ----------
    slots, queue
        The slots in use, and the queue with the service classes.
    overdue
        Number of overdue urgent requests.
    is_usable
        Returns whether an engine may get new requests.
    """
    in_use = slots.all()
    wanted = overdue - sum(slot.preempting for _, slot in in_use)
    victims = [
        slot
        for engine, slot in in_use
        if slot.preemptible
        and not slot.preempting
        and is_usable(engine)
        and queue.has_class(slot.service_class)
    ]
    victims.sort(key=lambda slot: (-queue.record(slot.service_class).tier, slot.tokens))
    return victims[: max(0, wanted)]
