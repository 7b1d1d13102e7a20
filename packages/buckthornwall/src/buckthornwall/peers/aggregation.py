"""Aggregates of what several peers report."""

from collections.abc import Iterable

from buckthornwall.pools import (
    LeavingUpstreams,
    LimitNeed,
    LimitReports,
    LimitUsers,
    PoolReports,
    RankTokens,
    Unreachable,
    add_rank_tokens,
    add_unreachable,
    bound_pool_reports,
    merge_limit_reports,
    sum_pool_reports,
)
from buckthornwall.utils import UpstreamId, ZoneId, add_counts

from .messages import Beacon, PeerState, Work
from .received_message import ReceivedMessage
from .work import add_work

__all__ = [
    "count_ceding",
    "list_isolated",
    "list_limit_users",
    "list_relays",
    "merge_brittle",
    "merge_leaving",
    "merge_limits",
    "sum_loads",
    "sum_rank_tokens",
    "sum_reports",
    "sum_unreachable",
]

MAX_RELAYS_PER_ZONE = 8
# Of zones with more instances that need more of rate limits, none is listed.
MAX_LIMIT_USERS_PER_ZONE = 8


def sum_loads(
    beacons: Iterable[Beacon], remote: Iterable[ReceivedMessage]
) -> dict[UpstreamId, Work]:
    """Return the summed work of a zone's beacons and of remote zones' digests."""
    loads: dict[UpstreamId, Work] = {}
    for beacon in beacons:
        add_work(loads, beacon.loads)
    for zone in remote:
        add_work(loads, zone.message.loads)
    return loads


def sum_unreachable(
    beacons: Iterable[Beacon], remote: Iterable[ReceivedMessage]
) -> Unreachable:
    """Return by upstream the number of instances that cannot reach it."""
    total: Unreachable = {}
    for beacon in beacons:
        add_unreachable(total, dict.fromkeys(beacon.unreachable, 1))
    for zone in remote:
        add_unreachable(total, zone.message.unreachable)
    return total


def sum_rank_tokens(
    beacons: Iterable[Beacon], remote: Iterable[ReceivedMessage]
) -> RankTokens:
    """Return the summed admitted and refused tokens by pool and rank."""
    total: RankTokens = {}
    for beacon in beacons:
        add_rank_tokens(total, beacon.rank_tokens)
    for zone in remote:
        add_rank_tokens(total, zone.message.rank_tokens)
    return total


def sum_reports(
    beacons: Iterable[Beacon], remote: Iterable[ReceivedMessage]
) -> PoolReports:
    """Return the sums of what instances saw of pools under load."""
    zones = [zone.message.pool_reports for zone in remote]
    instances = [bound_pool_reports(each.pool_reports) for each in beacons]
    return sum_pool_reports([*instances, *zones])


def merge_limits(
    local_beacon: Beacon, received: Iterable[ReceivedMessage], now: float
) -> LimitReports:
    """Return the newest report of each upstream's rate limit."""
    reports = [(each.message.limits, now - each.sent_at) for each in received]
    return merge_limit_reports([(local_beacon.limits, 0.0), *reports])


def merge_brittle(
    local_beacon: Beacon, received: Iterable[ReceivedMessage], now: float
) -> LimitReports:
    """Return the newest report of each upstream's brittleness."""
    reports = [(each.message.brittle, now - each.sent_at) for each in received]
    return merge_limit_reports([(local_beacon.brittle, 0.0), *reports])


def merge_leaving(
    local_beacon: Beacon, received: Iterable[ReceivedMessage]
) -> LeavingUpstreams:
    """Return all upstreams that stated to any instance that they are leaving."""
    merged: LeavingUpstreams = {}
    for each in received:
        merged |= each.message.leaving
    return merged | local_beacon.leaving


def list_isolated(
    beacons: Iterable[Beacon], remote: Iterable[ReceivedMessage]
) -> list[str]:
    """Return the addresses of the instances that are isolated from all upstreams."""
    isolated = [beacon.address for beacon in beacons if beacon.is_isolated]
    return [*isolated, *(each for zone in remote for each in zone.message.isolated)]


def list_relays(
    beacons: Iterable[Beacon], remote: Iterable[ReceivedMessage]
) -> dict[ZoneId, list[str]]:
    """Return by zone some instances that isolated ones may forward through."""
    relays: dict[ZoneId, list[str]] = {}
    for zone in remote:
        relays |= zone.message.relays
    for beacon in beacons:
        in_zone = relays.setdefault(beacon.zone, [])
        is_fit = beacon.state is PeerState.READY and not beacon.is_isolated
        if is_fit and len(in_zone) < MAX_RELAYS_PER_ZONE:
            in_zone.append(beacon.address)
    return relays


def list_limit_users(
    beacons: Iterable[Beacon], remote: Iterable[ReceivedMessage]
) -> LimitUsers:
    """Return who needs more than its share of rate limits."""
    users: LimitUsers = {}
    for zone in remote:
        users |= zone.message.limit_users
    for beacon in beacons:
        if beacon.limit_need is LimitNeed.MORE:
            users.setdefault(beacon.zone, []).append(beacon.address)
    return {
        zone: addresses if len(addresses) <= MAX_LIMIT_USERS_PER_ZONE else []
        for zone, addresses in users.items()
    }


def count_ceding(beacons: Iterable[Beacon], remote: Iterable[ReceivedMessage]) -> int:
    """Return how many instances cede most of their shares of rate limits."""
    ceding = sum(beacon.limit_need is LimitNeed.LITTLE for beacon in beacons)
    return add_counts(ceding, *(zone.message.ceding for zone in remote))
