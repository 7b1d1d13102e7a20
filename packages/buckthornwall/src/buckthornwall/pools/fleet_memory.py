"""Remember the instances that were live recently, for shares of rate limits.

An instance that is partitioned from its peers, or has just started, sees only itself.
If each such instance took the whole rate limit of an upstream as its share, together
they would send many times the limit.
"""

import math
from collections.abc import Iterable

from buckthornwall.utils import ZoneId

from .limit_share import Fleet

__all__ = ["FleetMemory"]

# An instance keeps its share for this long after it was last live.
RETENTION_S = 30.0
# An instance without known peers has no share for this long after its start, since
# discovery between it and its peers may not be complete.
SETTLE_S = 3.0


class FleetMemory:
    """The instances that were live recently, as known to one of them.

    Parameters
    ----------
    zones
        Availability zones named in the settings.
    now
        Start time of this instance, in seconds.
    """

    def __init__(self, zones: Iterable[ZoneId], now: float) -> None:
        self.started_at = now
        self._zones = dict.fromkeys(zones, now)
        self._members: dict[str, float] = {}
        self._max_instances = 0
        self._max_instances_at = now

    def record(self, fleet: Fleet, now: float) -> None:
        """Record the instances that are live now."""
        self._zones |= dict.fromkeys(fleet.zones, now)
        self._members |= dict.fromkeys(fleet.members, now)
        if (
            fleet.instances >= self._max_instances
            or now - self._max_instances_at > RETENTION_S
        ):
            self._max_instances = fleet.instances
            self._max_instances_at = now
        for seen in (self._zones, self._members):
            for name in [n for n, at in seen.items() if now - at > RETENTION_S]:
                del seen[name]

    def recent(self, fleet: Fleet, now: float) -> Fleet:
        """Return the fleet with all instances that were live recently.

        Parameters
        ----------
        fleet
            The instances that are live now.
        now
            The time in seconds.
        """
        is_settled = now - self.started_at >= SETTLE_S
        members = (
            tuple(sorted(self._members))
            if is_settled or self._max_instances > 1
            else ()
        )
        # Until then an unbounded fleet is assumed, in which each share is the smallest.
        instances = self._max_instances if is_settled else math.inf
        return Fleet(
            fleet.address, fleet.zone, tuple(sorted(self._zones)), members, instances
        )
