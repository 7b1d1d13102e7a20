"""Rendezvous hashing [1]_ and consistent hashing [2]_.

References
----------
.. [1] Thaler, D. G. and Ravishankar, C. V., "Using name-based mappings to
   increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
.. [2] Karger, D. et al., "Consistent hashing and random trees", STOC 1997.
"""

from bisect import bisect
from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["HashRing", "hash_fraction", "rendezvous_order", "rendezvous_winner"]

# Positions of a member on a ring; with fewer, their shares of the keys differ more.
RING_POINTS = 32
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


class HashRing:
    """Members at several hashed positions each, made once for many keys.

    Parameters
    ----------
    members
        The members, in any order.
    """

    def __init__(self, members: Iterable[str]) -> None:
        points = sorted(
            (_weight(str(point), member), member)
            for member in members
            for point in range(RING_POINTS)
        )
        self.positions = [int.from_bytes(position) for position, _ in points]
        self.members = [member for _, member in points]

    def successors(self, key: int, count: int) -> list[str]:
        """Return the members that follow a hashed key of 63 bits, `count` at most."""
        found: dict[str, None] = {}
        first = bisect(self.positions, 2 * key)
        for index in range(first - len(self.members), first):
            if len(found) == count:
                break
            found[self.members[index]] = None
        return list(found)
