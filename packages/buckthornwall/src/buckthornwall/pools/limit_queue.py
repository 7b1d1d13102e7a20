"""Who gets the next token where all upstreams of a pool have a rate limit."""

import itertools
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["LimitQueue", "QueuePosition"]

# One in so many tokens goes to the least urgent request that waits, so that no rank
# starves.
LEAST_URGENT_EVERY = 10

# A rank counts as present for so many seconds after its last request.
RANK_PRESENCE_S = 10.0

# The rank of a request, and the number of its arrival.
QueuePosition = tuple[int, int]


class LimitQueue:
    """Requests that wait at this instance for a token of one pool."""

    def __init__(self) -> None:
        self._waiting: set[QueuePosition] = set()
        self._arrival_numbers = itertools.count()
        self._granted = 0
        self._last_arrivals: dict[int, float] = {}

    def record_arrival(self, rank: int, now: float) -> None:
        """Record that a request of a rank came."""
        self._last_arrivals[rank] = now

    def is_most_urgent(self, rank: int, now: float) -> bool:
        """Tell whether no more urgent request came lately."""
        return not any(
            other < rank and now - at <= RANK_PRESENCE_S
            for other, at in self._last_arrivals.items()
        )

    @contextmanager
    def join(self, rank: int) -> Iterator[QueuePosition]:
        """Wait in the queue within the ``with`` statement."""
        position = (rank, next(self._arrival_numbers))
        self._waiting.add(position)
        try:
            yield position
        finally:
            self._waiting.discard(position)

    def count_ahead(self, rank: int) -> int:
        """Return how many go before a request of a rank that comes now."""
        return sum(1 for other, _ in self._waiting if other <= rank)

    def is_next(self, position: QueuePosition) -> bool:
        """Tell whether the next token is for a request that waits."""
        if (self._granted + 1) % LEAST_URGENT_EVERY:
            return position == min(self._waiting)
        least_urgent = max(rank for rank, _ in self._waiting)
        return position == min(
            each for each in self._waiting if each[0] == least_urgent
        )

    def record_grant(self) -> None:
        """Count a token that a request which waited got."""
        self._granted += 1
