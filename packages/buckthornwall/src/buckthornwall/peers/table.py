"""Who speaks for a zone, and the sum of all work: a pure state machine.

In each zone the live instance of the highest order speaks; the order is weight,
then a hash of addresses, so no vote is needed. Everyone tells its speaker what
it does; the speakers tell each other their zones' sums, and their members the
whole. Two speakers in one zone for a moment make the sums wrong for a moment,
no more.
"""

import msgspec

from buckthornwall.pools import (
    CachedPrefixes,
    LimitReports,
    Unreachable,
    merge_limit_reports,
)
from buckthornwall.pools.load import PeerLoad
from buckthornwall.utils import UpstreamId, ZoneId

from .aggregation import merge_limits, sum_loads, sum_unreachable
from .counts import CountsWriter, read_counts
from .departures import DepartingPeers
from .election import election_priority, sender_priority
from .freshness import merge_newer_revision, merge_read_age
from .messages import Beacon, Digest, Heartbeat, PeerState, Work
from .prefix_relay import PrefixRelay
from .received_message import ReceivedMessage
from .work import NO_WORK, subtract_local

__all__ = ["PeerTable"]

MS_PER_S = 1000.0
# Who follows a speaker tells the members that the old one named for so many seconds:
# until they have received it, also where datagrams are lost, and told it of themselves.
INHERITED_MEMBERS_S = 3.0


class PeerTable:
    """What this instance knows of the others.

    Parameters
    ----------
    address, weight, zone
        Where this instance is, and how much it can carry for others.
    silence_s
        Seconds without a word after which a sender is taken to be gone.
    stagger_s
        Seconds that each place in the order waits longer than the one before
        it, so that a dead speaker is not followed by all at once.
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
        self.departures = DepartingPeers(silence_s)
        self.prefixes = PrefixRelay()
        self._counts = CountsWriter()

    # Hearing

    def receive_beacon(self, beacon: Beacon, now: float) -> bool:
        """Take a beacon of the zone; tell whether its sender is new here."""
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
        """Record that an instance leaves; it says so until it has ended.

        Only the first word ends its time as a speaker. Where each word begins the wait
        for the next speaker anew, members hear no news until it has ended.
        """
        address = beacon.address
        self.departures.receive(beacon, now)
        self.members.pop(address, None)
        for speaker in (self.speaker, self.zones.get(beacon.zone)):
            if speaker is not None and speaker.message.address == address:
                speaker.last_seen_at = min(speaker.last_seen_at, now - self.silence_s)

    def receive_digest(self, digest: Digest, now: float) -> None:
        """Take a digest of this zone's speaker, or of another zone's.

        Passed on by others it is as old as they say. One that only points to a speaker
        of this zone is not its word; the agent queries the instance that it names.
        """
        at = now - digest.age_ms / MS_PER_S
        is_stale = now - at > self.silence_s
        if digest.address == self.address or is_stale:
            return
        if self.departures.is_leaving(digest.address, now):
            return
        if digest.zone != self.zone:
            if not digest.is_fleet and self._supersedes(
                digest, self.zones.get(digest.zone), now
            ):
                self.zones[digest.zone] = ReceivedMessage.from_digest(digest, at)
                self.prefixes.remote_zones.receive(digest.cached_prefixes, now)
        elif not digest.is_pointer and self._supersedes(digest, self.speaker, now):
            self.speaker = ReceivedMessage.from_digest(digest, at)

    def receive_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> CachedPrefixes | None:
        """Record that a speaker whose digest is known lives, and what is newest.

        Returns
        -------
        dict or None
            The prefixes that it tells of, if it tells of work at upstreams.

        Raises
        ------
        PeerError
            PEER_MESSAGE if its counts are none.
        """
        is_local_zone = heartbeat.zone == self.zone
        received = self.speaker if is_local_zone else self.zones.get(heartbeat.zone)
        if received is None or received.message.address != heartbeat.address:
            return None
        if self.departures.is_leaving(heartbeat.address, now):
            return None
        received.last_seen_at = received.sent_at = now
        received.message.read_age_ms = heartbeat.read_age_ms
        received.message.store_uptime_ms = heartbeat.store_uptime_ms
        received.message.limits = heartbeat.limits
        merge_newer_revision(received.message, heartbeat)
        counts = read_counts(heartbeat, received.message, received.upstreams)
        if counts is None:
            return None
        received.message.loads, cached_prefixes = counts
        received.message.unreachable = heartbeat.unreachable
        if not is_local_zone:
            self.prefixes.remote_zones.receive(cached_prefixes, now)
        return cached_prefixes

    def _supersedes(
        self, digest: Digest, current: ReceivedMessage | None, now: float
    ) -> bool:
        """Tell whether a digest counts in place of the last one of its zone.

        One without instances only points to a speaker.
        """
        if current is None or now - current.last_seen_at > self.silence_s:
            return True
        if not digest.count:
            return False
        return sender_priority(digest) >= sender_priority(current.message)

    def expire(self, now: float) -> list[str]:
        """Drop who has been silent; return the members among them."""
        gone = [
            address
            for address, received in self.members.items()
            if now - received.last_seen_at > self.silence_s
        ]
        for address in gone:
            del self.members[address]
        for zone, received in list(self.zones.items()):
            if now - received.last_seen_at > self.silence_s:
                del self.zones[zone]
        self.departures.expire(now)
        return gone

    # Speaking

    def is_speaker(self, now: float) -> bool:
        """Tell whether this instance speaks for its zone."""
        speaker = self.speaker
        if speaker is None:
            return True
        silent_s = now - speaker.last_seen_at
        if silent_s > self.silence_s and (
            silent_s > self.silence_s + self._takeover_delay_s(speaker.message)
        ):
            return True
        return election_priority(self.address, self.weight) > sender_priority(
            speaker.message
        )

    def is_outranked(self, digest: Digest, now: float) -> bool:
        """Tell whether a higher one than a digest's sender speaks for this zone."""
        if digest.is_pointer or digest.address == self.address:
            return False
        if self.is_speaker(now):
            return election_priority(self.address, self.weight) > sender_priority(
                digest
            )
        return sender_priority(self.speaker.message) > sender_priority(digest)

    def _takeover_delay_s(self, digest: Digest) -> float:
        """Return how long those of a higher order have to speak up first."""
        local_priority = election_priority(self.address, self.weight)
        higher = sum(
            1
            for address, weight in digest.members.items()
            if address != digest.address
            and election_priority(address, weight) > local_priority
        )
        return higher * self.stagger_s

    def speaker_address(self, now: float) -> str | None:
        """Return whom to tell, or None if this instance speaks itself."""
        return None if self.is_speaker(now) else self.speaker.message.address

    def member_addresses(self, now: float) -> list[str]:
        """Return whom a speaker tells: who tells it, and whom the last one named.

        Were only those told that tell it, nobody would hear of the next speaker, and
        each member would follow after a wait of its own. Who leaves still serves, and
        is to have the newest version.
        """
        addresses = dict.fromkeys(self.members)
        addresses |= dict.fromkeys(self.departures.in_zone(self.zone))
        speaker = self.speaker
        if speaker is not None and now - speaker.sent_at <= INHERITED_MEMBERS_S:
            addresses |= dict.fromkeys(speaker.message.members)
        addresses.pop(self.address, None)
        return list(addresses)

    def other_speakers(self) -> dict[ZoneId, str]:
        """Return the speakers of other zones, as far as they are known."""
        known = dict(self.speaker.message.speakers) if self.speaker else {}
        known |= {
            zone: received.message.address for zone, received in self.zones.items()
        }
        known.pop(self.zone, None)
        return known

    def make_digest(self, local_beacon: Beacon, is_fleet: bool, now: float) -> Digest:
        """Return what this instance tells as a speaker.

        Parameters
        ----------
        local_beacon
            What it would report to a speaker.
        is_fleet
            Whether other zones are included, as for members.
        now
            The time in seconds.
        """
        beacons, remote = self._zone_beacons(local_beacon), self._remote_zones(is_fleet)
        count = sum(1 for beacon in beacons if beacon.state is not PeerState.JOINING)
        newest = self.make_heartbeat(local_beacon, is_fleet, now)
        return Digest(
            address=self.address,
            weight=self.weight,
            zone=self.zone,
            is_fleet=is_fleet,
            count=count + sum(zone.message.count for zone in remote),
            members={beacon.address: beacon.weight for beacon in beacons},
            speakers={self.zone: self.address} | self.other_speakers(),
            number=newest.number,
            change_revision=newest.change_revision,
            freshest_peer=newest.freshest_peer,
            read_age_ms=newest.read_age_ms,
            store_uptime_ms=newest.store_uptime_ms,
            loads=sum_loads(beacons, remote),
            cached_prefixes=self.prefixes.current(local_beacon, is_fleet, now),
            unreachable=sum_unreachable(beacons, remote),
            crash_checksum=local_beacon.crash_checksum,
            limits=newest.limits,
        )

    def assign_sequence(self, digest: Digest) -> None:
        """Give a digest its number, so that counts may name its upstreams."""
        self._counts.assign_sequence(digest)

    def add_counts(
        self, heartbeat: Heartbeat, local_beacon: Beacon, now: float
    ) -> None:
        """Let a heartbeat tell the work at upstreams, and the prefixes sent there.

        Parameters
        ----------
        heartbeat
            As `make_heartbeat` returned it, after a digest that was numbered.
        local_beacon, now
            As for a digest.
        """
        beacons, remote = (
            self._zone_beacons(local_beacon),
            self._remote_zones(heartbeat.is_fleet),
        )
        loads = sum_loads(beacons, remote)
        cached_prefixes = self.prefixes.current(local_beacon, heartbeat.is_fleet, now)
        self._counts.fill(heartbeat, loads, cached_prefixes)
        heartbeat.unreachable = sum_unreachable(beacons, remote)

    def _zone_beacons(self, local_beacon: Beacon) -> list[Beacon]:
        """Return what the instances of the zone say of themselves."""
        return [local_beacon, *(received.message for received in self.members.values())]

    def _remote_zones(self, is_fleet: bool) -> list[ReceivedMessage]:
        """Return what other zones' speakers told, if the fleet is asked for."""
        return list(self.zones.values()) if is_fleet else []

    def make_heartbeat(
        self, local_beacon: Beacon, is_fleet: bool, now: float
    ) -> Heartbeat:
        """Return what this instance tells between two digests.

        Parameters are those of a digest. What was received grows older meanwhile.
        """
        beacons, remote = self._zone_beacons(local_beacon), self._remote_zones(is_fleet)
        messages = [*self.members.values(), *remote]
        best = max(beacons, key=lambda beacon: (beacon.number, beacon.change_revision))
        heartbeat = Heartbeat(
            address=self.address,
            weight=self.weight,
            zone=self.zone,
            is_fleet=is_fleet,
            number=best.number,
            change_revision=best.change_revision,
            freshest_peer=best.address,
            read_age_ms=local_beacon.read_age_ms,
            store_uptime_ms=max(beacon.store_uptime_ms for beacon in beacons),
            crash_checksum=local_beacon.crash_checksum,
            limits=merge_limits(local_beacon, messages, now),
        )
        for received in messages:
            merge_read_age(heartbeat, received, now)
        for received in remote:
            heartbeat.store_uptime_ms = max(
                heartbeat.store_uptime_ms, received.message.store_uptime_ms
            )
            merge_newer_revision(heartbeat, received.message)
        return heartbeat

    # What follows for this instance

    def fleet_digest(self, local_beacon: Beacon, now: float) -> Digest:
        """Return the digest of the fleet as it is known here."""
        if self.is_speaker(now):
            return self.make_digest(local_beacon, is_fleet=True, now=now)
        return self.speaker.message

    def relayed_digest(self, local_beacon: Beacon, now: float) -> Digest:
        """Return the digest of the fleet for an instance that asks who speaks.

        It says how old it is: told as if it were new, the word of a speaker that had
        died was gone by for up to twice as long.
        """
        digest = self.fleet_digest(local_beacon, now)
        return msgspec.structs.replace(digest, age_ms=self._age_ms(now), sequence=0)

    def _age_ms(self, now: float) -> int:
        """Return how long ago the speaker that this instance goes by was received."""
        return (
            0
            if self.is_speaker(now)
            else int((now - self.speaker.last_seen_at) * MS_PER_S)
        )

    def staleness_s(self, now: float) -> float:
        """Return how old the last digest is that this instance goes by, in seconds.

        0 where it speaks itself, and so goes by its own reading.
        """
        return 0.0 if self.is_speaker(now) else now - self.speaker.sent_at

    def peer_work(self, local_beacon: Beacon, now: float) -> dict[UpstreamId, PeerLoad]:
        """Return the work of all other instances by upstream."""
        if self.is_speaker(now):
            loads = sum_loads(
                self._zone_beacons(local_beacon), self._remote_zones(is_fleet=True)
            )
            counted = local_beacon.loads
        else:
            loads, counted = self.speaker.message.loads, self.reported_work
        return {
            upstream: subtract_local(work, counted.get(upstream, NO_WORK))
            for upstream, work in loads.items()
        }

    def limits(self, local_beacon: Beacon, now: float) -> LimitReports:
        """Return the newest word on what upstreams take in a second."""
        if self.is_speaker(now):
            received = [*self.members.values(), *self._remote_zones(is_fleet=True)]
            return merge_limits(local_beacon, received, now)
        return merge_limit_reports(
            [(self.speaker.message.limits, self.staleness_s(now))]
        )

    def unreachable(self, local_beacon: Beacon, now: float) -> Unreachable:
        """Return how many instances could lately not reach which upstream."""
        if self.is_speaker(now):
            return sum_unreachable(
                self._zone_beacons(local_beacon), self._remote_zones(is_fleet=True)
            )
        return self.speaker.message.unreachable
