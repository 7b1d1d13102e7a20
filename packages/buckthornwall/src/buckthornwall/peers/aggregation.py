"""What several instances tell, put together."""

from collections.abc import Iterable

from buckthornwall.pools import (
    LimitReports,
    Unreachable,
    add_unreachable,
    merge_limit_reports,
)
from buckthornwall.utils import UpstreamId

from .messages import Beacon, Work
from .received_message import ReceivedMessage
from .work import add_work

__all__ = ["merge_limits", "sum_loads", "sum_unreachable"]


def sum_loads(
    beacons: Iterable[Beacon], remote: Iterable[ReceivedMessage]
) -> dict[UpstreamId, Work]:
    """Return the work of instances, and of zones whose speakers told theirs."""
    loads: dict[UpstreamId, Work] = {}
    for beacon in beacons:
        add_work(loads, beacon.loads)
    for zone in remote:
        add_work(loads, zone.message.loads)
    return loads


def sum_unreachable(
    beacons: Iterable[Beacon], remote: Iterable[ReceivedMessage]
) -> Unreachable:
    """Return how many instances cannot reach an upstream."""
    total: Unreachable = {}
    for beacon in beacons:
        add_unreachable(total, dict.fromkeys(beacon.unreachable, 1))
    for zone in remote:
        add_unreachable(total, zone.message.unreachable)
    return total


def merge_limits(
    local_beacon: Beacon, received: Iterable[ReceivedMessage], now: float
) -> LimitReports:
    """Return the newest report on each upstream that names a limit."""
    reports = [(each.message.limits, now - each.sent_at) for each in received]
    return merge_limit_reports([(local_beacon.limits, 0.0), *reports])
