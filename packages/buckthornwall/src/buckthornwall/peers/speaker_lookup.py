"""How instances find the speaker of their zone."""

from collections.abc import Awaitable, Callable

import trio

from buckthornwall.utils import Clock

from .messages import Beacon, Digest, PeerState, encode
from .table import PeerTable

__all__ = ["LOOKUP_INTERVAL_S", "SpeakerLookup"]

LOOKUP_INTERVAL_S = 0.5
# Seeds that start at the same time may not receive the first lookup, and until an
# instance finds its speaker it cannot serve, or serves by no knowledge at all. Lookups
# start with this interval, a few round trips, which grows up to the one above: six in
# the first second, so that a lost one costs little and seeds have no storm.
FIRST_LOOKUP_INTERVAL_S = 0.05
LOOKUP_GROWTH = 1.5
# A speaker that knows others still looks for unknown groups at this interval.
SLOW_LOOKUP_INTERVAL_S = 2.0
UNKNOWN_AGE_MS = 1_000_000_000


class SpeakerLookup:
    """Looks up the speaker of this instance's zone, and answers lookups.

    Parameters
    ----------
    seeds
        Returns the instances to contact first, as IP:port. The list may change; only
        the IP address is used.
    table
        The table of peers.
    make_beacon
        Returns the current beacon of this instance.
    send
        Sends a datagram to an address.
    clock
        Source of time.
    """

    def __init__(
        self,
        seeds: Callable[[], list[str]],
        table: PeerTable,
        make_beacon: Callable[[], Beacon],
        send: Callable[[bytes, str], Awaitable[None]],
        clock: Clock,
    ) -> None:
        self.seeds = seeds
        self.table = table
        self.make_beacon = make_beacon
        self.send = send
        self.clock = clock

    async def run(self) -> None:
        """Query the seeds, which may start at any time, until a speaker is known.

        A speaker continues, since another group may not know of this one.
        """
        interval_s = FIRST_LOOKUP_INTERVAL_S
        while True:
            is_speaker = self.table.is_speaker(self.clock.now())
            state = self.make_beacon().state
            if is_speaker and state is not PeerState.LEAVING:
                await self._query_seeds()
            is_new = interval_s < LOOKUP_INTERVAL_S or state is PeerState.JOINING
            knows_others = self.table.members or self.table.zones
            is_slow = not is_speaker or (knows_others and not is_new)
            await trio.sleep(SLOW_LOOKUP_INTERVAL_S if is_slow else interval_s)
            interval_s = min(LOOKUP_INTERVAL_S, LOOKUP_GROWTH * interval_s)

    async def _query_seeds(self) -> None:
        port = self.table.address.rpartition(":")[2]
        for seed in self.seeds():
            await self.request_speaker(f"{seed.partition(':')[0]}:{port}")

    async def request_speaker(self, address: str) -> None:
        """Ask an instance for the speaker of this instance's zone."""
        local_beacon = self.make_beacon()
        local_beacon.requests_speaker = True
        if address != self.table.address:
            await self.send(encode(local_beacon), address)

    async def redirect(self, address: str, now: float) -> None:
        """Send the zone's digest to an instance that follows another speaker.

        With lookups alone, instances that start together would have several speakers
        for seconds, each with a part of the members.
        """
        local_beacon = self.make_beacon()
        if local_beacon.state is not PeerState.LEAVING:
            await self.send(
                encode(self.table.relayed_digest(local_beacon, now)), address
            )

    async def answer(self, beacon: Beacon, now: float) -> None:
        """Send the speakers of the sender's zone and of this one.

        An instance that is leaving sends its departure instead, else it would be taken
        for a speaker again.
        """
        local_beacon = self.make_beacon()
        if local_beacon.state is PeerState.LEAVING:
            await self.send(encode(local_beacon), beacon.address)
            return
        digest = self.table.relayed_digest(local_beacon, now)
        if beacon.zone == self.table.zone:
            await self.send(encode(digest), beacon.address)
            return
        zone_digest = digest if not digest.is_fleet else _speaker_pointer(digest)
        await self.send(encode(zone_digest), beacon.address)
        speaker = digest.speakers.get(beacon.zone)
        if speaker is not None and speaker != beacon.address:
            pointer = _speaker_pointer(digest)
            pointer.zone, pointer.address = beacon.zone, speaker
            await self.send(encode(pointer), beacon.address)


def _speaker_pointer(digest: Digest) -> Digest:
    """Return a digest of the speakers only, without loads that would count twice."""
    return Digest(
        address=digest.address,
        weight=digest.weight,
        zone=digest.zone,
        is_fleet=False,
        count=0,
        members={},
        speakers=digest.speakers,
        config_number=0,
        change_revision=0,
        freshest_peer="",
        read_age_ms=UNKNOWN_AGE_MS,
        store_uptime_ms=0,
        loads={},
    )
