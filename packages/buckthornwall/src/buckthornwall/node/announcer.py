"""Heartbeats of an instance to the members, and the links that it opens."""

from buckthornwall.links import Heartbeat, LinkHub, PeerAddress
from buckthornwall.membership import MemberTable
from buckthornwall.records import RecordStore
from buckthornwall.utils import Clock, Incarnation, NodeId, ZoneId

__all__ = ["Announcer"]


class Announcer:
    """Sends heartbeats to members and dials those whose addresses are known.

    Parameters
    ----------
    incarnation, zone
        Incarnation and zone of this instance.
    members, store
        Table of the members, and the records in force.
    hub
        Sends messages and maintains links.
    clock
        Source of time.
    """

    def __init__(
        self,
        incarnation: Incarnation,
        zone: ZoneId,
        members: MemberTable,
        store: RecordStore,
        hub: LinkHub,
        clock: Clock,
    ) -> None:
        self.incarnation = incarnation
        self.zone = zone
        self.members = members
        self.store = store
        self.hub = hub
        self.clock = clock

    def dial_members(self) -> None:
        """Maintain a link to each member whose address is known."""
        for member in self.members.members.values():
            if member.address:
                self.hub.set_peer(member.node, member.address)

    def add_seeds(self, seeds: list[str]) -> None:
        """Add the members from the settings, as ``NODE=ADDRESS``, and dial them."""
        for seed in seeds:
            node, _, address = seed.partition("=")
            self._add_member(NodeId(node), address)
        self.dial_members()

    def record_hello(self, node: NodeId, address: str) -> None:
        """Add a member that sent `Hello`, and dial it."""
        self._add_member(node, address)
        member = self.members.members[node]
        member.address = member.address or address
        self.dial_members()

    def _add_member(self, node: NodeId, address: str) -> None:
        self.members.add_peer(PeerAddress(node, address, ZoneId("")), self.clock.now())

    def send_member_list(self, node: NodeId) -> None:
        """Send a member the addresses of all others, in a heartbeat."""
        peers = [
            PeerAddress(member.node, member.address, member.zone)
            for member in self.members.members.values()
            if member.node != node and member.address
        ]
        self.hub.send(node, self._make_heartbeat(peers))

    def send_heartbeats(self) -> None:
        """Send a heartbeat with the state of this instance to all members."""
        heartbeat = self._make_heartbeat([])
        for node in list(self.members.members):
            self.hub.send(node, heartbeat)

    def _make_heartbeat(self, peers: list[PeerAddress]) -> Heartbeat:
        return Heartbeat(
            self.incarnation,
            self.members.local_state,
            self.zone,
            self.store.number,
            self.store.digest,
            self.members.leaving_upstreams(self.clock.now()),
            peers,
        )
