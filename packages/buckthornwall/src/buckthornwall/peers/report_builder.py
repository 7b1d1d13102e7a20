"""Digests and heartbeats that a speaker builds of what it knows."""

from typing import TYPE_CHECKING

from buckthornwall.utils import add_counts

from .aggregation import (
    count_ceding,
    list_isolated,
    list_limit_users,
    list_relays,
    merge_brittle,
    merge_leaving,
    merge_limits,
    sum_loads,
    sum_rank_tokens,
    sum_reports,
    sum_unreachable,
)
from .freshness import (
    current_era,
    freshness,
    merge_newer_revision,
    merge_read_age,
    uptime_ms,
)
from .messages import Beacon, Digest, Heartbeat, PeerState

if TYPE_CHECKING:
    from .table import PeerTable

__all__ = ["build_digest", "build_heartbeat"]


def build_digest(
    table: "PeerTable", local_beacon: Beacon, is_fleet: bool, now: float
) -> Digest:
    """Return the digest that this instance sends as a speaker.

    Parameters
    ----------
    table
        The peers that this instance knows.
    local_beacon
        The beacon that it would send to a speaker.
    is_fleet
        Whether to include other zones, as for members.
    now
        The time in seconds.
    """
    beacons, remote = table.zone_beacons(local_beacon), table.remote_zones(is_fleet)
    count = sum(1 for beacon in beacons if beacon.state is not PeerState.JOINING)
    newest = build_heartbeat(table, local_beacon, is_fleet, now)
    return Digest(
        address=table.address,
        weight=table.weight,
        zone=table.zone,
        is_fleet=is_fleet,
        count=add_counts(count, *(zone.message.count for zone in remote)),
        members={beacon.address: beacon.weight for beacon in beacons},
        speakers={table.zone: table.address} | table.other_speakers(),
        config_number=newest.config_number,
        change_revision=newest.change_revision,
        removal_revision=newest.removal_revision,
        state_checksum=newest.state_checksum,
        freshest_peer=newest.freshest_peer,
        read_age_ms=newest.read_age_ms,
        store_uptime_ms=newest.store_uptime_ms,
        loads=sum_loads(beacons, remote),
        cached_prefixes=table.prefixes.current(local_beacon, is_fleet, now),
        unreachable=sum_unreachable(beacons, remote),
        rank_tokens=sum_rank_tokens(beacons, remote),
        pool_reports=sum_reports(beacons, remote),
        crash_checksum=local_beacon.crash_checksum,
        limits=newest.limits,
        leaving=newest.leaving,
        store_era=newest.store_era,
        isolated=newest.isolated,
        relays=newest.relays,
        brittle=newest.brittle,
        without_origins=[each.address for each in beacons if not each.keeps_origins],
        limit_users=newest.limit_users,
        ceding=newest.ceding,
    )


def build_heartbeat(
    table: "PeerTable", local_beacon: Beacon, is_fleet: bool, now: float
) -> Heartbeat:
    """Return the heartbeat that this instance sends between two digests.

    Parameters are those of `build_digest`. Received values are aged since they were
    sent.
    """
    beacons, remote = table.zone_beacons(local_beacon), table.remote_zones(is_fleet)
    messages = [*table.members.values(), *remote]
    era = current_era([*beacons, *(each.message for each in remote)])
    is_any_isolated = list_isolated(beacons, table.zones.values())
    best = max(beacons, key=lambda beacon: freshness(beacon, era))
    heartbeat = Heartbeat(
        address=table.address,
        weight=table.weight,
        zone=table.zone,
        is_fleet=is_fleet,
        config_number=best.config_number,
        change_revision=best.change_revision,
        removal_revision=best.removal_revision,
        state_checksum=best.state_checksum,
        freshest_peer=best.address,
        read_age_ms=local_beacon.read_age_ms,
        store_uptime_ms=max(uptime_ms(beacon, era) for beacon in beacons),
        crash_checksum=local_beacon.crash_checksum,
        limits=merge_limits(local_beacon, messages, now),
        leaving=merge_leaving(local_beacon, messages),
        store_era=best.store_era,
        isolated=list_isolated(beacons, remote),
        relays=list_relays(beacons, remote) if is_any_isolated else {},
        brittle=merge_brittle(local_beacon, messages, now),
        limit_users=list_limit_users(beacons, remote),
        ceding=count_ceding(beacons, remote),
    )
    for received in messages:
        merge_read_age(heartbeat, received, now)
    for received in remote:
        heartbeat.store_uptime_ms = max(
            heartbeat.store_uptime_ms, uptime_ms(received.message, era)
        )
        merge_newer_revision(heartbeat, received.message)
    return heartbeat
