"""What one instance let in and refused lately, by rank.

Whether a request would come too late is judged by its own target. That alone refuses
what is more urgent at waits at which what is less urgent, and has a longer target, is
still let in; so what was refused is held against what was let in below it.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ["AdmissionLedger"]

# What is older says nothing of the load there is; seconds.
WINDOW_S = 10.0


@dataclass(frozen=True, slots=True)
class _Entry:
    """One request that was let in or refused; its prompt in tokens."""

    at: float
    rank: int
    tokens: int


class AdmissionLedger:
    """Requests to one pool within a window; times are in seconds.

    Requests that nothing may go before are never refused, and need no entry.
    """

    def __init__(self) -> None:
        self._admitted: deque[_Entry] = deque()
        self._refused: deque[_Entry] = deque()

    @property
    def entries(self) -> int:
        """How many requests are kept."""
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
        """Tell whether a late request is to be let in since less urgent ones were.

        It is as long as more tokens of less urgent requests were let in than of such
        that are as urgent were refused, this one counted with those.
        """
        return self._admitted_below(rank, now) > self.refused(rank, now) + tokens

    def refused(self, rank: int, now: float) -> int:
        """Return the tokens refused of ranks as urgent as one, or more."""
        _expire(self._refused, now)
        return sum(each.tokens for each in self._refused if each.rank <= rank)

    def should_defer(self, rank: int, tokens: int, now: float) -> bool:
        """Tell whether a request is to be refused since more urgent ones were.

        It is once the less urgent requests let in, with this one, have more tokens
        than the more urgent ones refused: up to that none starves.
        """
        refused = self.refused(rank - 1, now)
        return 0 < refused < self._admitted_below(rank - 1, now) + tokens

    def _admitted_below(self, rank: int, now: float) -> int:
        """Return the tokens let in of ranks less urgent than one."""
        _expire(self._admitted, now)
        return sum(each.tokens for each in self._admitted if each.rank > rank)


def _expire(entries: deque[_Entry], now: float) -> None:
    while entries and now - entries[0].at > WINDOW_S:
        entries.popleft()
