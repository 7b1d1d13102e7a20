"""Which shared segments were sent to which engine, as instances tell each other.

One instance sees only its share of the prompts: of those that reached the home of
their shared segment, most were the first ones there from this instance, and not the
first ones of all. What is told costs some bytes a prompt; what is not known makes a
segment that nobody has read look like one that is cached.
"""

import itertools
from collections.abc import Iterable

from buckthornwall.utils import UpstreamId

__all__ = ["CachedPrefixes", "PrefixUpdates", "merge_cached_prefixes"]

# By upstream, the segments that were sent there: id and tokens.
CachedPrefixes = dict[UpstreamId, list[tuple[str, int]]]

# Seconds for which a segment is told, so that a lost datagram costs nothing.
REPEAT_S = 0.35
# A segment that is used again is told again after this long, so that others do not
# take it to have left the engine's memory.
REFRESH_S = 10.0
# Shorter segments, in tokens, are read as quickly as they are copied, and would crowd
# the others out of a message.
MIN_SENT_TOKENS = 500
# Parts in one message at most, the newest first; about 15 bytes each.
MAX_SENT_PREFIXES = 96


class PrefixUpdates:
    """Parts that were sent to engines lately, each told for a while.

    Parameters
    ----------
    repeat_s
        Seconds for which each is told.
    """

    def __init__(self, repeat_s: float = REPEAT_S) -> None:
        self.repeat_s = repeat_s
        self._recorded: dict[tuple[UpstreamId, str], tuple[int, float]] = {}

    def record(
        self, upstream: UpstreamId, segments: Iterable[tuple[str, int]], now: float
    ) -> None:
        """Record that segments were sent to an engine at `now`."""
        for segment, tokens in segments:
            if tokens < MIN_SENT_TOKENS:
                continue
            key = (upstream, segment)
            before = self._recorded.get(key)
            if before is None or now - before[1] > REFRESH_S:
                self._recorded.pop(key, None)  # the newest stand last
                self._recorded[key] = (tokens, now)

    def receive(self, cached_prefixes: CachedPrefixes, now: float) -> None:
        """Take what another instance told."""
        for upstream, segments in cached_prefixes.items():
            self.record(upstream, segments, now)

    def to_send(self, now: float) -> CachedPrefixes:
        """Return what is to be told now."""
        self._expire(now)
        cached_prefixes: CachedPrefixes = {}
        newest = itertools.islice(reversed(self._recorded.items()), MAX_SENT_PREFIXES)
        for (upstream, segment), (tokens, at) in newest:
            if now - at > self.repeat_s:
                break
            cached_prefixes.setdefault(upstream, []).append((segment, tokens))
        return cached_prefixes

    def _expire(self, now: float) -> None:
        while self._recorded:
            key = next(iter(self._recorded))
            if now - self._recorded[key][1] <= REFRESH_S:
                return
            del self._recorded[key]


def merge_cached_prefixes(total: CachedPrefixes, update: CachedPrefixes) -> None:
    """Add what one instance told to a total."""
    for upstream, segments in update.items():
        known = total.setdefault(upstream, [])
        known.extend(each for each in segments if each not in known)
