"""What instances tell each other: who is there, how loaded, what is in force.

============= ============================================================
`messages`    beacons, digests, heartbeats, and the view that a peer may ask for
`table`       who speaks for a zone, and what it tells
`received`    the last message of a sender
`departures`     who has said that it leaves
`order`       the order in which instances speak
`newest`      what is newest of two words
`parts`       which parts of prompts a speaker tells of
`counts`      counts in heartbeats, named as in the last digest
`work`        the work of one instance, and sums of it
`sums`        what several instances tell, put together
`packing`     counts of work in few bytes
`pacing`      how often a speaker tells what
`listeners`   whom it tells the same words
`speaker_lookup`   how instances find the speaker of their zone
`agent`       the tasks that tell and hear
`views`       asking a peer for what is in force, and answering that
============= ============================================================
"""

from .agent import PeerAgent, PeerSettings
from .messages import Beacon, Digest, Heartbeat, PeerState, PeerView, Work
from .table import PeerTable
from .views import ViewClient, answer_view
from .work import add_work, outstanding_work, subtract_local

__all__ = [
    "Beacon",
    "Digest",
    "Heartbeat",
    "PeerAgent",
    "PeerSettings",
    "PeerState",
    "PeerTable",
    "PeerView",
    "ViewClient",
    "Work",
    "add_work",
    "answer_view",
    "subtract_local",
    "outstanding_work",
]
