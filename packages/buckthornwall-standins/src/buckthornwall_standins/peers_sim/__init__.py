"""A fleet in simulated time whose instances receive changes from zone speakers.

The speaker of a zone is its elected leader, which aggregates and relays its zone's
reports.

============= ============================================================
`network`     datagrams and views in memory, delayed, lost or blocked
`peer`        one instance: the product's peers, discovery and state synchronisation
`simulation`  zones of instances and a store that changes all the time
`word_age`    age of the peers' work reports, and the cost of sending them
`soak`        random faults from a seed, and how far instances lag behind the store
============= ============================================================
"""

from .peer import SimPeer
from .simulation import PeersSimulation

__all__ = ["PeersSimulation", "SimPeer"]
