"""Election of speakers and aggregation of loads, as a pure state machine.

In each zone the live instance with the highest priority is the speaker; the priority
is the weight, then a hash of the address, so no vote is needed. Members report to their
speaker; speakers send their zone's aggregate to each other, and the fleet's to their
members. If a zone has two speakers for a moment, only the sums are wrong meanwhile.
"""

import msgspec

from buckthornwall.pools import (
    CachedPrefixes,
    PoolReports,
    RankTokens,
)
from buckthornwall.utils import UpstreamId, ZoneId

from .aggregation import (
    sum_loads,
    sum_rank_tokens,
    sum_reports,
    sum_unreachable,
)
from .counts import CountsWriter, read_counts
from .departures import DepartingPeers
from .election import count_higher_members, election_priority, sender_priority
from .freshness import (
    merge_newer_revision,
)
from .messages import Beacon, Digest, Heartbeat, PeerState, Work
from .prefix_relay import PrefixRelay
from .received_message import ReceivedMessage
from .report_builder import build_digest, build_heartbeat
from .totals import PeerTotals

__all__ = ["PeerTable"]

MS_PER_S = 1000.0
# A new speaker sends reports to the members of its predecessor for this long: until
# they have received one, even if datagrams are lost, and have reported to it.
INHERITED_MEMBERS_S = 3.0


class PeerTable:
    """The peers that this instance knows.

    Parameters
    ----------
    address, weight, zone
        Address, capacity for relaying, and zone of this instance.
    silence_s
        Seconds without a message after which a peer is taken to be lost.
    stagger_s
        Seconds that an instance waits for each one of higher priority before it takes
        over, so that not all take over from a lost speaker at once.
    """

    def __init__(
        self,
        address: str,
        weight: float,
        zone: ZoneId,
        silence_s: float,
        stagger_s: float,
    ) -> None:
        self.address = address
        self.weight = weight
        self.zone = zone
        self.silence_s = silence_s
        self.stagger_s = stagger_s
        self.members: dict[str, ReceivedMessage] = {}
        self.zones: dict[ZoneId, ReceivedMessage] = {}
        self.speaker: ReceivedMessage | None = None
        self.reported_work: dict[UpstreamId, Work] = {}
        self.reported_rank_tokens: RankTokens = {}
        self.reported_pools = PoolReports()
        self.departures = DepartingPeers(silence_s)
        self.prefixes = PrefixRelay()
        self._counts = CountsWriter()
        self.totals = PeerTotals(self)

    # Receiving

    def receive_beacon(self, beacon: Beacon, now: float) -> bool:
        """Record a beacon of the zone; return whether its sender is new."""
        if beacon.address == self.address:
            return False
        if beacon.state is PeerState.LEAVING:
            self._receive_departure(beacon, now)
            return False
        self.departures.forget(beacon.address)
        if beacon.zone != self.zone:
            return False
        self.prefixes.local_zone.receive(beacon.cached_prefixes, now)
        is_new = beacon.address not in self.members
        self.members[beacon.address] = ReceivedMessage(beacon, now, now)
        return is_new

    def _receive_departure(self, beacon: Beacon, now: float) -> None:
        """Record a departure, which the peer announces until its process ends.

        Only the first announcement ends its time as a speaker. If each one restarted
        the wait for the next speaker, members would receive no updates until its end.
        """
        address = beacon.address
        self.departures.receive(beacon, now)
        self.members.pop(address, None)
        for speaker in (self.speaker, self.zones.get(beacon.zone)):
            if speaker is not None and speaker.message.address == address:
                speaker.last_seen_at = min(speaker.last_seen_at, now - self.silence_s)

    def receive_digest(self, digest: Digest, now: float) -> None:
        """Record a digest of the speaker of this zone or of another one.

        A relayed digest has the age that it states. A pointer to a speaker of this zone
        does not come from it; the agent queries the instance that it names.
        """
        sent_at = now - digest.age_ms / MS_PER_S
        is_stale = now - sent_at > self.silence_s
        if digest.address == self.address or is_stale:
            return
        if self.departures.is_leaving(digest.address, now):
            return
        if digest.zone != self.zone:
            if not digest.is_fleet and self._supersedes(
                digest, self.zones.get(digest.zone), now
            ):
                self.zones[digest.zone] = ReceivedMessage.from_digest(digest, sent_at)
                self.prefixes.remote_zones.receive(digest.cached_prefixes, now)
        elif not digest.is_pointer and self._supersedes(digest, self.speaker, now):
            self.speaker = ReceivedMessage.from_digest(digest, sent_at)

    def receive_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> CachedPrefixes | None:
        """Record that a speaker with a known digest is live, and its newest revision.

        Returns
        -------
        dict or None
            The cached prefixes that it holds, or None if it holds no loads.

        Raises
        ------
        PeerError
            PEER_MESSAGE if its packed fields are malformed.
        """
        is_local_zone = heartbeat.zone == self.zone
        received = self.speaker if is_local_zone else self.zones.get(heartbeat.zone)
        if received is None or received.message.address != heartbeat.address:
            return None
        if self.departures.is_leaving(heartbeat.address, now):
            return None
        received.update(heartbeat, now)
        merge_newer_revision(received.message, heartbeat)
        counts = read_counts(heartbeat, received.message, received.upstreams)
        if counts is None:
            return None
        received.message.loads, cached_prefixes = counts
        received.message.unreachable = heartbeat.unreachable
        received.message.rank_tokens = heartbeat.rank_tokens
        received.message.pool_reports = PoolReports(
            received.message.pool_reports.engine_speeds,
            heartbeat.pool_reports.team_tokens,
        )
        if not is_local_zone:
            self.prefixes.remote_zones.receive(cached_prefixes, now)
        return cached_prefixes

    def _supersedes(
        self, digest: Digest, current: ReceivedMessage | None, now: float
    ) -> bool:
        """Return whether a digest replaces the last one of its zone.

        A digest without instances is only a pointer to a speaker, or that of instances
        that all start: they follow the one of highest priority among themselves.
        """
        if current is None or now - current.last_seen_at > self.silence_s:
            return True
        if not digest.count and (digest.is_pointer or current.message.count):
            return False
        return sender_priority(digest) >= sender_priority(current.message)

    def expire(self, now: float) -> list[str]:
        """Drop peers that have been silent; return the members among them."""
        lost = [
            address
            for address, received in self.members.items()
            if now - received.last_seen_at > self.silence_s
        ]
        for address in lost:
            del self.members[address]
        for zone, received in list(self.zones.items()):
            if now - received.last_seen_at > self.silence_s:
                del self.zones[zone]
        self.departures.expire(now)
        return lost

    # Election and reports

    def zone_size(self) -> int:
        """Return the number of known instances of this zone, starting ones included."""
        followed = self.speaker.message.members if self.speaker is not None else ()
        return len({self.address, *self.members, *followed})

    def is_speaker(self, now: float) -> bool:
        """Return whether this instance is the speaker of its zone."""
        speaker = self.speaker
        if speaker is None:
            return True
        silent_s = now - speaker.last_seen_at
        if silent_s > self.silence_s and (
            silent_s > self.silence_s + self._takeover_delay_s()
        ):
            return True
        return election_priority(self.address, self.weight) > sender_priority(
            speaker.message
        )

    def is_outranked(self, digest: Digest, now: float) -> bool:
        """Return whether this zone's speaker has a higher priority than the sender."""
        if digest.is_pointer or digest.address == self.address:
            return False
        if self.is_speaker(now):
            return election_priority(self.address, self.weight) > sender_priority(
                digest
            )
        return sender_priority(self.speaker.message) > sender_priority(digest)

    def _takeover_delay_s(self) -> float:
        """Return the time that instances of higher priority have to take over first."""
        return self.succession_place() * self.stagger_s

    def succession_place(self) -> int:
        """Return how many members would take over from the speaker before this one.

        The instance must have a speaker.
        """
        return count_higher_members(self.speaker.message, self.address, self.weight)

    def speaker_address(self, now: float) -> str | None:
        """Return the speaker's address, or None if this instance is the speaker."""
        return None if self.is_speaker(now) else self.speaker.message.address

    def member_addresses(self, now: float) -> list[str]:
        """Return the members that a speaker reports to.

        They include the members of its predecessor: else these would not learn of the
        new speaker, and each would take over after a wait of its own. They include
        departing peers, which still serve and need the newest configuration.
        """
        addresses = dict.fromkeys(self.members)
        addresses |= dict.fromkeys(self.departures.in_zone(self.zone))
        speaker = self.speaker
        if speaker is not None and now - speaker.sent_at <= INHERITED_MEMBERS_S:
            addresses |= dict.fromkeys(speaker.message.members)
        addresses.pop(self.address, None)
        return list(addresses)

    def other_speakers(self) -> dict[ZoneId, str]:
        """Return the known speakers of other zones."""
        known = dict(self.speaker.message.speakers) if self.speaker else {}
        for zone, received in self.zones.items():
            known[zone] = received.message.address
        known.pop(self.zone, None)
        return known

    def make_digest(self, local_beacon: Beacon, is_fleet: bool, now: float) -> Digest:
        """Return the digest that this instance sends; see `build_digest`."""
        return build_digest(self, local_beacon, is_fleet, now)

    def assign_sequence(self, digest: Digest) -> None:
        """Set the sequence by which heartbeats refer to the order of upstreams."""
        self._counts.assign_sequence(digest)

    def add_counts(
        self, heartbeat: Heartbeat, local_beacon: Beacon, now: float
    ) -> None:
        """Add loads and cached prefixes to a heartbeat.

        Parameters
        ----------
        heartbeat
            Returned by `make_heartbeat`, after a digest that was numbered.
        local_beacon, now
            As in `make_digest`.
        """
        beacons = self.zone_beacons(local_beacon)
        remote = self.remote_zones(heartbeat.is_fleet)
        loads = sum_loads(beacons, remote)
        cached_prefixes = self.prefixes.current(local_beacon, heartbeat.is_fleet, now)
        self._counts.fill(heartbeat, loads, cached_prefixes)
        heartbeat.unreachable = sum_unreachable(beacons, remote)
        heartbeat.rank_tokens = sum_rank_tokens(beacons, remote)
        # Speeds change over seconds and would double the bytes of the counts, which a
        # rate of bytes makes as much older: digests hold them.
        reports = sum_reports(beacons, remote)
        heartbeat.pool_reports = PoolReports(team_tokens=reports.team_tokens)

    def zone_beacons(self, local_beacon: Beacon) -> list[Beacon]:
        """Return the beacons of this instance and of the zone's members."""
        return [local_beacon, *(received.message for received in self.members.values())]

    def remote_zones(self, is_fleet: bool) -> list[ReceivedMessage]:
        """Return the digests of other zones, or none if only this zone is covered."""
        return list(self.zones.values()) if is_fleet else []

    def make_heartbeat(
        self, local_beacon: Beacon, is_fleet: bool, now: float
    ) -> Heartbeat:
        """Return the heartbeat that this instance sends; see `build_heartbeat`."""
        return build_heartbeat(self, local_beacon, is_fleet, now)

    # State as seen by this instance

    def fleet_digest(self, local_beacon: Beacon, now: float) -> Digest:
        """Return the digest of the fleet that this instance follows."""
        if self.is_speaker(now):
            return self.make_digest(local_beacon, is_fleet=True, now=now)
        return self.speaker.message

    def newest_reports(self, now: float) -> list[Beacon | Digest]:
        """Return the reports of what other instances have in force."""
        if not self.is_speaker(now):
            return [self.speaker.message]
        received = [*self.members.values(), *self.zones.values()]
        return [each.message for each in received]

    def relayed_digest(self, local_beacon: Beacon, now: float) -> Digest:
        """Return the digest of the fleet for an instance that looks up its speaker.

        It states its age: sent as new, the digest of a dead speaker would be followed
        for up to twice as long.
        """
        digest = self.fleet_digest(local_beacon, now)
        return msgspec.structs.replace(digest, age_ms=self._age_ms(now), sequence=0)

    def _age_ms(self, now: float) -> int:
        """Return the time since the speaker of this zone was last seen."""
        if self.is_speaker(now):
            return 0
        return int((now - self.speaker.last_seen_at) * MS_PER_S)

    def read_age_s(self, now: float) -> float:
        """Return how long ago the store last answered any instance, in seconds.

        The instance must have a speaker.
        """
        return self.speaker.message.read_age_ms / MS_PER_S + self.staleness_s(now)

    def staleness_s(self, now: float) -> float:
        """Return the age in seconds of the report that this instance follows.

        0 if this instance is the speaker, and so follows its own reads of the store.
        """
        return 0.0 if self.is_speaker(now) else now - self.speaker.sent_at
