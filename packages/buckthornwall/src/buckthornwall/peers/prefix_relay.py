"""Which shared parts of prompts a speaker tells of, and for how long."""

from buckthornwall.pools import CachedPrefixes, PrefixUpdates, merge_cached_prefixes

from .messages import Beacon

__all__ = ["PrefixRelay"]

# A speaker tells what it heard of prompts in so many of its words, and for so many
# seconds at least.
RELAY_INTERVALS = 1.5
MIN_RELAY_S = 0.35


class PrefixRelay:
    """Parts that were sent to engines lately, by who told of them.

    Attributes
    ----------
    local_zone, remote_zones : PrefixUpdates
        What the zone's members, and other zones' speakers, have told.
    """

    def __init__(self) -> None:
        self.local_zone = PrefixUpdates(MIN_RELAY_S)
        self.remote_zones = PrefixUpdates(MIN_RELAY_S)

    def set_interval(self, seconds: float) -> None:
        """Take how far apart the words are in which this instance tells of parts.

        A part that is told for less than that is told in none of them.
        """
        repeat_s = max(MIN_RELAY_S, RELAY_INTERVALS * seconds)
        self.local_zone.repeat_s = self.remote_zones.repeat_s = repeat_s

    def current(
        self, local_beacon: Beacon, is_fleet: bool, now: float
    ) -> CachedPrefixes:
        """Return the parts that the zone's instances, or the fleet's, tell of."""
        cached_prefixes = dict(local_beacon.cached_prefixes)
        merge_cached_prefixes(cached_prefixes, self.local_zone.to_send(now))
        if is_fleet:
            merge_cached_prefixes(cached_prefixes, self.remote_zones.to_send(now))
        return cached_prefixes
