"""Which shared parts were sent to which engine, as instances tell each other.

One instance sees only its share of the prompts: of those that reached the home of
their shared part, most were the first ones there from this instance, and not the
first ones of all. What is told costs some bytes a prompt; what is not known makes a
part that nobody has read look like one that is cached.
"""

import itertools
from collections.abc import Iterable

from buckthornwall.utils import UpstreamId

__all__ = ["CachedPrefixes", "PrefixUpdates", "merge_cached_prefixes"]

# By upstream, the parts that were sent there: id and tokens.
CachedPrefixes = dict[UpstreamId, list[tuple[str, int]]]

# Seconds for which a part is told, so that a lost datagram costs nothing.
REPEAT_S = 0.35
# A part that is used again is told again after this long, so that others do not
# take it to have left the engine's memory.
REFRESH_S = 10.0
# Shorter parts, in tokens, are read as quickly as they are copied, and would crowd the
# others out of a message.
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
        self._noted: dict[tuple[UpstreamId, str], tuple[int, float]] = {}

    def note(
        self, upstream: UpstreamId, parts: Iterable[tuple[str, int]], now: float
    ) -> None:
        """Record that parts were sent to an engine at `now`."""
        for part, tokens in parts:
            if tokens < MIN_SENT_TOKENS:
                continue
            key = (upstream, part)
            before = self._noted.get(key)
            if before is None or now - before[1] > REFRESH_S:
                self._noted.pop(key, None)  # the newest stand last
                self._noted[key] = (tokens, now)

    def receive(self, cached_prefixes: CachedPrefixes, now: float) -> None:
        """Take what another instance told."""
        for upstream, parts in cached_prefixes.items():
            self.note(upstream, parts, now)

    def to_send(self, now: float) -> CachedPrefixes:
        """Return what is to be told now."""
        self._forget(now)
        cached_prefixes: CachedPrefixes = {}
        newest = itertools.islice(reversed(self._noted.items()), MAX_SENT_PREFIXES)
        for (upstream, part), (tokens, at) in newest:
            if now - at > self.repeat_s:
                break
            cached_prefixes.setdefault(upstream, []).append((part, tokens))
        return cached_prefixes

    def _forget(self, now: float) -> None:
        while self._noted:
            key = next(iter(self._noted))
            if now - self._noted[key][1] <= REFRESH_S:
                return
            del self._noted[key]


def merge_cached_prefixes(total: CachedPrefixes, part: CachedPrefixes) -> None:
    """Add what one instance told to a total."""
    for upstream, parts in part.items():
        known = total.setdefault(upstream, [])
        known.extend(each for each in parts if each not in known)
