"""The tasks that tell and hear what instances do."""

import socket
from collections.abc import Awaitable, Callable

import trio
from trio.socket import SocketType

from buckthornwall.codes import PeerError
from buckthornwall.pools import HeldParts
from buckthornwall.quarantine import QuarantineTable
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock, ConfigItem, ConfigNamespace, ZoneId

from .crash_exchange import CrashExchange
from .listeners import Listeners
from .messages import (
    Beacon,
    CrashReports,
    Digest,
    Heartbeat,
    PeerMessage,
    PeerState,
    decode,
    encode,
)
from .pacing import WordForm, WordPacing
from .table import PeerTable

__all__ = ["PeerAgent", "PeerSettings"]

MAX_DATAGRAM_BYTES = 65_536
MS_PER_S = 1000.0
GREET_INTERVAL_S = 0.5
# A speaker looks for others that it does not know of this often.
SEEK_INTERVAL_S = 2.0
NEVER_MS = 1_000_000_000


class PeerSettings(ConfigNamespace):
    """Settings of what instances tell each other."""

    section = "peers"

    listen = ConfigItem(
        "",
        "Address for beacons (UDP) and views (TCP), as IP:port; the port is the "
        "same throughout the fleet.",
        required=True,
    )
    seeds = ConfigItem(
        [], "Instances to greet first, as IP:port; only the IP number is used."
    )
    weight = ConfigItem(
        1.0,
        "How much this instance can carry for others, such as its link in Mbit/s; "
        "those that can carry most speak for their zone.",
        minimum=0,
    )
    beacon_ms = ConfigItem(
        100.0, "Milliseconds between two beacons to the zone's speaker.", minimum=10
    )
    digest_ms = ConfigItem(
        100.0, "Milliseconds between two words of a speaker.", minimum=10
    )
    digest_bytes_per_s = ConfigItem(
        5000.0,
        "Most bytes that a speaker sends one member in a second; where digests would "
        "take more, counts of work come between them.",
        minimum=100,
    )
    zone_bytes_per_s = ConfigItem(
        8000.0,
        "Most bytes that a speaker sends another zone's speaker in a second.",
        minimum=100,
    )
    heartbeat_ms = ConfigItem(
        200.0,
        "Milliseconds between two heartbeats of a speaker whose words are further "
        "apart.",
        minimum=10,
    )
    silence_ms = ConfigItem(
        800.0, "Milliseconds of silence after which a peer counts as gone.", minimum=50
    )
    stagger_ms = ConfigItem(
        100.0,
        "Milliseconds by which each instance of a zone follows the one before it, "
        "where their speaker is gone.",
        minimum=0,
    )


async def open_socket(address: str) -> SocketType:
    """Return a datagram socket that is bound to ``IP:port``.

    Raises
    ------
    OSError
        If the address is taken, or not of this host.
    """
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    await sock.bind((host, int(port)))
    return sock


class PeerAgent:
    """Owns the datagram socket.

    Parameters
    ----------
    settings
        The ``[peers]`` section.
    zone
        The zone of this instance.
    make_beacon
        Returns what this instance says of itself.
    clock
        Source of time.
    quarantine
        What is known of requests that crash upstreams.
    """

    def __init__(
        self,
        settings: PeerSettings,
        zone: ZoneId,
        make_beacon: Callable[[], Beacon],
        clock: Clock,
        quarantine: QuarantineTable,
    ) -> None:
        self.settings = settings
        self.make_beacon = make_beacon
        self.clock = clock
        self.table = PeerTable(
            settings.listen,
            settings.weight,
            zone,
            settings.silence_ms / MS_PER_S,
            settings.stagger_ms / MS_PER_S,
        )
        self.crashes = CrashExchange(quarantine)
        self.on_work: Callable[[], None] = lambda: None
        self.on_held: Callable[[HeldParts], None] = lambda held: None
        self.open_socket: Callable[[str], Awaitable[SocketType]] = open_socket
        self.bytes_sent = 0
        turn_s = settings.digest_ms / MS_PER_S
        heartbeat_s = settings.heartbeat_ms / MS_PER_S
        self.speakers = Listeners(
            False, WordPacing(turn_s, heartbeat_s, settings.zone_bytes_per_s)
        )
        self.members = Listeners(
            True, WordPacing(turn_s, heartbeat_s, settings.digest_bytes_per_s)
        )
        self._was_speaker = False
        self._socket: SocketType | None = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Tell and hear until cancelled."""
        self._socket = await self.open_socket(self.settings.listen)
        with self._socket:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._hear)
                nursery.start_soon(self._greet)
                task_status.started()
                await self._tell()

    async def tell(self) -> None:
        """Tell the speaker, or as the speaker everyone, once."""
        now = self.clock.now()
        own = self.make_beacon()
        speaker = self.table.speaker_address(now)
        await self._tell_crashes(speaker, now)
        if own.state is PeerState.LEAVING:
            await self._take_leave(own, speaker, now)
            return
        self._note_role(speaker is None, speaker)
        if speaker is not None:
            self.table.told = own.loads
            await self._send(encode(own), speaker)
            return
        await self._speak(own, now)
        self.on_work()

    async def _tell_crashes(self, speaker: str | None, now: float) -> None:
        """Tell what is new of requests that crash upstreams."""
        told = [speaker]
        if speaker is None:
            others = self.table.other_speakers().values()
            told = [*self.table.member_addresses(now), *others]
        for address, reports in self.crashes.due(told, now):
            message = CrashReports(self.settings.listen, reports)
            await self._send(encode(message), address)

    async def _speak(self, own: Beacon, now: float) -> None:
        """Tell other speakers of this zone, and members of the fleet, what is due."""
        others = list(self.table.other_speakers().values())
        await self._tell_word(self.speakers, own, others, now)
        members = self.table.member_addresses(now)
        await self._tell_word(self.members, own, members, now)
        self.table.parts.set_interval(self.members.pacing.word_s(now))

    async def _tell_word(
        self, listeners: Listeners, own: Beacon, addresses: list[str], now: float
    ) -> None:
        form = listeners.pacing.due(now) if addresses else None
        newcomers = listeners.newcomers(addresses)
        if form is not WordForm.DIGEST:
            for address in newcomers:
                await self._send(listeners.digest, address)
        if form is None:
            return
        data = encode(self._make_word(form, own, listeners.is_fleet, now))
        listeners.note(form, data, addresses, now)
        for address in addresses:
            await self._send(data, address)

    def _make_word(
        self, form: WordForm, own: Beacon, is_fleet: bool, now: float
    ) -> Digest | Heartbeat:
        if form is WordForm.DIGEST:
            digest = self.table.make_digest(own, is_fleet, now)
            self.table.number(digest)
            return digest
        heartbeat = self.table.make_heartbeat(own, is_fleet, now)
        if form is WordForm.COUNTS:
            self.table.add_counts(heartbeat, own, now)
        return heartbeat

    async def _take_leave(self, own: Beacon, speaker: str | None, now: float) -> None:
        """Tell who counts this instance that it leaves, and speak no more."""
        data = encode(own)
        told = [speaker]
        if speaker is None:
            others = self.table.other_speakers().values()
            told = [*self.table.member_addresses(now), *others]
        for address in told:
            await self._send(data, address)

    def _note_role(self, is_speaker: bool, speaker: str | None) -> None:
        if is_speaker != self._was_speaker:
            self._was_speaker = is_speaker
            for listeners in (self.speakers, self.members):
                listeners.begin(self.clock.now())
            log_event("zone_speaker", own=is_speaker, speaker=speaker or "")

    async def _tell(self) -> None:
        while True:
            gone = self.table.expire(self.clock.now())
            if self._was_speaker:  # members of others tell those, and are not lost
                for address in gone:
                    log_event("peer_lost", "WARNING", peer=address)
            await self.tell()
            turn_ms = (
                self.settings.digest_ms
                if self._was_speaker
                else self.settings.beacon_ms
            )
            await trio.sleep(turn_ms / MS_PER_S)

    async def _greet(self) -> None:
        """Greet seeds, which may come up at any time, until a speaker is known.

        A speaker goes on, since another group may not know of this one.
        """
        while True:
            now = self.clock.now()
            is_speaker = self.table.is_speaker(now)
            if is_speaker and self.make_beacon().state is not PeerState.LEAVING:
                await self._greet_seeds()
            knows_others = self.table.members or self.table.zones
            is_slow = not is_speaker or knows_others
            await trio.sleep(SEEK_INTERVAL_S if is_slow else GREET_INTERVAL_S)

    async def _greet_seeds(self) -> None:
        port = self.settings.listen.rpartition(":")[2]
        for seed in self.settings.seeds:
            await self._greet_one(f"{seed.partition(':')[0]}:{port}")

    async def _greet_one(self, address: str) -> None:
        own = self.make_beacon()
        own.greets = True
        if address != self.settings.listen:
            await self._send(encode(own), address)

    async def _send(self, data: bytes, address: str) -> None:
        host, _, port = address.rpartition(":")
        try:
            await self._socket.sendto(data, (host, int(port)))
            self.bytes_sent += len(data)
        except OSError as error:
            log_event("beacon_not_sent", "DEBUG", address=address, detail=error)

    async def _hear(self) -> None:
        while True:
            try:
                data, _ = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
                message = decode(data, PeerMessage)
            except OSError as error:
                log_event("beacon_not_heard", "DEBUG", detail=error)
                await trio.sleep(GREET_INTERVAL_S)
                continue
            except PeerError as error:
                log_event("beacon_refused", "WARNING", detail=error)
                continue
            await self._take(message)

    async def _take(self, message: PeerMessage) -> None:
        now = self.clock.now()
        if isinstance(message, Heartbeat):
            self._take_heartbeat(message, now)
            return
        if isinstance(message, CrashReports):
            for report in message.reports:
                self.crashes.table.receive(report, now)
            return
        self.on_held(message.held)
        if isinstance(message, Digest):
            await self._take_digest(message, now)
            return
        await self._take_beacon(message, now)

    def _take_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        try:
            held = self.table.receive_heartbeat(heartbeat, now)
        except PeerError as error:
            log_event("beacon_refused", "WARNING", detail=error)
            return
        self._compare(heartbeat, now)
        if held is None:
            return
        self.on_held(held)
        if heartbeat.zone == self.table.zone:
            self.on_work()

    def _compare(self, message: Beacon | Digest | Heartbeat, now: float) -> None:
        if message.address != self.settings.listen:  # its own may be passed on to it
            self.crashes.note_checksum(message.address, message.crash_checksum, now)

    async def _take_beacon(self, beacon: Beacon, now: float) -> None:
        if self.table.receive_beacon(beacon, now):
            log_event("peer_heard", peer=beacon.address, zone=beacon.zone)
        self._compare(beacon, now)
        if beacon.greets:
            await self._answer_greeting(beacon, now)
        elif beacon.state is PeerState.LEAVING or beacon.zone != self.table.zone:
            return
        elif not self.table.is_speaker(now):
            await self._redirect(beacon.address, now)

    async def _take_digest(self, digest: Digest, now: float) -> None:
        is_own_zone = digest.zone == self.table.zone
        if is_own_zone and digest.points_only and self.table.is_speaker(now):
            # A pointer is not the word of whom it names: taken for that, it would
            # make a speaker fall silent.
            await self._greet_one(digest.address)
            return
        self.table.receive_digest(digest, now)
        if not digest.points_only:
            self._compare(digest, now)
        if is_own_zone and self.table.is_outranked(digest, now):
            await self._redirect(digest.address, now)
        elif is_own_zone and digest.is_fleet:
            self.on_work()

    async def _redirect(self, address: str, now: float) -> None:
        """Tell an instance that goes by another one who speaks for the zone.

        Left to greetings, instances that start together would have several speakers
        for seconds, each with a part of the members.
        """
        own = self.make_beacon()
        if own.state is not PeerState.LEAVING:
            await self._send(encode(self.table.passed_on(own, now)), address)

    async def _answer_greeting(self, beacon: Beacon, now: float) -> None:
        """Tell who speaks: in the greeter's zone, and for this one.

        Whoever leaves says that instead, or it would be taken for a speaker again.
        """
        own = self.make_beacon()
        if own.state is PeerState.LEAVING:
            await self._send(encode(own), beacon.address)
            return
        digest = self.table.passed_on(own, now)
        if beacon.zone == self.table.zone:
            await self._send(encode(digest), beacon.address)
            return
        own_zone = digest if not digest.is_fleet else self._zone_only(digest)
        await self._send(encode(own_zone), beacon.address)
        speaker = digest.speakers.get(beacon.zone)
        if speaker is not None and speaker != beacon.address:
            pointer = self._zone_only(digest)
            pointer.zone, pointer.address = beacon.zone, speaker
            await self._send(encode(pointer), beacon.address)

    def _zone_only(self, digest: Digest) -> Digest:
        """Return who speaks, without work that would be counted twice."""
        return Digest(
            address=digest.address,
            weight=digest.weight,
            zone=digest.zone,
            is_fleet=False,
            count=0,
            members={},
            speakers=digest.speakers,
            number=0,
            mark=0,
            informed="",
            read_age_ms=NEVER_MS,
            unbroken_ms=0,
            loads={},
        )
