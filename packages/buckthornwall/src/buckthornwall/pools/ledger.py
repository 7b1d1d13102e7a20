"""Keep the requests that one instance recently admitted and refused, by rank.

Whether a request is late depends on its own target. That alone would refuse urgent
requests at waits at which less urgent ones with a longer target are still admitted, so
the tokens refused of a rank are compared with those admitted of less urgent ranks.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ["AdmissionLedger"]

# Older decisions do not reflect the present load.
WINDOW_S = 10.0


@dataclass(frozen=True, slots=True)
class _Entry:
    """An admitted or refused request; `tokens` is the length of its prompt."""

    at: float
    rank: int
    tokens: int


class AdmissionLedger:
    """Admitted and refused requests of one pool within a window; times in seconds.

    Requests of the most urgent rank are never refused, and need no entry.
    """

    def __init__(self) -> None:
        self._admitted: deque[_Entry] = deque()
        self._refused: deque[_Entry] = deque()

    @property
    def entries(self) -> int:
        """Number of requests in the window."""
        return len(self._admitted) + len(self._refused)

    def record_admitted(self, rank: int, tokens: int, now: float) -> None:
        """Record that a request was sent to an engine."""
        _expire(self._admitted, now)
        self._admitted.append(_Entry(now, rank, tokens))

    def record_refused(self, rank: int, tokens: int, now: float) -> None:
        """Record that a request was refused for overload."""
        _expire(self._refused, now)
        self._refused.append(_Entry(now, rank, tokens))

    def has_deficit(self, rank: int, tokens: int, now: float) -> bool:
        """Return whether a late request is admitted since less urgent ones were.

        It is while more tokens of less urgent requests were admitted than tokens of
        requests at least as urgent were refused, this one included.
        """
        return self.admitted_below(rank, now) > self.refused(rank, now) + tokens

    def refused(self, rank: int, now: float) -> int:
        """Return the tokens refused of ranks at least as urgent as `rank`."""
        _expire(self._refused, now)
        return sum(each.tokens for each in self._refused if each.rank <= rank)

    def should_defer(self, rank: int, tokens: int, now: float) -> bool:
        """Return whether a request is refused since more urgent ones were.

        It is once the tokens admitted of its rank and less urgent ones, this one
        included, exceed those refused of more urgent ranks. Up to that amount it is
        admitted, so that no rank starves.
        """
        refused = self.refused(rank - 1, now)
        return 0 < refused < self.admitted_below(rank - 1, now) + tokens

    def admitted_below(self, rank: int, now: float) -> int:
        """Return the tokens admitted of ranks less urgent than `rank`."""
        _expire(self._admitted, now)
        return sum(each.tokens for each in self._admitted if each.rank > rank)


def _expire(entries: deque[_Entry], now: float) -> None:
    while entries and now - entries[0].at > WINDOW_S:
        entries.popleft()
