"""The order in which instances of a zone speak for it."""

from functools import lru_cache
from hashlib import blake2b

from .messages import Digest

__all__ = ["election_priority", "sender_priority"]

# Addresses whose hashes are kept: those of a fleet of the size to come, twice over.
HASH_CACHE_SIZE = 700


def election_priority(address: str, weight: float) -> tuple[float, bytes]:
    """Return an instance's place in the order of speakers."""
    return weight, _hash(address)


def sender_priority(digest: Digest) -> tuple[float, bytes]:
    """Return the place of the speaker that a digest is of."""
    return election_priority(digest.address, digest.weight)


@lru_cache(HASH_CACHE_SIZE)
def _hash(address: str) -> bytes:
    return blake2b(address.encode(), digest_size=8).digest()
