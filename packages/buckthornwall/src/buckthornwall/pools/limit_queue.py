"""Who gets the next token where all upstreams of a pool have a rate limit."""

import itertools
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["LimitQueue", "Place"]

# One in so many tokens goes to the least urgent request that waits, so that no rank
# starves.
FLOOR_EVERY = 10

# A rank counts as present for so many seconds after its last request.
PRESENT_S = 10.0

# The rank of a request, and the number of its arrival.
Place = tuple[int, int]


class LimitQueue:
    """Requests that wait at this instance for a token of one pool."""

    def __init__(self) -> None:
        self._waiting: set[Place] = set()
        self._numbers = itertools.count()
        self._given = 0
        self._seen_at: dict[int, float] = {}

    def record_arrival(self, rank: int, now: float) -> None:
        """Record that a request of a rank came."""
        self._seen_at[rank] = now

    def is_most_urgent(self, rank: int, now: float) -> bool:
        """Tell whether no more urgent request came lately."""
        return not any(
            other < rank and now - at <= PRESENT_S
            for other, at in self._seen_at.items()
        )

    @contextmanager
    def join(self, rank: int) -> Iterator[Place]:
        """Wait in the queue within the ``with`` statement."""
        place = (rank, next(self._numbers))
        self._waiting.add(place)
        try:
            yield place
        finally:
            self._waiting.discard(place)

    def count_before(self, rank: int) -> int:
        """Return how many go before a request of a rank that comes now."""
        return sum(1 for other, _ in self._waiting if other <= rank)

    def is_next(self, place: Place) -> bool:
        """Tell whether the next token is for a request that waits."""
        if (self._given + 1) % FLOOR_EVERY:
            return place == min(self._waiting)
        least_urgent = max(rank for rank, _ in self._waiting)
        return place == min(each for each in self._waiting if each[0] == least_urgent)

    def record_given(self) -> None:
        """Count a token that a request which waited got."""
        self._given += 1
