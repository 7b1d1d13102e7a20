"""Totals of what all instances report, as seen by this instance."""

from typing import TYPE_CHECKING

from buckthornwall.pools import (
    LeavingUpstreams,
    LimitReports,
    LimitUsers,
    PoolReports,
    RankTokens,
    Unreachable,
    merge_limit_reports,
    subtract_pool_reports,
    subtract_rank_tokens,
)
from buckthornwall.pools.load import PeerLoad
from buckthornwall.utils import UpstreamId

from .aggregation import (
    count_ceding,
    list_limit_users,
    merge_brittle,
    merge_leaving,
    merge_limits,
    sum_loads,
    sum_rank_tokens,
    sum_reports,
    sum_unreachable,
)
from .messages import Beacon
from .work import NO_WORK, subtract_local

if TYPE_CHECKING:
    from .table import PeerTable

__all__ = ["PeerTotals"]


class PeerTotals:
    """Totals over the fleet.

    A speaker aggregates the reports that it received; a member reads its speaker's.

    Parameters
    ----------
    table
        The peers that this instance knows.
    """

    def __init__(self, table: "PeerTable") -> None:
        self.table = table

    def peer_work(self, local_beacon: Beacon, now: float) -> dict[UpstreamId, PeerLoad]:
        """Return the work of all other instances by upstream."""
        if self.table.is_speaker(now):
            loads = sum_loads(
                self.table.zone_beacons(local_beacon),
                self.table.remote_zones(is_fleet=True),
            )
            counted = local_beacon.loads
        else:
            loads, counted = self.table.speaker.message.loads, self.table.reported_work
        return {
            upstream: subtract_local(work, counted.get(upstream, NO_WORK))
            for upstream, work in loads.items()
        }

    def limits(self, local_beacon: Beacon, now: float) -> LimitReports:
        """Return the newest report of each upstream's rate limit."""
        if self.table.is_speaker(now):
            received = [
                *self.table.members.values(),
                *self.table.remote_zones(is_fleet=True),
            ]
            return merge_limits(local_beacon, received, now)
        return merge_limit_reports(
            [(self.table.speaker.message.limits, self.table.staleness_s(now))]
        )

    def limit_users(self, local_beacon: Beacon, now: float) -> tuple[LimitUsers, int]:
        """Return who needs more of rate limits, and how many instances cede theirs."""
        if not self.table.is_speaker(now):
            digest = self.table.speaker.message
            return digest.limit_users, digest.ceding
        beacons = self.table.zone_beacons(local_beacon)
        remote = self.table.remote_zones(is_fleet=True)
        return list_limit_users(beacons, remote), count_ceding(beacons, remote)

    def brittle(self, local_beacon: Beacon, now: float) -> LimitReports:
        """Return the newest report of each upstream's brittleness."""
        if self.table.is_speaker(now):
            received = [
                *self.table.members.values(),
                *self.table.remote_zones(is_fleet=True),
            ]
            return merge_brittle(local_beacon, received, now)
        return merge_limit_reports(
            [(self.table.speaker.message.brittle, self.table.staleness_s(now))]
        )

    def leaving(self, local_beacon: Beacon, now: float) -> LeavingUpstreams:
        """Return all upstreams that stated to any instance that they are leaving."""
        if self.table.is_speaker(now):
            received = [
                *self.table.members.values(),
                *self.table.remote_zones(is_fleet=True),
            ]
            return merge_leaving(local_beacon, received)
        return self.table.speaker.message.leaving

    def unreachable(self, local_beacon: Beacon, now: float) -> Unreachable:
        """Return by upstream how many instances could not reach it recently."""
        if self.table.is_speaker(now):
            return sum_unreachable(
                self.table.zone_beacons(local_beacon),
                self.table.remote_zones(is_fleet=True),
            )
        return self.table.speaker.message.unreachable

    def rank_tokens(self, local_beacon: Beacon, now: float) -> RankTokens:
        """Return the tokens that all other instances recently admitted and refused."""
        if self.table.is_speaker(now):
            total = sum_rank_tokens(
                self.table.zone_beacons(local_beacon),
                self.table.remote_zones(is_fleet=True),
            )
            return subtract_rank_tokens(total, local_beacon.rank_tokens)
        return subtract_rank_tokens(
            self.table.speaker.message.rank_tokens, self.table.reported_rank_tokens
        )

    def pool_reports(self, local_beacon: Beacon, now: float) -> PoolReports:
        """Return the sums of what all other instances saw of pools under load."""
        if self.table.is_speaker(now):
            total = sum_reports(
                self.table.zone_beacons(local_beacon),
                self.table.remote_zones(is_fleet=True),
            )
            return subtract_pool_reports(total, local_beacon.pool_reports)
        return subtract_pool_reports(
            self.table.speaker.message.pool_reports, self.table.reported_pools
        )
