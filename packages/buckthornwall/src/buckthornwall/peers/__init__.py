"""Gossip between instances: membership, load, and the state in force.

In each zone one instance, the speaker, is elected by a fixed priority. It aggregates
the beacons of its zone's members into digests, exchanges these with the speakers of
other zones, and relays the digest of the whole fleet to its members, with heartbeats
between digests.

==================== =========================================================
`messages`           beacons, digests and heartbeats
`peer_view`          the view of the state in force
`report_builder`     digests and heartbeats that a speaker builds
`table`              the election, and the aggregation of what peers report
`received_message`   the last message of a peer, and when it was received
`relay_candidates`   instances that an isolated one may forward through
`departures`         peers that have announced their departure
`election`           the priority of instances in the election of a speaker
`freshness`          merges of the newest state and of the store's read age
`prefix_relay`       the cached prefixes that a speaker relays
`counts`             packed loads in heartbeats, by the order of the last digest
`work`               outstanding work at an upstream, and sums of it
`aggregation`        loads, reachability and rate limits of several peers
`totals`             totals of these over the fleet, as seen by this instance
`packing`            a compact binary form of loads and cached prefixes
`pacing`             when a speaker sends which kind of report
`recipients`         peers that are sent the same reports
`speaker_lookup`     how instances find the speaker of their zone
`crash_exchange`     gossip of requests that crash upstreams
`origin_exchange`    which software version began a stream
`origin_messages`    messages about that
`agent`              the tasks that send and receive datagrams
`views`              client and server of the state in force at a peer
==================== =========================================================
"""

from .agent import PeerAgent, PeerSettings
from .freshness import StateKey, freshness
from .messages import Beacon, Digest, Heartbeat, PeerState, PeerView, Work
from .relay_candidates import RelayCandidate, relay_candidates
from .table import PeerTable
from .views import ViewClient, ViewEncoder, answer_view
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
    "RelayCandidate",
    "ViewClient",
    "ViewEncoder",
    "Work",
    "add_work",
    "answer_view",
    "StateKey",
    "freshness",
    "subtract_local",
    "outstanding_work",
    "relay_candidates",
]
