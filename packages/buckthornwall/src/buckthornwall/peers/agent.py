"""The tasks that send and receive the peers' datagrams."""

import socket
from collections.abc import Awaitable, Callable

import trio
from trio.socket import SocketType

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.pools import CachedPrefixes
from buckthornwall.quarantine import QuarantineTable
from buckthornwall.stream_origins import StreamOriginTable
from buckthornwall.telemetry import log_event
from buckthornwall.utils import (
    Clock,
    ConfigItem,
    ConfigNamespace,
    ZoneId,
    split_address,
)

from .crash_exchange import CrashExchange
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
from .origin_exchange import OriginExchange
from .origin_messages import OriginMessage
from .pacing import ReportKind, ReportPacing
from .recipients import RecipientGroup
from .speaker_lookup import LOOKUP_INTERVAL_S, SpeakerLookup
from .table import PeerTable

__all__ = ["PeerAgent", "PeerSettings"]

MAX_DATAGRAM_BYTES = 65_536
MS_PER_S = 1000.0


class PeerSettings(ConfigNamespace):
    """Settings of the gossip between instances."""

    section = "peers"

    listen = ConfigItem(
        "",
        "Address for beacons (UDP) and views (TCP), as IP:port; all instances of the "
        "fleet use the same port.",
        required=True,
    )
    seeds = ConfigItem(
        [],
        "Instances to contact first, as IP:port; only the IP address is used.",
    )
    weight = ConfigItem(
        1.0,
        "Capacity of this instance for relaying reports, such as its bandwidth in "
        "Mbit/s; the instance of a zone with the highest becomes its speaker, the "
        "leader that aggregates and relays the reports of the zone.",
        minimum=0,
    )
    beacon_ms = ConfigItem(
        100.0, "Milliseconds between two beacons to the zone's speaker.", minimum=10
    )
    digest_ms = ConfigItem(
        100.0, "Milliseconds between two reports of a speaker.", minimum=10
    )
    digest_bytes_per_s = ConfigItem(
        5000.0,
        "Maximum bytes a second that a speaker sends to one member; where digests "
        "would take more, counts of work are sent between them.",
        minimum=100,
    )
    zone_bytes_per_s = ConfigItem(
        8000.0,
        "Maximum bytes a second that a speaker sends to another zone's speaker.",
        minimum=100,
    )
    heartbeat_ms = ConfigItem(
        200.0,
        "Milliseconds between two heartbeats of a speaker that sends reports less "
        "often.",
        minimum=10,
    )
    silence_ms = ConfigItem(
        800.0,
        "Milliseconds without a message after which a peer is taken to be lost.",
        minimum=50,
    )
    stagger_ms = ConfigItem(
        100.0,
        "Milliseconds that an instance waits for each one of higher priority before "
        "it takes over from a lost speaker.",
        minimum=0,
    )


async def open_socket(address: str) -> SocketType:
    """Return a datagram socket that is bound to ``IP:port``.

    Raises
    ------
    OSError
        If the address is in use, or does not belong to this host.
    """
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    await sock.bind((host, int(port)))
    return sock


class PeerAgent:
    """Sends and receives the datagrams of this instance.

    Parameters
    ----------
    settings
        The ``[peers]`` section.
    zone
        The zone of this instance.
    make_beacon
        Returns the current beacon of this instance.
    clock
        Source of time.
    quarantine
        The known requests that crash upstreams.
    origins
        The known origins of streams.
    """

    def __init__(
        self,
        settings: PeerSettings,
        zone: ZoneId,
        make_beacon: Callable[[], Beacon],
        clock: Clock,
        quarantine: QuarantineTable,
        origins: StreamOriginTable | None = None,
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
        self.crash_exchange = CrashExchange(quarantine)
        self.origin_exchange = OriginExchange(
            self.table, self._send, origins or StreamOriginTable(), clock
        )
        self.on_work: Callable[[], None] = lambda: None
        self.on_cached_prefixes: Callable[[CachedPrefixes], None] = (
            lambda cached_prefixes: None
        )
        self.open_socket: Callable[[str], Awaitable[SocketType]] = open_socket
        self.bytes_sent = 0
        interval_s = settings.digest_ms / MS_PER_S
        heartbeat_s = settings.heartbeat_ms / MS_PER_S
        self.speaker_recipients = RecipientGroup(
            False, ReportPacing(interval_s, heartbeat_s, settings.zone_bytes_per_s)
        )
        self.member_recipients = RecipientGroup(
            True, ReportPacing(interval_s, heartbeat_s, settings.digest_bytes_per_s)
        )
        self.speaker_lookup = SpeakerLookup(
            lambda: settings.seeds, self.table, make_beacon, self._send, clock
        )
        self._was_speaker = False
        self._is_report_due = trio.Event()
        self._socket: SocketType | None = None

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Send and receive until cancelled."""
        self._socket = await self.open_socket(self.settings.listen)
        with self._socket:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._run_receiver)
                nursery.start_soon(self.speaker_lookup.run)
                task_status.started()
                await self._run_reports()

    async def send_reports(self) -> None:
        """Send a beacon to the speaker or, as the speaker, the reports that are due."""
        now = self.clock.now()
        local_beacon = self.make_beacon()
        speaker = self.table.speaker_address(now)
        await self._send_crash_reports(speaker, now)
        if local_beacon.state is PeerState.LEAVING:
            await self._announce_departure(local_beacon, speaker, now)
            return
        self._note_role(speaker is None, speaker)
        if speaker is not None:
            self.table.reported_work = local_beacon.loads
            self.table.reported_rank_tokens = local_beacon.rank_tokens
            self.table.reported_pools = local_beacon.pool_reports
            await self._send(encode(local_beacon), speaker)
            return
        await self._send_speaker_reports(local_beacon, now)
        self.on_work()

    def report_soon(self) -> None:
        """Send the next reports without waiting for their interval.

        Peers that start at the same time wait for a state that this instance now has.
        """
        for recipients in (self.speaker_recipients, self.member_recipients):
            recipients.pacing.reset(self.clock.now())
        self._is_report_due.set()

    async def _send_crash_reports(self, speaker: str | None, now: float) -> None:
        """Send the crash reports that are due."""
        for address, reports in self.crash_exchange.due(
            self._report_addresses(speaker, now), now
        ):
            message = CrashReports(self.settings.listen, reports)
            await self._send(encode(message), address)

    async def _send_speaker_reports(self, local_beacon: Beacon, now: float) -> None:
        """Send zone reports to other speakers, and fleet reports to members."""
        others = list(self.table.other_speakers().values())
        await self._send_due_report(self.speaker_recipients, local_beacon, others, now)
        members = self.table.member_addresses(now)
        await self._send_due_report(self.member_recipients, local_beacon, members, now)
        self.table.prefixes.set_interval(
            self.member_recipients.pacing.load_interval_s(now)
        )

    async def _send_due_report(
        self,
        recipients: RecipientGroup,
        local_beacon: Beacon,
        addresses: list[str],
        now: float,
    ) -> None:
        kind = recipients.pacing.due(now) if addresses else None
        new_recipients = recipients.new_recipients(addresses)
        if kind is not ReportKind.DIGEST:
            for address in new_recipients:
                await self._send(recipients.last_digest, address)
        if kind is None:
            return
        data = encode(self._make_report(kind, local_beacon, recipients.is_fleet, now))
        recipients.record_sent(kind, data, addresses, now)
        for address in addresses:
            await self._send(data, address)

    def _make_report(
        self, kind: ReportKind, local_beacon: Beacon, is_fleet: bool, now: float
    ) -> Digest | Heartbeat:
        if kind is ReportKind.DIGEST:
            digest = self.table.make_digest(local_beacon, is_fleet, now)
            self.table.assign_sequence(digest)
            return digest
        heartbeat = self.table.make_heartbeat(local_beacon, is_fleet, now)
        if kind is ReportKind.COUNTS:
            self.table.add_counts(heartbeat, local_beacon, now)
        return heartbeat

    async def _announce_departure(
        self, local_beacon: Beacon, speaker: str | None, now: float
    ) -> None:
        """Send the departure to all peers that count this instance; send no reports."""
        data = encode(local_beacon)
        for address in self._report_addresses(speaker, now):
            await self._send(data, address)

    def _report_addresses(self, speaker: str | None, now: float) -> list[str]:
        """Return the speaker or, as the speaker, all members and other speakers."""
        if speaker is not None:
            return [speaker]
        others = self.table.other_speakers().values()
        return [*self.table.member_addresses(now), *others]

    def _note_role(self, is_speaker: bool, speaker: str | None) -> None:
        if is_speaker != self._was_speaker:
            self._was_speaker = is_speaker
            for recipients in (self.speaker_recipients, self.member_recipients):
                recipients.reset(self.clock.now())
            log_event("zone_speaker", own=is_speaker, speaker=speaker or "")

    async def _run_reports(self) -> None:
        while True:
            lost = self.table.expire(self.clock.now())
            if self._was_speaker:  # members that report to another speaker are not lost
                for address in lost:
                    log_event("peer_lost", "WARNING", peer=address)
            await self.send_reports()
            interval_ms = (
                self.settings.digest_ms
                if self._was_speaker
                else self.settings.beacon_ms
            )
            with trio.move_on_after(interval_ms / MS_PER_S):
                await self._is_report_due.wait()
            self._is_report_due = trio.Event()

    async def _send(self, data: bytes, address: str) -> None:
        try:
            await self._socket.sendto(data, split_address(address))
            self.bytes_sent += len(data)
        except (OSError, ValueError) as error:
            log_event("beacon_not_sent", "DEBUG", address=address, detail=error)

    async def _run_receiver(self) -> None:
        while True:
            try:
                data, _ = await self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                log_event("beacon_not_heard", "DEBUG", detail=error)
                await trio.sleep(LOOKUP_INTERVAL_S)
                continue
            try:
                await self._handle(decode(data, PeerMessage))
            except PeerError as error:
                _log_refused(error)
            except Exception as error:
                # A message that a peer could send must not end this instance.
                _log_refused(PeerError(ResultCode.PEER_MESSAGE, repr(error)))

    async def _handle(self, message: PeerMessage) -> None:
        now = self.clock.now()
        if isinstance(message, Heartbeat):
            self._handle_heartbeat(message, now)
            return
        if isinstance(message, OriginMessage):
            await self.origin_exchange.receive(message)
            return
        if isinstance(message, CrashReports):
            for report in message.reports:
                self.crash_exchange.table.receive(report, now)
            return
        self.on_cached_prefixes(message.cached_prefixes)
        if isinstance(message, Digest):
            await self._handle_digest(message, now)
            return
        await self._handle_beacon(message, now)

    def _handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        cached_prefixes = self.table.receive_heartbeat(heartbeat, now)
        self._note_checksum(heartbeat, now)
        if cached_prefixes is None:
            return
        self.on_cached_prefixes(cached_prefixes)
        if heartbeat.zone == self.table.zone:
            self.on_work()

    def _note_checksum(self, message: Beacon | Digest | Heartbeat, now: float) -> None:
        if message.address != self.settings.listen:  # may be its own, relayed
            self.crash_exchange.note_checksum(
                message.address, message.crash_checksum, now
            )

    async def _handle_beacon(self, beacon: Beacon, now: float) -> None:
        if self.table.receive_beacon(beacon, now):
            log_event("peer_heard", peer=beacon.address, zone=beacon.zone)
        self._note_checksum(beacon, now)
        if beacon.requests_speaker:
            await self.speaker_lookup.answer(beacon, now)
        elif beacon.state is PeerState.LEAVING or beacon.zone != self.table.zone:
            return
        elif not self.table.is_speaker(now):
            await self.speaker_lookup.redirect(beacon.address, now)

    async def _handle_digest(self, digest: Digest, now: float) -> None:
        is_local_zone = digest.zone == self.table.zone
        if is_local_zone and digest.is_pointer and self.table.is_speaker(now):
            # A pointer was not sent by the speaker that it names. Taken for that
            # speaker's digest, it would make this speaker stand down.
            await self.speaker_lookup.request_speaker(digest.address)
            return
        self.table.receive_digest(digest, now)
        if not digest.is_pointer:
            self._note_checksum(digest, now)
        if is_local_zone and self.table.is_outranked(digest, now):
            await self.speaker_lookup.redirect(digest.address, now)
        elif is_local_zone and digest.is_fleet:
            self.on_work()


def _log_refused(error: PeerError) -> None:
    log_event("beacon_refused", "WARNING", code=error.code.number, detail=error)
