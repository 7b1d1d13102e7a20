"""Simulation of a pool of model engines around the product's placement decisions.

Instances decide with the product's code, each by its local counts and by delayed
reports of its peers. There are no sockets and no processes: the transfer of bytes is
left out.

============= ============================================================
`engine`      engines that prefill and generate, crash and come back
`request`     what callers send, and what became of it
`instance`    one instance: its local counts, and the product's decisions
`simulation`  all of these on one clock
`large`       hundreds of instances at their worst load
`team_surge`  a team that sends many times its usual
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
