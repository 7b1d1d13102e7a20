"""Which slots are taken back for urgent work that is overdue."""

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
    """Return the slots to take back, those of the lowest tiers first.

    The answers are resumed later from what was delivered, so that the cost
    is reading a prompt again; none is interrupted twice, and the shortest
    is chosen first, which has the least to read again.

    Parameters
    ----------
    slots, queue
        What is in use, and the classes.
    overdue
        How many urgent requests wait for too long.
    is_usable
        Tells whether an engine may get new work.
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
