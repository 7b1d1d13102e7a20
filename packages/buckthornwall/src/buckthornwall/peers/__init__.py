"""What instances tell each other: who is there, how loaded, what is in force.

============= ============================================================
`messages`    the beacon, and the view that a peer may ask for
`table`       who was heard, and what they said last
`agent`       the tasks that send and hear beacons
`views`       asking a peer for what is in force, and answering that
============= ============================================================
"""

from .agent import PeerAgent, PeerSettings
from .messages import Beacon, PeerState, PeerView
from .table import PeerTable
from .views import ViewClient, answer_view

__all__ = [
    "Beacon",
    "PeerAgent",
    "PeerSettings",
    "PeerState",
    "PeerTable",
    "PeerView",
    "ViewClient",
    "answer_view",
]
