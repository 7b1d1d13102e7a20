"""What an instance tells its members of itself, and whom it dials."""

from buckthornwall.links import Heartbeat, LinkHub, PeerAddress
from buckthornwall.membership import MemberTable
from buckthornwall.records import RecordStore
from buckthornwall.utils import Clock, Incarnation, NodeId, ZoneId

__all__ = ["Announcer"]


class Announcer:
    """Heartbeats to members, and links to those whose addresses are known.

    Parameters
    ----------
    incarnation, zone
        Of this instance.
    members, store
        Who is there, and which records are in force.
    hub
        Carries messages and keeps links.
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
        """Keep a link to each member whose address is known."""
        for member in self.members.members.values():
            if member.address:
                self.hub.set_peer(member.node, member.address)

    def add_seeds(self, seeds: list[str]) -> None:
        """Take members from settings, as ``NODE=ADDRESS``, and dial them."""
        for seed in seeds:
            node, _, address = seed.partition("=")
            self._add_member(NodeId(node), address)
        self.dial_members()

    def record_hello(self, node: NodeId, address: str) -> None:
        """Record that a member has made itself known."""
        self._add_member(node, address)
        member = self.members.members[node]
        member.address = member.address or address
        self.dial_members()

    def _add_member(self, node: NodeId, address: str) -> None:
        self.members.add_peer(PeerAddress(node, address, ZoneId("")), self.clock.now())

    def send_member_list(self, node: NodeId) -> None:
        """Tell a member whose link is up of all others."""
        peers = [
            PeerAddress(member.node, member.address, member.zone)
            for member in self.members.members.values()
            if member.node != node and member.address
        ]
        self.hub.send(node, self._make_heartbeat(peers))

    def send_heartbeats(self) -> None:
        """Tell every member how this instance is."""
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
