"""Mergeable records of upstreams that terminated while running a request."""

import zlib
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NewType

from buckthornwall.routing import PoolId

from .fingerprint import FINGERPRINT_BYTES, Fingerprint

__all__ = [
    "TAG_BYTES",
    "CrashRecord",
    "IncarnationTag",
    "incarnation_tag",
    "pool_of",
    "pool_tag",
]

# One incarnation of an upstream: a hash of the pool, then one of id and incarnation.
IncarnationTag = NewType("IncarnationTag", int)

POOL_BYTES = 2
UPSTREAM_BYTES = 4
TAG_BYTES = POOL_BYTES + UPSTREAM_BYTES
# A request with this many terminations is refused anyway.
MAX_TERMINATIONS = 16


def pool_tag(pool: PoolId) -> int:
    """Return a hash of a pool."""
    return _hash(pool, POOL_BYTES)


def incarnation_tag(pool: PoolId, upstream: str, incarnation: str) -> IncarnationTag:
    """Return a tag that identifies one incarnation of an upstream."""
    upstream_hash = _hash(f"{upstream}\0{incarnation}", UPSTREAM_BYTES)
    return IncarnationTag(pool_tag(pool) << 8 * UPSTREAM_BYTES | upstream_hash)


def pool_of(tag: IncarnationTag) -> int:
    """Return the hash of the pool in a tag."""
    return tag >> 8 * UPSTREAM_BYTES


def _hash(text: str, size: int) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=size).digest())


@dataclass(slots=True)
class CrashRecord:
    """Terminations by one request; both sets only grow, so the merge order is free.

    `terminations` are the upstreams that terminated while running it, and `cleared`
    those of them that a successful run of it in the same pool has cleared.
    `last_seen_at` is when it last arrived or an upstream terminated while running it,
    and `reported_at` when it was last reported to peers, in seconds.
    """

    terminations: set[IncarnationTag] = field(default_factory=set)
    cleared: set[IncarnationTag] = field(default_factory=set)
    last_seen_at: float = float("-inf")
    reported_at: float = float("-inf")

    @property
    def crashes(self) -> int:
        """Number of upstreams that it is assumed to have crashed."""
        return len(self.terminations - self.cleared)

    def merge(
        self, terminations: set[IncarnationTag], cleared: set[IncarnationTag]
    ) -> None:
        """Merge the record of a peer, up to `MAX_TERMINATIONS`."""
        room = max(0, MAX_TERMINATIONS - len(self.terminations))
        self.terminations.update(sorted(terminations - self.terminations)[:room])
        self.cleared |= cleared & self.terminations

    def clear(self, pool: int) -> None:
        """Mark the terminations in a pool as cleared."""
        self.cleared |= {tag for tag in self.terminations if pool_of(tag) == pool}

    def checksum(self, fingerprint: Fingerprint) -> int:
        """Return a 32-bit checksum that is equal for equal records of a request."""
        data = fingerprint.to_bytes(FINGERPRINT_BYTES)
        for tag in sorted(self.terminations):
            data += tag.to_bytes(TAG_BYTES) + bytes([tag in self.cleared])
        return zlib.crc32(data)
