"""Cached prefixes that a speaker relays, and for how long."""

from buckthornwall.pools import CachedPrefixes, PrefixUpdates, merge_cached_prefixes

from .messages import Beacon

__all__ = ["PrefixRelay"]

# A speaker relays a prefix for this many of its report intervals, and for at least this
# many seconds.
RELAY_INTERVALS = 1.5
MIN_RELAY_S = 0.35


class PrefixRelay:
    """Prefixes that were recently sent to engines, by where they were reported.

    Attributes
    ----------
    local_zone, remote_zones : PrefixUpdates
        Reports of the zone's members, and of other zones' speakers.
    """

    def __init__(self) -> None:
        self.local_zone = PrefixUpdates(MIN_RELAY_S)
        self.remote_zones = PrefixUpdates(MIN_RELAY_S)

    def set_interval(self, seconds: float) -> None:
        """Set the interval between two reports that hold prefixes.

        A prefix that is relayed for a shorter time would be in none of them.
        """
        repeat_s = max(MIN_RELAY_S, RELAY_INTERVALS * seconds)
        self.local_zone.repeat_s = self.remote_zones.repeat_s = repeat_s

    def current(
        self, local_beacon: Beacon, is_fleet: bool, now: float
    ) -> CachedPrefixes:
        """Return the recent prefixes of the zone's instances, or of the fleet's."""
        cached_prefixes = dict(local_beacon.cached_prefixes)
        merge_cached_prefixes(cached_prefixes, self.local_zone.to_send(now))
        if is_fleet:
            merge_cached_prefixes(cached_prefixes, self.remote_zones.to_send(now))
        return cached_prefixes
