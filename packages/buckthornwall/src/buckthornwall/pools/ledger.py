"""Keep the requests that were recently admitted and refused, by rank.

Whether a request is late depends on its own target. That alone would refuse urgent
requests at waits at which less urgent ones with a longer target are still admitted, so
the tokens refused of a rank are compared with those admitted of less urgent ranks.

The instances report their tokens to each other. One of many instances sees few requests
of a pool: those that admit less urgent requests are often not those that refuse urgent
ones.
"""

import math
from collections import deque
from dataclasses import dataclass

from buckthornwall.routing import PoolId
from buckthornwall.utils import Count, add_counts

__all__ = [
    "Admission",
    "AdmissionLedger",
    "RankTokens",
    "add_rank_tokens",
    "subtract_rank_tokens",
]

# Earlier refusals must not make up for requests that are served now.
WINDOW_S = 5.0
# Less urgent ranks get this many tokens for each that was refused, so that none
# starves. Responses begin later than requests are refused, so an equal number would let
# many less urgent ones begin just after refusals.
TOKENS_PER_REFUSED = 0.1
# A rank of which a smaller share of the tokens was refused counts as served: the others
# would otherwise be held back for a single request.
MIN_REFUSED_SHARE = 1 / 24

# Admitted and refused tokens by rank.
TokenCounts = dict[Count, tuple[Count, Count]]
# Those of each pool.
RankTokens = dict[PoolId, TokenCounts]


@dataclass(frozen=True, slots=True)
class Admission:
    """An admitted request; `tokens` is the length of its prompt."""

    rank: int
    tokens: int


class AdmissionLedger:
    """Admitted and refused requests of one pool; times in seconds.

    An admitted request counts while it waits for its response and, from then on, within
    the window; a refused one within the window.

    Attributes
    ----------
    peers : dict
        Admitted and refused tokens of all other instances, by rank.
    """

    def __init__(self) -> None:
        self._waiting: dict[int, int] = {}
        self._begun = _Window()
        self._refused = _Window()
        self.peers: TokenCounts = {}

    @property
    def entries(self) -> int:
        """Number of requests in the window."""
        return len(self._begun.entries) + len(self._refused.entries)

    def record_admitted(self, rank: int, tokens: int) -> Admission:
        """Record that a request is sent to an engine.

        Its end or the begin of its response is to be recorded with the returned entry.
        """
        _add_tokens(self._waiting, rank, tokens)
        return Admission(rank, tokens)

    def record_begun(self, admission: Admission, now: float) -> None:
        """Record that the response to an admitted request began."""
        self.record_ended(admission)
        self._begun.add(admission.rank, admission.tokens, now)

    def record_ended(self, admission: Admission) -> None:
        """Record that an admitted request ended before its response began."""
        _add_tokens(self._waiting, admission.rank, -admission.tokens)

    def record_refused(self, rank: int, tokens: int, now: float) -> None:
        """Record that a request was refused for overload, or waited in vain."""
        self._refused.add(rank, tokens, now)

    def has_deficit(self, rank: int, tokens: int, now: float) -> bool:
        """Return whether a late request is admitted since less urgent ones were.

        It is while less urgent requests were admitted beyond their share of the tokens
        that were refused of requests at least as urgent, this one included.
        """
        refused = self.refused(rank, now) + tokens
        return self.admitted_below(rank, now) > TOKENS_PER_REFUSED * refused

    def should_defer(self, rank: int, tokens: int, now: float) -> bool:
        """Return whether a request is refused since more urgent ones were.

        It is once the tokens admitted of its rank and less urgent ones, this one
        included, exceed their share of those refused of more urgent ranks. Less urgent
        ranks defer first.
        """
        refused = sum(
            refused
            for other, (admitted, refused) in self._counts(now).items()
            if other < rank and refused > MIN_REFUSED_SHARE * (admitted + refused)
        )
        share = TOKENS_PER_REFUSED * refused
        if self.admitted_below(rank, now) > share:
            return False
        return 0 < share < self.admitted_below(rank - 1, now) + tokens

    def refused(self, rank: int, now: float) -> int:
        """Return the tokens refused of ranks at least as urgent as `rank`."""
        counts = self._counts(now)
        return sum(refused for other, (_, refused) in counts.items() if other <= rank)

    def refused_work_s(self, rank: int, now: float) -> float:
        """Return how long work of `rank` takes that was refused in the window.

        In seconds, at the rate at which its rank and less urgent ones were admitted;
        infinite if none were. These are what makes room for it when it comes back.
        """
        refused = self._counts(now).get(rank, (0, 0))[1]
        admitted = self.admitted_below(rank - 1, now)
        if not admitted:
            return math.inf if refused else 0.0
        return WINDOW_S * refused / admitted

    def admitted_below(self, rank: int, now: float) -> int:
        """Return the tokens admitted of ranks less urgent than `rank`."""
        counts = self._counts(now)
        return sum(admitted for other, (admitted, _) in counts.items() if other > rank)

    def local_counts(self, now: float) -> TokenCounts:
        """Return the tokens admitted and refused by this instance, by rank."""
        begun, refused = self._begun.tokens(now), self._refused.tokens(now)
        return {
            rank: (
                self._waiting.get(rank, 0) + begun.get(rank, 0),
                refused.get(rank, 0),
            )
            for rank in sorted({*self._waiting, *begun, *refused})
        }

    def _counts(self, now: float) -> TokenCounts:
        """Return the tokens admitted and refused by all instances, by rank."""
        return _add(self.peers, self.local_counts(now))


class _Window:
    """Tokens by rank of the last `WINDOW_S` seconds; `entries` are the requests."""

    def __init__(self) -> None:
        self.entries: deque[tuple[float, Admission]] = deque()
        self._tokens: dict[int, int] = {}

    def add(self, rank: int, tokens: int, now: float) -> None:
        self._expire(now)
        self.entries.append((now, Admission(rank, tokens)))
        _add_tokens(self._tokens, rank, tokens)

    def tokens(self, now: float) -> dict[int, int]:
        """Return the tokens of the ranks that have any."""
        self._expire(now)
        return self._tokens

    def _expire(self, now: float) -> None:
        while self.entries and now - self.entries[0][0] > WINDOW_S:
            _, expired = self.entries.popleft()
            _add_tokens(self._tokens, expired.rank, -expired.tokens)


def _add_tokens(counts: dict[int, int], rank: int, tokens: int) -> None:
    """Add tokens of a rank; a negative number removes them."""
    left = counts.get(rank, 0) + tokens
    if left > 0:
        counts[rank] = left
    else:
        counts.pop(rank, None)


def _add(first: TokenCounts, second: TokenCounts) -> TokenCounts:
    """Return the sums of two counts of admitted and refused tokens by rank."""
    total = dict(first)
    for rank, (admitted, refused) in second.items():
        before = total.get(rank, (0, 0))
        total[rank] = (
            add_counts(before[0], admitted),
            add_counts(before[1], refused),
        )
    return total


def add_rank_tokens(total: RankTokens, part: RankTokens) -> None:
    """Add the tokens of some instances to a total."""
    for pool, counts in part.items():
        total[pool] = _add(total.get(pool, {}), counts)


def subtract_rank_tokens(total: RankTokens, local: RankTokens) -> RankTokens:
    """Return a sum less the share of one instance, by pool and rank."""
    peers: RankTokens = {}
    for pool, counts in total.items():
        own = local.get(pool, {})
        peers[pool] = {
            rank: (
                max(0, admitted - own.get(rank, (0, 0))[0]),
                max(0, refused - own.get(rank, (0, 0))[1]),
            )
            for rank, (admitted, refused) in counts.items()
        }
    return peers
