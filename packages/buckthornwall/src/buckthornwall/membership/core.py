"""The table of instances, from the platform's list and from heartbeats."""

from dataclasses import dataclass

from buckthornwall.links import NodeState, PeerAddress
from buckthornwall.utils import (
    ConfigItem,
    ConfigNamespace,
    Incarnation,
    NodeId,
    UpstreamId,
    ZoneId,
    rendezvous_winner,
)

__all__ = ["Member", "MemberTable", "MembershipSettings"]


class MembershipSettings(ConfigNamespace):
    """Settings of heartbeats and suspicion."""

    section = "membership"

    heartbeat_s = ConfigItem(
        0.5, "Seconds between heartbeats to a peer.", minimum=0.05, maximum=60
    )
    suspect_after_s = ConfigItem(
        2.0, "Seconds without a heartbeat after which a peer is suspected.", minimum=0.1
    )
    forget_after_s = ConfigItem(
        30.0,
        "Seconds without a heartbeat after which an unlisted peer is removed.",
        minimum=1,
    )
    freeze_s = ConfigItem(
        1.0,
        "Seconds between checks of the clock that count as a freeze of this process.",
        minimum=0.2,
    )
    leaving_ttl_s = ConfigItem(
        30.0, "Seconds for which an upstream is treated as leaving.", minimum=1
    )


@dataclass
class Member:
    """State of one other instance; `last_heartbeat_at` is None if suspected."""

    node: NodeId
    address: str
    zone: ZoneId = ZoneId("")
    listed: bool = False
    state: NodeState = NodeState.JOINING
    incarnation: Incarnation = Incarnation(0)
    last_heartbeat_at: float | None = None
    silent_since: float = 0.0


class MemberTable:
    """The other instances by id; a state machine that is passed the time.

    Parameters
    ----------
    node
        This instance.
    settings
        The ``[membership]`` section.
    """

    def __init__(self, node: NodeId, settings: MembershipSettings) -> None:
        self.node = node
        self.settings = settings
        self.local_state = NodeState.JOINING
        self.members: dict[NodeId, Member] = {}
        self.list_received = False
        self._winners: dict[str, NodeId | None] = {}
        self._leaving_until: dict[UpstreamId, float] = {}
        self._first_hand_leaving_until: dict[UpstreamId, float] = {}
        self._resting_until: dict[UpstreamId, float] = {}

    def apply_list(self, listed: dict[NodeId, PeerAddress], now: float) -> None:
        """Apply the platform's list of instances, however old it is."""
        self.list_received = True
        for node, peer in listed.items():
            if node != self.node:
                member = self._member(node, peer.address, now)
                member.zone = peer.zone
                member.listed = True
                if member.last_heartbeat_at is None:
                    member.address = peer.address
        for node, member in list(self.members.items()):
            member.listed = node in listed
            self._forget_if_gone(member, now)

    def _member(self, node: NodeId, address: str, now: float) -> Member:
        if node not in self.members:
            self.members[node] = Member(node, address, silent_since=now)
        return self.members[node]

    def add_peer(self, peer: PeerAddress, now: float) -> None:
        """Add an instance that a peer or the settings name."""
        if peer.node != self.node:
            self._member(peer.node, peer.address, now)

    def record_heartbeat(
        self,
        node: NodeId,
        incarnation: Incarnation,
        state: NodeState,
        zone: ZoneId,
        now: float,
    ) -> bool:
        """Record a heartbeat.

        Returns
        -------
        bool
            Whether the member was suspected before, or changed its state or
            incarnation.
        """
        member = self._member(node, "", now)
        changed = (
            member.last_heartbeat_at is None
            or member.state is not state
            or member.incarnation != incarnation
        )
        if changed:
            self._winners.clear()
        member.incarnation = incarnation
        member.state = state
        member.zone = zone
        member.last_heartbeat_at = now
        return changed

    def suspect(self, node: NodeId, now: float) -> None:
        """Mark a member as suspected, as after the loss of its link."""
        member = self.members.get(node)
        if member is not None and member.last_heartbeat_at is not None:
            member.last_heartbeat_at = None
            member.silent_since = now
            self._winners.clear()

    def expire(self, now: float) -> list[NodeId]:
        """Suspect the members whose heartbeats timed out; return them."""
        silent = [
            member.node
            for member in self.members.values()
            if member.last_heartbeat_at is not None
            and now - member.last_heartbeat_at > self.settings.suspect_after_s
        ]
        for node in silent:
            self.suspect(node, now)
        for member in list(self.members.values()):
            self._forget_if_gone(member, now)
        return silent

    def _forget_if_gone(self, member: Member, now: float) -> None:
        silent_s = now - member.silent_since
        if (
            self.list_received
            and not member.listed
            and member.last_heartbeat_at is None
            and silent_s > self.settings.forget_after_s
        ):
            del self.members[member.node]

    def suspect_all(self, now: float) -> None:
        """Suspect every member until its next heartbeat, after a freeze."""
        for node in self.members:
            self.suspect(node, now)

    def live(self) -> list[NodeId]:
        """Return the instances that may hold a role, including this one."""
        nodes = [
            member.node
            for member in self.members.values()
            if member.last_heartbeat_at is not None and member.state is NodeState.READY
        ]
        if self.local_state is NodeState.READY:
            nodes.append(self.node)
        return nodes

    def unsuspected_nodes(self) -> set[NodeId]:
        """Return the instances that are not suspected, including this one."""
        nodes = {
            member.node
            for member in self.members.values()
            if member.last_heartbeat_at is not None
        }
        return nodes | {self.node}

    def share_count(self) -> int:
        """Return the number of instances among which the pools' slots are shared.

        A suspected instance counts while the platform lists it, since it may be on
        the other side of a network partition and still use its share.
        """
        return 1 + sum(
            member.listed or member.last_heartbeat_at is not None
            for member in self.members.values()
        )

    def winner(self, role: str) -> NodeId | None:
        """Return the live instance that holds `role`, by rendezvous hashing."""
        if role not in self._winners:
            self._winners[role] = rendezvous_winner(role, self.live())
        return self._winners[role]

    def set_local_state(self, state: NodeState) -> None:
        """Set the state that this instance announces."""
        self.local_state = state
        self._winners.clear()

    def mark_leaving(self, upstream: UpstreamId, now: float, first_hand: bool) -> None:
        """Treat an upstream as leaving for `leaving_ttl_s`.

        Only first-hand knowledge, from the platform's list or the upstream itself,
        is sent to peers; otherwise they would repeat an old report to each other
        without end.
        """
        until = now + self.settings.leaving_ttl_s
        self._leaving_until[upstream] = until
        if first_hand:
            self._first_hand_leaving_until[upstream] = until

    def clear_leaving(self, upstream: UpstreamId) -> None:
        """Stop treating an upstream as leaving, since a newer list has it as live."""
        self._leaving_until.pop(upstream, None)
        self._first_hand_leaving_until.pop(upstream, None)

    def is_leaving(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether an upstream is known to be leaving."""
        return self._leaving_until.get(upstream, now) > now

    def mark_resting(self, upstream: UpstreamId, until: float) -> None:
        """Send an upstream no requests until a time in seconds, as it asked for."""
        self._resting_until[upstream] = max(until, self.resting_until(upstream))

    def resting_until(self, upstream: UpstreamId) -> float:
        """Return the end of the rest that an upstream asked for, in seconds."""
        return self._resting_until.get(upstream, 0.0)

    def is_unavailable(self, upstream: UpstreamId, now: float) -> bool:
        """Return whether an upstream should get no new requests now."""
        return self.is_leaving(upstream, now) or now < self.resting_until(upstream)

    def leaving_upstreams(self, now: float) -> list[UpstreamId]:
        """Return the upstreams known first-hand to be leaving."""
        return [
            upstream
            for upstream, until in self._first_hand_leaving_until.items()
            if until > now
        ]
