"""Order of waiting requests where all upstreams of a pool have a rate limit."""

import itertools
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["LimitQueue", "QueuePosition"]

# One in this many tokens goes to the least urgent waiting request, so that no rank
# starves.
LEAST_URGENT_EVERY = 10

# A rank counts as present for this many seconds after its last request.
RANK_PRESENCE_S = 10.0

# Rank of a request, and its arrival number.
QueuePosition = tuple[int, int]


class LimitQueue:
    """Requests waiting at this instance for a token of one pool."""

    def __init__(self) -> None:
        self._waiting: set[QueuePosition] = set()
        self._arrival_numbers = itertools.count()
        self._granted = 0
        self._last_arrivals: dict[int, float] = {}

    def record_arrival(self, rank: int, now: float) -> None:
        """Record the arrival of a request of a rank."""
        self._last_arrivals[rank] = now

    def is_most_urgent(self, rank: int, now: float) -> bool:
        """Return whether no more urgent request arrived recently."""
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
        """Return how many waiting requests precede a new request of a rank."""
        return sum(1 for other, _ in self._waiting if other <= rank)

    def is_next(self, position: QueuePosition) -> bool:
        """Return whether the next token goes to the request at a position."""
        if (self._granted + 1) % LEAST_URGENT_EVERY:
            return position == min(self._waiting)
        least_urgent = max(rank for rank, _ in self._waiting)
        return position == min(
            each for each in self._waiting if each[0] == least_urgent
        )

    def record_grant(self) -> None:
        """Count a token granted to a request that waited."""
        self._granted += 1
