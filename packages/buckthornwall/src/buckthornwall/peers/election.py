"""Priority of instances in the election of their zone's speaker."""

from functools import lru_cache
from hashlib import blake2b

from .messages import Digest

__all__ = ["count_higher_members", "election_priority", "sender_priority"]

# Twice the number of instances in the largest planned fleet.
HASH_CACHE_SIZE = 700


def election_priority(address: str, weight: float) -> tuple[float, bytes]:
    """Return an instance's priority: its weight, then a hash of its address."""
    return weight, _hash(address)


def sender_priority(digest: Digest) -> tuple[float, bytes]:
    """Return the priority of the speaker named in a digest."""
    return election_priority(digest.address, digest.weight)


def count_higher_members(digest: Digest, address: str, weight: float) -> int:
    """Return how many members have a higher priority, the sender excepted."""
    priority = election_priority(address, weight)
    return sum(
        1
        for member, member_weight in digest.members.items()
        if member != digest.address
        and election_priority(member, member_weight) > priority
    )


@lru_cache(HASH_CACHE_SIZE)
def _hash(address: str) -> bytes:
    return blake2b(address.encode(), digest_size=8).digest()
