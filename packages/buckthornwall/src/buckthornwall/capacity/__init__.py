"""What an instance holds for its clients, and what gives way when that is too much.

=============== ==========================================================
`settings`      the machine's memory and descriptors, and the shares of them
`memory_budget` the account of the bytes that are held
`freed_memory`  memory that was held goes back to the system
`costs`         what connections, heads and requests take beside their bytes
=============== ==========================================================
"""

from .costs import CONNECTION_BYTES, REQUEST_BYTES, growing_bytes, head_bytes
from .freed_memory import FreedMemory
from .memory_budget import Holding, MemoryBudget, MemoryFull
from .settings import CapacitySettings, ConnectionLimits

__all__ = [
    "CONNECTION_BYTES",
    "REQUEST_BYTES",
    "CapacitySettings",
    "ConnectionLimits",
    "FreedMemory",
    "Holding",
    "MemoryBudget",
    "MemoryFull",
    "growing_bytes",
    "head_bytes",
]
