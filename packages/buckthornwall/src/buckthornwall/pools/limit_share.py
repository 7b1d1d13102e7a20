"""Shares of instances in the rate limits of upstreams.

Instances do not negotiate: senders are selected by rendezvous hashing over the live
instances, which all instances know. With equal shares, a limit of one request a second
would let each of 200 instances send one request in 200 s, and their bursts together
would be 200 requests.
"""

import math
from dataclasses import dataclass, replace

from buckthornwall.utils import UpstreamId, ZoneId, rendezvous_order

__all__ = ["Fleet", "LimitUsers", "UpstreamLimit", "local_rates"]

# By zone, the instances that need more than their shares of rate limits. An empty list
# stands for all of the zone; a zone without any is missing.
LimitUsers = dict[ZoneId, list[str]]

# Used share of a limit, since instances learn of each other with a delay.
USED_SHARE = 0.9
# Requests a second to an upstream that advertises less, since only a response shows
# that it accepts more again.
MIN_PER_S = 0.1
# Senders are reselected after this many seconds without a response to any instance,
# since the selected ones have no requests for the upstream.
RESELECTION_S = 10.0


@dataclass(frozen=True, slots=True)
class Fleet:
    """Live instances, as this instance knows them.

    `zones` are all zones, `members` the addresses of instances in the local zone, and
    `instances` the number of instances in all zones. With `uses_whole_zone`, the
    members share all that is due to their zone, however few they are.
    """

    address: str
    zone: ZoneId
    zones: tuple[ZoneId, ...]
    members: tuple[str, ...]
    instances: float
    uses_whole_zone: bool = False

    def restrict(self, users: LimitUsers) -> "Fleet":
        """Return the part of the fleet that needs more than its shares."""
        zones = tuple(zone for zone in self.zones if zone in users)
        listed = set(users.get(self.zone, ())) or set(self.members)
        return replace(
            self,
            zones=zones,
            members=tuple(each for each in self.members if each in listed),
            instances=self.instances * len(zones) / max(1, len(self.zones)),
            uses_whole_zone=True,
        )

    def is_selected(self, key: str) -> bool:
        """Return whether a key selects this instance out of all."""
        zones = rendezvous_order(key, self.zones)
        if not zones or zones[0] != self.zone:
            return False
        return rendezvous_order(key, self.members)[:1] == [self.address]


@dataclass(frozen=True, slots=True)
class UpstreamLimit:
    """An upstream accepts `per_s` requests a second, as advertised `age_s` ago."""

    upstream: UpstreamId
    per_s: float
    age_s: float

    def senders(self, instances: float) -> int:
        """Return how many instances send to the upstream."""
        return max(1, int(min(instances, math.floor(self.per_s))))

    @property
    def key(self) -> str:
        """Key of the hash that selects the senders."""
        return f"{self.upstream}/{int(self.age_s // RESELECTION_S)}"


def local_rates(limits: list[UpstreamLimit], fleet: Fleet) -> dict[UpstreamId, float]:
    """Return how many requests a second this instance may send, 0 for most upstreams.

    Instances with the fewest shares so far are selected first. Otherwise one instance
    would have shares in most upstreams, and another in none.

    Parameters
    ----------
    limits
        All limits that are in force.
    fleet
        The instances that share them.
    """
    assigned = dict.fromkeys(fleet.members, 0)
    rates = {}
    for limit in sorted(limits, key=lambda limit: limit.upstream):
        senders = limit.senders(fleet.instances)
        order = rendezvous_order(limit.key, fleet.members)
        order.sort(key=lambda address: assigned[address])
        zone_senders = _local_zone_senders(limit.key, senders, fleet)
        chosen = order[:zone_senders]
        for address in chosen:
            assigned[address] += 1
        rate = USED_SHARE * max(MIN_PER_S, limit.per_s) / senders
        if fleet.uses_whole_zone and chosen:
            rate *= zone_senders / len(chosen)
        rates[limit.upstream] = rate if fleet.address in chosen else 0.0
    return rates


def _local_zone_senders(key: str, senders: int, fleet: Fleet) -> int:
    """Return how many of the senders are in the local zone."""
    zones = rendezvous_order(key, fleet.zones)
    if fleet.zone not in zones:
        return 0
    per_zone, remainder = divmod(senders, len(zones))
    return per_zone + (zones.index(fleet.zone) < remainder)
