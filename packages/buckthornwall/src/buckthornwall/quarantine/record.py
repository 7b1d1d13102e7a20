"""Mergeable records of upstreams that terminated while serving a request or part."""

import zlib
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b
from typing import NewType

from buckthornwall.routing import PoolId

from .fingerprint import FINGERPRINT_BYTES, Fingerprint, is_part

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


@lru_cache(maxsize=256)
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
    """Terminations that implicate a request or a part, and which of them are cleared.

    `terminations` are the upstreams that terminated while running it, with the times in
    seconds, and `cleared` those of them that it did not cause, as a successful run or
    an answer has shown. `last_seen_at` is when it last arrived or an upstream
    terminated while serving it, and `reported_at` when it was last reported to peers.
    """

    terminations: dict[IncarnationTag, float] = field(default_factory=dict)
    cleared: set[IncarnationTag] = field(default_factory=set)
    last_seen_at: float = float("-inf")
    reported_at: float = float("-inf")

    @property
    def crashes(self) -> int:
        """Number of upstreams that it is assumed to have crashed."""
        return len(self.terminations) - len(self.cleared)

    @property
    def uncleared(self) -> dict[IncarnationTag, float]:
        """The terminations that are not cleared."""
        return {
            tag: at for tag, at in self.terminations.items() if tag not in self.cleared
        }

    @property
    def last_termination_at(self) -> float:
        """Time of the last termination."""
        return max(self.terminations.values(), default=float("-inf"))

    def merge(
        self, terminations: dict[IncarnationTag, float], cleared: set[IncarnationTag]
    ) -> None:
        """Merge the record of a peer, up to `MAX_TERMINATIONS`."""
        room = max(0, MAX_TERMINATIONS - len(self.terminations))
        new = sorted(terminations.keys() - self.terminations.keys())[:room]
        for tag in terminations.keys() & self.terminations.keys():
            self.terminations[tag] = min(self.terminations[tag], terminations[tag])
        self.terminations |= {tag: terminations[tag] for tag in new}
        self.cleared |= cleared & self.terminations.keys()

    def clear(self, pool: int) -> None:
        """Mark the terminations in a pool as cleared."""
        self.cleared |= {tag for tag in self.terminations if pool_of(tag) == pool}

    def merge_newest(
        self, terminations: dict[IncarnationTag, float], cleared: set[IncarnationTag]
    ) -> None:
        """Merge the record of a peer without a bound; `trim` restores it."""
        for tag, at in terminations.items():
            self.terminations[tag] = min(at, self.terminations.get(tag, at))
        self.cleared |= cleared & self.terminations.keys()

    def trim(self) -> None:
        """Drop terminations over `MAX_TERMINATIONS`: cleared ones, then the oldest."""

        def order(tag: IncarnationTag) -> tuple[bool, float]:
            return tag not in self.cleared, self.terminations[tag]

        excess = max(0, len(self.terminations) - MAX_TERMINATIONS)
        for tag in sorted(self.terminations, key=order)[:excess]:
            self.cleared.discard(tag)
            del self.terminations[tag]

    def checksum(self, fingerprint: Fingerprint) -> int:
        """Return a 32-bit checksum that is equal for equal records.

        Of a part, only uncleared terminations count, so that instances may drop
        cleared ones at different times.
        """
        tags = self.uncleared if is_part(fingerprint) else self.terminations
        if is_part(fingerprint) and not tags:
            return 0
        data = fingerprint.to_bytes(FINGERPRINT_BYTES)
        for tag in sorted(tags):
            data += tag.to_bytes(TAG_BYTES) + bytes([tag in self.cleared])
        return zlib.crc32(data)
