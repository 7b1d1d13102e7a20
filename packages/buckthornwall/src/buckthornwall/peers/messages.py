"""Messages between instances, encoded in CBOR.

All are arrays on the wire: field names would take more than half of the bytes.
"""

import zlib
from enum import Enum

import cbor2
import msgspec

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.pools import (
    CachedPrefixes,
    Fleet,
    LeavingUpstreams,
    LimitNeed,
    LimitReports,
    LimitUsers,
    PoolReports,
    RankTokens,
    Unreachable,
)
from buckthornwall.quarantine import CrashReport
from buckthornwall.utils import (
    Count,
    DecodingError,
    Incarnation,
    NodeId,
    Revision,
    UpstreamId,
    Weight,
    ZoneId,
    decode_cbor,
)

from .origin_messages import OriginMessage
from .peer_view import PeerView

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

# Compression does not shorten smaller messages.
MIN_COMPRESSED_BYTES = 200
# First byte of zlib data; no CBOR array begins with it.
ZLIB_FIRST_BYTE = b"\x78"
# Limits of decompressed data, in bytes. A view holds a complete configuration,
# instances have 128 MB of memory, and a datagram of 64 KB may expand a thousandfold.
MAX_VIEW_BYTES = 16 * 2**20
MAX_DATAGRAM_BYTES = 2**20


class Work(msgspec.Struct, array_like=True, frozen=True):
    """Outstanding work of one or more instances at one upstream.

    Attributes
    ----------
    requests
        Requests in flight.
    pending_prefill
        By rank, prompt tokens that are not prefilled yet.
    pause_sensitive
        Requests among them that are streams whose pauses must be short.
    oldest_wait_ms
        By rank, how long the oldest request has waited for its first token.
    memory
        Tokens that the requests take in the engine's memory.
    """

    requests: Count = 0
    pending_prefill: dict[Count, Count] = {}
    pause_sensitive: Count = 0
    oldest_wait_ms: dict[Count, Count] = {}
    memory: Count = 0


class PeerState(Enum):
    """Life-cycle state that an instance reports."""

    JOINING = 0
    READY = 1
    LEAVING = 2


class Beacon(msgspec.Struct, array_like=True, tag="b"):
    """Report of an instance to the speaker of its zone.

    Attributes
    ----------
    weight
        Capacity of the instance for relaying.
    config_number
        Number of the configuration in force.
    change_revision
        Revision of the newest change.
    read_age_ms
        Time since the store last answered this instance.
    store_uptime_ms
        Time for which the store has answered this instance without an outage.
    loads
        Outstanding work of this instance by upstream.
    requests_speaker
        Whether this is a lookup: the sender does not know its zone's speaker.
    cached_prefixes
        Shared prompt prefixes that were recently sent to each upstream.
    unreachable
        Upstreams that could not be reached recently, or that asked for a rest.
    crash_checksum
        Checksum of the known requests that crash upstreams.
    limits
        Rate limits that upstreams reported to the sender, in requests a second.
    rank_tokens
        Prompt tokens that the sender recently admitted and refused, by pool and rank.
    leaving
        Upstreams that stated that they are leaving but are registered as ready.
    store_era
        Era of the store that counts `change_revision`; 0 if it is not known.
    is_isolated
        Whether the sender can open connections to no upstream.
    brittle
        Rejections a second that brittle upstreams survive, by their own statement.
    keeps_origins
        Whether the sender keeps records of what began streams.
    limit_need
        What the sender needs of its share of rate limits.
    pool_reports
        What the sender saw of pools under load.
    removal_revision
        Revision up to which all removals are in force at the sender.
    state_checksum
        Checksum of what is in force at the sender; 0 if it does not say.
    """

    node: NodeId
    incarnation: Incarnation
    address: str
    weight: Weight
    zone: ZoneId
    state: PeerState
    config_number: Revision
    change_revision: Revision
    read_age_ms: Count
    store_uptime_ms: Count
    loads: dict[UpstreamId, Work]
    requests_speaker: bool = False
    cached_prefixes: CachedPrefixes = {}
    unreachable: list[UpstreamId] = []
    crash_checksum: int = 0
    limits: LimitReports = {}
    rank_tokens: RankTokens = {}
    leaving: LeavingUpstreams = {}
    store_era: Revision = 0
    is_isolated: bool = False
    brittle: LimitReports = {}
    keeps_origins: bool = False
    limit_need: LimitNeed = LimitNeed.SHARE
    pool_reports: PoolReports = PoolReports()
    removal_revision: Revision = 0
    state_checksum: Count = 0


class Digest(msgspec.Struct, array_like=True, tag="d"):
    """Aggregate of a speaker: of the fleet for its members, of its zone for speakers.

    Attributes
    ----------
    is_fleet
        Whether the aggregate covers the fleet, not only the sender's zone.
    count
        Number of instances that serve.
    members
        Weights of the zone's instances by address.
    speakers
        Addresses of the speakers by zone.
    config_number, change_revision
        The highest of any instance.
    freshest_peer
        Address of the instance with these; '' if the digest is only a pointer.
    read_age_ms
        Time since the store last answered any of the instances.
    store_uptime_ms
        Longest time for which the store has answered one of them without an outage.
    loads
        Summed outstanding work by upstream.
    cached_prefixes
        Shared prompt prefixes that were recently sent to each upstream.
    age_ms
        Age of a digest that another instance relays, else 0.
    sequence
        Number by which heartbeats refer to the order of `loads`; 0 if none does.
    unreachable
        By upstream, the number of instances that could not reach it recently, or that
        it asked for a rest.
    crash_checksum
        The speaker's own.
    limits
        Newest report of each upstream's rate limit.
    rank_tokens
        Summed prompt tokens recently admitted and refused, by pool and rank.
    leaving
        Upstreams that stated that they are leaving but are registered as ready.
    store_era
        Era of the store that counts `change_revision`; 0 if it is not known.
    isolated
        Addresses of the instances that can open connections to no upstream.
    relays
        By zone, some ready instances that can, while any instance cannot.
    brittle
        Rejections a second that brittle upstreams survive, by their own statement.
    without_origins
        Members of the zone that keep no records of what began streams.
    limit_users
        Who needs more than its share of rate limits.
    ceding
        Number of instances that cede most of theirs.
    pool_reports
        Sums of what instances saw of pools under load.
    removal_revision
        Revision up to which all removals are in force at `freshest_peer`.
    state_checksum
        Checksum of what is in force there; 0 if it does not say.
    """

    address: str
    weight: Weight
    zone: ZoneId
    is_fleet: bool
    count: Count
    members: dict[str, Weight]
    speakers: dict[ZoneId, str]
    config_number: Revision
    change_revision: Revision
    freshest_peer: str
    read_age_ms: Count
    store_uptime_ms: Count
    loads: dict[UpstreamId, Work]
    cached_prefixes: CachedPrefixes = {}
    age_ms: Count = 0
    sequence: Count = 0
    unreachable: Unreachable = {}
    crash_checksum: int = 0
    limits: LimitReports = {}
    rank_tokens: RankTokens = {}
    leaving: LeavingUpstreams = {}
    store_era: Revision = 0
    isolated: list[str] = []
    relays: dict[ZoneId, list[str]] = {}
    brittle: LimitReports = {}
    without_origins: list[str] = []
    limit_users: LimitUsers = {}
    ceding: Count = 0
    pool_reports: PoolReports = PoolReports()
    removal_revision: Revision = 0
    state_checksum: Count = 0

    def live(self, address: str, zone: ZoneId) -> Fleet:
        """Return the live fleet for an instance that follows this digest."""
        return Fleet(
            address, zone, tuple(self.speakers), tuple(self.members), self.count
        )

    @property
    def is_pointer(self) -> bool:
        """Whether this only names a zone's speaker and holds no aggregate."""
        return not self.freshest_peer


class Heartbeat(msgspec.Struct, array_like=True, tag="h"):
    """Sign of life of a speaker between two digests, with the newest revision.

    The fields have the meaning that they have in a digest, and cover the fleet if
    `is_fleet`, else the sender's zone.

    Attributes
    ----------
    sequence
        Sequence of the digest to whose order of upstreams the packed fields refer; 0 if
        the heartbeat has no loads.
    packed_work, packed_prefixes
        Loads and cached prefixes as `buckthornwall.peers.packing` encodes them.
    loads, cached_prefixes
        Those that cannot be packed, such as of upstreams that the digest did not list.
    """

    address: str
    weight: Weight
    zone: ZoneId
    is_fleet: bool
    config_number: Revision
    change_revision: Revision
    freshest_peer: str
    read_age_ms: Count
    store_uptime_ms: Count
    sequence: Count = 0
    packed_work: bytes = b""
    packed_prefixes: bytes = b""
    loads: dict[UpstreamId, Work] = {}
    cached_prefixes: CachedPrefixes = {}
    unreachable: Unreachable = {}
    crash_checksum: int = 0
    limits: LimitReports = {}
    rank_tokens: RankTokens = {}
    leaving: LeavingUpstreams = {}
    store_era: Revision = 0
    isolated: list[str] = []
    relays: dict[ZoneId, list[str]] = {}
    brittle: LimitReports = {}
    limit_users: LimitUsers = {}
    ceding: Count = 0
    pool_reports: PoolReports = PoolReports()
    removal_revision: Revision = 0
    state_checksum: Count = 0


class CrashReports(msgspec.Struct, array_like=True, tag="c"):
    """A batch of an instance's reports of requests that crash upstreams."""

    address: str
    reports: list[CrashReport]


PeerMessage = Beacon | Digest | Heartbeat | CrashReports | OriginMessage


def encode(message: PeerMessage | PeerView) -> bytes:
    """Return the encoded message, compressed unless it is short."""
    data = cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))
    return data if len(data) < MIN_COMPRESSED_BYTES else zlib.compress(data)


def decode(data: bytes, message_type: type) -> PeerMessage | PeerView:
    """Return the decoded message.

    Raises
    ------
    PeerError
        PEER_MESSAGE if `data` is not a message of this type.
    """
    try:
        max_bytes = MAX_VIEW_BYTES if message_type is PeerView else MAX_DATAGRAM_BYTES
        plain = _decompress(data, max_bytes) if data[:1] == ZLIB_FIRST_BYTE else data
        return decode_cbor(plain, message_type)
    except (DecodingError, zlib.error) as error:
        raise PeerError(ResultCode.PEER_MESSAGE, str(error)) from error


def _decompress(data: bytes, max_bytes: int) -> bytes:
    """Return the decompressed data, which may have `max_bytes` at most."""
    reader = zlib.decompressobj()
    plain = reader.decompress(data, max_bytes)
    if not reader.eof:
        raise PeerError(ResultCode.PEER_MESSAGE, "zlib data truncated or too long")
    return plain
