"""Rendezvous hashing [1]_.

References
----------
.. [1] Thaler, D. G. and Ravishankar, C. V., "Using name-based mappings to
   increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["hash_fraction", "rendezvous_order", "rendezvous_winner"]

# Number of different weights, which have 8 bytes.
WEIGHT_RANGE = 2**64


def _weight(key: str, candidate: str) -> bytes:
    return blake2b(f"{key}\0{candidate}".encode(), digest_size=8).digest()


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in descending order of their weight for `key`."""
    return sorted(candidates, key=lambda each: _weight(key, each), reverse=True)


def rendezvous_winner(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest weight for `key`; None without any."""
    return max(candidates, key=lambda each: _weight(key, each), default=None)


def hash_fraction(key: str) -> float:
    """Return the hash of `key` as a fraction, uniform from 0 to 1."""
    return int.from_bytes(_weight(key, "")) / WEIGHT_RANGE
