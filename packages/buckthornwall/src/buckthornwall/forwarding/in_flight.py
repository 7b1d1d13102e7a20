"""Requests in flight by pool, so that one slow pool leaves room for the others."""

import math
from collections import Counter
from collections.abc import Iterator
from contextlib import AbstractContextManager, contextmanager

from buckthornwall.codes import Refusal, ResultCode
from buckthornwall.routing import PoolId

__all__ = ["InFlightLimit"]

# About as long as a short request takes.
RETRY_S = 0.5


class InFlightLimit:
    """Counts the requests in flight to each pool, and limits them.

    Attributes
    ----------
    most_per_pool : float
        Most requests in flight to one pool.
    refused : int
        Requests that were refused for it.
    """

    def __init__(self) -> None:
        self.most_per_pool = math.inf
        self.refused = 0
        self._counts: Counter[PoolId] = Counter()

    def take(self, pool: PoolId) -> AbstractContextManager[None]:
        """Return a context in which a request to a pool counts.

        Raises
        ------
        Refusal
            If too many are in flight.
        """
        if self._counts[pool] >= self.most_per_pool:
            self.refused += 1
            raise Refusal(
                ResultCode.CLIENT_MEMORY_FULL,
                f"{pool} in flight",
                retry_after_s=RETRY_S,
            )
        return self._count(pool)

    @contextmanager
    def _count(self, pool: PoolId) -> Iterator[None]:
        self._counts[pool] += 1
        try:
            yield
        finally:
            self._counts[pool] -= 1
            if not self._counts[pool]:
                del self._counts[pool]
