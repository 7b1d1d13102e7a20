"""What instances tell each other, in CBOR.

All are arrays on the wire: their names would be more than half of the bytes.
"""

import zlib
from enum import Enum

import cbor2
import msgspec

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.pools import (
    CachedPrefixes,
    Fleet,
    LimitReports,
    Unreachable,
    UpstreamEntry,
)
from buckthornwall.quarantine import CrashReport
from buckthornwall.utils import Incarnation, NodeId, UpstreamId, ZoneId

__all__ = [
    "Beacon",
    "CrashReports",
    "Digest",
    "Heartbeat",
    "PeerMessage",
    "PeerState",
    "PeerView",
    "Work",
    "decode",
    "encode",
]

# Shorter messages get no shorter.
MIN_COMPRESSED_BYTES = 200
# A compressed message begins with this byte, which no array in CBOR does.
ZLIB_FIRST_BYTE = b"\x78"
# No view is longer, in bytes, and no datagram: a view holds a whole configuration, and
# instances have 128 MB in all. A datagram of 64 KB may stand for a thousand times that.
MAX_VIEW_BYTES = 16 * 2**20
MAX_DATAGRAM_BYTES = 2**20


class Work(msgspec.Struct, array_like=True, frozen=True):
    """What instances have sent to one upstream and not yet got back.

    `requests` are in flight, `pending_prefill` are prompt tokens yet to be prefilled,
    by rank, `pause_sensitive` counts the requests that are streams whose pauses must be
    short, and `oldest_wait_ms` tells by rank how long the oldest has waited for its
    first token. `memory` counts the tokens that they take in the engine's memory.
    """

    requests: int = 0
    pending_prefill: dict[int, int] = {}
    pause_sensitive: int = 0
    oldest_wait_ms: dict[int, int] = {}
    memory: int = 0


class PeerState(Enum):
    """What an instance says of itself."""

    JOINING = 0
    READY = 1
    LEAVING = 2


class Beacon(msgspec.Struct, array_like=True, tag="b"):
    """What an instance tells the speaker of its zone.

    `weight` is how much it can carry for others. `number` is that of the
    configuration in force, `change_revision` the revision of the newest change, and
    `read_age_ms` how long ago the store last answered here, `store_uptime_ms` for how
    long it has done so without an outage. `loads` names upstreams with work from
    this instance, `cached_prefixes` the shared parts of prompts that it has lately sent
    to each, `unreachable` upstreams that it could lately not reach. `requests_speaker`
    asks for an answer: the sender does not know its zone's speaker. `crash_checksum`
    is that of what it knows of requests that crash upstreams. `limits` holds the rate
    limits that upstreams reported to the sender, in requests a second.
    """

    node: NodeId
    incarnation: Incarnation
    address: str
    weight: float
    zone: ZoneId
    state: PeerState
    number: int
    change_revision: int
    read_age_ms: int
    store_uptime_ms: int
    loads: dict[UpstreamId, Work]
    requests_speaker: bool = False
    cached_prefixes: CachedPrefixes = {}
    unreachable: list[UpstreamId] = []
    crash_checksum: int = 0
    limits: LimitReports = {}


class Digest(msgspec.Struct, array_like=True, tag="d"):
    """What a speaker tells: its members all of it, other speakers its own zone.

    `count` is the number of instances that serve, and `loads` the sum of their
    work: over the fleet if `is_fleet`, else over the zone; `cached_prefixes` are the
    shared parts of prompts that they have lately sent to each upstream. `members` gives
    the weight of each, `speakers` the speaker's address of each zone. `freshest_peer`
    is the address of the instance with the highest `number` and `change_revision`, and
    `read_age_ms` how long ago the store last answered any of them, and
    `store_uptime_ms` the longest time for which it has answered one of them without an
    outage. `age_ms` is 0 unless another instance passes the digest on. Heartbeats
    that name upstreams by their places in `loads` give its `sequence`; 0 is named by
    none. `unreachable` tells how many of the instances could lately not reach an
    upstream, `crash_checksum` is the speaker's own, and `limits` the newest word on
    each upstream.
    """

    address: str
    weight: float
    zone: ZoneId
    is_fleet: bool
    count: int
    members: dict[str, float]
    speakers: dict[ZoneId, str]
    number: int
    change_revision: int
    freshest_peer: str
    read_age_ms: int
    store_uptime_ms: int
    loads: dict[UpstreamId, Work]
    cached_prefixes: CachedPrefixes = {}
    age_ms: int = 0
    sequence: int = 0
    unreachable: Unreachable = {}
    crash_checksum: int = 0
    limits: LimitReports = {}

    def live(self, address: str, zone: ZoneId) -> Fleet:
        """Return who is live, for an instance that goes by this digest."""
        return Fleet(
            address, zone, tuple(self.speakers), tuple(self.members), self.count
        )

    @property
    def is_pointer(self) -> bool:
        """Whether this only names a zone's speaker, and tells nothing of the zone."""
        return not self.freshest_peer


class Heartbeat(msgspec.Struct, array_like=True, tag="h"):
    """What a speaker tells between two digests: that it lives, and what is newest.

    The fields are those of its digests; `number` and what follows are over the fleet
    if `is_fleet`, else over its zone. Unless `sequence` is 0, it also tells the work
    at upstreams and the parts sent there: `packed_work` and `packed_prefixes` are
    packed (`buckthornwall.peers.packing`), by the places of upstreams in the digest of
    that sequence; `loads` and `cached_prefixes` are those that its places do not name,
    and `unreachable`, `crash_checksum` and `limits` are as in a digest.
    """

    address: str
    weight: float
    zone: ZoneId
    is_fleet: bool
    number: int
    change_revision: int
    freshest_peer: str
    read_age_ms: int
    store_uptime_ms: int
    sequence: int = 0
    packed_work: bytes = b""
    packed_prefixes: bytes = b""
    loads: dict[UpstreamId, Work] = {}
    cached_prefixes: CachedPrefixes = {}
    unreachable: Unreachable = {}
    crash_checksum: int = 0
    limits: LimitReports = {}


class CrashReports(msgspec.Struct, array_like=True, tag="c"):
    """What an instance knows of some requests that crash upstreams."""

    address: str
    reports: list[CrashReport]


PeerMessage = Beacon | Digest | Heartbeat | CrashReports


class PeerView(msgspec.Struct, array_like=True):
    """What is in force at an instance; `published` is b'' if not asked for.

    A watch from `revision` returns the changes after it; `change_revision` is the
    revision of the newest change. `evacuated` gives the evacuated zones, and the
    revisions of their records.
    """

    revision: int
    change_revision: int
    published: bytes
    entries: list[UpstreamEntry]
    evacuated: dict[ZoneId, int] = {}


def encode(message: PeerMessage | PeerView) -> bytes:
    """Return a message as bytes, compressed unless it is short."""
    data = cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))
    return data if len(data) < MIN_COMPRESSED_BYTES else zlib.compress(data)


def decode(data: bytes, message_type: type) -> PeerMessage | PeerView:
    """Return the message that `data` holds.

    Raises
    ------
    PeerError
        PEER_MESSAGE if it is not such a message.
    """
    try:
        max_bytes = MAX_VIEW_BYTES if message_type is PeerView else MAX_DATAGRAM_BYTES
        plain = _decompress(data, max_bytes) if data[:1] == ZLIB_FIRST_BYTE else data
        return msgspec.convert(cbor2.loads(plain), message_type, builtin_types=(bytes,))
    except (
        cbor2.CBORError,
        msgspec.ValidationError,
        zlib.error,
        TypeError,
        EOFError,
    ) as error:
        raise PeerError(ResultCode.PEER_MESSAGE, str(error)) from error


def _decompress(data: bytes, max_bytes: int) -> bytes:
    """Return what was compressed, if it is no longer than so many bytes."""
    reader = zlib.decompressobj()
    plain = reader.decompress(data, max_bytes)
    if not reader.eof:
        raise PeerError(ResultCode.PEER_MESSAGE, "cut short, or too long")
    return plain
