"""Which instances were live lately, for limits that those out of touch keep too.

An instance that is cut off from the others takes itself to be alone, and so does one
that has just started. With all that an upstream bears as the part of each, they would
send it many times that together.
"""

import math
from collections.abc import Iterable

from buckthornwall.utils import ZoneId

from .limit_share import Fleet

__all__ = ["FleetMemory"]

# Who was live within so many seconds has its part still.
RETENTION_S = 30.0
# Who knows of nobody else has no part for so many seconds after its start: the others
# may not have heard of it, nor it of them.
SETTLE_S = 3.0


class FleetMemory:
    """The instances that were live lately, as one of them knows it.

    Parameters
    ----------
    zones
        The availability zones that there are, as far as settings name them.
    now
        When this instance started, in seconds.
    """

    def __init__(self, zones: Iterable[ZoneId], now: float) -> None:
        self.started_at = now
        self._zones = dict.fromkeys(zones, now)
        self._members: dict[str, float] = {}
        self._max_instances = 0
        self._max_instances_at = now

    def record(self, fleet: Fleet, now: float) -> None:
        """Record who is live now."""
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
        """Return who was live lately.

        Parameters
        ----------
        fleet
            Who is live now.
        now
            The time in seconds.
        """
        is_settled = now - self.started_at >= SETTLE_S
        members = (
            tuple(sorted(self._members))
            if is_settled or self._max_instances > 1
            else ()
        )
        # Until more is known a large fleet is assumed, of which each has a small part.
        instances = self._max_instances if is_settled else math.inf
        return Fleet(
            fleet.address, fleet.zone, tuple(sorted(self._zones)), members, instances
        )
