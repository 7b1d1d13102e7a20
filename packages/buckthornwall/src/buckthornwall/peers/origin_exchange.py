"""Exchange of which software version began a stream.

A record is sent to two instances of the zone, by consistent hashing, so that it
outlives the instance that served the stream. An instance without a record queries these
two, the speakers of other zones for theirs, and then all instances.
"""

from collections.abc import Awaitable, Callable, Iterable
from contextlib import contextmanager
from dataclasses import dataclass, field

import msgspec
import trio

from buckthornwall.routing import PoolId, StreamOrigin
from buckthornwall.stream_origins import OriginRecord, StreamKey, StreamOriginTable
from buckthornwall.telemetry import log_event
from buckthornwall.utils import Clock, HashRing

from .messages import encode
from .origin_messages import OriginMessage, OriginQuery, OriginRecords, OriginReply
from .table import PeerTable

__all__ = ["OriginExchange"]

MS_PER_S = 1000.0
REPLICAS = 2
# One more than replicas, since the instance that served the stream may be among them.
QUERIED = REPLICAS + 1
# Values of `OriginQuery.reach`.
NOBODY, REPLICAS_OF_ZONE, ALL_OF_ZONE = 0, 1, 2
FIRST_WAIT_S = 0.05
MAX_WAIT_S = 0.2
MAX_PENDING = 256
# Queries to all instances, whose datagrams are as many as these are.
BROADCASTS_PER_S = 2.0
MAX_BROADCASTS = 20.0
# Records in a datagram of about 1,000 bytes.
MAX_RECORDS = 60


@dataclass(slots=True)
class _Pending:
    """A query that waits for its reply."""

    replied: trio.Event = field(default_factory=trio.Event)
    origin: StreamOrigin | None = None
    waiters: int = 0


class OriginExchange:
    """Sends, keeps and queries records of the origins of streams.

    Parameters
    ----------
    table
        The peers that this instance knows.
    send
        Sends a datagram to an address.
    origins
        The records kept here.
    clock
        Source of time.

    Attributes
    ----------
    find : callable
        Returns the origin of a stream, None if it is not known here, given its key, the
        only pool that can have begun it or '', and how long ago that was in seconds.
    """

    def __init__(
        self,
        table: PeerTable,
        send: Callable[[bytes, str], Awaitable[None]],
        origins: StreamOriginTable,
        clock: Clock,
    ) -> None:
        self.table = table
        self.send = send
        self.origins = origins
        self.clock = clock
        self.find: Callable[[StreamKey, PoolId, float], StreamOrigin | None] = (
            lambda key, pool, window_s: origins.find(key, clock.now())
        )
        self._pending: dict[StreamKey, _Pending] = {}
        self._ring_of: frozenset[str] = frozenset()
        self._zone_ring = HashRing(())
        self._broadcasts = MAX_BROADCASTS
        self._broadcasts_at = clock.now()

    # Recipients

    def _zone(self) -> list[str]:
        """Return the other instances of the zone that keep records."""
        table = self.table
        if table.is_speaker(self.clock.now()):
            members = table.members.items()
            return [address for address, each in members if each.message.keeps_origins]
        digest = table.speaker.message
        excluded = {table.address, *digest.without_origins}
        return [address for address in digest.members if address not in excluded]

    def _replicas(self, key: StreamKey, count: int) -> list[str]:
        """Return the instances of the zone that keep records of a key."""
        return self._ring(frozenset(self._zone())).successors(key, count)

    def _ring(self, zone: frozenset[str]) -> HashRing:
        """Return the ring of the zone's instances, made anew when they change."""
        if zone != self._ring_of:
            self._ring_of, self._zone_ring = zone, HashRing(zone)
        return self._zone_ring

    def _speakers(self) -> list[str]:
        return list(self.table.other_speakers().values())

    # Records

    async def publish(self, records: Iterable[OriginRecord]) -> None:
        """Send records to the instances that keep them.

        Without any, they still need publishing. Contradicting ones are kept here only.
        """
        now = self.clock.now()
        batches: dict[tuple[str, StreamOrigin], dict[StreamKey, int]] = {}
        for record in records:
            if record.origin is None:
                continue
            ttl_ms = int(max(0.0, record.expires_at - now) * MS_PER_S)
            replicas = self._replicas(record.key, REPLICAS)
            record.needs_publishing = not replicas
            for address in replicas:
                batch = batches.setdefault((address, record.origin), {})
                batch[record.key] = ttl_ms
        for (address, origin), batch in batches.items():
            keys = list(batch)
            for first in range(0, len(keys), MAX_RECORDS):
                part = {key: batch[key] for key in keys[first : first + MAX_RECORDS]}
                message = OriginRecords(origin.pool, origin.version, part)
                await self.send(encode(message), address)

    # Queries

    async def ask(
        self, key: StreamKey, pool: PoolId, window_s: float
    ) -> StreamOrigin | None:
        """Return the origin of a stream as its peers know it, None if none replies.

        Parameters
        ----------
        key
            Key of the stream.
        pool
            The only pool that can have begun it, or '' if there are several.
        window_s
            How long ago it can have begun, in seconds.
        """
        if len(self._pending) >= MAX_PENDING and key not in self._pending:
            log_event("origin_not_asked", "WARNING", pending=len(self._pending))
            return None
        with self._wait_for(key) as pending:
            query = OriginQuery(
                self.table.address, key, pool, int(window_s * MS_PER_S), NOBODY
            )
            asked = await self._query(query, REPLICAS_OF_ZONE)
            if not asked:
                return None
            with trio.move_on_after(FIRST_WAIT_S):
                await pending.replied.wait()
            if not pending.replied.is_set():
                if self._may_broadcast():
                    await self._query(query, ALL_OF_ZONE)
                with trio.move_on_after(MAX_WAIT_S - FIRST_WAIT_S):
                    await pending.replied.wait()
            return pending.origin

    @contextmanager
    def _wait_for(self, key: StreamKey):
        pending = self._pending.setdefault(key, _Pending())
        pending.waiters += 1
        try:
            yield pending
        finally:
            pending.waiters -= 1
            if not pending.waiters:
                self._pending.pop(key, None)

    async def _query(self, query: OriginQuery, reach: int) -> int:
        """Send a query within the zone and to other zones; return their number."""
        local = self._recipients(query.key, reach)
        for address in local:
            await self.send(encode(query), address)
        speakers = self._speakers()
        message = msgspec.structs.replace(query, reach=reach)
        for address in speakers:
            await self.send(encode(message), address)
        return len(local) + len(speakers)

    def _recipients(self, key: StreamKey, reach: int) -> list[str]:
        return self._zone() if reach == ALL_OF_ZONE else self._replicas(key, QUERIED)

    def _may_broadcast(self) -> bool:
        """Take a query to all instances from their limit, and return whether it is."""
        now = self.clock.now()
        gained = (now - self._broadcasts_at) * BROADCASTS_PER_S
        self._broadcasts = min(MAX_BROADCASTS, self._broadcasts + gained)
        self._broadcasts_at = now
        if self._broadcasts < 1:
            return False
        self._broadcasts -= 1
        return True

    # Receiving

    async def receive(self, message: OriginMessage) -> None:
        """Keep records, reply to a query or pass it on, and take a reply."""
        if isinstance(message, OriginRecords):
            self._keep(message)
        elif isinstance(message, OriginReply):
            self._take_reply(message)
        else:
            await self._answer(message)

    def _keep(self, message: OriginRecords) -> None:
        origin, now = StreamOrigin(message.pool, message.version), self.clock.now()
        for key, ttl_ms in message.ttl_ms.items():
            self.origins.add(StreamKey(key), origin, now + ttl_ms / MS_PER_S)

    def _take_reply(self, message: OriginReply) -> None:
        pending = self._pending.get(StreamKey(message.key))
        if pending is not None:
            pending.origin = StreamOrigin(message.pool, message.version)
            pending.replied.set()

    async def _answer(self, query: OriginQuery) -> None:
        key = StreamKey(query.key)
        origin = self.find(key, query.pool, query.window_ms / MS_PER_S)
        if origin is not None:
            reply = OriginReply(query.key, origin.pool, origin.version)
            await self.send(encode(reply), query.address)
        elif query.reach != NOBODY:
            message = msgspec.structs.replace(query, reach=NOBODY)
            for address in self._recipients(key, query.reach):
                await self.send(encode(message), address)
