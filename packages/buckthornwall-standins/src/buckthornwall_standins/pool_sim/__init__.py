"""A pool of model engines in simulated time, played against the pure decisions.

Instances decide by the product's own code, each by its own counts and by old word of
the others. No socket, no process: what is left out is the way of bytes.

============= ============================================================
`engine`      engines that read and generate, crash and come back
`request`     what callers send, and what became of it
`instance`    one instance: its own counts, and the product's decisions
`simulation`  all of these on one clock
`large`       hundreds of instances at their worst load
============= ============================================================
"""

from .engine import EngineSpeed, SimEngine
from .request import POOL, SimRequest, Traffic
from .simulation import EngineFault, PoolSimulation

__all__ = [
    "POOL",
    "EngineFault",
    "EngineSpeed",
    "PoolSimulation",
    "SimEngine",
    "SimRequest",
    "Traffic",
]
