"""Shares of instances in the slots of upstreams.

Used for brittle upstreams, which must hardly ever reject a request for want of room.
The shares sum to at most the slots, so that no request within a share is rejected,
however old the reports of other instances are. With more instances than slots, each
slot belongs to one instance.
"""

from collections.abc import Iterable
from functools import lru_cache

from buckthornwall.utils import UpstreamId, rendezvous_order

from .limit_share import Fleet

__all__ = ["local_slots"]


def local_slots(
    upstreams: Iterable[tuple[UpstreamId, int]], fleet: Fleet
) -> dict[UpstreamId, int]:
    """Return how many slots of each upstream belong to this instance.

    Instances with the fewest slots so far are selected first, so that no instance is
    without any while others have several.

    Parameters
    ----------
    upstreams
        The upstreams with their slots.
    fleet
        The instances that share them.
    """
    assigned = dict.fromkeys(fleet.members, 0)
    shares = {}
    for upstream, slots in sorted(upstreams):
        shares[upstream] = 0
        order = _member_order(upstream, fleet.members)
        for _ in range(_local_zone_slots(upstream, slots, fleet) if order else 0):
            chosen = min(order, key=assigned.__getitem__)
            assigned[chosen] += 1
            shares[upstream] += chosen == fleet.address
    return shares


@lru_cache(maxsize=1024)
def _member_order(upstream: str, members: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(rendezvous_order(upstream, members))


def _local_zone_slots(upstream: UpstreamId, slots: int, fleet: Fleet) -> int:
    """Return how many of an upstream's slots belong to instances of the local zone."""
    zones = rendezvous_order(upstream, fleet.zones)
    if fleet.zone not in zones:
        return 0
    per_zone, remainder = divmod(slots, len(zones))
    return per_zone + (zones.index(fleet.zone) < remainder)
