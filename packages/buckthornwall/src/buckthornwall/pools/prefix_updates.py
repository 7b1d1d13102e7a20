"""Exchange between instances of the segments that were sent to each engine.

One instance sees only its share of the prompts: most prompts that are the first of
their prefix from this instance are not the first on that engine. An update costs some
bytes per prompt. Without updates, a segment that no engine has prefilled looks like a
cached one.
"""

import itertools
from collections.abc import Iterable

from buckthornwall.utils import Count, UpstreamId

__all__ = ["CachedPrefixes", "PrefixUpdates", "merge_cached_prefixes"]

# Segments sent to each upstream: id and tokens.
CachedPrefixes = dict[UpstreamId, list[tuple[str, Count]]]

# A segment is repeated in messages for this long, so that a lost datagram does not
# matter.
REPEAT_S = 0.35
# A segment still in use is sent again after this long, so that peers do not assume that
# it was evicted.
REFRESH_S = 10.0
# Shorter segments are prefilled as quickly as copied, and would displace longer ones.
MIN_SENT_TOKENS = 500
# Segments in one message, the newest first; about 15 bytes each.
MAX_SENT_PREFIXES = 96


class PrefixUpdates:
    """Segments sent to engines recently, each repeated in messages for a while.

    Parameters
    ----------
    repeat_s
        Seconds for which each is repeated.
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
                self._recorded.pop(key, None)  # keeps the newest last
                self._recorded[key] = (tokens, now)

    def receive(self, cached_prefixes: CachedPrefixes, now: float) -> None:
        """Record the segments reported by another instance."""
        for upstream, segments in cached_prefixes.items():
            self.record(upstream, segments, now)

    def to_send(self, now: float) -> CachedPrefixes:
        """Return the segments for the next message."""
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
    """Add the segments reported by one instance to a total."""
    for upstream, segments in update.items():
        known = total.setdefault(upstream, [])
        known.extend(each for each in segments if each not in known)
