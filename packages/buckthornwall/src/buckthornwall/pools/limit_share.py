"""Which instances send to an upstream that names a rate, and how much each.

No instance asks another: who sends is drawn by a hash over those that are live, as all
know them. With equal parts for all, one request a second would be a request in 200 s at
each of 200 instances, and what each may send at once would be 200.
"""

import math
from dataclasses import dataclass

from buckthornwall.utils import UpstreamId, ZoneId, rendezvous_order

__all__ = ["Fleet", "own_rate"]

# Part of the rate that is used: instances know of each other a moment late.
USED_SHARE = 0.9
# An upstream that names less is sent so many requests a second nevertheless: only an
# answer shows that it takes more again.
LEAST_PER_S = 0.1
# After so many seconds without an answer to anybody others are drawn: those that were
# have no requests for it.
REDRAWN_S = 10.0


@dataclass(frozen=True, slots=True)
class Fleet:
    """Who is live, as this instance knows it.

    `zones` are all zones, `members` the addresses of this instance's own zone, and
    `instances` their number in all zones.
    """

    address: str
    zone: ZoneId
    zones: tuple[ZoneId, ...]
    members: tuple[str, ...]
    instances: int


def own_rate(
    upstream: UpstreamId, per_s: float, said_s_ago: float, fleet: Fleet
) -> float:
    """Return how many requests a second this instance may send, 0 for most.

    Parameters
    ----------
    upstream, per_s
        Who takes so many requests a second from all instances.
    said_s_ago
        How long ago it said so, in seconds.
    fleet
        Who is live.
    """
    senders = max(1, min(fleet.instances, math.floor(per_s)))
    draw = int(said_s_ago // REDRAWN_S)
    key = f"{upstream}/{draw}"
    if not _is_drawn(key, senders, fleet):
        return 0.0
    return USED_SHARE * max(LEAST_PER_S, per_s) / senders


def _is_drawn(key: str, senders: int, fleet: Fleet) -> bool:
    """Tell whether this instance is one of so many that are drawn by a key."""
    zones = rendezvous_order(key, fleet.zones)
    if fleet.zone not in zones or fleet.address not in fleet.members:
        return False
    place = zones.index(fleet.zone)
    of_each, rest = divmod(senders, len(zones))
    of_zone = of_each + (place < rest)
    return fleet.address in rendezvous_order(key, fleet.members)[:of_zone]
