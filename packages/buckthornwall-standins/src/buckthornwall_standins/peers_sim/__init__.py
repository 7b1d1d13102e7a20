"""A fleet in simulated time that hears of changes through its speakers.

============= ============================================================
`network`     datagrams and views in memory, cut, lost or late
`peer`        one instance: the product's peers, discovery and state synchronisation
`simulation`  zones of instances before a store that changes all the time
`word_age`    how old what instances know of each other's work is, at what cost
`soak`        faults drawn from a seed, and how stale they leave each instance
============= ============================================================
"""

from .peer import SimPeer
from .simulation import PeersSimulation

__all__ = ["PeersSimulation", "SimPeer"]
