"""The tasks that send and hear beacons."""

import random
import socket
from collections.abc import Callable

import trio

from buckthornwall.codes import PeerError
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock, ConfigItem, ConfigNamespace, ZoneId

from .messages import Beacon, decode, encode
from .table import PeerTable

__all__ = ["PeerAgent", "PeerSettings"]

MAX_DATAGRAM_BYTES = 65_536
MS_PER_S = 1000.0
# Addresses that a beacon names, drawn anew each time.
KNOWN_IN_BEACON = 3
GREET_INTERVAL_S = 0.5


class PeerSettings(ConfigNamespace):
    """Settings of the beacons between instances."""

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
    beacon_ms = ConfigItem(
        100.0, "Milliseconds between beacons to a peer of the zone.", minimum=10
    )
    far_factor = ConfigItem(
        2, "Beacons to the zone for each one to other zones.", minimum=1
    )
    beacons_per_s = ConfigItem(
        80.0,
        "Most beacons sent in a second; with more peers each gets fewer.",
        minimum=1,
    )


class PeerAgent:
    """Owns the datagram socket.

    Parameters
    ----------
    settings
        The ``[peers]`` section.
    zone
        The zone of this instance.
    table
        Who was heard.
    make_beacon
        Returns what this instance says of itself.
    clock
        Source of time.
    """

    def __init__(
        self,
        settings: PeerSettings,
        zone: ZoneId,
        table: PeerTable,
        make_beacon: Callable[[list[str]], Beacon],
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.zone = zone
        self.table = table
        self.make_beacon = make_beacon
        self.clock = clock
        self.on_loads: Callable[[set], None] = lambda upstreams: None
        self.on_beacon: Callable[[Beacon], None] = lambda beacon: None
        self.bytes_sent = 0
        self._draw = random.Random()
        self._socket: trio.socket.SocketType | None = None
        self._round = 0

    def set_seeds(self, seeds: list[str]) -> None:
        """Take the instances to greet first."""
        port = self.settings.listen.rpartition(":")[2]
        addresses = [f"{seed.partition(':')[0]}:{port}" for seed in seeds]
        self.table.keep_greeting(addresses, self.clock.now())

    def interval_s(self) -> float:
        """Return the pause between two beacons to one peer of the zone."""
        spread_s = len(self.table.live) / self.settings.beacons_per_s
        return max(self.settings.beacon_ms / MS_PER_S, spread_s)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Send and hear until cancelled."""
        host, _, port = self.settings.listen.rpartition(":")
        self._socket = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        await self._socket.bind((host, int(port)))
        with self._socket:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._hear)
                nursery.start_soon(self._greet)
                task_status.started()
                await self._tell()

    async def tell_all(self) -> None:
        """Send a beacon to every live peer now."""
        known = self._some_known()
        data = encode(self.make_beacon(known))
        for peer in list(self.table.live.values()):
            await self._send(data, peer.beacon.address)

    async def _tell(self) -> None:
        while True:
            self._round += 1
            self._expire()
            is_far_round = self._round % self.settings.far_factor == 0
            data = encode(self.make_beacon(self._some_known()))
            for peer in list(self.table.live.values()):
                if is_far_round or peer.beacon.zone == self.zone:
                    await self._send(data, peer.beacon.address)
            await trio.sleep(self.interval_s())

    async def _greet(self) -> None:
        """Tell those who were never heard; seeds may come up at any time."""
        while True:
            self.set_seeds(self.settings.seeds)
            addresses = self.table.to_greet(self.clock.now())
            data = encode(self.make_beacon(self._some_known()))
            for address in addresses:
                await self._send(data, address)
            await trio.sleep(GREET_INTERVAL_S)

    def _some_known(self) -> list[str]:
        addresses = [peer.beacon.address for peer in self.table.live.values()]
        return self._draw.sample(addresses, min(KNOWN_IN_BEACON, len(addresses)))

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
                beacon = decode(data, Beacon)
            except OSError as error:
                log_event("beacon_not_heard", "DEBUG", detail=error)
                await trio.sleep(GREET_INTERVAL_S)
                continue
            except PeerError as error:
                log_event("beacon_refused", "WARNING", detail=error)
                continue
            self._take(beacon)

    def _take(self, beacon: Beacon) -> None:
        is_new, changed = self.table.hear(beacon, self.clock.now())
        if is_new and beacon.node in self.table.live:
            log_event("peer_heard", peer=beacon.node, zone=beacon.zone)
        if changed:
            self.on_loads(changed)
        self.on_beacon(beacon)

    def _expire(self) -> None:
        far_interval_s = self.interval_s() * self.settings.far_factor
        gone, changed = self.table.expire(self.clock.now(), far_interval_s)
        for node in gone:
            log_event("peer_lost", "WARNING", peer=node)
        if changed:
            self.on_loads(changed)
