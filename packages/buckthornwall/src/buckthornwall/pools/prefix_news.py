"""Which shared parts were sent to which engine, as instances tell each other.

One instance sees only its share of the prompts: of those that reached the home of
their shared part, most were the first ones there from this instance, and not the
first ones of all. What is told costs some bytes a prompt; what is not known makes a
part that nobody has read look like one that is held.
"""

import itertools
from collections.abc import Iterable

from buckthornwall.utils import UpstreamId

__all__ = ["HeldParts", "PrefixNews", "merge_held"]

# By upstream, the parts that were sent there: id and tokens.
HeldParts = dict[UpstreamId, list[tuple[str, int]]]

# Seconds for which a part is told, so that a lost datagram costs nothing.
TOLD_S = 0.35
# A part that is used again is told again after this long, so that others do not
# take it to have left the engine's memory.
REFRESH_S = 10.0
# Shorter parts, in tokens, are read as quickly as they are copied, and would crowd the
# others out of a message.
LEAST_TOLD_TOKENS = 500
# Parts in one message at most, the newest first; about 15 bytes each.
MOST_TOLD = 96


class PrefixNews:
    """Parts that were sent to engines lately, each told for a while.

    Parameters
    ----------
    told_s
        Seconds for which each is told.
    """

    def __init__(self, told_s: float = TOLD_S) -> None:
        self.told_s = told_s
        self._noted: dict[tuple[UpstreamId, str], tuple[int, float]] = {}

    def note(
        self, upstream: UpstreamId, parts: Iterable[tuple[str, int]], now: float
    ) -> None:
        """Record that parts were sent to an engine at `now`."""
        for part, tokens in parts:
            if tokens < LEAST_TOLD_TOKENS:
                continue
            key = (upstream, part)
            before = self._noted.get(key)
            if before is None or now - before[1] > REFRESH_S:
                self._noted.pop(key, None)  # the newest stand last
                self._noted[key] = (tokens, now)

    def receive(self, held: HeldParts, now: float) -> None:
        """Take what another instance told."""
        for upstream, parts in held.items():
            self.note(upstream, parts, now)

    def told(self, now: float) -> HeldParts:
        """Return what is to be told now."""
        self._forget(now)
        held: HeldParts = {}
        newest = itertools.islice(reversed(self._noted.items()), MOST_TOLD)
        for (upstream, part), (tokens, at) in newest:
            if now - at > self.told_s:
                break
            held.setdefault(upstream, []).append((part, tokens))
        return held

    def _forget(self, now: float) -> None:
        while self._noted:
            key = next(iter(self._noted))
            if now - self._noted[key][1] <= REFRESH_S:
                return
            del self._noted[key]


def merge_held(total: HeldParts, part: HeldParts) -> None:
    """Add what one instance told to a total."""
    for upstream, parts in part.items():
        known = total.setdefault(upstream, [])
        known.extend(each for each in parts if each not in known)
