"""What the listeners of one process share."""

import math
from dataclasses import dataclass, field

import trio

from buckthornwall.capacity import MemoryBudget
from buckthornwall.utils import Clock

__all__ = ["SharedResources"]


@dataclass(slots=True)
class SharedResources:
    """What the listeners of one process share.

    `memory` is charged with all that they hold, and `body_turns` is held by a
    connection while it reads and parses a part of a body.
    """

    memory: MemoryBudget
    body_turns: trio.Lock = field(default_factory=trio.Lock)

    @classmethod
    def unlimited(cls, clock: Clock) -> "SharedResources":
        """Return resources that never run out."""
        return cls(MemoryBudget(math.inf, clock))
