"""Compact binary encoding of loads and cached prefixes for frequent heartbeats.

A complete digest of 59 engines and 33 members takes 4.7 KB. At 5 KB/s for each member
that allows one a second, and reports relayed by two speakers are a second old at the
median. Here upstreams are given by their index in the list of the last digest, values
are stored in columns, and units are as coarse as decisions allow.
"""

import struct
from collections.abc import Iterable

from buckthornwall.codes import PeerError, ResultCode
from buckthornwall.pools import CachedPrefixes
from buckthornwall.utils import UpstreamId

from .messages import Work

__all__ = [
    "pack_cached_prefixes",
    "pack_loads",
    "unpack_cached_prefixes",
    "unpack_loads",
]

# Engines prefill prompts in chunks of hundreds of tokens, and their memory holds
# hundreds of thousands. Only waits of 200 ms or more are reported.
PENDING_PREFILL_UNIT_TOKENS = 32
MEMORY_UNIT_TOKENS = 256
WAIT_UNIT_MS = 20
PREFIX_UNIT_TOKENS = 32
MAX_UINT8 = 0xFF
MAX_UINT16 = 0xFFFF
# Prefix ids with this many hexadecimal digits fit in four bytes.
HEX_ID_DIGITS = 8
HEX_DIGITS = frozenset("0123456789abcdef")


def pack_loads(loads: dict[UpstreamId, Work], upstreams: list[UpstreamId]) -> bytes:
    """Return the encoded work at the upstreams of a list, in its order.

    Parameters
    ----------
    loads
        Work by upstream; upstreams that are not in the list are left out.
    upstreams
        The list, in the order that the receiver has it.
    """
    works = [loads.get(upstream, NO_WORK) for upstream in upstreams]
    ranks = sorted(
        {
            rank
            for work in works
            for rank in (*work.pending_prefill, *work.oldest_wait_ms)
        }
    )
    ranks = [rank for rank in ranks if 0 <= rank <= MAX_UINT8]
    packed = [
        struct.pack("<HB", len(upstreams), len(ranks)),
        bytes(ranks),
        _uint16s(work.requests for work in works),
        _uint8s(work.pause_sensitive for work in works),
        _uint16s(_units(work.memory, MEMORY_UNIT_TOKENS) for work in works),
    ]
    for rank in ranks:
        pending_prefill = (work.pending_prefill.get(rank, 0) for work in works)
        oldest = (work.oldest_wait_ms.get(rank, 0) for work in works)
        packed.append(
            _uint16s(
                _units(each, PENDING_PREFILL_UNIT_TOKENS) for each in pending_prefill
            )
        )
        packed.append(_uint8s(_units(each, WAIT_UNIT_MS) for each in oldest))
    return b"".join(packed)


def unpack_loads(data: bytes, upstreams: list[UpstreamId]) -> dict[UpstreamId, Work]:
    """Return the decoded work at upstreams that have any.

    Raises
    ------
    PeerError
        PEER_MESSAGE if `data` is not the work at the upstreams of this list.
    """
    reader = _Reader(data)
    count, rank_count = reader.take("<HB")
    if count != len(upstreams):
        raise PeerError(ResultCode.PEER_MESSAGE, "loads packed for another list")
    ranks = reader.take(f"<{rank_count}B")
    requests = reader.take(f"<{count}H")
    pause_sensitive = reader.take(f"<{count}B")
    memory = reader.take(f"<{count}H")
    columns = [
        (rank, reader.take(f"<{count}H"), reader.take(f"<{count}B")) for rank in ranks
    ]
    reader.end()
    loads = {}
    for index, upstream in enumerate(upstreams):
        pending_prefill = {
            rank: tokens[index] * PENDING_PREFILL_UNIT_TOKENS
            for rank, tokens, _ in columns
            if tokens[index]
        }
        if not requests[index] and not pending_prefill:
            continue
        oldest_wait_ms = {
            rank: waits[index] * WAIT_UNIT_MS
            for rank, _, waits in columns
            if waits[index]
        }
        loads[upstream] = Work(
            requests[index],
            pending_prefill,
            pause_sensitive[index],
            oldest_wait_ms,
            memory[index] * MEMORY_UNIT_TOKENS,
        )
    return loads


def pack_cached_prefixes(
    cached_prefixes: CachedPrefixes, upstreams: list[UpstreamId]
) -> tuple[bytes, CachedPrefixes]:
    """Return the encoded prefixes, and those that the encoding cannot represent."""
    indexes = {upstream: index for index, upstream in enumerate(upstreams)}
    rows, others = [], {}
    for upstream, prefixes in cached_prefixes.items():
        for prefix, tokens in prefixes:
            if upstream in indexes and _is_short_hex(prefix):
                units = min(MAX_UINT16, _units(tokens, PREFIX_UNIT_TOKENS))
                rows.append((indexes[upstream], int(prefix, 16), units))
            else:
                others.setdefault(upstream, []).append((prefix, tokens))
    columns = list(zip(*rows, strict=True)) or [(), (), ()]
    packed = [struct.pack("<H", len(rows))]
    for column, fmt in zip(columns, "HIH", strict=True):
        packed.append(struct.pack(f"<{len(rows)}{fmt}", *column))
    return b"".join(packed), others


def unpack_cached_prefixes(data: bytes, upstreams: list[UpstreamId]) -> CachedPrefixes:
    """Return the decoded prefixes by engine.

    Raises
    ------
    PeerError
        PEER_MESSAGE if `data` is not prefixes at engines of this list.
    """
    reader = _Reader(data)
    (count,) = reader.take("<H")
    indexes = reader.take(f"<{count}H")
    prefixes = reader.take(f"<{count}I")
    units = reader.take(f"<{count}H")
    reader.end()
    cached_prefixes: CachedPrefixes = {}
    for index, prefix, size in zip(indexes, prefixes, units, strict=True):
        if index >= len(upstreams):
            raise PeerError(ResultCode.PEER_MESSAGE, "prefixes are of another list")
        name = f"{prefix:0{HEX_ID_DIGITS}x}"
        cached_prefixes.setdefault(upstreams[index], []).append(
            (name, size * PREFIX_UNIT_TOKENS)
        )
    return cached_prefixes


class _Reader:
    """Reads consecutive struct formats from a buffer."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.offset = 0

    def take(self, fmt: str) -> tuple[int, ...]:
        """Return the next values."""
        try:
            values = struct.unpack_from(fmt, self.data, self.offset)
        except struct.error as error:
            raise PeerError(ResultCode.PEER_MESSAGE, str(error)) from error
        self.offset += struct.calcsize(fmt)
        return values

    def end(self) -> None:
        """Check that no bytes are left."""
        if self.offset != len(self.data):
            raise PeerError(ResultCode.PEER_MESSAGE, "trailing bytes after the data")


NO_WORK = Work()


def _units(value: int, unit: int) -> int:
    """Return a count in units, rounded up so that a positive count is never 0."""
    return -(-value // unit)


def _uint16s(values: Iterable[int]) -> bytes:
    limited = [min(MAX_UINT16, value) for value in values]
    return struct.pack(f"<{len(limited)}H", *limited)


def _uint8s(values: Iterable[int]) -> bytes:
    return bytes(min(MAX_UINT8, value) for value in values)


def _is_short_hex(prefix: str) -> bool:
    return len(prefix) == HEX_ID_DIGITS and HEX_DIGITS.issuperset(prefix)
