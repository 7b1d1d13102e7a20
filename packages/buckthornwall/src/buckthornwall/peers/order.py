"""The order in which instances of a zone speak for it."""

from functools import lru_cache
from hashlib import blake2b

from .messages import Digest

__all__ = ["order_of", "order_of_sender"]

# Addresses whose hashes are kept: those of a fleet of the size to come, twice over.
KEPT_HASHES = 700


def order_of(address: str, weight: float) -> tuple[float, bytes]:
    """Return an instance's place in the order of speakers."""
    return weight, _hash(address)


def order_of_sender(digest: Digest) -> tuple[float, bytes]:
    """Return the place of the speaker that a digest is of."""
    return order_of(digest.address, digest.weight)


@lru_cache(KEPT_HASHES)
def _hash(address: str) -> bytes:
    return blake2b(address.encode(), digest_size=8).digest()
