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
from .received import Received
from .work import add_work

__all__ = ["newest_limits", "sum_loads", "sum_unreachable"]


def sum_loads(
    parts: Iterable[Beacon], far: Iterable[Received]
) -> dict[UpstreamId, Work]:
    """Return the work of instances, and of zones whose speakers told theirs."""
    loads: dict[UpstreamId, Work] = {}
    for part in parts:
        add_work(loads, part.loads)
    for zone in far:
        add_work(loads, zone.message.loads)
    return loads


def sum_unreachable(parts: Iterable[Beacon], far: Iterable[Received]) -> Unreachable:
    """Return how many instances cannot reach an upstream."""
    total: Unreachable = {}
    for part in parts:
        add_unreachable(total, dict.fromkeys(part.unreachable, 1))
    for zone in far:
        add_unreachable(total, zone.message.unreachable)
    return total


def newest_limits(own: Beacon, heard: Iterable[Received], now: float) -> LimitReports:
    """Return the newest report on each upstream that names a limit."""
    parts = [(each.message.limits, now - each.told_at) for each in heard]
    return merge_limit_reports([(own.limits, 0.0), *parts])
