"""Which instances send to an upstream with a rate limit, and how much each.

No instance asks another: who sends is drawn by a hash over those that are live, as all
know them. With equal parts for all, one request a second would be a request in 200 s at
each of 200 instances, and what each may send at once would be 200.
"""

import math
from dataclasses import dataclass

from buckthornwall.utils import UpstreamId, ZoneId, rendezvous_order

__all__ = ["Fleet", "UpstreamLimit", "local_rates"]

# Part of the rate that is used: instances know of each other a moment late.
USED_SHARE = 0.9
# An upstream that names less is sent so many requests a second nevertheless: only an
# answer shows that it takes more again.
MIN_PER_S = 0.1
# After so many seconds without an answer to anybody others are drawn: those that were
# have no requests for it.
RESELECTION_S = 10.0


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
    instances: float


@dataclass(frozen=True, slots=True)
class UpstreamLimit:
    """An upstream takes `per_s` requests a second, and said so `age_s` ago."""

    upstream: UpstreamId
    per_s: float
    age_s: float

    def senders(self, instances: float) -> int:
        """Return how many instances send to it."""
        return max(1, int(min(instances, math.floor(self.per_s))))

    @property
    def key(self) -> str:
        """What instances are drawn by."""
        return f"{self.upstream}/{int(self.age_s // RESELECTION_S)}"


def local_rates(limits: list[UpstreamLimit], fleet: Fleet) -> dict[UpstreamId, float]:
    """Return how many requests a second this instance may send, 0 for most.

    Whoever has been drawn least often so far is drawn first, or one instance would have
    parts in most upstreams, and another in none.

    Parameters
    ----------
    limits
        All that upstreams name now.
    fleet
        Who is live.
    """
    assigned = dict.fromkeys(fleet.members, 0)
    rates = {}
    for limit in sorted(limits, key=lambda limit: limit.upstream):
        senders = limit.senders(fleet.instances)
        order = rendezvous_order(limit.key, fleet.members)
        order.sort(key=lambda address: assigned[address])
        chosen = order[: _local_zone_senders(limit.key, senders, fleet)]
        for address in chosen:
            assigned[address] += 1
        rate = USED_SHARE * max(MIN_PER_S, limit.per_s) / senders
        rates[limit.upstream] = rate if fleet.address in chosen else 0.0
    return rates


def _local_zone_senders(key: str, senders: int, fleet: Fleet) -> int:
    """Return how many of so many senders are of this instance's zone."""
    zones = rendezvous_order(key, fleet.zones)
    if fleet.zone not in zones:
        return 0
    per_zone, remainder = divmod(senders, len(zones))
    return per_zone + (zones.index(fleet.zone) < remainder)
