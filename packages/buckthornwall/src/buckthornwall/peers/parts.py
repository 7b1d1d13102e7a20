"""Which shared parts of prompts a speaker tells of, and for how long."""

from buckthornwall.pools import CachedPrefixes, PrefixUpdates, merge_cached_prefixes

from .messages import Beacon

__all__ = ["PartsTold"]

# A speaker tells what it heard of prompts in so many of its words, and for so many
# seconds at least.
RETOLD_DIGESTS = 1.5
RETOLD_S = 0.35


class PartsTold:
    """Parts that were sent to engines lately, by who told of them.

    Attributes
    ----------
    of_zone, of_others : PrefixUpdates
        What the zone's members, and other zones' speakers, have told.
    """

    def __init__(self) -> None:
        self.of_zone = PrefixUpdates(RETOLD_S)
        self.of_others = PrefixUpdates(RETOLD_S)

    def set_interval(self, seconds: float) -> None:
        """Take how far apart the words are in which this instance tells of parts.

        A part that is told for less than that is told in none of them.
        """
        repeat_s = max(RETOLD_S, RETOLD_DIGESTS * seconds)
        self.of_zone.repeat_s = self.of_others.repeat_s = repeat_s

    def told(self, own: Beacon, is_fleet: bool, now: float) -> CachedPrefixes:
        """Return the parts that the zone's instances, or the fleet's, tell of."""
        cached_prefixes = dict(own.cached_prefixes)
        merge_cached_prefixes(cached_prefixes, self.of_zone.to_send(now))
        if is_fleet:
            merge_cached_prefixes(cached_prefixes, self.of_others.to_send(now))
        return cached_prefixes
